package forwarder

import (
	"sync"
	"sync/atomic"

	"monsoonswitch/limiter"
	"monsoonswitch/recorder"
)

const (
	// defaultUploadBytes is the default bound on the memory of all uploads together, in bytes. The
	// collector may let the heap grow to twice of what is in use, so an instance of 184 MB has to
	// have twice the bound beside what it needs for everything else.
	defaultUploadBytes = 32 << 20
	// uploadsPerReserved is the bound divided by the part of it that is kept for passing bodies on.
	// The rest may also hold what can be sent again.
	uploadsPerReserved = 2
	// passedBytes is the memory that passing on a body takes, in bytes: a copy buffer, and as much
	// for the buffers of the two connections.
	passedBytes = 2 * copyBufferBytes
	// StreamBytes is what the listener for callers may receive beside that of the body of an
	// HTTP/2 request before it is read, in bytes. It is sent in one round trip: at 16 ms, 4 MB/s.
	StreamBytes = 64 << 10
)

// SharedMemory is memory that the bodies of requests share with other uses.
type SharedMemory interface {
	// TakeUpload takes memory, in bytes. It reports false if it is not left.
	TakeUpload(n int) bool
	// PutUpload returns memory.
	PutUpload(n int)
}

// uploads is the account of the memory that the bodies of all requests hold, in bytes. It is safe
// for use by many goroutines. Only memory for sending a body again is optional: a body that is not
// buffered can be passed on once.
type uploads struct {
	// mu guards account.
	mu      sync.Mutex
	account limiter.Account[int]
	// shared is what the memory is taken from too, or nil.
	shared SharedMemory
	// unbuffered counts the bodies whose buffer was given up because the account was full.
	unbuffered atomic.Int64
}

// newUploads returns an account of limit bytes, 0 meaning defaultUploadBytes, that takes them from
// shared too unless that is nil. It adds its metrics to r.
func newUploads(limit int, shared SharedMemory, r *recorder.Recorder) *uploads {
	if limit == 0 {
		limit = defaultUploadBytes
	}
	u := &uploads{shared: shared, account: limiter.NewAccount(limit, limit/uploadsPerReserved)}
	r.AddGauge("uploads.limitbytes", func() int64 { return int64(limit) })
	r.AddGauge("uploads.heldbytes", func() int64 { return int64(u.held()) })
	r.AddGauge("uploads.unbuffered", u.unbuffered.Load)
	return u
}

// held returns the number of bytes that are held.
func (u *uploads) held() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.account.Held()
}

// takeNeeded takes n bytes for passing a body on. It reports false if they are not left.
func (u *uploads) takeNeeded(n int) bool { return u.take(n, limiter.Account[int].WithNeeded) }

// takeOptional takes n bytes for sending a body again. It reports false if they are not left.
func (u *uploads) takeOptional(n int) bool { return u.take(n, limiter.Account[int].WithOptional) }

// take takes n bytes from the account and from the shared memory.
func (u *uploads) take(n int, with func(limiter.Account[int], int) (limiter.Account[int], bool)) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	account, ok := with(u.account, n)
	if !ok || u.shared != nil && !u.shared.TakeUpload(n) {
		return false
	}
	u.account = account
	return true
}

// put returns n bytes that were taken.
func (u *uploads) put(n int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.account = u.account.WithReturned(n)
	if u.shared != nil {
		u.shared.PutUpload(n)
	}
}
