// Package storage keeps the durable state of a core or store process: a segmented log with a checksum on each record,
// snapshots beside it, an identity file that distinguishes a directory that lost its data from one that was restarted,
// and a directory lock.
//
// It owns the forms on disk and decides what of a log is valid after a crash: a torn write at the end is truncated, and
// damage before that is a loss (CorruptError). After a failed write or sync a Log rejects further use with the same
// FailedError; its owner opens it again as after a crash.
//
// Log and GroupCommitter are safe for concurrent use. Snapshots and the identity are functions; their owner does not
// call them concurrently on one directory, except LoadNewestSnapshot.
//
// All access goes through Filesystem, so the same code runs on the operating system and on the simulated disk of
// package simdisk. docs/STORAGE.md gives the forms on disk and the guarantees.
package storage
