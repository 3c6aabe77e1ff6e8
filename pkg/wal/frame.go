package wal

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"slices"

	"github.com/fxamacker/cbor/v2"
	"github.com/jaystage/jaystage/pkg/wire"
)

// Format is the version of the files that this package writes. It reads this
// version and refuses newer ones.
const Format = 1

const (
	magic      = "jaystage"
	headBytes  = len(magic) + 4 // magic number and version of a file
	frameBytes = 12             // head of a frame
	sector     = 512            // unit in which disks lose writes, in bytes
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// position names the newest snapshot when the record was written.
type position struct {
	Index uint64 `cbor:"1,keyasint"`
	Term  uint64 `cbor:"2,keyasint"`
	// Reset is set where the log disagreed with a new snapshot: no earlier entry is
	// valid. Recovery cannot find out by itself once older segments are deleted.
	Reset bool `cbor:"3,keyasint,omitempty"`
}

// record is the payload of one frame of a segment.
type record struct {
	Mark    *position        `cbor:"1,keyasint,omitempty"`
	State   *wire.RaftState  `cbor:"2,keyasint,omitempty"`
	Entries []wire.RaftEntry `cbor:"3,keyasint,omitempty"`
}

func fileHead() []byte {
	return binary.LittleEndian.AppendUint32([]byte(magic), Format)
}

// checkHead checks the first bytes of a file. It returns false for a file that a
// crash left without a whole head.
func checkHead(name string, data []byte) (bool, error) {
	if len(data) < headBytes || !slices.ContainsFunc(data[:headBytes], func(b byte) bool { return b != 0 }) {
		return false, nil
	}
	if string(data[:len(magic)]) != magic {
		return false, &CorruptError{File: name, Offset: 0, Reason: "not a file of this log"}
	}
	return true, checkFormat(name, uint64(binary.LittleEndian.Uint32(data[len(magic):])))
}

func checkFormat(name string, version uint64) error {
	if version > Format {
		return fmt.Errorf("%w: %s has format %d, this program reads up to %d; start a newer program",
			ErrNewer, name, version, Format)
	}
	if version == 0 {
		return &CorruptError{File: name, Offset: int64(len(magic)), Reason: "format version 0"}
	}
	return nil
}

// appendFrame appends the frame with the CBOR encoding of v.
func appendFrame(b []byte, v any) ([]byte, error) {
	payload, err := cbor.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("encode record: %w", err)
	}
	if uint64(len(payload)) > 1<<32-1 {
		return nil, fmt.Errorf("record of %d bytes exceeds the format's 4 GiB", len(payload))
	}
	start := len(b)
	b = binary.LittleEndian.AppendUint32(b, uint32(len(payload)))
	b = binary.LittleEndian.AppendUint32(b, crc32.Checksum(payload, castagnoli))
	b = binary.LittleEndian.AppendUint32(b, crc32.Checksum(b[start:], castagnoli))
	return append(b, payload...), nil
}

// nextFrame returns the payload of the frame at an offset and the offset after it.
// The state tells what is wrong with a frame that is not whole.
func nextFrame(data []byte, offset int) (payload []byte, end int, state frameState) {
	rest := data[offset:]
	if len(rest) < frameBytes {
		return nil, len(data), frameTorn
	}
	if crc32.Checksum(rest[:8], castagnoli) != binary.LittleEndian.Uint32(rest[8:]) {
		return nil, 0, frameBadHead
	}
	size := uint64(binary.LittleEndian.Uint32(rest))
	if size > uint64(len(rest)-frameBytes) {
		return nil, len(data), frameTorn
	}
	end = offset + frameBytes + int(size)
	payload = data[offset+frameBytes : end]
	if crc32.Checksum(payload, castagnoli) != binary.LittleEndian.Uint32(rest[4:]) {
		return nil, end, frameBadPayload
	}
	return payload, end, frameWhole
}

type frameState uint8

const (
	frameWhole      frameState = iota
	frameTorn                  // it ends after the end of the file
	frameBadHead               // its length is unknown
	frameBadPayload            // it has its full length
)

// tornAt reports whether a frame that is not whole can be the result of a crash
// during its write. Only the last frame of a file can, and a frame of full length
// only if a whole sector of it was never written and reads as zeros.
func tornAt(data []byte, offset, end int, state frameState) bool {
	switch state {
	case frameTorn:
		return true
	case frameBadHead:
		return zeroSector(data, offset, len(data)) && !laterFrame(data, offset)
	case frameBadPayload:
		return end == len(data) && zeroSector(data, offset, end)
	}
	return false
}

// zeroSector reports whether the part of some sector that lies in the range holds
// only zeros.
func zeroSector(data []byte, from, to int) bool {
	for start := from; start < to; {
		end := min((start/sector+1)*sector, to)
		if !slices.ContainsFunc(data[start:end], func(b byte) bool { return b != 0 }) {
			return true
		}
		start = end
	}
	return false
}

// laterFrame reports whether a whole frame begins after the offset.
func laterFrame(data []byte, offset int) bool {
	for at := offset + 1; at+frameBytes < len(data); at++ {
		if payload, _, state := nextFrame(data, at); state == frameWhole && len(payload) > 0 {
			return true
		}
	}
	return false
}
