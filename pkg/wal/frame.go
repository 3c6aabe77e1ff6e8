package wal

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"slices"

	"github.com/fxamacker/cbor/v2"
	"github.com/jaystage/jaystage/pkg/wire"
)

// Format is the version of the file format that this package writes. Files with a newer
// version are refused.
const Format = 1

const (
	magic            = "jaystage"
	fileHeaderBytes  = len(magic) + 4 // magic number and format version
	frameHeaderBytes = 12             // length and two checksums
	sectorBytes      = 512            // smallest unit that a disk writes or loses as a whole
)

var castagnoliTable = crc32.MakeTable(crc32.Castagnoli)

// snapshotPosition is the log position of the newest snapshot.
type snapshotPosition struct {
	Index uint64 `cbor:"1,keyasint"`
	Term  uint64 `cbor:"2,keyasint"`
	// Reset is set if the log conflicted with a new snapshot, so that no earlier entry is
	// valid. It is stored because recovery cannot detect the conflict after the older
	// segments are deleted.
	Reset bool `cbor:"3,keyasint,omitempty"`
}

// record is the payload of one frame in a segment. Fields that are not set are omitted.
type record struct {
	Snapshot *snapshotPosition `cbor:"1,keyasint,omitempty"`
	State    *wire.RaftState   `cbor:"2,keyasint,omitempty"`
	Entries  []wire.RaftEntry  `cbor:"3,keyasint,omitempty"`
}

func fileHeader() []byte {
	return binary.LittleEndian.AppendUint32([]byte(magic), Format)
}

// checkFileHeader checks the magic number and the format version of a file. It returns
// false if a crash left the file with an incomplete or zeroed header.
func checkFileHeader(name string, data []byte) (bool, error) {
	if len(data) < fileHeaderBytes || !slices.ContainsFunc(data[:fileHeaderBytes], func(b byte) bool { return b != 0 }) {
		return false, nil
	}
	if string(data[:len(magic)]) != magic {
		return false, &CorruptError{File: name, Offset: 0, Reason: "wrong magic number"}
	}
	return true, checkFormat(name, uint64(binary.LittleEndian.Uint32(data[len(magic):])))
}

func checkFormat(name string, version uint64) error {
	if version > Format {
		return fmt.Errorf("%w: %s has format %d, but this program reads formats up to %d; start a newer program",
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
		return nil, fmt.Errorf("record of %d bytes exceeds the maximum of 4 GiB", len(payload))
	}
	start := len(b)
	b = binary.LittleEndian.AppendUint32(b, uint32(len(payload)))
	b = binary.LittleEndian.AppendUint32(b, crc32.Checksum(payload, castagnoliTable))
	b = binary.LittleEndian.AppendUint32(b, crc32.Checksum(b[start:], castagnoliTable))
	return append(b, payload...), nil
}

// readFrame returns the payload of the frame at an offset, the offset after the frame, and
// whether the frame is valid or how it is damaged.
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
	frameTorn                  // the file ends before the frame does
	frameBadHeader             // header checksum mismatch, so the length is unknown
	frameBadPayload            // payload checksum mismatch at full length
)

// tornByCrash reports whether an invalid frame can result from a crash during its write.
// That is possible only for the last frame of a file. A frame of full length must also
// contain a sector of zeros, which is what a sector that was never written reads as.
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

// hasZeroSector reports whether the range contains only zeros within at least one sector.
// The first and the last sector may lie in the range only partly.
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

// hasLaterFrame reports whether a valid frame starts after the offset.
func hasLaterFrame(data []byte, offset int) bool {
	for at := offset + 1; at+frameHeaderBytes < len(data); at++ {
		if payload, _, state := readFrame(data, at); state == frameValid && len(payload) > 0 {
			return true
		}
	}
	return false
}
