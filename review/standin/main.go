// Command standin holds the stand-ins and the drivers of the cases of the review: the
// platform's store, backend servers and clients.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// Exit statuses of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases holds the driver of each case by its name. trouble is false for a run without
// the disruption.
var cases = map[string]func(f *fleet, trouble bool) error{
	"crashed-upload": crashedUpload,
	"burst":          burst,
	"own-paths":      ownPaths,
	"planned-stop":   plannedStop,
	"refused-upload": refusedUpload,
}

func main() { os.Exit(runCommand()) }

// runCommand runs the subcommand and returns the exit status.
func runCommand() int {
	if len(os.Args) > 1 && os.Args[1] == "backend" {
		if err := runBackend(os.Args[2:]); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return exitNotRun
		}
		return exitHeld
	}
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE ROOT FOLDER")
		return exitNotRun
	}
	c, err := newRecord(filepath.Join(os.Args[3], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	f, err := newFleet(c, os.Args[2])
	if err != nil {
		c.line("could not run: %v", err)
		return exitNotRun
	}
	defer f.close()
	trouble := os.Getenv("TROUBLE") != "0"
	c.line("case %s, with the disruption: %v", os.Args[1], trouble)
	if err := cases[os.Args[1]](f, trouble); err != nil {
		c.line("could not run: %v", err)
		return exitNotRun
	}
	if n := c.breaches(); n > 0 {
		c.line("result: the rule was broken %d times", n)
		return exitBroken
	}
	c.line("result: the rule held")
	return exitHeld
}
