package storer

import (
	"encoding/json"
	"net"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"

	"monsoonswitch/declarer"
	"monsoonswitch/descriptor"
)

// Prefixes of keys in the store.
const (
	// ConfigPrefix is the prefix of the keys that instances follow.
	ConfigPrefix  = "config/"
	servicePrefix = ConfigPrefix + "service/"
	ejectPrefix   = ConfigPrefix + "eject/"
	tallyPrefix   = "tally/"
	claimPrefix   = "claim/"
	// registerKey is the key of the register of the fleet.
	registerKey = "fleet/register"
)

// ServiceKey returns the key of a service's declaration.
func ServiceKey(service string) string { return servicePrefix + service }

// EjectKey returns the key of a service's ejections.
func EjectKey(service string) string { return ejectPrefix + service }

// TallyKey returns the key of a service's tallies.
func TallyKey(service string) string { return tallyPrefix + service }

// ParseDocument decodes the document of an item under ConfigPrefix. It returns an error
// if the key is unknown or the document is not valid.
func ParseDocument(item Item) (descriptor.Document, error) {
	d := descriptor.Document{Revision: item.Stamp(), At: item.At}
	if name, ok := strings.CutPrefix(item.Key, servicePrefix); ok {
		var s declarer.Service
		if err := json.Unmarshal(item.Value, &s); err != nil {
			return d, eris.Wrapf(ErrMalformed, "%s: %v", item.Key, err)
		}
		if err := s.Check(item.Key); err != nil {
			return d, err
		}
		if s.Name != name {
			return d, eris.Wrapf(ErrMalformed, "%s declares another service, %q", item.Key, s.Name)
		}
		d.Kind = descriptor.KindService
		d.Name = name
		d.Service = &s
		return d, nil
	}
	if name, ok := strings.CutPrefix(item.Key, ejectPrefix); ok {
		d.Kind = descriptor.KindEjections
		d.Name = name
		if err := json.Unmarshal(item.Value, &d.Ejections); err != nil {
			return d, eris.Wrapf(ErrMalformed, "%s: %v", item.Key, err)
		}
		return d, nil
	}
	return d, eris.Wrapf(ErrMalformed, "unknown key %q", item.Key)
}

// Declarations returns the feed of the documents under ConfigPrefix.
func Declarations() Feed {
	return Feed{
		Name:   "store",
		Prefix: ConfigPrefix,
		Parts: []Part{{
			Prefix: ConfigPrefix,
			Kind:   descriptor.KindService,
			DecodeDocument: func(i Item) (descriptor.Document, bool, error) {
				if i.Deleted {
					return descriptor.Document{}, false, nil
				}
				d, err := ParseDocument(i)
				return d, err == nil, err
			},
		}},
	}
}

// RegisterPart returns the part of a feed that holds the register of the fleet.
func RegisterPart() Part {
	return Part{Prefix: registerKey, Kind: descriptor.KindRegister, DecodeDocument: decodeRegister}
}

// decodeRegister returns the document of a register. A value that is none also gives a document, whose revision
// is that of the value, so that it can be replaced.
func decodeRegister(item Item) (descriptor.Document, bool, error) {
	d := descriptor.Document{Kind: descriptor.KindRegister, Name: item.Key}
	if item.Key != registerKey {
		return d, false, nil
	}
	if item.Deleted {
		return d, true, nil
	}
	d.Revision = item.Stamp()
	var register descriptor.Register
	if err := json.Unmarshal(item.Value, &register); err != nil {
		return d, true, eris.Wrapf(ErrMalformed, "%s: %v", item.Key, err)
	}
	if !register.Valid() {
		return d, true, eris.Wrapf(ErrMalformed, "%s: not a register", item.Key)
	}
	d.Register = &register
	return d, true, nil
}

// backendsDocument returns the document of a service's backend servers in an era of the list.
func backendsDocument(l ServiceListing, era uint64) descriptor.Document {
	return descriptor.Document{Kind: descriptor.KindBackends, Name: l.Name, Revision: descriptor.StampRevision(era, l.Version), Backends: l.Decode()}
}

// Decode returns the backend servers of a listing. It omits entries that can't be decoded,
// that have no ID or slots, or whose address is not host:port. Each entry is decoded by
// itself, so that the others hold.
func (l ServiceListing) Decode() []descriptor.Backend {
	var result []descriptor.Backend
	for _, entry := range l.Backends {
		var b descriptor.Backend
		if err := json.Unmarshal(entry, &b); err != nil {
			continue
		}
		if b.ID != "" && isAddress(b.Address) && b.Slots > 0 {
			result = append(result, b)
		}
	}
	return result
}

// isAddress reports whether an address is host:port with a port that can be dialed.
func isAddress(address string) bool {
	host, port, err := net.SplitHostPort(address)
	if err != nil || host == "" {
		return false
	}
	n, err := strconv.ParseUint(port, 10, 16)
	return err == nil && n > 0
}
