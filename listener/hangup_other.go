//go:build !linux

package listener

// observesHangUp is set where hungUp can report true.
const observesHangUp = false

// hungUp reports false: this system does not tell it.
func hungUp(uintptr) bool { return false }
