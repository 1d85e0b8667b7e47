package forwarder

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// unacknowledged returns the number of bytes written to a connection that the peer's system has
// not taken, and false if it is not known.
func unacknowledged(conn net.Conn) (int, bool) {
	source, ok := conn.(syscall.Conn)
	if !ok {
		return 0, false
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return 0, false
	}
	var queued int
	var failed error
	if err := raw.Control(func(fd uintptr) { queued, failed = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) }); err != nil || failed != nil {
		return 0, false
	}
	return queued, true
}
