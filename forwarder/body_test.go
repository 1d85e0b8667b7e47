package forwarder

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"monsoonswitch/asserter"
	"monsoonswitch/recorder"
)

// scheduledSource yields a body in parts of random sizes, after random pauses.
type scheduledSource struct {
	mu     sync.Mutex
	random *rand.Rand
	left   []byte
	// active is set while a read is in progress; concurrent counts reads beside another.
	active     atomic.Bool
	concurrent atomic.Int32
	fails      bool
}

var errSource = errors.New("source failed")

// Read implements io.Reader.
func (s *scheduledSource) Read(p []byte) (int, error) {
	if s.active.Swap(true) {
		s.concurrent.Add(1)
	}
	defer s.active.Store(false)
	s.mu.Lock()
	defer s.mu.Unlock()
	time.Sleep(time.Duration(s.random.IntN(50)) * time.Microsecond)
	if len(s.left) == 0 {
		if s.fails {
			return 0, errSource
		}
		return 0, io.EOF
	}
	n := copy(p, s.left[:min(len(s.left), 1+s.random.IntN(64<<10))])
	s.left = s.left[n:]
	if len(s.left) == 0 && !s.fails && s.random.IntN(2) == 0 {
		return n, io.EOF
	}
	return n, nil
}

// checkSchedule reads some bodies at once, whose memory comes from one account. Nothing is held once
// all of them have ended.
func checkSchedule(t *testing.T, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 0))
	limits := []int{passedBytes, 4 * passedBytes, 1 << 20, 3 << 20, 64 << 20}
	limit := limits[random.IntN(len(limits))]
	u := newUploads(limit, nil, recorder.New())
	var bodies sync.WaitGroup
	for i := range uint64(1 + random.IntN(4)) {
		bodies.Go(func() { checkBody(t, 10*seed+i, u, limit) })
	}
	bodies.Wait()
	asserter.Equal(t, fmt.Sprintf("seed %d: bytes held at the end", seed), u.held(), 0)
}

// checkBody reads a body by attempts that end at random, each begun only while the body can be
// sent again, and compares what each one got with the body. Attempts at a body that is promised may
// go on beside later ones.
func checkBody(t *testing.T, seed uint64, u *uploads, limit int) {
	random := rand.New(rand.NewPCG(seed, 1))
	sizes := []int{1, 100, maxBufferedBytes - 1, maxBufferedBytes, maxBufferedBytes + 1, 3 << 20}
	want := randomBody(seed, sizes[random.IntN(len(sizes))])
	source := &scheduledSource{random: rand.New(rand.NewPCG(seed, 2)), left: want, fails: random.IntN(5) == 0}
	b := &callerBody{source: source, controller: http.NewResponseController(httptest.NewRecorder()), stallTimeout: time.Second, length: -1, uploads: u}
	if random.IntN(2) == 0 {
		b.length = int64(len(want))
		if source.fails {
			b.length++
		}
	}
	defer checkClosed(t, seed, b)
	if !b.admit() {
		asserter.Equal(t, fmt.Sprintf("seed %d: bytes held by a body that is not admitted", seed), b.held+b.passed, 0)
		return
	}
	if random.IntN(3) == 0 {
		b.readAhead(time.Time{})
	}
	var readers sync.WaitGroup
	for attempts := 0; attempts < 5 && b.replayable(); attempts++ {
		r := &bodyReader{body: b}
		stopAt := random.IntN(2 * len(want))
		stopped := make(chan struct{})
		readers.Add(1)
		go func() {
			defer readers.Done()
			got, err := readTo(r, stopAt, stopped)
			if !bytes.HasPrefix(want, got) {
				t.Errorf("seed %d: %d bytes read are no beginning of the body of %d bytes", seed, len(got), len(want))
			}
			if errors.Is(err, io.EOF) && (len(got) != len(want) || source.fails) {
				t.Errorf("seed %d: whole with %d of %d bytes", seed, len(got), len(want))
			}
			if errors.Is(err, errBodyGone) {
				t.Errorf("seed %d: an attempt that was promised the body got error %v", seed, err)
			}
		}()
		<-stopped
		asserter.AtMost(t, fmt.Sprintf("seed %d: bytes held", seed), u.held(), limit)
		if !b.promised || random.IntN(2) == 0 {
			r.stop()
		}
	}
	b.release(0)
	readers.Wait()
	asserter.Equal(t, fmt.Sprintf("seed %d: reads beside another", seed), source.concurrent.Load(), int32(0))
	asserter.AtMost(t, fmt.Sprintf("seed %d: bytes kept", seed), len(b.buffered), maxBufferedBytes+5*copyBufferBytes)
	asserter.AtMost(t, fmt.Sprintf("seed %d: memory of the bytes kept", seed), cap(b.buffered), b.held)
	asserter.True(t, fmt.Sprintf("seed %d: a promised body can be sent again", seed), !b.promised || b.replayable())
}

// checkClosed closes a body twice and checks that it holds nothing then, and that a read that comes
// later brings and takes nothing.
func checkClosed(t *testing.T, seed uint64, b *callerBody) {
	b.close()
	b.close()
	n, err := (&bodyReader{body: b}).Read(make([]byte, copyBufferBytes))
	asserter.True(t, fmt.Sprintf("seed %d: reading a closed body fails", seed), n == 0 && err != nil && !errors.Is(err, io.EOF))
	asserter.Equal(t, fmt.Sprintf("seed %d: bytes held by a closed body", seed), b.held, 0)
}

// readTo reads until an error, and closes stopped once it has read a number of bytes. It reads
// on after that, as net/http does with the body of a request that was refused.
func readTo(r *bodyReader, stopAt int, stopped chan struct{}) ([]byte, error) {
	var once sync.Once
	defer once.Do(func() { close(stopped) })
	var got []byte
	p := make([]byte, copyBufferBytes)
	for {
		n, err := r.Read(p)
		got = append(got, p[:n]...)
		if err != nil {
			return got, err
		}
		if len(got) >= stopAt {
			once.Do(func() { close(stopped) })
		}
	}
}

// TestBodySchedules checks random schedules of attempts that read one body.
func TestBodySchedules(t *testing.T) {
	for seed := range uint64(100) {
		checkSchedule(t, seed)
	}
}

func FuzzBodySchedule(f *testing.F) {
	f.Add(uint64(1))
	f.Fuzz(func(t *testing.T, seed uint64) { checkSchedule(t, seed) })
}

// deadlineRecorder records the last read deadline. It is guarded by deadlineMu of the body.
type deadlineRecorder struct {
	*httptest.ResponseRecorder
	last time.Time
}

// SetReadDeadline is called by http.ResponseController.
func (d *deadlineRecorder) SetReadDeadline(t time.Time) error {
	d.last = t
	return nil
}

// TestReleaseBesideRead guards against a read that begins while the body is released and extends
// the deadline of the release to the stall timeout, for which the request would then not end.
func TestReleaseBesideRead(t *testing.T) {
	extended := 0
	for range 5000 {
		w := &deadlineRecorder{ResponseRecorder: httptest.NewRecorder()}
		b := &callerBody{controller: http.NewResponseController(w), stallTimeout: time.Hour}
		began := make(chan struct{})
		var reader sync.WaitGroup
		reader.Go(func() {
			b.setDeadline(time.Now().Add(b.stallTimeout))
			close(began)
			for b.setDeadline(time.Now().Add(b.stallTimeout)) {
			}
		})
		<-began
		b.release(time.Second)
		reader.Wait()
		if time.Until(w.last) > time.Second {
			extended++
		}
	}
	asserter.Equal(t, "releases whose deadline was extended", extended, 0)
}
