package storer

import (
	"encoding/json"
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
	d := descriptor.Document{Revision: item.Revision, At: item.At}
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
		Kind:   descriptor.KindService,
		DecodeDocument: func(i Item) (descriptor.Document, bool, error) {
			if i.Deleted {
				return descriptor.Document{}, false, nil
			}
			d, err := ParseDocument(i)
			return d, err == nil, err
		},
	}
}

// backendsDocument returns the document of a service's backend servers. It omits
// entries without an ID, an address or slots.
func backendsDocument(l ServiceListing) descriptor.Document {
	d := descriptor.Document{Kind: descriptor.KindBackends, Name: l.Name, Revision: l.Version}
	for _, b := range l.Backends {
		if b.ID != "" && b.Address != "" && b.Slots > 0 {
			d.Backends = append(d.Backends, b)
		}
	}
	return d
}
