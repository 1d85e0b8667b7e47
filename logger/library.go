package logger

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"time"

	"monsoonswitch/descriptor"
)

const (
	// libraryRate is the number of messages of libraries that are logged, per second.
	libraryRate = 1
	// maxLibraryBytes bounds the logged part of a message in bytes.
	maxLibraryBytes = 300
)

// libraryBudget decides which messages of libraries are logged.
type libraryBudget struct {
	quota quota
	// omitted counts the messages since the last logged one.
	omitted int
}

// WithMessage returns b after a message and reports whether it is logged.
func (b libraryBudget) WithMessage(now time.Time) (libraryBudget, bool) {
	b.quota = b.quota.WithTime(now, libraryRate)
	if b.quota.left < 1 {
		b.omitted++
		return b, false
	}
	b.quota.left--
	return b, true
}

// libraryWriter logs the messages of libraries, one for each call of Write. It is safe for use by
// many goroutines.
type libraryWriter struct {
	logger *Logger
	mu     sync.Mutex
	budget libraryBudget
}

// Libraries returns a writer for the standard log, which some libraries write to.
func (l *Logger) Libraries() io.Writer { return &libraryWriter{logger: l} }

// Write implements io.Writer. It returns no error, also for a message that is omitted.
func (w *libraryWriter) Write(p []byte) (int, error) {
	w.mu.Lock()
	budget, admitted := w.budget.WithMessage(time.Now())
	omitted := budget.omitted
	if admitted {
		budget.omitted = 0
	}
	w.budget = budget
	w.mu.Unlock()
	if admitted {
		text := bytes.TrimSpace(p)
		w.logger.Event(descriptor.NoteLibrary, "", "", fmt.Sprintf("%s (%d omitted before)", text[:min(len(text), maxLibraryBytes)], omitted))
	}
	return len(p), nil
}
