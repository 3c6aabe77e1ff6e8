package wire

import "github.com/fxamacker/cbor/v2"

// Limits on a decoded message. A message that exceeds them is rejected before memory is
// allocated for it.
const (
	maxArrayElements = 1 << 17
	maxMapPairs      = 1 << 10
	maxNestedLevels  = 16
	// maxImageElements limits the lists in a snapshot. It is larger, because a voter reads
	// snapshots only from its own disk or from another voter.
	maxImageElements = 1 << 27
)

var (
	encoder = newEncoder()
	decoder = newDecoder(maxArrayElements, cbor.UTF8RejectInvalid)
	imager  = newDecoder(maxImageElements, cbor.UTF8RejectInvalid)
	// statusDecoder accepts text that is not UTF-8, so that one odd status, as voters of
	// earlier releases pass it on, does not cost the others in the list. The receiver
	// rejects that status.
	statusDecoder = newDecoder(maxArrayElements, cbor.UTF8DecodeInvalid)
)

func newEncoder() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic("wire: options of the CBOR encoder: " + err.Error())
	}
	return mode
}

func newDecoder(elements int, text cbor.UTF8Mode) cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey: cbor.DupMapKeyEnforcedAPF, IndefLength: cbor.IndefLengthForbidden,
		MaxArrayElements: elements, MaxMapPairs: maxMapPairs, MaxNestedLevels: maxNestedLevels,
		UTF8: text,
	}.DecMode()
	if err != nil {
		panic("wire: options of the CBOR decoder: " + err.Error())
	}
	return mode
}

// Marshal encodes a message as CBOR. Equal messages have equal encodings.
func Marshal(message any) ([]byte, error) { return encoder.Marshal(message) }

// Encoded is a message that is already encoded, so that it is encoded only once when it
// is sent to many nodes.
type Encoded []byte

// MarshalCBOR returns the encoded message unchanged.
func (e Encoded) MarshalCBOR() ([]byte, error) { return e, nil }

// Unmarshal decodes a single message from CBOR. It ignores unknown fields. Trailing bytes,
// duplicate fields and messages that exceed the limits are errors. So is text that is not
// UTF-8, except in Statuses.
func Unmarshal(data []byte, message any) error {
	if _, ok := message.(*Statuses); ok {
		return statusDecoder.Unmarshal(data, message)
	}
	return decoder.Unmarshal(data, message)
}

// MarshalLarge encodes a snapshot.
func MarshalLarge(image any) ([]byte, error) { return encoder.Marshal(image) }

// UnmarshalLarge decodes a snapshot, whose lists may be longer than those of a message.
func UnmarshalLarge(data []byte, image any) error { return imager.Unmarshal(data, image) }
