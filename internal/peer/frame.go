package peer

import (
	"errors"
	"fmt"

	"github.com/jaystage/jaystage/pkg/wire"
)

// MaxFrameBytes is the maximum size of a frame in either direction.
const MaxFrameBytes = 4 << 20

// maxKindBytes is the maximum length of a message kind.
const maxKindBytes = 32

// errInvalidFrame means that the other side sent a frame that this protocol version does
// not allow. The link is then closed.
var errInvalidFrame = errors.New("frame is not valid")

// decodeFrame decodes and checks a frame of an established link.
func decodeFrame(data []byte) (wire.Envelope, error) {
	var e wire.Envelope
	if len(data) > MaxFrameBytes {
		return e, fmt.Errorf("%w: %d bytes are more than %d", errInvalidFrame, len(data), MaxFrameBytes)
	}
	if err := wire.Unmarshal(data, &e); err != nil {
		return wire.Envelope{}, fmt.Errorf("%w: %w", errInvalidFrame, err)
	}
	switch {
	case e.Kind == "" || len(e.Kind) > maxKindBytes:
		return wire.Envelope{}, fmt.Errorf("%w: kind of %d bytes", errInvalidFrame, len(e.Kind))
	case e.Reply && e.ID == 0:
		return wire.Envelope{}, fmt.Errorf("%w: reply without an id", errInvalidFrame)
	case e.Fault != "" && !e.Reply:
		return wire.Envelope{}, fmt.Errorf("%w: fault outside a reply", errInvalidFrame)
	}
	return e, nil
}

// encodeFrame encodes an envelope with message, unless it is nil, as its body.
func encodeFrame(e wire.Envelope, message any) ([]byte, error) {
	if message != nil {
		body, err := wire.Marshal(message)
		if err != nil {
			return nil, fmt.Errorf("encode %s: %w", e.Kind, err)
		}
		e.Body = body
	}
	frame, err := wire.Marshal(e)
	if err != nil {
		return nil, fmt.Errorf("encode %s: %w", e.Kind, err)
	}
	if len(frame) > MaxFrameBytes {
		return nil, fmt.Errorf("message %s has %d bytes, more than %d", e.Kind, len(frame), MaxFrameBytes)
	}
	return frame, nil
}
