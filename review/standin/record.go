package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the log of a case: what was sent, answered and run. It is safe for use by
// many goroutines.
type record struct {
	mu     sync.Mutex
	file   *os.File
	start  time.Time
	broken int
}

// newRecord creates the file at path.
func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, fmt.Errorf("create record: %w", err)
	}
	return &record{file: f, start: time.Now()}, nil
}

// line writes one line with the time since the start in seconds.
func (c *record) line(format string, values ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	fmt.Fprintf(c.file, "%8.3f %s\n", time.Since(c.start).Seconds(), fmt.Sprintf(format, values...))
}

// breach writes that a rule was broken and counts it.
func (c *record) breach(format string, values ...any) {
	c.line("BROKEN "+format, values...)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.broken++
}

// breaches returns how often a rule was broken.
func (c *record) breaches() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.broken
}
