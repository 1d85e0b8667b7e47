package server_test

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"monsoonswitch/assembler"
	"monsoonswitch/asserter"
	"monsoonswitch/configurer"
	"monsoonswitch/declarer"
	"monsoonswitch/imitator"
	"monsoonswitch/operator"
)

// oneInstance starts an instance with backend servers of the given options.
func oneInstance(t testing.TB, backends int, o imitator.BackendOptions) *assembler.Fleet {
	f, err := assembler.New(assembler.Options{
		Domains:   []string{"a"},
		Instances: 1,
		Groups:    []assembler.Group{{Service: "ledger", Count: backends, Options: o}},
		Services: []declarer.Service{{
			Name:    "ledger",
			Floor:   2,
			Classes: []declarer.Class{{Name: "lookup", Target: time.Second, Idempotent: true}},
			Routes:  []declarer.Route{{Name: "all", Path: "/", Class: "lookup"}},
		}},
		Policy: configurer.PolicyStandard,
		Keep:   time.Second,
	})
	asserter.NoError(t, "start", err)
	t.Cleanup(f.Close)
	return f
}

func TestListeners(t *testing.T) {
	f := oneInstance(t, 3, imitator.BackendOptions{Slots: 2, Median: time.Millisecond})
	s := f.Servers()[0]
	t.Run("HTTP/2 without TLS", func(t *testing.T) {
		protocols := new(http.Protocols)
		protocols.SetUnencryptedHTTP2(true)
		client := &http.Client{Transport: &http.Transport{Protocols: protocols}}
		r, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+s.Public()+"/lines", nil)
		asserter.NoError(t, "build", err)
		r.Header.Set("Service", "ledger")
		response, err := client.Do(r)
		asserter.NoError(t, "ask", err)
		defer response.Body.Close()
		asserter.Equal(t, "status", response.StatusCode, http.StatusOK)
		asserter.Equal(t, "protocol", response.ProtoMajor, 2)
	})
	t.Run("operators", func(t *testing.T) {
		for _, path := range []string{operator.HealthPath, operator.StatusPath, operator.DumpPath, operator.MetricsPath} {
			response, err := http.Get("http://" + s.Operators() + path)
			asserter.NoError(t, path, err)
			_ = response.Body.Close()
			asserter.Equal(t, path, response.StatusCode, http.StatusOK)
		}
	})
	t.Run("operators' paths are not served to callers", func(t *testing.T) {
		response, err := http.Get("http://" + s.Public() + operator.DumpPath)
		asserter.NoError(t, "ask", err)
		_ = response.Body.Close()
		asserter.Equal(t, "status", response.StatusCode, http.StatusNotFound)
	})
	t.Run("a stand-in store refuses an address in use", func(t *testing.T) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		asserter.NoError(t, "listen", err)
		defer func() { _ = l.Close() }()
		settings := configurer.Settings{}
		settings.Callers.Listen = l.Addr().String()
		_, err = imitator.ServeStore(imitator.NewStore(), settings.Callers.Listen)
		asserter.True(t, "refused", err != nil)
	})
	t.Run("the settings in a dump omit the key", func(t *testing.T) {
		kept, ok := s.Settings().(configurer.Settings)
		asserter.True(t, "settings", ok)
		asserter.Equal(t, "key", kept.Inner.Key, "")
	})
}

func TestReload(t *testing.T) {
	f := oneInstance(t, 3, imitator.BackendOptions{Slots: 2, Median: time.Millisecond})
	s := f.Servers()[0]
	before := s.Settings().(configurer.Settings)
	changed := before
	changed.Inner.Seeds = []string{"127.0.0.1:1"}
	changed.Limits.Grace = 7 * time.Second
	changed.Retries.Extra = 9
	changed.Log.Level, changed.Log.Notable = "warn", 3
	changed.Callers.Keep = 2 * before.Callers.Keep
	s.Reload(changed)
	after := s.Settings().(configurer.Settings)
	asserter.Equal(t, "seeds", after.Inner.Seeds, changed.Inner.Seeds)
	asserter.Equal(t, "grace", after.Limits.Grace, changed.Limits.Grace)
	asserter.Equal(t, "retries", after.Retries, changed.Retries)
	asserter.Equal(t, "log", after.Log.Notable, 3.0)
	asserter.Equal(t, "settings that need a restart", after.Callers, before.Callers)
}
