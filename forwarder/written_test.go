package forwarder

import (
	"errors"
	"testing"

	"monsoonswitch/asserter"
)

// write records one write.
func (w *written) write(data string, err error) { w.finish(w.start(), []byte(data), err) }

// TestWritten guards against a request that is taken for written before its last byte, however its
// bytes are divided into writes.
func TestWritten(t *testing.T) {
	for name, c := range map[string]struct {
		text   string
		length int64
	}{
		"with a length": {"PUT /a HTTP/1.1\r\nContent-Length: 8\r\n\r\n\r\n\r\nabcd", 8},
		"in chunks":     {"PUT /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nabcd\r\n0\r\n\r\n", -1},
	} {
		t.Run(name, func(t *testing.T) {
			for i := range len(c.text) {
				for j := i; j <= len(c.text); j++ {
					w := &written{}
					w.begin()
					w.write(c.text[:i], nil)
					w.write(c.text[i:j], nil)
					w.end(true)
					if got := w.provesWhole(c.length); got != (j == len(c.text)) {
						t.Errorf("after %d and %d bytes of %d: whole %v", i, j-i, len(c.text), got)
					}
				}
			}
		})
	}
	const whole = "PUT /a HTTP/1.1\r\nContent-Length: 1\r\n\r\na"
	for name, prepare := range map[string]func(*written){
		"not ended":             func(*written) {},
		"not taken":             func(w *written) { w.end(false) },
		"a write fails":         func(w *written) { w.write("", errors.New("reset")); w.end(true) },
		"a write is under way":  func(w *written) { w.start(); w.end(true) },
		"a later request began": func(w *written) { w.begin(); w.end(true) },
	} {
		t.Run(name, func(t *testing.T) {
			w := &written{}
			w.write(whole, nil)
			prepare(w)
			asserter.Equal(t, "whole", w.provesWhole(1), false)
		})
	}
}
