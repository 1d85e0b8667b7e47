package linker

import (
	"context"
	"crypto/rand"
	"errors"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"github.com/rotisserie/eris"

	"monsoonswitch/descriptor"
	"monsoonswitch/messenger"
)

const (
	// Path is where instances accept links.
	Path = "/link"
	// proofHeader carries the proof of membership in both directions.
	proofHeader = "Link-Proof"
	// sendQueue is the number of messages that may wait on a link.
	sendQueue = 1024
	// writeTimeout bounds the writing of one message.
	writeTimeout = 10 * time.Second
	// silenceTimeout is the silence after which a link is closed.
	silenceTimeout = 30 * time.Second
)

// link is one WebSocket connection to an instance.
type link struct {
	owner *Linker
	conn  *websocket.Conn
	peer  descriptor.Member
	// dialed tells that this instance opened the link.
	dialed bool
	out    chan descriptor.Message
	ctx    context.Context
	cancel context.CancelFunc
	once   sync.Once
	// used is when the last message other than a heartbeat was sent, in
	// nanoseconds since the Unix epoch.
	used atomic.Int64
}

func (k *link) usedAt() time.Time { return time.Unix(0, k.used.Load()) }

func (k *link) close() { k.cancel() }

// send queues a message. A link whose queue is full is closed: its peer does
// not read, and a new link starts in step again.
func (k *link) send(m descriptor.Message) {
	if m.Type() != descriptor.TypeHeartbeat && m.Type() != descriptor.TypeDigest {
		k.used.Store(time.Now().UnixNano())
	}
	select {
	case k.out <- m:
	default:
		k.owner.countDropped()
		k.close()
	}
}

// dial opens a link to an address.
func (l *Linker) dial(address string) error {
	ctx, cancel := context.WithTimeout(l.ctx, dialTimeout)
	defer cancel()
	nonce := rand.Text()
	proof := messenger.Prove(l.options.Key, messenger.Dialer, nonce, time.Now())
	conn, response, err := websocket.Dial(ctx, "ws://"+address+Path, &websocket.DialOptions{
		HTTPClient: l.client,
		HTTPHeader: http.Header{proofHeader: {proof}},
	})
	if err != nil {
		return l.dialError(err)
	}
	answer := response.Header.Get(proofHeader)
	got, err := messenger.Verify(l.options.Key, messenger.Acceptor, answer, time.Now())
	if err != nil || got != nonce {
		_ = conn.CloseNow()
		return eris.Wrapf(messenger.ErrProof, "instance at %s", address)
	}
	return l.greet(ctx, conn, true)
}

func (l *Linker) dialError(err error) error {
	if l.ctx.Err() != nil {
		return ErrClosed
	}
	return eris.Wrap(err, "open link")
}

// ServeHTTP accepts a link.
func (l *Linker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != Path {
		http.NotFound(w, r)
		return
	}
	nonce, err := messenger.Verify(l.options.Key, messenger.Dialer, r.Header.Get(proofHeader), time.Now())
	if err != nil {
		l.options.Reject(r.RemoteAddr, err)
		http.Error(w, "proof of membership failed", http.StatusForbidden)
		return
	}
	w.Header().Set(proofHeader, messenger.Prove(l.options.Key, messenger.Acceptor, nonce, time.Now()))
	conn, err := websocket.Accept(w, r, nil)
	if err != nil {
		l.options.Reject(r.RemoteAddr, err)
		return
	}
	ctx, cancel := context.WithTimeout(l.ctx, dialTimeout)
	defer cancel()
	if err := l.greet(ctx, conn, false); err != nil {
		l.options.Reject(r.RemoteAddr, err)
	}
}

// greet exchanges hellos and starts the goroutines of a link.
func (l *Linker) greet(ctx context.Context, conn *websocket.Conn, dialed bool) error {
	conn.SetReadLimit(messenger.MaxFrame)
	hello := descriptor.Hello{Protocol: messenger.Version, From: l.options.Self()}
	if err := l.write(ctx, conn, hello); err != nil {
		_ = conn.CloseNow()
		return err
	}
	m, err := l.read(ctx, conn)
	if err != nil {
		_ = conn.CloseNow()
		return err
	}
	theirs, ok := m.(descriptor.Hello)
	if !ok || theirs.Protocol != messenger.Version || theirs.From.ID == "" || theirs.From.ID == hello.From.ID {
		_ = conn.Close(websocket.StatusProtocolError, "bad hello")
		return eris.Wrapf(ErrProtocol, "hello of %q with version %d", theirs.From.ID, theirs.Protocol)
	}
	l.start(conn, theirs.From, dialed)
	return nil
}

func (l *Linker) start(conn *websocket.Conn, peer descriptor.Member, dialed bool) {
	ctx, cancel := context.WithCancel(l.ctx)
	k := &link{
		owner:  l,
		conn:   conn,
		peer:   peer,
		dialed: dialed,
		out:    make(chan descriptor.Message, sendQueue),
		ctx:    ctx,
		cancel: cancel,
	}
	k.used.Store(time.Now().UnixNano())
	l.add(k)
	go func() {
		defer k.end()
		k.writeAll()
	}()
	go func() {
		defer k.end()
		k.readAll()
	}()
}

// end closes the connection once.
func (k *link) end() {
	k.once.Do(func() {
		k.cancel()
		_ = k.conn.CloseNow()
		k.owner.remove(k)
	})
}

func (k *link) writeAll() {
	for {
		select {
		case m := <-k.out:
			ctx, cancel := context.WithTimeout(k.ctx, writeTimeout)
			err := k.owner.write(ctx, k.conn, m)
			cancel()
			if err != nil {
				return
			}
		case <-k.ctx.Done():
			return
		}
	}
}

func (k *link) readAll() {
	for {
		ctx, cancel := context.WithTimeout(k.ctx, silenceTimeout)
		m, err := k.owner.read(ctx, k.conn)
		cancel()
		if errors.Is(err, messenger.ErrUnknownType) {
			continue
		}
		if err != nil {
			if errors.Is(err, messenger.ErrGarbage) {
				k.owner.options.Reject(k.peer.ID, err)
			}
			return
		}
		k.owner.poster.Post(descriptor.Received{At: time.Now(), From: k.peer.ID, Message: m})
	}
}

func (l *Linker) write(ctx context.Context, conn *websocket.Conn, m descriptor.Message) error {
	data, err := messenger.Encode(m)
	if err != nil {
		return err
	}
	if err := conn.Write(ctx, websocket.MessageBinary, data); err != nil {
		return eris.Wrap(err, "write to link")
	}
	l.countSent(len(data))
	return nil
}

func (l *Linker) read(ctx context.Context, conn *websocket.Conn) (descriptor.Message, error) {
	kind, data, err := conn.Read(ctx)
	if err != nil {
		return nil, eris.Wrap(err, "read from link")
	}
	if kind != websocket.MessageBinary {
		return nil, eris.Wrap(messenger.ErrGarbage, "text message")
	}
	l.countReceived(len(data))
	return messenger.Decode(data)
}
