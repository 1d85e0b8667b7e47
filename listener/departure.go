package listener

import (
	"context"
	"io"
	"net"
	"syscall"

	"github.com/rotisserie/eris"
)

// errNotObservable reports that the system does not tell whether the peer of a connection has closed it
// while there are unread bytes.
var errNotObservable = eris.New("close by the peer is not observable")

// PeerClosed reports whether the peer has closed the connection of a request with the given context, or at
// least its sending side. Unlike net/http, it needs no read: unread bytes, as those of a body or of the next
// request, don't hide the close. It reports false where the system doesn't tell.
func PeerClosed(ctx context.Context) bool {
	c, ok := ctx.Value(connKey{}).(*conn)
	if !ok {
		return false
	}
	raw, err := rawConn(c.Conn)
	if err != nil {
		return false
	}
	closed := false
	// An error means that the connection is closed at this side.
	_ = raw.Control(func(fd uintptr) { closed = hungUp(fd) })
	return closed
}

// awaitPeerClosed waits until the peer has closed a connection with unread bytes and returns io.EOF, or the
// error of the read deadline. It returns errNotObservable where the system doesn't tell.
func awaitPeerClosed(c net.Conn) error {
	raw, err := rawConn(c)
	if err != nil || !observesHangUp {
		return errNotObservable
	}
	if err := raw.Read(hungUp); err != nil {
		return err
	}
	return io.EOF
}

// rawConn returns the connection of the system.
func rawConn(c net.Conn) (syscall.RawConn, error) {
	source, ok := c.(syscall.Conn)
	if !ok {
		return nil, errNotObservable
	}
	return source.SyscallConn()
}
