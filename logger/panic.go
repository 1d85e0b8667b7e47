package logger

import (
	"fmt"
	"sync"
	"time"

	"monsoonswitch/descriptor"
)

// maxPanicBytes bounds the logged value and stack of a panic in bytes. The frames that show the
// cause are within the first dozen.
const maxPanicBytes = 3000

// panicLog logs panics within the budget of a library, so that a peer that causes them can't fill
// the log.
type panicLog struct {
	mu     sync.Mutex
	budget libraryBudget
}

// Panic logs a panic that was recovered. place names the goroutine, and detail holds the value and
// the stack. At most libraryRate a second are logged.
func (l *Logger) Panic(place, detail string) {
	l.panics.mu.Lock()
	budget, admitted := l.panics.budget.WithMessage(time.Now())
	omitted := budget.omitted
	if admitted {
		budget.omitted = 0
	}
	l.panics.budget = budget
	l.panics.mu.Unlock()
	if admitted {
		l.Event(descriptor.NotePanic, "", place, fmt.Sprintf("%s (%d omitted before)", detail[:min(len(detail), maxPanicBytes)], omitted))
	}
}
