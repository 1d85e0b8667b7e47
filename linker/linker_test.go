package linker

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/coder/websocket"

	"monsoonswitch/asserter"
	"monsoonswitch/descriptor"
	"monsoonswitch/messenger"
)

const testKey = "the key of the tests"

// testLinker is a linker with its address, posted events and rejections.
type testLinker struct {
	linker  *Linker
	address string
	events  chan descriptor.Event
	rejects chan error
}

// Post implements Poster.
func (e *testLinker) Post(event descriptor.Event) { e.events <- event }

func newTestLinker(t *testing.T, id, key string, seeds ...string) *testLinker {
	e := &testLinker{events: make(chan descriptor.Event, 100), rejects: make(chan error, 100)}
	mux := http.NewServeMux()
	server := httptest.NewServer(mux)
	e.address = strings.TrimPrefix(server.URL, "http://")
	self := descriptor.Member{ID: id, Incarnation: 1, Inner: e.address}
	e.linker = New(Options{
		Self:   func() descriptor.Member { return self },
		Key:    key,
		Seeds:  seeds,
		Reject: func(_ string, err error) { e.rejects <- err },
	}, e)
	mux.Handle("/", e.linker)
	t.Cleanup(func() {
		e.linker.Close()
		server.Close()
	})
	return e
}

// next returns the next posted event of type T.
func next[T descriptor.Event](t *testing.T, e *testLinker) T {
	t.Helper()
	for {
		select {
		case event := <-e.events:
			if v, ok := event.(T); ok {
				return v
			}
		case <-time.After(30 * time.Second):
			t.Fatal("got no event")
		}
	}
}

func TestLinks(t *testing.T) {
	a := newTestLinker(t, "a", testKey)
	b := newTestLinker(t, "b", testKey, a.address)
	asserter.Equal(t, "opened at a", next[descriptor.LinkOpened](t, a).Peer.ID, "b")
	peer := next[descriptor.LinkOpened](t, b).Peer
	asserter.Equal(t, "opened at b", peer.ID, "a")
	b.linker.Send(peer, descriptor.Heartbeat{Sequence: 7})
	got := next[descriptor.Received](t, a)
	asserter.Equal(t, "from", got.From, "b")
	asserter.Equal(t, "message", got.Message, descriptor.Message(descriptor.Heartbeat{Sequence: 7}))
	t.Run("a message to an instance without a link opens one", func(t *testing.T) {
		c := newTestLinker(t, "c", testKey)
		c.linker.Send(descriptor.Member{ID: "a", Inner: a.address}, descriptor.Heartbeat{Sequence: 9})
		asserter.Equal(t, "from", next[descriptor.Received](t, a).From, "c")
	})
	t.Run("the end of a link is posted", func(t *testing.T) {
		b.linker.Close()
		for next[descriptor.LinkClosed](t, a).Peer != "b" {
			continue
		}
	})
}

func TestUnauthorizedPeers(t *testing.T) {
	a := newTestLinker(t, "a", testKey)
	t.Run("another key is refused", func(t *testing.T) {
		newTestLinker(t, "b", "a key of another fleet", a.address)
		asserter.ErrorIs(t, "reason", <-a.rejects, messenger.ErrProof)
	})
	t.Run("no proof is refused", func(t *testing.T) {
		_, _, err := websocket.Dial(context.Background(), "ws://"+a.address+Path, nil)
		asserter.True(t, "refused", err != nil)
	})
	t.Run("a malformed frame ends the link", func(t *testing.T) {
		proof := messenger.Prove(testKey, messenger.Dialer, "n", time.Now())
		conn, _, err := websocket.Dial(context.Background(), "ws://"+a.address+Path, &websocket.DialOptions{
			HTTPHeader: http.Header{proofHeader: {proof}},
		})
		asserter.NoError(t, "dial", err)
		asserter.NoError(t, "write", conn.Write(context.Background(), websocket.MessageBinary, []byte("hello")))
		for {
			if _, _, err = conn.Read(context.Background()); err != nil {
				break
			}
		}
	})
}
