package listener

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"monsoonswitch/asserter"
)

// admissionFixture is a server with an admission of its own, whose handler answers with the path and
// the length of the body, and waits for held on the path /hold.
type admissionFixture struct {
	t         *testing.T
	admission *Admission
	listener  *Listener
	held      chan struct{}
}

func newAdmissionFixture(t *testing.T, limits Limits, o Options) *admissionFixture {
	x := &admissionFixture{t: t, admission: NewAdmission(limits), held: make(chan struct{})}
	o.Address, o.Admission = "127.0.0.1:0", x.admission
	var err error
	x.listener, err = New(o, x)
	asserter.NoError(t, "listen", err)
	t.Cleanup(func() { _ = x.listener.Close() })
	return x
}

// ServeHTTP implements http.Handler.
func (x *admissionFixture) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	n, _ := io.Copy(io.Discard, r.Body)
	if r.URL.Path == "/hold" {
		<-x.held
	}
	_, _ = fmt.Fprintf(w, "%s %d", r.URL.Path, n)
}

// dial opens a connection.
func (x *admissionFixture) dial() net.Conn {
	x.t.Helper()
	c, err := net.Dial("tcp", x.listener.Address())
	asserter.NoError(x.t, "dial", err)
	x.t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	return c
}

// read reads an answer and returns its status and body.
func (x *admissionFixture) read(r *bufio.Reader) (int, string) {
	x.t.Helper()
	response, err := http.ReadResponse(r, nil)
	asserter.NoError(x.t, "read answer", err)
	body, err := io.ReadAll(response.Body)
	asserter.NoError(x.t, "read body", err)
	return response.StatusCode, string(body)
}

// wantNothing waits until nothing is held and no connection is open.
func (x *admissionFixture) wantNothing() {
	x.t.Helper()
	asserter.Eventually(x.t, "nothing is held", 20*time.Second, func() bool {
		return x.admission.Held(Callers) == 0 && x.admission.Connections(Callers) == 0
	})
}

// testLimits are limits that an idle instance of a small machine has.
var testLimits = NewLimits(96_000_000, 400, 32<<20)

// TestSplitStreams guards against requests that get lost or mixed when their bytes come in other pieces,
// and against memory that is not returned.
func TestSplitStreams(t *testing.T) {
	stream := "GET /a HTTP/1.1\r\nHost: x\r\n\r\n" +
		"POST /b HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\n12345" +
		"POST /c HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n3;e\r\nabc\r\n4\r\nabcd\r\n0\r\nT: v\r\n\r\n" +
		"GET /d HTTP/1.1\r\nHost: x\r\n" + strings.Repeat("a:\r\n", 3000) + "\r\n"
	for _, size := range []int{1, 2, 3, 7, 64, 1000, len(stream)} {
		t.Run(fmt.Sprintf("%d bytes at once", size), func(t *testing.T) {
			x := newAdmissionFixture(t, testLimits, Options{HeaderTimeout: 10 * time.Second, HeaderBytes: 16 << 10, UnencryptedHTTP2: true})
			c := x.dial()
			go func() {
				for rest := stream; rest != ""; rest = rest[min(size, len(rest)):] {
					_, _ = io.WriteString(c, rest[:min(size, len(rest))])
				}
			}()
			r := bufio.NewReader(c)
			for _, want := range []string{"/a 0", "/b 5", "/c 7", "/d 0"} {
				status, body := x.read(r)
				asserter.Equal(t, "status", status, http.StatusOK)
				asserter.Equal(t, "body", body, want)
			}
			_ = c.Close()
			x.wantNothing()
		})
	}
}

// TestLimits guards against limits of known machines that callers within the limits of the operators'
// platform meet, and against settings without a bound on uploads that refuse all of them.
func TestLimits(t *testing.T) {
	for _, c := range []struct {
		memory, descriptors, uploads          int
		wantUploads, wantPlaces, wantRequests int
	}{
		{0, 0, 0, 32 << 20, 4000, 2000},
		{136_000_000, 2870, 32 << 20, 20 << 20, 1900, 500},
		{184_000_000, 4096, 32 << 20, 32 << 20, 2800, 800},
		{536_000_000, 8192, 32 << 20, 32 << 20, 5700, 2000},
	} {
		t.Run(fmt.Sprintf("%d bytes and %d descriptors", c.memory, c.descriptors), func(t *testing.T) {
			a := NewAdmission(NewLimits(c.memory, c.descriptors, c.uploads))
			asserter.AtLeast(t, "memory of bodies", a.UploadLimit(), c.wantUploads)
			places, requests := 0, 0
			for places < c.wantPlaces && a.enter(&conn{admission: a}) {
				places++
			}
			for requests < c.wantRequests && a.take(claim{part: Callers.requests(), n: 34 << 10}) {
				requests++
			}
			asserter.Equal(t, "connections", places, c.wantPlaces)
			asserter.Equal(t, "requests beside them", requests, c.wantRequests)
		})
	}
}

