// Package keeper decides whether non-idempotent work with an idempotency key may
// run. A key with a ticket as its prefix is granted only by the instance that the
// ticket names as issuer, or by that instance's successor; a key without one is
// claimed in the platform's store. Work that ran or may have run is not granted again.
package keeper

import (
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"monsoonswitch/descriptor"
)

// ErrKey is the error for a malformed idempotency key.
var ErrKey = eris.New("invalid idempotency key")

const (
	// MaxKey is the maximum length of a key in bytes.
	MaxKey = 200
	// ticketMark is the first part of every key that has a ticket.
	ticketMark = "m1"
	// ticketParts is the number of dot-separated parts of a key that has a ticket.
	ticketParts = 5
)

// Ticket is the common prefix of the keys that name one instance as issuer in one
// epoch.
type Ticket struct {
	// Instance and Incarnation identify the issuer.
	Instance    string
	Incarnation int64
	// Epoch is the epoch of the time of issue; see EpochAt.
	Epoch uint64
}

const (
	// epochTime is the length of an epoch.
	epochTime = time.Minute
	// epochSlack is the maximum number of epochs by which the clocks of two
	// instances may differ.
	epochSlack = 3
)

// EpochAt returns the epoch at now, counted from the Unix epoch.
func EpochAt(now time.Time) uint64 { return uint64(now.Unix()) / uint64(epochTime/time.Second) }

// TicketOf returns the ticket of an instance at now. Any instance can give it to
// callers; only the named instance decides about its keys.
func TicketOf(m descriptor.Member, now time.Time) Ticket {
	return Ticket{Instance: m.ID, Incarnation: m.Incarnation, Epoch: EpochAt(now)}
}

// String returns the ticket as it stands in keys, without the dot and the unique
// part that the caller appends.
func (t Ticket) String() string {
	return strings.Join([]string{
		ticketMark,
		t.Instance,
		strconv.FormatInt(t.Incarnation, 36),
		strconv.FormatUint(t.Epoch, 36),
	}, ".")
}

// ParseKey returns the ticket of a key and whether it has one. It returns ErrKey if
// the key is longer than MaxKey, has a space or a character that is not printable
// ASCII, or has a malformed ticket.
func ParseKey(key string) (Ticket, bool, error) {
	if len(key) > MaxKey {
		return Ticket{}, false, eris.Wrapf(ErrKey, "key longer than %d bytes", MaxKey)
	}
	for _, c := range key {
		if c <= ' ' || c > '~' {
			return Ticket{}, false, eris.Wrap(ErrKey, "key has a space or a character that is not printable ASCII")
		}
	}
	if !strings.HasPrefix(key, ticketMark+".") {
		return Ticket{}, false, nil
	}
	parts := strings.SplitN(key, ".", ticketParts)
	if len(parts) != ticketParts || parts[1] == "" || parts[4] == "" {
		return Ticket{}, false, eris.Wrap(ErrKey, "incomplete ticket")
	}
	incarnation, err := strconv.ParseInt(parts[2], 36, 64)
	if err != nil {
		return Ticket{}, false, eris.Wrap(ErrKey, "invalid incarnation in ticket")
	}
	epoch, err := strconv.ParseUint(parts[3], 36, 64)
	if err != nil {
		return Ticket{}, false, eris.Wrap(ErrKey, "invalid epoch in ticket")
	}
	return Ticket{Instance: parts[1], Incarnation: incarnation, Epoch: epoch}, true, nil
}

// issuer returns the issuer named by the ticket.
func (t Ticket) issuer() issuer { return issuer{t.Instance, t.Incarnation} }

// issuer is one incarnation of an instance.
type issuer struct {
	instance    string
	incarnation int64
}
