package forwarder

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"monsoonswitch/asserter"
	"monsoonswitch/descriptor"
)

// uploadTo sends an upload and returns the body that the backend server got.
func (x *fixture) uploadTo(body []byte, chunked, suspected bool, got <-chan []byte) []byte {
	x.t.Helper()
	r := x.request("POST", "/upload", bytes.NewReader(body))
	if chunked {
		r.Body, r.ContentLength = io.NopCloser(&pacedBody{body}), -1
	}
	if suspected {
		directory := *x.forwarder.snapshot.Load().Directory
		directory.Suspected = map[uint64]bool{x.fingerprintOf(r): true}
		x.forwarder.SetDirectory(&directory)
	}
	response, _, err := x.do(r)
	asserter.NoError(x.t, "send", err)
	asserter.Equal(x.t, "status", response.StatusCode, http.StatusOK)
	return <-got
}

// uploadFixture returns a fixture with a bound on the memory of uploads, and a channel of the
// bodies that the backend server gets.
func uploadFixture(t *testing.T, limit int) (*fixture, <-chan []byte) {
	got := make(chan []byte, 1)
	o := Options{StallTimeout: 10 * time.Second, Keep: time.Second, CallerHeader: "Caller", UploadBytes: limit}
	return newFixtureWith(t, o, func(_ http.ResponseWriter, r *http.Request) {
		data, _ := io.ReadAll(r.Body)
		got <- data
	}), got
}

// wantHeld fails the test unless n bytes are held once all requests have ended.
func (x *fixture) wantHeld(n int) {
	x.t.Helper()
	asserter.Eventually(x.t, fmt.Sprintf("%d bytes held", n), 10*time.Second, func() bool { return x.forwarder.uploads.held() == n })
}

// TestFullUploads checks what becomes of uploads while others hold most of the memory for uploads.
func TestFullUploads(t *testing.T) {
	const limit = 4 << 20
	for _, size := range []int{100, maxBufferedBytes, 3 << 20} {
		for _, framing := range []string{"with a length", "in chunks"} {
			for _, suspected := range []bool{false, true} {
				t.Run(fmt.Sprintf("%d bytes %s are passed on once, suspected %t", size, framing, suspected), func(t *testing.T) {
					x, got := uploadFixture(t, limit)
					taken := limit / uploadsPerReserved
					asserter.True(t, "all that is not reserved is taken", x.forwarder.uploads.takeOptional(taken))
					want := randomBody(5, size)
					asserter.True(t, "the backend server has the body", bytes.Equal(x.uploadTo(want, framing == "in chunks", suspected, got), want))
					arrived := x.control.arrived()
					asserter.True(t, "not promised", !arrived.Replayable)
					asserter.True(t, "not to be refused", !arrived.NoMemory)
					asserter.Equal(t, "bodies not buffered", x.forwarder.uploads.unbuffered.Load(), 1)
					x.wantHeld(taken)
				})
			}
		}
	}
	t.Run("a body is promised where its memory is left", func(t *testing.T) {
		x, got := uploadFixture(t, limit)
		x.uploadTo(randomBody(5, maxBufferedBytes), false, false, got)
		asserter.True(t, "promised", x.control.arrived().Replayable)
		x.wantHeld(0)
	})
	t.Run("an upload that can't be passed on is posted as such", func(t *testing.T) {
		x, got := uploadFixture(t, limit)
		asserter.True(t, "all is taken", x.forwarder.uploads.takeNeeded(limit))
		x.uploadTo([]byte("a"), true, false, got)
		asserter.True(t, "to be refused", x.control.arrived().NoMemory)
		x.wantHeld(limit)
	})
	t.Run("a body that comes by HTTP/2 needs its window too", func(t *testing.T) {
		x, _ := uploadFixture(t, limit)
		for _, c := range []struct {
			protocol, length, want int
		}{{1, -1, passedBytes}, {2, -1, passedBytes + StreamBytes}, {2, 10, 20}} {
			r := x.request("POST", "/upload", strings.NewReader("a"))
			r.ProtoMajor, r.ContentLength = c.protocol, int64(c.length)
			b := newCallerBody(&session{forwarder: x.forwarder, r: r})
			asserter.True(t, "admitted", b.admit())
			asserter.Equal(t, fmt.Sprintf("bytes for HTTP/%d and length %d", c.protocol, c.length), b.passed, c.want)
			b.close()
		}
		x.wantHeld(0)
	})
	t.Run("a request without a body needs none of it", func(t *testing.T) {
		x, got := uploadFixture(t, limit)
		asserter.True(t, "all is taken", x.forwarder.uploads.takeNeeded(limit))
		_, _, err := x.do(x.request("GET", "/", nil))
		asserter.NoError(t, "send", err)
		<-got
		asserter.True(t, "not to be refused", !x.control.arrived().NoMemory)
	})
}

