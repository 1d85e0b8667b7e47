// Package keeper decides whether non-idempotent work with an idempotency key may
// run. The instance that issued the prefix of a key is the only one that grants
// it, and it grants it once.
package keeper

import (
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"monsoonswitch/descriptor"
)

// ErrKey reports an idempotency key that can't be used.
var ErrKey = eris.New("invalid idempotency key")

const (
	// MaxKey bounds the length of a key in bytes.
	MaxKey = 200
	// ticketMark begins every key with an issuer.
	ticketMark = "m1"
	// ticketParts is the number of parts of a key with an issuer.
	ticketParts = 5
)

// Ticket is the prefix of the keys that one instance issued in one epoch.
type Ticket struct {
	// Instance and Incarnation identify the issuer.
	Instance    string
	Incarnation int64
	// Epoch is the time of issue as EpochAt gives it.
	Epoch uint64
}

const (
	// epochTime is the length of an epoch.
	epochTime = time.Minute
	// epochSlack is the number of epochs by which clocks may differ.
	epochSlack = 3
)

// EpochAt returns the epoch at now.
func EpochAt(now time.Time) uint64 { return uint64(now.Unix()) / uint64(epochTime/time.Second) }

// TicketOf returns the ticket of an instance at now. Any instance can hand it
// out; only the instance that it names decides about its keys.
func TicketOf(m descriptor.Member, now time.Time) Ticket {
	return Ticket{Instance: m.ID, Incarnation: m.Incarnation, Epoch: EpochAt(now)}
}

// String returns the prefix without the part that the caller adds.
func (t Ticket) String() string {
	return strings.Join([]string{
		ticketMark,
		t.Instance,
		strconv.FormatInt(t.Incarnation, 36),
		strconv.FormatUint(t.Epoch, 36),
	}, ".")
}

// ParseKey returns the ticket of a key and whether it has one.
func ParseKey(key string) (Ticket, bool, error) {
	if len(key) > MaxKey {
		return Ticket{}, false, eris.Wrapf(ErrKey, "longer than %d bytes", MaxKey)
	}
	for _, c := range key {
		if c <= ' ' || c > '~' {
			return Ticket{}, false, eris.Wrap(ErrKey, "not printable ASCII")
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
		return Ticket{}, false, eris.Wrap(ErrKey, "incarnation of ticket")
	}
	epoch, err := strconv.ParseUint(parts[3], 36, 64)
	if err != nil {
		return Ticket{}, false, eris.Wrap(ErrKey, "epoch of ticket")
	}
	return Ticket{Instance: parts[1], Incarnation: incarnation, Epoch: epoch}, true, nil
}

// issuer is the part of the ticket that names the issuer.
func (t Ticket) issuer() issuer { return issuer{t.Instance, t.Incarnation} }

// issuer is one incarnation of an instance.
type issuer struct {
	instance    string
	incarnation int64
}
