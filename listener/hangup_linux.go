package listener

import "golang.org/x/sys/unix"

// observesHangUp is set where hungUp can report true.
const observesHangUp = true

// hungUp reports whether the peer of a connection has closed its sending side or reset the connection.
func hungUp(fd uintptr) bool {
	const events = unix.POLLRDHUP | unix.POLLHUP | unix.POLLERR
	fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	n, err := unix.Poll(fds, 0)
	return err == nil && n > 0 && fds[0].Revents&events != 0
}
