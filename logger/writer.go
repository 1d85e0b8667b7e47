package logger

import (
	"io"
	"sync/atomic"
)

// queueLength is the number of log lines that may be queued for a slow output.
const queueLength = 1024

// writer writes lines to an output that may block, without blocking the goroutines that
// log. Lines are dropped and counted if the queue is full.
type writer struct {
	lines   chan []byte
	stop    chan struct{}
	done    chan struct{}
	dropped atomic.Uint64
}

func newWriter(out io.Writer) *writer {
	w := &writer{lines: make(chan []byte, queueLength), stop: make(chan struct{}), done: make(chan struct{})}
	go func() {
		defer close(w.done)
		for {
			select {
			case line := <-w.lines:
				w.writeLine(out, line)
			case <-w.stop:
				w.drain(out)
				return
			}
		}
	}()
	return w
}

// drain writes the queued lines.
func (w *writer) drain(out io.Writer) {
	for {
		select {
		case line := <-w.lines:
			w.writeLine(out, line)
		default:
			return
		}
	}
}

// writeLine writes one line. It counts a failed write as dropped, because there is no
// other place to report it.
func (w *writer) writeLine(out io.Writer, line []byte) {
	if _, err := out.Write(line); err != nil {
		w.dropped.Add(1)
	}
}

// Write implements io.Writer. It queues one line.
func (w *writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}
