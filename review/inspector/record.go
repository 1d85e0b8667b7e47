package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// record writes what was sent, answered and run to record.txt in the folder of the case.
type record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

func newRecord(folder string) (*record, error) {
	f, err := os.Create(filepath.Join(folder, "record.txt"))
	return &record{file: f, started: time.Now()}, err
}

// add writes one line with the time since the start.
func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

// note writes a line and prints it.
func (r *record) note(format string, args ...any) {
	r.add(format, args...)
	fmt.Printf(format+"\n", args...)
}
