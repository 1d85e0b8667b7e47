package storer

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net"
	"time"

	"github.com/rotisserie/eris"
)

// Parameters of reading back a write with an unknown outcome.
const (
	// verifyTries is the number of times that the key is read.
	verifyTries = 5
	// firstVerifyDelay is the delay before the first read. It doubles with each further
	// one.
	firstVerifyDelay = 200 * time.Millisecond
)

// isDialError reports whether a call failed because no connection was established.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// PutVerified writes like Put. If the outcome of the write is unknown, it reads the key
// back until the outcome is known, and returns ErrUnknown if this fails. The value must
// differ from that of every other writer, for example by the identifier of the change.
func (c *Client) PutVerified(ctx context.Context, key string, value []byte, expect uint64, lease time.Duration) (Item, error) {
	item, err := c.Put(ctx, key, value, expect, lease)
	if !errors.Is(err, ErrUnknown) {
		return item, err
	}
	for try := range verifyTries {
		if sleep(ctx, firstVerifyDelay<<try) != nil {
			return Item{}, err
		}
		found, getErr := c.Get(ctx, key)
		switch {
		case errors.Is(getErr, ErrNotFound) && expect == 0:
			return c.Put(ctx, key, value, expect, lease)
		case getErr != nil:
			continue
		case sameJSON(found.Value, value):
			return found, nil
		case found.Stamp() == expect:
			return c.Put(ctx, key, value, expect, lease)
		default:
			return found, eris.Wrap(ErrConflict, key)
		}
	}
	return Item{}, err
}

// sleep waits for d. It returns the error of ctx if ctx ends first.
func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// sameJSON reports whether two JSON values are equal except for white space.
func sameJSON(a, b []byte) bool {
	var x, y bytes.Buffer
	if json.Compact(&x, a) != nil || json.Compact(&y, b) != nil {
		return false
	}
	return bytes.Equal(x.Bytes(), y.Bytes())
}
