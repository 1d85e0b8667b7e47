package forwarder

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"monsoonswitch/asserter"
	"monsoonswitch/declarer"
	"monsoonswitch/descriptor"
)

// keyDialect is a dialect whose requests hold the API key and the customer in headers.
type keyDialect struct{ StandardDialect }

// APIKey implements Dialect.
func (keyDialect) APIKey(r *http.Request) string { return r.Header.Get("Key") }

// SetCustomer implements Dialect.
func (keyDialect) SetCustomer(h http.Header, customer string) {
	h.Del("Key")
	h.Del("Customer")
	if customer != "" {
		h.Set("Customer", customer)
	}
}

// keyed returns a directory with the route /a/, the public route /p/ and a customer for each key,
// confirmed as of current.
func keyed(current time.Time, keys ...string) *descriptor.Directory {
	d := routes(current, "/a/", "/p/")
	r := d.Routes.Routing()
	r.Keyed, r.Version, r.Routes[1].Public = true, 7, true
	for _, k := range keys {
		r.Customers = append(r.Customers, declarer.Customer{Name: "owner-of-" + k, Keys: []string{k}, Rank: 3})
	}
	d.Routes = declarer.NewRouteIndex(r)
	return d
}

// TestCustomers guards against work without a valid key, keys and forged names that reach backend
// servers, and refusals before it is certain that a key does not exist.
func TestCustomers(t *testing.T) {
	var received atomic.Value
	x := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
		received.Store(r.Header.Clone())
		w.WriteHeader(http.StatusTeapot)
	})
	x.forwarder.dialect = keyDialect{}
	ask := func(path, key string) int {
		received.Store(http.Header{})
		r := x.request("GET", path, nil)
		r.Host = "a.example"
		r.Header.Set("Customer", "forged")
		r.Header.Set("Key", key)
		response, _, err := x.do(r)
		asserter.NoError(t, "ask", err)
		return response.StatusCode
	}
	header := func(name string) string { return received.Load().(http.Header).Get(name) }
	future := time.Now().Add(time.Minute)
	t.Run("a known key", func(t *testing.T) {
		x.forwarder.SetDirectory(keyed(time.Time{}, "k1"))
		asserter.Equal(t, "status", ask("/a/1", "k1"), http.StatusTeapot)
		asserter.Equal(t, "key at the backend server", header("Key"), "")
		asserter.Equal(t, "customer at the backend server", header("Customer"), "owner-of-k1")
		e := x.control.arrived()
		asserter.Equal(t, "customer", e.Customer, "owner-of-k1")
		asserter.Equal(t, "rank", e.CustomerRank, 3)
		asserter.Equal(t, "version", e.Routing, uint64(7))
		asserter.Equal(t, "public", e.Public, false)
	})
	t.Run("an unknown key as of a time after the arrival of the request", func(t *testing.T) {
		x.forwarder.SetDirectory(keyed(future, "k1"))
		asserter.Equal(t, "status", ask("/a/1", "k2"), http.StatusUnauthorized)
		asserter.Equal(t, "status without a key", ask("/a/1", ""), http.StatusUnauthorized)
	})
	t.Run("a key that is added while the request waits", func(t *testing.T) {
		x.forwarder.SetDirectory(keyed(time.Now().Add(-time.Minute), "k1"))
		go func() {
			time.Sleep(50 * time.Millisecond)
			x.forwarder.SetDirectory(keyed(time.Now(), "k1", "k2"))
		}()
		asserter.Equal(t, "status", ask("/a/1", "k2"), http.StatusTeapot)
	})
	t.Run("an unknown key, and no confirmation in time", func(t *testing.T) {
		x.forwarder.SetDirectory(keyed(time.Now().Add(-time.Minute), "k1"))
		asserter.Equal(t, "status", ask("/a/1", "k2"), http.StatusServiceUnavailable)
	})
	t.Run("a public route", func(t *testing.T) {
		x.forwarder.SetDirectory(keyed(future, "k1"))
		for key, customer := range map[string]string{"": "", "k2": "", "k1": "owner-of-k1"} {
			asserter.Equal(t, "status", ask("/p/1", key), http.StatusTeapot)
			asserter.Equal(t, "key at the backend server", header("Key"), "")
			asserter.Equal(t, "customer at the backend server", header("Customer"), customer)
			asserter.True(t, "public", x.control.arrived().Public)
		}
	})
	t.Run("a routing without customers", func(t *testing.T) {
		x.forwarder.SetDirectory(routes(future, "/a/"))
		asserter.Equal(t, "status", ask("/a/1", "k2"), http.StatusTeapot)
		asserter.Equal(t, "key at the backend server", header("Key"), "k2")
		asserter.Equal(t, "customer at the backend server", header("Customer"), "forged")
	})
}
