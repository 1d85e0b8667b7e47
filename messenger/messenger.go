// Package messenger implements the inner protocol: it encodes the messages between
// instances as CBOR frames and proves that both ends of a link belong to one fleet.
package messenger

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"monsoonswitch/descriptor"
)

// Version is the version of the inner protocol. Instances with other versions
// refuse each other's links.
const Version = 2

// MaxFrame bounds a frame in bytes.
const MaxFrame = 4 << 20

// Limits of the structure of a frame: elements of an array, pairs of a map and levels
// of nesting.
const (
	maxElements = 1 << 17
	maxPairs    = 1 << 12
	maxNesting  = 16
)

// Errors of frames.
var (
	// ErrTooLarge reports a frame larger than MaxFrame.
	ErrTooLarge = eris.New("frame too large")
	// ErrMalformed reports bytes that are not a valid frame.
	ErrMalformed = eris.New("malformed frame")
	// ErrUnknownType reports a message type of a later version; the message can be
	// skipped.
	ErrUnknownType = eris.New("unknown message type")
)

// frame is one message on a link, encoded as an array of type and body.
type frame struct {
	_    struct{} `cbor:",toarray"`
	Type descriptor.MessageType
	Body cbor.RawMessage
}

var (
	encMode = mustEncMode()
	decMode = mustDecMode()
)

func mustEncMode() cbor.EncMode {
	mode, err := cbor.EncOptions{Time: cbor.TimeRFC3339Nano}.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

func mustDecMode() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxArrayElements: maxElements,
		MaxMapPairs:      maxPairs,
		MaxNestedLevels:  maxNesting,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Encode returns the frame of a message. It returns ErrTooLarge if the frame is larger
// than MaxFrame.
func Encode(m descriptor.Message) ([]byte, error) {
	switch v := m.(type) {
	case descriptor.Hello:
		m = v.WithCapacity()
	case descriptor.Members:
		m = v.WithCapacities()
	case descriptor.MemberChanges:
		m = v.WithNearCapacities()
	case descriptor.SuspicionList:
		m = v.WithMarks()
	case descriptor.Outcomes:
		m = v.WithRows()
	}
	body, err := encMode.Marshal(m)
	if err != nil {
		return nil, eris.Wrap(err, "encode message")
	}
	data, err := encMode.Marshal(frame{Type: m.Type(), Body: body})
	if err != nil {
		return nil, eris.Wrap(err, "encode frame")
	}
	if len(data) > MaxFrame {
		return nil, eris.Wrapf(ErrTooLarge, "%d bytes", len(data))
	}
	return data, nil
}

// Decode returns the message of a frame. It returns ErrTooLarge, ErrMalformed or
// ErrUnknownType if the frame can't be decoded.
func Decode(data []byte) (descriptor.Message, error) {
	if len(data) > MaxFrame {
		return nil, eris.Wrapf(ErrTooLarge, "%d bytes", len(data))
	}
	var f frame
	if err := decMode.Unmarshal(data, &f); err != nil {
		return nil, eris.Wrapf(ErrMalformed, "frame: %v", err)
	}
	decode, ok := decoders[f.Type]
	if !ok {
		return nil, eris.Wrapf(ErrUnknownType, "type %d", f.Type)
	}
	return decode(f.Body)
}

// decoders holds the decoding function of each message type.
var decoders = map[descriptor.MessageType]func(cbor.RawMessage) (descriptor.Message, error){
	descriptor.TypeHello:         decodeWith(descriptor.Hello.WithSenderCapacity),
	descriptor.TypeHeartbeat:     decode[descriptor.Heartbeat],
	descriptor.TypeMembers:       decodeWith(descriptor.Members.WithRecordCapacities),
	descriptor.TypeDigest:        decode[descriptor.Digest],
	descriptor.TypeReferences:    decode[descriptor.References],
	descriptor.TypeDocuments:     decode[descriptor.Documents],
	descriptor.TypeEvidence:      decode[descriptor.Evidence],
	descriptor.TypeClaim:         decode[descriptor.Claim],
	descriptor.TypeVerdict:       decode[descriptor.Verdict],
	descriptor.TypeKeySettlement: decode[descriptor.KeySettlement],
	descriptor.TypeCrashReport:   decode[descriptor.CrashReport],
	descriptor.TypeTally:         decode[descriptor.TallyReport],
	descriptor.TypeTallyReceipt:  decode[descriptor.TallyReceipt],
	descriptor.TypeRefresh:       decode[descriptor.Refresh],
	descriptor.TypeSlotDemand:    decode[descriptor.SlotDemand],
	descriptor.TypeSlotLease:     decode[descriptor.SlotLease],
	descriptor.TypeDrain:         decode[descriptor.Drain],
	descriptor.TypeKeyHandover:   decode[descriptor.KeyHandover],
	descriptor.TypeFreshness:     decode[descriptor.Freshness],
	descriptor.TypeOutcomes:      decodeWith(descriptor.Outcomes.WithList),
	descriptor.TypeSuspicionList: decodeWith(descriptor.SuspicionList.WithList),
	descriptor.TypeClockStamp:    decode[descriptor.ClockStamp],
	descriptor.TypeQuotaDemand:   decode[descriptor.QuotaDemand],
	descriptor.TypeQuotaGrant:    decode[descriptor.QuotaGrant],
	descriptor.TypeMemberChanges: decodeWith(descriptor.MemberChanges.WithRecordCapacities),
	descriptor.TypeComparison:    decode[descriptor.Comparison],

	descriptor.TypeRegisterReport: decode[descriptor.RegisterReport],
}

// decodeWith returns a decoding function that also expands the compact form of a message.
func decodeWith[T descriptor.Message](expand func(T) T) func(cbor.RawMessage) (descriptor.Message, error) {
	return func(body cbor.RawMessage) (descriptor.Message, error) {
		m, err := decode[T](body)
		if v, ok := m.(T); ok {
			return expand(v), nil
		}
		return nil, err
	}
}

func decode[T descriptor.Message](body cbor.RawMessage) (descriptor.Message, error) {
	var m T
	if err := decMode.Unmarshal(body, &m); err != nil {
		return nil, eris.Wrapf(ErrMalformed, "message type %d: %v", m.Type(), err)
	}
	return m, nil
}
