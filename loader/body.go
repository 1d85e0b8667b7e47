package loader

import (
	"crypto/sha256"
	"encoding/hex"
	"io"
	"math/rand/v2"
	"time"
)

// slowBody is a request body of a given length that is sent at a given rate. No two of its
// parts are equal, so that a hole in it changes its sum.
type slowBody struct {
	// remaining and sent are in bytes, rate in bytes a second; rate 0 means at once.
	remaining int
	rate      int
	start     time.Time
	sent      int
	content   *rand.ChaCha8
}

// newSlowBody returns the body of the request with a token. The same token gives the same
// bytes.
func newSlowBody(token string, size, rate int) *slowBody {
	return &slowBody{remaining: size, rate: rate, start: time.Now(), content: rand.NewChaCha8(sha256.Sum256([]byte(token)))}
}

// sumOf returns the SHA-256 sum of the body of the request with a token.
func sumOf(token string, size int) string {
	sum := sha256.New()
	// Neither the body nor the sum returns an error.
	_, _ = io.Copy(sum, newSlowBody(token, size, 0))
	return hex.EncodeToString(sum.Sum(nil))
}

// maxBodyChunk is the largest number of bytes of a slow body sent at a time.
const maxBodyChunk = 8 << 10

// Read implements io.Reader.
func (b *slowBody) Read(p []byte) (int, error) {
	if b.remaining == 0 {
		return 0, io.EOF
	}
	n := min(len(p), b.remaining)
	if b.rate > 0 {
		n = min(n, maxBodyChunk)
		offset := time.Duration(float64(b.sent+n) / float64(b.rate) * float64(time.Second))
		time.Sleep(time.Until(b.start.Add(offset)))
	}
	_, _ = b.content.Read(p[:n])
	b.remaining -= n
	b.sent += n
	return n, nil
}
