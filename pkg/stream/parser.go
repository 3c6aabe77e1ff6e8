package stream

import (
	"bytes"
	"errors"
)

// MaxEventBytes is the default bound of one event.
const MaxEventBytes = 1 << 20

// ErrEventTooLong reports an event that is larger than the parser's bound.
var ErrEventTooLong = errors.New("event is larger than the bound")

// Parser splits a byte stream into server-sent events as defined by the HTML
// standard (section 9.2.6). It returns the data of each complete event; an event
// that the stream cuts off is never returned. The zero value is ready for use.
type Parser struct {
	// Max bounds the bytes of one event; zero means MaxEventBytes.
	Max int

	buf []byte
	// start is the first unread byte of buf, scan the first that was not yet
	// searched for a line end.
	start, scan int
	data        []byte
	hasData     bool
	returned    bool
	// skipLF is true after a line that ended with CR, which an LF may follow.
	skipLF bool
	begun  bool
}

// Feed appends bytes of the stream. It invalidates the slice that Next returned.
func (p *Parser) Feed(b []byte) {
	if p.start > 0 {
		n := copy(p.buf, p.buf[p.start:])
		p.buf = p.buf[:n]
		p.scan -= p.start
		p.start = 0
	}
	p.buf = append(p.buf, b...)
}

// Next returns the data of the next event. It is false when more bytes are
// needed. The slice is valid until the next call of a method.
func (p *Parser) Next() ([]byte, bool, error) {
	if p.returned {
		p.data, p.returned = p.data[:0], false
	}
	limit := p.Max
	if limit == 0 {
		limit = MaxEventBytes
	}
	for {
		line, ok := p.line()
		if len(line)+len(p.data) > limit || !ok && len(p.buf)-p.start+len(p.data) > limit {
			return nil, false, ErrEventTooLong
		}
		switch {
		case !ok:
			return nil, false, nil
		case len(line) > 0:
			p.field(line)
		case p.hasData:
			p.hasData, p.returned = false, true
			return p.data, true, nil
		}
	}
}

// line returns the next line without its end.
func (p *Parser) line() ([]byte, bool) {
	if p.skipLF && p.start < len(p.buf) {
		if p.buf[p.start] == '\n' {
			p.start++
		}
		p.skipLF = false
	}
	p.scan = max(p.scan, p.start)
	i := bytes.IndexByte(p.buf[p.scan:], '\n')
	end := len(p.buf)
	if i >= 0 {
		end = p.scan + i
	}
	if j := bytes.IndexByte(p.buf[p.scan:end], '\r'); j >= 0 {
		end, i = p.scan+j, j
		p.skipLF = true
	}
	if i < 0 {
		p.scan = len(p.buf)
		return nil, false
	}
	line := p.buf[p.start:end]
	p.start = end + 1
	if !p.begun {
		p.begun = true
		line = bytes.TrimPrefix(line, []byte("\xef\xbb\xbf"))
	}
	return line, true
}

func (p *Parser) field(line []byte) {
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
