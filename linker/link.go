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
	"monsoonswitch/timekeeper"
)

const (
	// Path is where instances accept links.
	Path = "/link"
	// proofHeader carries the proof of membership in requests and answers.
	proofHeader = "Link-Proof"
	// sendQueueLength is the number of messages that may be queued on a link.
	sendQueueLength = 1024
	// writeTimeout bounds the time for writing one message.
	writeTimeout = 10 * time.Second
	// silenceTimeout is the time without a message after which a link is closed.
	silenceTimeout = 30 * time.Second
)

// link is one WebSocket connection to an instance.
type link struct {
	linker *Linker
	conn   *websocket.Conn
	peer   descriptor.Member
	// peerKnown is the number of live members that the peer knew when the link was opened.
	peerKnown int
	// peerTypes is the largest message type that the peer decodes.
	peerTypes descriptor.MessageType
	// dialed reports whether this instance opened the link.
	dialed   bool
	outgoing chan descriptor.Message
	ctx      context.Context
	cancel   context.CancelFunc
	once     sync.Once
	// lastUsedNanos is when the last message other than a heartbeat or digest was
	// queued, in nanoseconds since the Unix epoch.
	lastUsedNanos atomic.Int64
}

func (k *link) lastUsedAt() time.Time { return time.Unix(0, k.lastUsedNanos.Load()) }

func (k *link) close() { k.cancel() }

// send queues a message. If the queue is full, the peer does not read, so the message is
// dropped and the link closed. Both ends synchronize again on the next link.
func (k *link) send(m descriptor.Message) {
	if t := m.Type(); t != descriptor.TypeHeartbeat && t != descriptor.TypeDigest && t != descriptor.TypeComparison {
		k.lastUsedNanos.Store(time.Now().UnixNano())
	}
	select {
	case k.outgoing <- m:
	default:
		k.linker.countDropped()
		k.close()
	}
}

// dial opens a link to an address. It returns messenger.ErrProof if the peer does not
// prove its membership.
func (l *Linker) dial(address string) error {
	ctx, cancel := context.WithTimeout(l.ctx, dialTimeout)
	defer cancel()
	nonce := rand.Text()
	proof := messenger.Prove(l.options.Key, messenger.Dialer, nonce, time.Now())
	conn, response, err := websocket.Dial(ctx, "ws://"+address+Path, &websocket.DialOptions{
		HTTPClient: l.client,
		HTTPHeader: http.Header{proofHeader: {proof}},

		CompressionMode:      websocket.CompressionNoContextTakeover,
		CompressionThreshold: compressedBytes,
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
	return l.handshake(ctx, conn, true)
}

// dialError returns the error of a failed dial, or ErrClosed if the linker was closed.
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
	conn, err := websocket.Accept(w, r, &websocket.AcceptOptions{
		CompressionMode:      websocket.CompressionNoContextTakeover,
		CompressionThreshold: compressedBytes,
	})
	if err != nil {
		l.options.Reject(r.RemoteAddr, err)
		return
	}
	ctx, cancel := context.WithTimeout(l.ctx, dialTimeout)
	defer cancel()
	if err := l.handshake(ctx, conn, false); err != nil {
		l.options.Reject(r.RemoteAddr, err)
	}
}

// handshake exchanges hello messages and starts the goroutines of the link. It returns
// ErrProtocol if the peer's hello is not valid.
func (l *Linker) handshake(ctx context.Context, conn *websocket.Conn, dialed bool) error {
	conn.SetReadLimit(messenger.MaxFrame)
	hello := descriptor.Hello{Protocol: messenger.Version, From: l.options.Self(), Known: l.knownMembers(), Types: descriptor.MessageType(descriptor.MessageTypeCount - 1)}
	if err := l.write(ctx, conn, hello); err != nil {
		_ = conn.CloseNow()
		return err
	}
	m, err := l.read(ctx, conn)
	if err != nil {
		_ = conn.CloseNow()
		return err
	}
	peerHello, ok := m.(descriptor.Hello)
	if !ok || peerHello.Protocol != messenger.Version || peerHello.From.ID == "" || peerHello.From.ID == hello.From.ID {
		_ = conn.Close(websocket.StatusProtocolError, "bad hello")
		return eris.Wrapf(ErrProtocol, "hello of %q with version %d", peerHello.From.ID, peerHello.Protocol)
	}
	l.start(conn, peerHello, dialed)
	return nil
}

// knownMembers returns the number of live members that this instance knows.
func (l *Linker) knownMembers() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.known
}

func (l *Linker) start(conn *websocket.Conn, hello descriptor.Hello, dialed bool) {
	ctx, cancel := context.WithCancel(l.ctx)
	k := &link{
		linker:   l,
		conn:     conn,
		peer:     hello.From,
		dialed:   dialed,
		outgoing: make(chan descriptor.Message, sendQueueLength),
		ctx:      ctx,
		cancel:   cancel,

		peerKnown: max(0, hello.Known),
		peerTypes: max(0, hello.Types),
	}
	k.lastUsedNanos.Store(time.Now().UnixNano())
	l.add(k)
	go func() {
		defer k.release()
		l.options.Catcher.Run("link", k.writeLoop)
	}()
	go func() {
		defer k.release()
		l.options.Catcher.Run("link", k.readLoop)
	}()
}

// release closes the connection and removes the link. Only the first call has an effect.
func (k *link) release() {
	k.once.Do(func() {
		k.cancel()
		_ = k.conn.CloseNow()
		k.linker.remove(k)
	})
}

func (k *link) writeLoop() {
	for {
		select {
		case m := <-k.outgoing:
			ctx, cancel := context.WithTimeout(k.ctx, writeTimeout)
			err := k.linker.write(ctx, k.conn, m)
			cancel()
			if err != nil {
				return
			}
		case <-k.ctx.Done():
			return
		}
	}
}

func (k *link) readLoop() {
	for {
		ctx, cancel := context.WithTimeout(k.ctx, silenceTimeout)
		m, err := k.linker.read(ctx, k.conn)
		cancel()
		if errors.Is(err, messenger.ErrUnknownType) {
			continue
		}
		if err != nil {
			if errors.Is(err, messenger.ErrMalformed) {
				k.linker.options.Reject(k.peer.ID, err)
			}
			return
		}
		k.linker.poster.Post(descriptor.Received{At: time.Now(), From: k.peer.ID, Message: m, Uptime: timekeeper.Uptime()})
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
	l.countSent(m.Type(), len(data))
	return nil
}

func (l *Linker) read(ctx context.Context, conn *websocket.Conn) (descriptor.Message, error) {
	kind, data, err := conn.Read(ctx)
	if err != nil {
		return nil, eris.Wrap(err, "read from link")
	}
	if kind != websocket.MessageBinary {
		return nil, eris.Wrap(messenger.ErrMalformed, "text message instead of binary")
	}
	l.countReceived(len(data))
	return messenger.Decode(data)
}
