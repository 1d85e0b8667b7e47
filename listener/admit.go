package listener

import (
	"context"
	"net"
	"net/http"
	"time"
)

// admitting is a listener whose connections are admitted.
type admitting struct {
	net.Listener
	admission *Admission
	options   *Options
}

// Accept implements net.Listener. A connection for which there is no place is closed.
func (l admitting) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: raw, admission: l.admission, class: l.options.Class, options: l.options}
		if l.admission.accept(c, time.Now()) {
			return c, nil
		}
		_ = raw.Close()
	}
}

// connKey is the key of the connection in the context of its requests.
type connKey struct{}

// withConn adds a connection to the context of its requests.
func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// stateChanged follows the states of connections.
func stateChanged(raw net.Conn, state http.ConnState) {
	if c, ok := raw.(*conn); ok {
		c.changed(state)
	}
}

// admitted passes requests on whose heads were admitted. It aborts others: the end of the request
// before them was not where net/http found it.
func admitted(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*conn)
		if !ok {
			panic(http.ErrAbortHandler)
		}
		if r.ProtoMajor == 2 {
			release, ok := c.claimStream(r)
			if !ok {
				panic(http.ErrAbortHandler)
			}
			defer release()
		} else if !c.claim() {
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}
