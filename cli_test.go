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

// run runs the program and returns its output and its exit code.
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

// startServer starts the program with a subcommand that prints its listening address,
// and returns that address.
func startServer(t *testing.T, args ...string) string {
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
	t.Fatalf("%v: no listening address was printed", args)
	return ""
}

// checkRun runs the program and fails unless the exit code is code and the output
// contains text. It returns the output.
func checkRun(t *testing.T, code int, text string, args ...string) string {
	t.Helper()
	out, got := run(t, args...)
	asserter.Equal(t, strings.Join(args, " ")+": exit code", got, code)
	if !strings.Contains(out, text) {
		t.Errorf("%v: got %q, want it to contain %q", args, out, text)
	}
	return out
}

// writeFile writes a file to a new temporary directory and returns its path.
func writeFile(t *testing.T, name, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	asserter.NoError(t, "write", os.WriteFile(path, []byte(text), 0o600))
	return path
}

const ledger = "loader/deployments/pelletier/ledger.ini"

func TestCommands(t *testing.T) {
	store := startServer(t, "standin", "store", "--listen", "127.0.0.1:0")
	t.Run("help", func(t *testing.T) {
		out := checkRun(t, 0, "apply", "--help")
		for _, c := range []string{"serve", "check", "apply", "diff", "status", "dump", "report", "standin store", "standin backend", "demo", "load", "trial", "capacity"} {
			asserter.True(t, "help names "+c, strings.Contains(out, c))
		}
	})
	t.Run("check", func(t *testing.T) {
		checkRun(t, 0, "settings are fine", "check", "configurer/example.ini")
		checkRun(t, 0, "declarations are fine", "check", "loader/deployments/pelletier")
		bad := writeFile(t, "bad.ini", "[service]\nname = a\nfloor = 1\nweight = 2\n")
		checkRun(t, commander.ExitInvalid, "[service] weight", "check", bad)
		checkRun(t, commander.ExitInvalid, "bad.ini", "check", writeFile(t, "bad.ini", "[instance]\nname = x\n"))
		checkRun(t, commander.ExitInvalid, "no such file", "check", "none.ini")
	})
	t.Run("apply, diff and report", func(t *testing.T) {
		checkRun(t, 0, "+ class lookup", "diff", "--store", store, ledger)
		checkRun(t, 0, "ledger: accepted as revision", "apply", "--store", store, ledger)
		checkRun(t, 0, "ledger: unchanged", "apply", "--store", store, ledger)
		checkRun(t, 0, "ledger: unchanged", "diff", "--store", store, ledger)
		checkRun(t, commander.ExitConflict, "revision is", "apply", "--store", store, "--expect", "ledger=999", ledger)
		for _, format := range []string{"text", "json", "html"} {
			checkRun(t, 0, "ledger", "report", "--store", store, "--format", format, "ledger")
		}
		checkRun(t, commander.ExitFailed, "no such service", "report", "--store", store, "other")
	})
	t.Run("apply writes nothing if one file of a directory is invalid", func(t *testing.T) {
		folder := t.TempDir()
		good := "[service]\nname = good\nfloor = 1\n[class c]\ntarget = 1s\nidempotent = true\n[route r]\npath = /\nclass = c\n"
		asserter.NoError(t, "write", os.WriteFile(filepath.Join(folder, "a.ini"), []byte(good), 0o600))
		asserter.NoError(t, "write", os.WriteFile(filepath.Join(folder, "b.ini"), []byte("[service]\nname = bad\n"), 0o600))
		checkRun(t, commander.ExitInvalid, "floor", "apply", "--store", store, folder)
		checkRun(t, commander.ExitFailed, "no such service", "report", "--store", store, "good")
	})
	t.Run("unreachable store and instances", func(t *testing.T) {
		checkRun(t, commander.ExitUnavailable, "unavailable", "apply", "--store", "127.0.0.1:1", ledger)
		checkRun(t, commander.ExitUnavailable, "does not answer", "status", "127.0.0.1:1")
		checkRun(t, commander.ExitUnavailable, "does not answer", "dump", "127.0.0.1:1")
	})
	t.Run("invalid arguments", func(t *testing.T) {
		checkRun(t, commander.ExitInvalid, "try --help", "serve")
		checkRun(t, commander.ExitInvalid, "try --help", "nonsense")
		checkRun(t, commander.ExitInvalid, "embedded scenarios are", "load", "nonsense")
	})
}

// TestApplyRace guards against lost updates: of several operators who apply a change
// to the same revision at once, exactly one may succeed.
func TestApplyRace(t *testing.T) {
	store := startServer(t, "standin", "store", "--listen", "127.0.0.1:0")
	text, err := os.ReadFile(ledger)
	asserter.NoError(t, "read", err)
	checkRun(t, 0, "accepted", "apply", "--store", store, ledger)
	revision := "ledger=1"
	codes := make([]int, 4)
	var group sync.WaitGroup
	for i := range codes {
		path := writeFile(t, "ledger.ini", strings.Replace(string(text), "300ms", []string{"301ms", "302ms", "303ms", "304ms"}[i], 1))
		group.Add(1)
		go func() {
			defer group.Done()
			_, codes[i] = run(t, "apply", "--store", store, "--expect", revision, path)
		}()
	}
	group.Wait()
	accepted, conflicts := 0, 0
	for _, c := range codes {
		switch c {
		case commander.ExitOK:
			accepted++
		case commander.ExitConflict:
			conflicts++
		}
	}
	asserter.Equal(t, "accepted changes", accepted, 1)
	asserter.Equal(t, "conflicts", conflicts, 3)
}

// TestApplyLostReply checks that apply reads back a write whose reply was lost and
// reports it as accepted.
func TestApplyLostReply(t *testing.T) {
	store := startServer(t, "standin", "store", "--listen", "127.0.0.1:0", "--lost", "1")
	checkRun(t, 0, "accepted", "apply", "--store", store, ledger)
}

func TestStandinBackend(t *testing.T) {
	store := startServer(t, "standin", "store", "--listen", "127.0.0.1:0")
	address := startServer(t, "standin", "backend", "--store", store, "--service", "ledger", "--id", "ledger-0")
	asserter.True(t, "listens", address != "")
}

// TestDemo runs the demo, the second command in the README: all guarantees must hold.
func TestDemo(t *testing.T) {
	checkRun(t, 0, "all held", "demo")
}
