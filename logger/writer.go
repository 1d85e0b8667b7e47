package logger

import (
	"io"
	"sync/atomic"
)

// queueLines is the number of log lines that may wait for a slow output.
const queueLines = 1024

// writer passes lines on to an output that may block, without ever blocking those
// who log: lines that find the queue full are dropped and counted.
type writer struct {
	lines   chan []byte
	stop    chan struct{}
	done    chan struct{}
	dropped atomic.Uint64
}

func newWriter(out io.Writer) *writer {
	w := &writer{lines: make(chan []byte, queueLines), stop: make(chan struct{}), done: make(chan struct{})}
	go func() {
		defer close(w.done)
		for {
			select {
			case line := <-w.lines:
				w.pass(out, line)
			case <-w.stop:
				w.drain(out)
				return
			}
		}
	}()
	return w
}

// drain passes on what waits.
func (w *writer) drain(out io.Writer) {
	for {
		select {
		case line := <-w.lines:
			w.pass(out, line)
		default:
			return
		}
	}
}

// pass writes one line. There is nowhere else to say that it can't be written.
func (w *writer) pass(out io.Writer, line []byte) {
	if _, err := out.Write(line); err != nil {
		w.dropped.Add(1)
	}
}

// Write implements io.Writer for one line.
func (w *writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}
