// Package wal stores the log, the vote and the snapshots of one voter in a data
// folder. A write counts only after it has been synced.
//
// The folder holds these files:
//
//	lock          locked with flock while the log is open
//	identity      JSON: format, voter, group, incarnation, stamp, checksum
//	segment-N     records in order; N is the number of the segment, hexadecimal
//	snapshot-I    snapshot up to log index I, hexadecimal
//
// A segment or snapshot begins with a magic number and the format version. Frames
// follow, each with the length of its payload, the CRC-32C of the payload, the
// CRC-32C of these eight bytes, and the payload in CBOR. Integers are little-endian.
// One Save writes one frame and syncs it before the next one begins. Therefore only
// the last frame of the last segment can be torn by a crash.
//
// The identity records the inode number and the birth time of its own file. A copied
// or restored folder has others and is refused, because its voter may have made
// promises since the copy was taken. An image of the whole disk keeps both; package
// raft describes what limits the effect of such an image.
//
// # Use
//
// Open locks the folder and makes a blank one the folder of a new incarnation; Identity
// then tells the name, the incarnation and the group. Recover reads the records and
// has to come before the first write. Save, SaveSnapshot and SetGroup return once
// everything is synced, and are called by one goroutine in the order in which package
// raft lists its writes. SaveSnapshot deletes what it replaces.
//
// After a failed write every later one returns ErrDurability: the process has to end,
// and may start again from what the disk holds. On ErrCopied or a CorruptError the
// operator empties the folder; the voter then rejoins as a learner under a new
// incarnation, if the group still has its quorum.
package wal
