// Package wal stores the log, the vote and the snapshots of one voter in a data
// folder. A write counts only after it has been synced.
package wal
