// Command examiner plays the cases of the review that are no days of the bench. It starts the project's
// program as separate processes, with stand-ins for the platform's store, backends and clients.
package main

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// Exit codes of a case.
const (
	exitHeld = iota
	exitBroken
	exitFailed
)

// cases holds the cases by the name of their folder.
var cases = map[string]func(*record, bool) (broken bool, err error){
	"gone-pipelined": playPipelined,
	"gone-queued":    playQueued,
	"memory":         playMemory,
	"names":          playNames,
	"crowd":          playCrowd,
	"seeds":          playSeeds,
	"stale":          playStale,
}

// record is the file that tells what was sent, answered and run.
type record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

// write adds a line.
func (r *record) write(format string, a ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, a...))
}

func main() { os.Exit(run(os.Args[1:])) }

// run plays the case arguments[0] and writes the record into the folder arguments[1].
func run(arguments []string) int {
	if len(arguments) != 2 || cases[arguments[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: examiner CASE FOLDER, in the repository")
		return exitFailed
	}
	file, err := os.Create(filepath.Join(arguments[1], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer closeQuietly(file)
	rec := &record{file: file, started: time.Now()}
	broken, err := cases[arguments[0]](rec, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		rec.write("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	case broken:
		rec.write("the rule was broken")
		return exitBroken
	}
	rec.write("the rule held")
	return exitHeld
}

// closeQuietly closes what is not used any more.
func closeQuietly(c io.Closer) { _ = c.Close() }
