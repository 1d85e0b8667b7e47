package main

import (
	"bufio"
	"bytes"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"monsoonswitch/asserter"
	"monsoonswitch/commander"
)

// run runs the program and returns what it printed and its exit code.
func run(t *testing.T, args ...string) (string, int) {
	t.Helper()
	var out bytes.Buffer
	cmd := exec.Command(binary, args...)
	cmd.Stdout = &out
	cmd.Stderr = &out
	err := cmd.Run()
	if err != nil && cmd.ProcessState == nil {
		t.Fatalf("run %v: %v", args, err)
	}
	return out.String(), cmd.ProcessState.ExitCode()
}

// background starts a program that prints the address it listens on.
func background(t *testing.T, args ...string) string {
	t.Helper()
	cmd := exec.Command(binary, args...)
	out, err := cmd.StdoutPipe()
	asserter.NoError(t, "pipe", err)
	asserter.NoError(t, "start", cmd.Start())
	t.Cleanup(func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	})
	lines := bufio.NewScanner(out)
	for lines.Scan() {
		if address, ok := strings.CutPrefix(lines.Text(), "listening on "); ok {
			return address
		}
	}
	t.Fatalf("%v: got no address", args)
	return ""
}

func wantRun(t *testing.T, code int, mentions string, args ...string) string {
	t.Helper()
	out, got := run(t, args...)
	asserter.Equal(t, strings.Join(args, " ")+": exit code", got, code)
	if !strings.Contains(out, mentions) {
		t.Errorf("%v: got %q, want it to mention %q", args, out, mentions)
	}
	return out
}

func write(t *testing.T, name, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	asserter.NoError(t, "write", os.WriteFile(path, []byte(text), 0o600))
	return path
}

const ledger = "loader/deployments/pelletier/ledger.ini"

func TestCommands(t *testing.T) {
	store := background(t, "standin", "store", "--listen", "127.0.0.1:0")
	t.Run("help", func(t *testing.T) {
		out := wantRun(t, 0, "apply", "--help")
		for _, c := range []string{"serve", "check", "apply", "diff", "status", "dump", "report", "standin store", "standin backend", "demo", "load", "trial", "capacity"} {
			asserter.True(t, "help names "+c, strings.Contains(out, c))
		}
	})
	t.Run("check", func(t *testing.T) {
		wantRun(t, 0, "settings are fine", "check", "configurer/example.ini")
		wantRun(t, 0, "declarations are fine", "check", "loader/deployments/pelletier")
		bad := write(t, "bad.ini", "[service]\nname = a\nfloor = 1\nweight = 2\n")
		wantRun(t, commander.ExitInvalid, "[service] weight", "check", bad)
		wantRun(t, commander.ExitInvalid, "bad.ini", "check", write(t, "bad.ini", "[instance]\nname = x\n"))
		wantRun(t, commander.ExitInvalid, "no such file", "check", "none.ini")
	})
	t.Run("apply, diff and report", func(t *testing.T) {
		wantRun(t, 0, "+ class lookup", "diff", "--store", store, ledger)
		wantRun(t, 0, "ledger: accepted as revision", "apply", "--store", store, ledger)
		wantRun(t, 0, "ledger: unchanged", "apply", "--store", store, ledger)
		wantRun(t, 0, "ledger: unchanged", "diff", "--store", store, ledger)
		wantRun(t, commander.ExitConflict, "revision is", "apply", "--store", store, "--expect", "ledger=999", ledger)
		for _, format := range []string{"text", "json", "html"} {
			wantRun(t, 0, "ledger", "report", "--store", store, "--format", format, "ledger")
		}
		wantRun(t, commander.ExitFailed, "no such service", "report", "--store", store, "other")
	})
	t.Run("one bad file of a directory writes nothing", func(t *testing.T) {
		folder := t.TempDir()
		good := "[service]\nname = good\nfloor = 1\n[class c]\ntarget = 1s\nidempotent = true\n[route r]\npath = /\nclass = c\n"
		asserter.NoError(t, "write", os.WriteFile(filepath.Join(folder, "a.ini"), []byte(good), 0o600))
		asserter.NoError(t, "write", os.WriteFile(filepath.Join(folder, "b.ini"), []byte("[service]\nname = bad\n"), 0o600))
		wantRun(t, commander.ExitInvalid, "floor", "apply", "--store", store, folder)
		wantRun(t, commander.ExitFailed, "no such service", "report", "--store", store, "good")
	})
	t.Run("unreachable", func(t *testing.T) {
		wantRun(t, commander.ExitUnavailable, "unavailable", "apply", "--store", "127.0.0.1:1", ledger)
		wantRun(t, commander.ExitUnavailable, "does not answer", "status", "127.0.0.1:1")
		wantRun(t, commander.ExitUnavailable, "does not answer", "dump", "127.0.0.1:1")
	})
	t.Run("bad arguments", func(t *testing.T) {
		wantRun(t, commander.ExitInvalid, "try --help", "serve")
		wantRun(t, commander.ExitInvalid, "try --help", "nonsense")
		wantRun(t, commander.ExitInvalid, "embedded are", "load", "nonsense")
	})
}

func TestApplyRace(t *testing.T) {
	store := background(t, "standin", "store", "--listen", "127.0.0.1:0")
	text, err := os.ReadFile(ledger)
	asserter.NoError(t, "read", err)
	wantRun(t, 0, "accepted", "apply", "--store", store, ledger)
	revision := "ledger=1"
	codes := make([]int, 4)
	var group sync.WaitGroup
	for i := range codes {
		path := write(t, "ledger.ini", strings.Replace(string(text), "300ms", []string{"301ms", "302ms", "303ms", "304ms"}[i], 1))
		group.Add(1)
		go func() {
			defer group.Done()
			_, codes[i] = run(t, "apply", "--store", store, "--expect", revision, path)
		}()
	}
	group.Wait()
	won, lost := 0, 0
	for _, c := range codes {
		switch c {
		case commander.ExitOK:
			won++
		case commander.ExitConflict:
			lost++
		}
	}
	asserter.Equal(t, "operators who won", won, 1)
	asserter.Equal(t, "operators who got a conflict", lost, 3)
}

func TestApplyLostReply(t *testing.T) {
	store := background(t, "standin", "store", "--listen", "127.0.0.1:0", "--lost", "1")
	wantRun(t, 0, "accepted", "apply", "--store", store, ledger)
}

func TestStandinBackend(t *testing.T) {
	store := background(t, "standin", "store", "--listen", "127.0.0.1:0")
	address := background(t, "standin", "backend", "--store", store, "--service", "ledger", "--id", "ledger-0")
	asserter.True(t, "listens", address != "")
}

// TestDemo runs the second command of the README.
func TestDemo(t *testing.T) {
	wantRun(t, 0, "all held", "demo")
}
