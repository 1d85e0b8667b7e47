package listener

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"monsoonswitch/asserter"
)

// frameBytes bounds what the client and the server hold of a stream beside its window, in bytes.
const frameBytes = 64 << 10

// countedBody is an endless body that counts the bytes read.
type countedBody struct{ read atomic.Int64 }

// Read implements io.Reader.
func (b *countedBody) Read(p []byte) (int, error) {
	b.read.Add(int64(len(p)))
	return len(p), nil
}

// TestStreamBytes guards against a server that takes up to 1 MiB of each HTTP/2 upload that nobody
// reads.
func TestStreamBytes(t *testing.T) {
	const window = 64 << 10
	ended := make(chan struct{})
	l, err := New(Options{Address: "127.0.0.1:0", UnencryptedHTTP2: true, StreamBytes: window}, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		<-ended
	}))
	asserter.NoError(t, "listen", err)
	t.Cleanup(func() { _ = l.Close() })
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	client := &http.Client{Transport: &http.Transport{Protocols: protocols}}
	body := new(countedBody)
	r, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+l.Address()+"/", io.NopCloser(body))
	asserter.NoError(t, "build", err)
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		if response, err := client.Do(r); err == nil {
			_ = response.Body.Close()
		}
	}()
	last := int64(-1)
	asserter.Eventually(t, "the client waits for the window", 10*time.Second, func() bool {
		before := last
		time.Sleep(100 * time.Millisecond)
		last = body.read.Load()
		return last > 0 && last == before
	})
	asserter.AtMost(t, "bytes sent that nobody reads", last, window+frameBytes)
	close(ended)
	<-sent
}
