package forwarder

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"monsoonswitch/asserter"
	"monsoonswitch/catcher"
	"monsoonswitch/descriptor"
)

// panickingDialect is a dialect with a method that panics.
type panickingDialect struct {
	StandardDialect
	method string
}

func (d panickingDialect) panicIn(method string) {
	if method == d.method {
		panic("fault of " + method)
	}
}

// Label implements Dialect.
func (d panickingDialect) Label(r *http.Request) string {
	d.panicIn("Label")
	return d.StandardDialect.Label(r)
}

// PrepareRequest implements Dialect.
func (d panickingDialect) PrepareRequest(h http.Header, r *http.Request, to descriptor.Backend, left time.Duration) string {
	d.panicIn("PrepareRequest")
	return d.StandardDialect.PrepareRequest(h, r, to, left)
}

// ParseHead implements Dialect.
func (d panickingDialect) ParseHead(response *http.Response, e Expected) Head {
	d.panicIn("ParseHead")
	return d.StandardDialect.ParseHead(response, e)
}

// AddAnswerHeaders implements Dialect.
func (d panickingDialect) AddAnswerHeaders(h http.Header) {
	d.panicIn("AddAnswerHeaders")
	d.StandardDialect.AddAnswerHeaders(h)
}

// Refuse implements Dialect.
func (d panickingDialect) Refuse(w http.ResponseWriter, r *http.Request, a descriptor.Refuse) bool {
	d.panicIn("Refuse")
	return d.StandardDialect.Refuse(w, r, a)
}

// panicList collects the places of panics.
type panicList struct {
	mu     sync.Mutex
	places []string
}

func (l *panicList) report(place, _ string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.places = append(l.places, place)
}

func (l *panicList) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.places)
}

// openCounted returns the number of requests that the recorder counts as open.
func openCounted(f *Forwarder) string {
	var text strings.Builder
	f.recorder.Write(&text)
	_, after, _ := strings.Cut(text.String(), "monsoonswitch_open ")
	value, _, _ := strings.Cut(after, "\n")
	return value
}

// newPanickingFixture returns a fixture whose dialect panics in a method. Its backend server
// answers with a body, and its listener passes requests with bodies that panic on /body.
func newPanickingFixture(t *testing.T, method string) (*fixture, *panicList) {
	list := &panicList{}
	x := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(w, "ran")
	})
	x.forwarder.options.Catcher = catcher.New(list.report)
	x.forwarder.dialect = panickingDialect{StandardDialect: x.forwarder.dialect.(StandardDialect), method: method}
	front := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/body" {
			r.Body = panickingBody{r.Body}
		}
		x.forwarder.ServeHTTP(w, r)
	}))
	t.Cleanup(front.Close)
	x.front = front
	return x, list
}

// panickingBody is a body whose reads panic.
type panickingBody struct{ io.ReadCloser }

// Read implements io.Reader.
func (panickingBody) Read([]byte) (int, error) { panic("fault of Read") }

// TestPanics guards against a panic in one request, in whichever goroutine, that ends the process
// or leaves the request open.
func TestPanics(t *testing.T) {
	for name, c := range map[string]struct {
		method, path, body string
		// broken is set if the caller's connection breaks.
		broken bool
	}{
		"in the goroutine of the request":       {method: "Label", path: "/a"},
		"in the goroutine of the attempt":       {method: "PrepareRequest", path: "/a"},
		"in the goroutine of the attempt after": {method: "ParseHead", path: "/a", body: "work"},
		"in the goroutine that copies":          {method: "AddAnswerHeaders", path: "/a"},
		"in a refusal":                          {method: "Refuse", path: "/refused", broken: true},
		"in the goroutine of net/http":          {path: "/body", body: "work"},
	} {
		t.Run(name, func(t *testing.T) {
			x, list := newPanickingFixture(t, c.method)
			if c.broken {
				x.forwarder.SetDirectory(&descriptor.Directory{})
			}
			var body io.Reader
			if c.body != "" {
				body = strings.NewReader(c.body)
			}
			response, _, err := x.do(x.request("PUT", c.path, body))
			if c.broken {
				asserter.True(t, "the connection breaks", err != nil)
			} else {
				asserter.NoError(t, "send", err)
				asserter.Equal(t, "status", response.StatusCode, http.StatusBadGateway)
				asserter.Equal(t, "outcome", response.Header.Get(headerOutcome), descriptor.MayHaveRun.String())
			}
			asserter.AtLeast(t, "reports", list.count(), 1)
			asserter.Equal(t, "open requests", openCounted(x.forwarder), "0")
		})
	}
}
