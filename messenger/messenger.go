// Package messenger is the inner protocol: it encodes the messages between
// instances as CBOR frames and proves that both ends of a link belong together.
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

// Limits of the structure of a frame.
const (
	maxElements = 1 << 17
	maxPairs    = 1 << 12
	maxNesting  = 16
)

// Errors of frames.
var (
	// ErrTooLarge reports a frame over MaxFrame.
	ErrTooLarge = eris.New("frame too large")
	// ErrGarbage reports bytes that are no frame.
	ErrGarbage = eris.New("not a frame")
	// ErrUnknownType reports a message of a later version; it can be skipped.
	ErrUnknownType = eris.New("unknown message type")
)

// frame is one message on a link.
type frame struct {
	_    struct{} `cbor:",toarray"`
	Type descriptor.MessageType
	Body cbor.RawMessage
}

var (
	encoding = mustEncoding()
	decoding = mustDecoding()
)

func mustEncoding() cbor.EncMode {
	mode, err := cbor.EncOptions{Time: cbor.TimeRFC3339Nano}.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

func mustDecoding() cbor.DecMode {
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

// Encode returns the frame of a message.
func Encode(m descriptor.Message) ([]byte, error) {
	body, err := encoding.Marshal(m)
	if err != nil {
		return nil, eris.Wrap(err, "encode message")
	}
	data, err := encoding.Marshal(frame{Type: m.Type(), Body: body})
	if err != nil {
		return nil, eris.Wrap(err, "encode frame")
	}
	if len(data) > MaxFrame {
		return nil, eris.Wrapf(ErrTooLarge, "%d bytes", len(data))
	}
	return data, nil
}

// Decode returns the message of a frame.
func Decode(data []byte) (descriptor.Message, error) {
	if len(data) > MaxFrame {
		return nil, eris.Wrapf(ErrTooLarge, "%d bytes", len(data))
	}
	var f frame
	if err := decoding.Unmarshal(data, &f); err != nil {
		return nil, eris.Wrapf(ErrGarbage, "frame: %v", err)
	}
	decode, ok := decoders[f.Type]
	if !ok {
		return nil, eris.Wrapf(ErrUnknownType, "type %d", f.Type)
	}
	return decode(f.Body)
}

// decoders holds the decoder of each message type.
var decoders = map[descriptor.MessageType]func(cbor.RawMessage) (descriptor.Message, error){
	descriptor.TypeHello:      decode[descriptor.Hello],
	descriptor.TypeHeartbeat:  decode[descriptor.Heartbeat],
	descriptor.TypeMembers:    decode[descriptor.Members],
	descriptor.TypeDigest:     decode[descriptor.Digest],
	descriptor.TypeReferences: decode[descriptor.References],
	descriptor.TypeDocuments:  decode[descriptor.Documents],
	descriptor.TypeEvidence:   decode[descriptor.Evidence],
	descriptor.TypeClaim:      decode[descriptor.Claim],
	descriptor.TypeVerdict:    decode[descriptor.Verdict],
	descriptor.TypeSettle:     decode[descriptor.Settle],
	descriptor.TypeCrash:      decode[descriptor.Crash],
	descriptor.TypeTally:      decode[descriptor.TallyReport],
	descriptor.TypeReceipt:    decode[descriptor.Receipt],
	descriptor.TypeRefresh:    decode[descriptor.Refresh],
	descriptor.TypeDemand:     decode[descriptor.Demand],
	descriptor.TypeLoan:       decode[descriptor.Loan],
	descriptor.TypeDrain:      decode[descriptor.Drain],
	descriptor.TypeInherit:    decode[descriptor.Inherit],
	descriptor.TypePulse:      decode[descriptor.Pulse],
	descriptor.TypeOutcomes:   decode[descriptor.Outcomes],
	descriptor.TypeBulletin:   decode[descriptor.Bulletin],
}

func decode[T descriptor.Message](body cbor.RawMessage) (descriptor.Message, error) {
	var m T
	if err := decoding.Unmarshal(body, &m); err != nil {
		return nil, eris.Wrapf(ErrGarbage, "message type %d: %v", m.Type(), err)
	}
	return m, nil
}