// TestLargestHead guards against settings under which a head within the limits is never served.
func TestLargestHead(t *testing.T) {
	for _, memory := range []int{48_000_000, 96_000_000, 136_000_000, 0} {
		for _, class := range []Class{Callers, Questions, Instances, Operators} {
			t.Run(fmt.Sprintf("class %d of %d bytes", class, memory), func(t *testing.T) {
				x := newAdmissionFixture(t, NewLimits(memory, 400, 32<<20), Options{HeaderTimeout: 10 * time.Second, HeaderBytes: 64 << 10, Class: class})
				c := x.dial()
				_, err := io.WriteString(c, "GET /a HTTP/1.1\r\nHost: x\r\n"+strings.Repeat("a:\n", 21000)+"\r\n")
				asserter.NoError(t, "write", err)
				status, _ := x.read(bufio.NewReader(c))
				asserter.Equal(t, "status", status, http.StatusOK)
			})
		}
	}
}

// TestFullAccount checks what becomes of requests while others hold the memory.
func TestFullAccount(t *testing.T) {
	t.Run("a request is refused, and served once there is memory again", func(t *testing.T) {
		x := newAdmissionFixture(t, Limits{Memory: 1 << 20, Uploads: 1 << 18, Connections: 100}, Options{HeaderTimeout: 2 * time.Second, HeaderBytes: 16 << 10})
		var connections []net.Conn
		statuses := make(chan int, 30)
		for range cap(statuses) {
			c := x.dial()
			connections = append(connections, c)
			go func() {
				if response, err := http.ReadResponse(bufio.NewReader(c), nil); err == nil {
					statuses <- response.StatusCode
				}
			}()
		}
		asserter.Eventually(t, "all connections are accepted", 20*time.Second, func() bool {
			return x.admission.Connections(Callers) == len(connections)
		})
		for _, c := range connections {
			_, err := io.WriteString(c, "GET /hold HTTP/1.1\r\nHost: x\r\n\r\n")
			asserter.NoError(t, "write", err)
		}
		asserter.Eventually(t, "requests are refused", 20*time.Second, func() bool { return x.admission.Counts().Refused > 0 })
		asserter.AtMost(t, "bytes held", x.admission.Held(Callers), 1<<20)
		asserter.Equal(t, "status of the first answer", <-statuses, http.StatusServiceUnavailable)
		asserter.AtLeast(t, "refused", x.admission.Counts().Refused, 1)
		close(x.held)
		asserter.Eventually(t, "a request is served", 20*time.Second, func() bool {
			response, err := http.Get("http://" + x.listener.Address() + "/a")
			if err != nil {
				return false
			}
			_ = response.Body.Close()
			return response.StatusCode == http.StatusOK
		})
	})
	t.Run("a head over the limit is answered with 431", func(t *testing.T) {
		x := newAdmissionFixture(t, testLimits, Options{HeaderTimeout: 10 * time.Second, HeaderBytes: 16 << 10})
		c := x.dial()
		_, _ = io.WriteString(c, "GET /a HTTP/1.1\r\nHost: x\r\n"+strings.Repeat("a:\r\n", 6000))
		status, _ := x.read(bufio.NewReader(c))
		asserter.Equal(t, "status", status, http.StatusRequestHeaderFieldsTooLarge)
		_ = c.Close()
		x.wantNothing()
	})
}

// TestPlaces checks which connection is closed when there are too many.
func TestPlaces(t *testing.T) {
	const places = 16
	limits := Limits{Memory: 8 << 20, Uploads: 1 << 20, Connections: places}
	x := newAdmissionFixture(t, limits, Options{HeaderTimeout: 10 * time.Second, HeaderBytes: 16 << 10})
	served := x.dial()
	ask := func(c net.Conn, r *bufio.Reader) {
		t.Helper()
		_, err := io.WriteString(c, "GET /a HTTP/1.1\r\nHost: x\r\n\r\n")
		asserter.NoError(t, "write", err)
		status, _ := x.read(r)
		asserter.Equal(t, "status", status, http.StatusOK)
	}
	servedReader := bufio.NewReader(served)
	ask(served, servedReader)
	var silent []net.Conn
	for range 2 * places {
		silent = append(silent, x.dial())
	}
	t.Run("the oldest one without a request is closed", func(t *testing.T) {
		_, err := silent[0].Read(make([]byte, 1))
		asserter.True(t, "closed", err != nil)
		asserter.AtMost(t, "connections", x.admission.Connections(Callers), places)
	})
	t.Run("one that had a request served is kept", func(*testing.T) { ask(served, servedReader) })
	t.Run("a new one is served", func(*testing.T) {
		c := x.dial()
		ask(c, bufio.NewReader(c))
	})
	t.Run("nothing is held once all are closed", func(*testing.T) {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = x.listener.Shutdown(ctx)
		_ = x.listener.Close()
		x.wantNothing()
	})
}
