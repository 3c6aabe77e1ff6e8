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
	magic            = "jaystage"
	fileHeaderBytes  = len(magic) + 4 // magic number and version of a file
	frameHeaderBytes = 12             // head of a frame
	sectorBytes      = 512            // unit in which disks lose writes, in bytes
)

var castagnoliTable = crc32.MakeTable(crc32.Castagnoli)

// snapshotPosition names the newest snapshot when the record was written.
type snapshotPosition struct {
	Index uint64 `cbor:"1,keyasint"`
	Term  uint64 `cbor:"2,keyasint"`
	// Reset is set where the log disagreed with a new snapshot: no earlier entry is
	// valid. Recovery cannot find out by itself once older segments are deleted.
	Reset bool `cbor:"3,keyasint,omitempty"`
}

// record is the payload of one frame of a segment.
type record struct {
	Snapshot *snapshotPosition `cbor:"1,keyasint,omitempty"`
	State    *wire.RaftState   `cbor:"2,keyasint,omitempty"`
	Entries  []wire.RaftEntry  `cbor:"3,keyasint,omitempty"`
}

func fileHeader() []byte {
	return binary.LittleEndian.AppendUint32([]byte(magic), Format)
}

// checkFileHeader checks the first bytes of a file. It returns false for a file that a
// crash left without a whole head.
func checkFileHeader(name string, data []byte) (bool, error) {
	if len(data) < fileHeaderBytes || !slices.ContainsFunc(data[:fileHeaderBytes], func(b byte) bool { return b != 0 }) {
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
			ErrNewerFormat, name, version, Format)
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
	b = binary.LittleEndian.AppendUint32(b, crc32.Checksum(payload, castagnoliTable))
	b = binary.LittleEndian.AppendUint32(b, crc32.Checksum(b[start:], castagnoliTable))
	return append(b, payload...), nil
}

// readFrame returns the payload of the frame at an offset and the offset after it.
// The state tells what is wrong with a frame that is not whole.
func readFrame(data []byte, offset int) (payload []byte, end int, state frameState) {
	rest := data[offset:]
	if len(rest) < frameHeaderBytes {
		return nil, len(data), frameTorn
	}
	if crc32.Checksum(rest[:8], castagnoliTable) != binary.LittleEndian.Uint32(rest[8:]) {
		return nil, 0, frameBadHeader
	}
	size := uint64(binary.LittleEndian.Uint32(rest))
	if size > uint64(len(rest)-frameHeaderBytes) {
		return nil, len(data), frameTorn
	}
	end = offset + frameHeaderBytes + int(size)
	payload = data[offset+frameHeaderBytes : end]
	if crc32.Checksum(payload, castagnoliTable) != binary.LittleEndian.Uint32(rest[4:]) {
		return nil, end, frameBadPayload
	}
	return payload, end, frameValid
}

type frameState uint8

const (
	frameValid      frameState = iota
	frameTorn                  // it ends after the end of the file
	frameBadHeader             // its length is unknown
	frameBadPayload            // it has its full length
)

// tornByCrash reports whether a frame that is not whole can be the result of a crash
// during its write. Only the last frame of a file can, and a frame of full length
// only if a whole sector of it was never written and reads as zeros.
func tornByCrash(data []byte, offset, end int, state frameState) bool {
	switch state {
	case frameTorn:
		return true
	case frameBadHeader:
		return hasZeroSector(data, offset, len(data)) && !hasLaterFrame(data, offset)
	case frameBadPayload:
		return end == len(data) && hasZeroSector(data, offset, end)
	}
	return false
}

// hasZeroSector reports whether the part of some sector that lies in the range holds
// only zeros.
func hasZeroSector(data []byte, from, to int) bool {
	for start := from; start < to; {
		end := min((start/sectorBytes+1)*sectorBytes, to)
		if !slices.ContainsFunc(data[start:end], func(b byte) bool { return b != 0 }) {
			return true
		}
		start = end
	}
	return false
}

// hasLaterFrame reports whether a whole frame begins after the offset.
func hasLaterFrame(data []byte, offset int) bool {
	for at := offset + 1; at+frameHeaderBytes < len(data); at++ {
		if payload, _, state := readFrame(data, at); state == frameValid && len(payload) > 0 {
			return true
		}
	}
	return false
}
