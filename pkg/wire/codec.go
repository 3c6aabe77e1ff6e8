package wire

import "github.com/fxamacker/cbor/v2"

// Bounds of a decoded message. A larger one is refused before memory is taken
// for it.
const (
	maxArrayElements = 1 << 17
	maxMapPairs      = 1 << 10
	maxNestedLevels  = 16
	// maxImageElements bounds the lists of a snapshot, which a voter reads from its
	// own disk or from another voter.
	maxImageElements = 1 << 27
)

var (
	encoder = newEncoder()
	decoder = newDecoder(maxArrayElements)
	imager  = newDecoder(maxImageElements)
)

func newEncoder() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic("wire: options of the CBOR encoder: " + err.Error())
	}
	return mode
}

func newDecoder(elements int) cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey: cbor.DupMapKeyEnforcedAPF, IndefLength: cbor.IndefLengthForbidden,
		MaxArrayElements: elements, MaxMapPairs: maxMapPairs, MaxNestedLevels: maxNestedLevels,
	}.DecMode()
	if err != nil {
		panic("wire: options of the CBOR decoder: " + err.Error())
	}
	return mode
}

// Marshal encodes a message as CBOR. Equal messages have equal encodings.
func Marshal(message any) ([]byte, error) { return encoder.Marshal(message) }

// Encoded is a message that has been encoded before, so that it can be sent to many
// nodes.
type Encoded []byte

// MarshalCBOR returns the message as it was encoded.
func (e Encoded) MarshalCBOR() ([]byte, error) { return e, nil }

// Unmarshal decodes one message from CBOR. Unknown fields are ignored; trailing
// bytes, duplicate fields and messages beyond the bounds are errors.
func Unmarshal(data []byte, message any) error { return decoder.Unmarshal(data, message) }

// MarshalLarge encodes a snapshot.
func MarshalLarge(image any) ([]byte, error) { return encoder.Marshal(image) }

// UnmarshalLarge decodes a snapshot, whose lists may be longer than a message's.
func UnmarshalLarge(data []byte, image any) error { return imager.Unmarshal(data, image) }