// TestUploadEnds checks that the memory of an upload is returned however its request ends.
func TestUploadEnds(t *testing.T) {
	for _, c := range []struct {
		name string
		end  func(x *fixture)
	}{
		{"the caller leaves", func(*fixture) {}},
		{"the request is refused", func(x *fixture) {
			id := x.control.arrived().Request
			x.control.mu.Lock()
			defer x.control.mu.Unlock()
			x.control.open[id] <- descriptor.Refuse{Request: id, Reason: descriptor.Expired}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			x, _ := uploadFixture(t, 4<<20)
			reader, writer := io.Pipe()
			r := x.request("POST", "/upload", reader)
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				_, _, _ = x.do(r)
			}()
			_, err := io.Copy(writer, strings.NewReader(strings.Repeat("x", 200<<10)))
			asserter.NoError(t, "write", err)
			asserter.Eventually(t, "bytes are held", 10*time.Second, func() bool { return x.forwarder.uploads.held() > passedBytes })
			c.end(x)
			_ = writer.CloseWithError(io.ErrUnexpectedEOF)
			<-ended
			x.wantHeld(0)
		})
	}
}

// TestUploadsWithoutRoute guards against bodies that wait for a route without being accounted for.
func TestUploadsWithoutRoute(t *testing.T) {
	const limit = 4 << 20
	newRouted := func(t *testing.T) *fixture {
		x, _ := uploadFixture(t, limit)
		// The directory is too old to tell that there is no such route.
		x.forwarder.SetDirectory(routes(time.Now().Add(-time.Minute), "/a/"))
		return x
	}
	upload := func(x *fixture) (int, time.Duration) {
		started := time.Now()
		r := x.request("POST", "/b/", strings.NewReader(strings.Repeat("x", 100<<10)))
		r.Host = "a.example"
		response, _, err := x.do(r)
		asserter.NoError(x.t, "send", err)
		return response.StatusCode, time.Since(started)
	}
	t.Run("what waits is held", func(t *testing.T) {
		x := newRouted(t)
		ended := make(chan int, 1)
		go func() { status, _ := upload(x); ended <- status }()
		asserter.Eventually(t, "bytes are held", routeUpdateWait, func() bool { return x.forwarder.uploads.held() > 0 })
		asserter.Equal(t, "status", <-ended, http.StatusServiceUnavailable)
		x.wantHeld(0)
	})
	t.Run("what can't be held is refused at once", func(t *testing.T) {
		x := newRouted(t)
		asserter.True(t, "all is taken", x.forwarder.uploads.takeNeeded(limit))
		status, waited := upload(x)
		asserter.Equal(t, "status", status, http.StatusServiceUnavailable)
		asserter.AtMost(t, "time", waited, routeUpdateWait/2)
		x.wantHeld(limit)
	})
}

// TestLongNames guards against decisions that remember names of any length which callers chose.
func TestLongNames(t *testing.T) {
	x := newFixtureWith(t, Options{StallTimeout: 10 * time.Second, CallerHeader: "Caller"}, func(http.ResponseWriter, *http.Request) {})
	x.forwarder.dialect = labelledDialect{x.forwarder.dialect.(StandardDialect)}
	long := strings.Repeat("n", 20<<10)
	r := x.request("GET", "/"+long, nil)
	r.Header.Set("Caller", long)
	_, _, err := x.do(r)
	asserter.NoError(t, "send", err)
	asserter.Equal(t, "label", x.control.arrived().Label, long[:maxNameBytes])
	asserter.Equal(t, "caller", x.control.arrived().Caller, long[:maxNameBytes])
}
