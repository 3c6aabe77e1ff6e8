// Package wal implements the write-ahead log of one voter. It stores the log entries,
// the vote and the snapshots in a data directory. A write is acknowledged only after it
// has been synced.
//
// The directory holds these files:
//
//	lock          locked with flock while the log is open
//	identity      JSON: format, voter name, group, incarnation, file id (as "stamp"), checksum
//	segment-N     records in order; N is the segment number in hexadecimal
//	snapshot-I    snapshot up to log index I in hexadecimal
//
// A segment or snapshot starts with a magic number and the format version. Frames
// follow. Each frame consists of the length of its payload, the CRC-32C of the payload,
// the CRC-32C of these eight bytes, and the payload in CBOR. Integers are little-endian.
// Each Save writes one frame and syncs it before the next one is written. Therefore
// only the last frame of the last segment can be torn by a crash.
//
// The identity file records its own file id: its inode number and creation time. The
// file ids in a copied or restored directory differ, and Open refuses such a directory,
// because the voter may have voted or acknowledged entries since the copy was made. An
// image of the whole disk keeps the file ids; package raft describes what limits the
// effect of restoring such an image.
//
// # Use
//
// Open locks the directory and initializes an empty one for a new incarnation; Identity
// then returns the name, the incarnation and the group. Recover reads the records and
// must be called before the first write. Save, SaveSnapshot and SetGroup return after
// everything is synced. One goroutine must call them in the order in which package
// raft lists its writes. SaveSnapshot deletes the files that the snapshot replaces.
//
// After a failed write, every later write returns ErrDurability. The process must then
// exit and may restart from the data on disk. On ErrCopied or a CorruptError the
// operator has to empty the directory; the voter then rejoins as a learner under a new
// incarnation, provided that the group still has a quorum.
package wal
