package stream

import (
	"bytes"
	"errors"
)

// DefaultMaxEventBytes is the default size limit of an event.
const DefaultMaxEventBytes = 1 << 20

// ErrEventTooLong reports an event that exceeds the parser's size limit.
var ErrEventTooLong = errors.New("event exceeds the size limit")

// Parser splits a byte stream into server-sent events as defined by the HTML
// standard (section 9.2.6). It returns the data of each complete event; an event
// that is incomplete at the end of the stream is never returned. The zero value is
// ready for use.
type Parser struct {
	// MaxEventBytes is the size limit of an event; zero means DefaultMaxEventBytes.
	MaxEventBytes int

	buf []byte
	// readPos is the index of the first unread byte of buf, scanPos that of the first
	// byte not yet searched for a line end.
	readPos, scanPos int
	data             []byte
	hasData          bool
	returned         bool // data was returned to the caller; the next call resets it
	// skipLF is true after a line that ended in CR: an LF right after it belongs to the
	// same line end.
	skipLF     bool
	bomChecked bool
}

// Held returns the size of the bytes that are kept of an event that is not complete.
func (p *Parser) Held() int { return len(p.buf) - p.readPos + len(p.data) }

// Feed appends bytes of the stream to the parser's buffer. It invalidates the slice
// that Next returned.
func (p *Parser) Feed(b []byte) {
	if p.readPos > 0 {
		n := copy(p.buf, p.buf[p.readPos:])
		p.buf = p.buf[:n]
		p.scanPos -= p.readPos
		p.readPos = 0
	}
	p.buf = append(p.buf, b...)
}

// Next returns the data of the next event, or false if more bytes are needed. The
// slice is valid until the next method call.
func (p *Parser) Next() ([]byte, bool, error) {
	if p.returned {
		p.data, p.returned = p.data[:0], false
	}
	limit := p.MaxEventBytes
	if limit == 0 {
		limit = DefaultMaxEventBytes
	}
	for {
		line, ok := p.nextLine()
		if len(line)+len(p.data) > limit || !ok && len(p.buf)-p.readPos+len(p.data) > limit {
			return nil, false, ErrEventTooLong
		}
		switch {
		case !ok:
			return nil, false, nil
		case len(line) > 0:
			p.parseField(line)
		case p.hasData:
			p.hasData, p.returned = false, true
			return p.data, true, nil
		}
	}
}

// nextLine returns the next line without its line end, or false if it is incomplete.
func (p *Parser) nextLine() ([]byte, bool) {
	if p.skipLF && p.readPos < len(p.buf) {
		if p.buf[p.readPos] == '\n' {
			p.readPos++
		}
		p.skipLF = false
	}
	p.scanPos = max(p.scanPos, p.readPos)
	i := bytes.IndexByte(p.buf[p.scanPos:], '\n')
	end := len(p.buf)
	if i >= 0 {
		end = p.scanPos + i
	}
	if j := bytes.IndexByte(p.buf[p.scanPos:end], '\r'); j >= 0 {
		end, i = p.scanPos+j, j
		p.skipLF = true
	}
	if i < 0 {
		p.scanPos = len(p.buf)
		return nil, false
	}
	line := p.buf[p.readPos:end]
	p.readPos = end + 1
	if !p.bomChecked {
		p.bomChecked = true
		line = bytes.TrimPrefix(line, []byte("\xef\xbb\xbf"))
	}
	return line, true
}

// parseField appends the value of a data line to the event; other fields are ignored.
func (p *Parser) parseField(line []byte) {
	name, value, _ := bytes.Cut(line, []byte(":"))
	if string(name) != "data" {
		return
	}
	if p.hasData {
		p.data = append(p.data, '\n')
	}
	p.data = append(p.data, bytes.TrimPrefix(value, []byte(" "))...)
	p.hasData = true
}
