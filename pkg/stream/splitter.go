package stream

import "bytes"

// maxKeptBuffer is the capacity above which a Splitter drops its buffer after a long event.
const maxKeptBuffer = 16 << 10

// Splitter cuts a stream of server-sent events after complete events, so that they can be
// forwarded byte for byte. The zero value is ready for use.
//
// It also states what counts as progress of a stream, so that an upstream that sends a byte
// now and then does not look alive: only complete events that carry data or an ID do.
// Comments, and bytes that do not complete an event, are none.
type Splitter struct {
	// MaxEventBytes is the size limit of an event, and of the comments before one; zero
	// means DefaultMaxEventBytes.
	MaxEventBytes int
	// MaxCommentBytes is a lower limit of the comments that no event follows yet; zero means
	// none.
	MaxCommentBytes int

	buf []byte
	// returned is the length of the start of buf that Feed returned last.
	returned int
	// block is where the first incomplete event or comment starts, at or after returned.
	block int
	// scanned is at or after block; no event ends between them.
	scanned int
}

// Feed appends bytes of the stream and returns the events that they complete, unchanged
// and with the comments before them. It returns nothing until an event is complete, and
// ErrEventTooLong once the bytes held back exceed the limit. The returned slice is valid
// until the next call.
func (s *Splitter) Feed(b []byte) ([]byte, error) {
	rest := s.buf[s.returned:]
	if cap(s.buf) > maxKeptBuffer && len(rest)+len(b) <= maxKeptBuffer {
		s.buf = nil
	}
	s.buf = append(s.buf[:0], rest...)
	s.block, s.scanned, s.returned = s.block-s.returned, s.scanned-s.returned, 0
	s.buf = append(s.buf, b...)
	for {
		length := eventEnd(s.buf[s.scanned:])
		if length == 0 {
			break
		}
		s.scanned += length
		if isEvent(s.buf[s.block:s.scanned]) {
			s.returned = s.scanned
		}
		s.block = s.scanned
	}
	// A blank line may be split between two calls.
	s.scanned = max(s.scanned, len(s.buf)-len("\r\n\r"))
	limit := s.MaxEventBytes
	if limit == 0 {
		limit = DefaultMaxEventBytes
	}
	if len(s.buf)-s.returned > limit || s.MaxCommentBytes > 0 && s.block-s.returned > s.MaxCommentBytes {
		return s.buf[:s.returned], ErrEventTooLong
	}
	return s.buf[:s.returned], nil
}

// Held returns the number of bytes that are held back because they complete no event.
func (s *Splitter) Held() int { return len(s.buf) - s.returned }

// Rest returns the bytes that are held back at the end of the stream, and false if they
// are the start of an event or comment, so that the stream was cut.
func (s *Splitter) Rest() ([]byte, bool) {
	return s.buf[s.returned:], s.block == len(s.buf)
}

// eventEnd returns the length of b up to and including the first blank line, or zero if
// there is none.
func eventEnd(b []byte) int {
	end := 0
	for _, separator := range []string{"\n\n", "\r\n\r\n"} {
		if i := bytes.Index(b, []byte(separator)); i >= 0 && (end == 0 || i+len(separator) < end) {
			end = i + len(separator)
		}
	}
	return end
}

// isEvent reports whether a block of lines has a field with data or an ID.
func isEvent(block []byte) bool {
	for line := range bytes.Lines(block) {
		if bytes.HasPrefix(line, []byte("data")) || bytes.HasPrefix(line, []byte("id")) {
			return true
		}
	}
	return false
}
