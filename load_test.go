package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"strings"
	"testing"
	"time"

	"monsoonswitch/asserter"
	"monsoonswitch/commander"
	"monsoonswitch/descriptor"
	"monsoonswitch/forwarder"
	"monsoonswitch/imitator"
	"monsoonswitch/operator"
)

// servePelletier starts a store and the backend servers of the deployment pelletier, and
// returns the address of the store.
func servePelletier(t *testing.T) string {
	t.Helper()
	store := imitator.NewStore()
	p, err := imitator.ServeStore(store, "127.0.0.1:0")
	asserter.NoError(t, "start store", err)
	t.Cleanup(p.Close)
	for service, count := range map[string]int{"ledger": 11, "billing": 21, "fieldbook": 6} {
		for i := range count {
			b, err := imitator.ServeBackend(imitator.NewBackend(imitator.BackendOptions{Slots: 3}, time.Now()), "127.0.0.1:0")
			asserter.NoError(t, "start backend server", err)
			t.Cleanup(b.Close)
			store.Register(service, descriptor.Backend{ID: fmt.Sprintf("%s-%d", service, i), Address: b.Address(), Slots: 3})
		}
	}
	return p.Address()
}

// serveNothing starts an instance that names itself for every service and dumps its state
// to operators, but answers no request for work. It returns its address.
func serveNothing(t *testing.T) string {
	t.Helper()
	var address string
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case forwarder.AddressPath:
			_ = json.NewEncoder(w).Encode(forwarder.AddressAnswer{Addresses: []forwarder.Address{{Address: address, Ticket: "t"}}, Keep: 60})
		case operator.DumpPath:
			_ = json.NewEncoder(w).Encode(map[string]descriptor.Dump{"State": {Instance: descriptor.Member{ID: "entry-0"}}})
		default:
			panic(http.ErrAbortHandler)
		}
	}))
	t.Cleanup(s.Close)
	address = strings.TrimPrefix(s.URL, "http://")
	return address
}

// TestLoadWithoutFleet guards against runs of load that prove nothing: an address or an
// instance is missing, or no request is answered.
func TestLoadWithoutFleet(t *testing.T) {
	t.Parallel()
	store := servePelletier(t)
	const nobody = "127.0.0.1:1"
	t.Run("addresses are missing", func(t *testing.T) {
		checkRun(t, commander.ExitFailed, "must be given", "load", "--store", store, "short")
		checkRun(t, commander.ExitFailed, "must be given", "load", "--store", store, "--entry", nobody, "short")
		checkRun(t, commander.ExitFailed, "must be given", "load", "--store", store, "--operators", nobody, "short")
		checkRun(t, commander.ExitFailed, "equally many", "load", "--store", store, "--entry", nobody, "--entry", "127.0.0.1:2", "--operators", nobody, "short")
		checkRun(t, commander.ExitFailed, "given twice", "load", "--store", store, "--entry", nobody, "--entry", nobody, "--operators", nobody, "--operators", nobody, "short")
		checkRun(t, commander.ExitFailed, "not the address of their store", "load", "--entry", nobody, "--operators", nobody, "short")
		checkRun(t, commander.ExitUnavailable, "unavailable", "load", "--store", nobody, "--entry", nobody, "--operators", nobody, "short")
	})
	t.Run("a policy that the instances don't have", func(t *testing.T) {
		checkRun(t, commander.ExitFailed, "own policy", "load", "--store", store, "--policy", "roundrobin", "--entry", nobody, "--operators", nobody, "short")
	})
	t.Run("backend servers are missing", func(t *testing.T) {
		checkRun(t, commander.ExitFailed, "the deployment has", "load", "--store", store, "--entry", nobody, "--operators", nobody, "gray-kilimo")
	})
	t.Run("an instance is missing", func(t *testing.T) {
		t.Parallel()
		checkRun(t, commander.ExitFailed, "instance at "+nobody, "load", "--store", store, "--entry", nobody, "--operators", nobody, "short")
	})
	t.Run("an instance is given twice to operators", func(t *testing.T) {
		t.Parallel()
		a, b := serveNothing(t), serveNothing(t)
		checkRun(t, commander.ExitFailed, "1 instances answer operators, must be 2", "load", "--store", store, "--entry", a, "--entry", b, "--operators", a, "--operators", b, "short")
	})
	t.Run("no request is answered", func(t *testing.T) {
		t.Parallel()
		a := serveNothing(t)
		out := checkRun(t, commander.ExitFailed, "a guarantee was violated", "load", "--store", store, "--entry", a, "--operators", a, "short")
		for _, want := range []string{"served: 0 of", "gray: fieldbook-2 was avoided after never"} {
			if !strings.Contains(out, want) {
				t.Errorf("output: got %q, want it to contain %q", out, want)
			}
		}
		asserter.Equal(t, "promises held", strings.Contains(out, "all held"), false)
	})
}

// runFleet runs tools/fleet.sh with the program under test, and returns its output and
// whether it succeeded.
func runFleet(t *testing.T, args ...string) (string, bool) {
	t.Helper()
	cmd := exec.Command("tools/fleet.sh", args...)
	cmd.Env = append(os.Environ(), "BIN="+binary)
	out, err := cmd.CombinedOutput()
	return string(out), err == nil
}

// TestFleetScript runs the script that measures fleets of real processes, which once ran
// without any instance and reported that all guarantees held.
func TestFleetScript(t *testing.T) {
	t.Parallel()
	t.Run("no instance", func(t *testing.T) {
		out, ok := runFleet(t, "short", "0")
		asserter.Equal(t, "succeeded", ok, false)
		asserter.Equal(t, "promises held", strings.Contains(out, "all held"), false)
	})
	t.Run("three instances", func(t *testing.T) {
		out, ok := runFleet(t, "short", "3")
		asserter.True(t, "succeeded", ok)
		if !strings.Contains(out, "all held") || !strings.Contains(out, "gray fieldbook-2") {
			t.Errorf("output: got %s, want the gray backend server and that all guarantees held", out)
		}
	})
}
