package main

import (
	"fmt"
	"os"
	"time"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	unable = 2
)

// timeLimit is the time after which a case is given up.
const timeLimit = 110 * time.Second

// scenario plays a case and reports whether its rule was broken. Without trouble it leaves the disruption
// out.
type scenario func(f *fleet, trouble bool) (isBroken bool, err error)

var scenarios = map[string]scenario{
	"early": playEarly,
	"crash": playCrash,
	"pause": playPause,
	"stale": playStale,
	"quota": playQuota,
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: inspector SCENARIO FOLDER")
		os.Exit(unable)
	}
	os.Exit(play(os.Args[1], os.Args[2], os.Getenv("TROUBLE") != "0"))
}

// play plays a scenario with its record in a folder and returns the exit code.
func play(name, folder string, trouble bool) int {
	s, ok := scenarios[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such scenario:", name)
		return unable
	}
	r, err := newRecord(folder)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return unable
	}
	f, err := newFleet(r)
	if err != nil {
		r.note("the case could not run: %v", err)
		return unable
	}
	defer f.close()
	limit := time.AfterFunc(timeLimit, func() {
		r.note("the case could not run: it took over %v", timeLimit)
		f.close()
		os.Exit(unable)
	})
	defer limit.Stop()
	isBroken, err := s(f, trouble)
	switch {
	case err != nil:
		r.note("the case could not run: %v", err)
		return unable
	case isBroken:
		r.note("BROKEN")
		return broken
	}
	r.note("held")
	return held
}
