package messenger

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// ErrProof reports a peer that did not prove that it belongs to the fleet.
var ErrProof = eris.New("proof of membership failed")

// maxClockDifference is the largest accepted difference between the time of a proof and
// the local clock.
const maxClockDifference = 2 * time.Minute

// Side is the end of a link that gives a proof.
type Side string

// Sides of a link.
const (
	Dialer   Side = "dialer"
	Acceptor Side = "acceptor"
)

// Prove returns a proof that the sender holds key, signed for side, nonce and now.
func Prove(key string, side Side, nonce string, now time.Time) string {
	stamp := strconv.FormatInt(now.Unix(), 10)
	return stamp + "." + nonce + "." + sign(key, side, nonce, stamp)
}

// sign returns the HMAC of side, stamp and nonce in hex.
func sign(key string, side Side, nonce, stamp string) string {
	mac := hmac.New(sha256.New, []byte(key))
	mac.Write([]byte(string(side) + "." + stamp + "." + nonce))
	return hex.EncodeToString(mac.Sum(nil))
}

// Verify checks a proof at now and returns its nonce. It returns ErrProof if the proof
// is malformed, was made with another key or for another side, or its time differs too
// much from now.
func Verify(key string, side Side, proof string, now time.Time) (string, error) {
	parts := strings.Split(proof, ".")
	if len(parts) != 3 || parts[1] == "" {
		return "", eris.Wrap(ErrProof, "malformed")
	}
	seconds, err := strconv.ParseInt(parts[0], 10, 64)
	if err != nil {
		return "", eris.Wrap(ErrProof, "malformed time")
	}
	if age := now.Sub(time.Unix(seconds, 0)).Abs(); age > maxClockDifference {
		return "", eris.Wrapf(ErrProof, "clocks differ by %v", age)
	}
	if !hmac.Equal([]byte(parts[2]), []byte(sign(key, side, parts[1], parts[0]))) {
		return "", eris.Wrap(ErrProof, "wrong key")
	}
	return parts[1], nil
}
