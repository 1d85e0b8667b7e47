package limiter

import "time"

// Bucket is a token bucket: a number of requests that may be sent now, which grows with time up to
// a size. Rate and size are arguments, because they change while it is in use. It is an immutable
// value. The zero value is empty.
type Bucket struct {
	// left is the number of requests that may be sent at the time at.
	left float64
	at   time.Time
}

// NewBucket returns an empty bucket that fills from the time at.
func NewBucket(at time.Time) Bucket { return Bucket{at: at} }

// At returns the time until which the bucket is filled.
func (b Bucket) At() time.Time { return b.at }

// Left returns the number of requests that may be sent at the time At.
func (b Bucket) Left() float64 { return b.left }

// WithTime returns b filled until now at rate requests a second, up to size. The clock may step
// back: then nothing is added.
func (b Bucket) WithTime(now time.Time, rate, size float64) Bucket {
	if elapsed := now.Sub(b.at); elapsed > 0 {
		b.left += rate * elapsed.Seconds()
		b.at = now
	}
	return b.WithSize(size)
}

// WithSize returns b with at most size requests.
func (b Bucket) WithSize(size float64) Bucket {
	b.left = min(b.left, size)
	return b
}

// WithRequests returns b after n requests were sent, or were permitted to be. It never holds less
// than none.
func (b Bucket) WithRequests(n int) Bucket {
	b.left = max(0, b.left-float64(n))
	return b
}

// Whole returns the number of whole requests that may be sent at the time At.
func (b Bucket) Whole() int { return int(b.left) }

// Wait returns the time from At until one request may be sent, at rate requests a second. rate is
// positive.
func (b Bucket) Wait(rate float64) time.Duration {
	if b.left >= 1 {
		return 0
	}
	return time.Duration((1 - b.left) / rate * float64(time.Second))
}
