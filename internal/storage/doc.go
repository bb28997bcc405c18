// Package storage persists the state of a core or store process: a segmented log with a checksum on each record,
// snapshots, an identity file that distinguishes a directory that lost its data from one whose process restarted, and a
// directory lock.
//
// The package defines the on-disk formats and decides which part of a log is valid after a crash: a torn write at the
// end is truncated, and corruption before that is reported as data loss (CorruptError). After a failed write or sync, a
// Log rejects all further writes and syncs with the same FailedError; its owner must reopen it as after a crash.
//
// Log and GroupCommitter are safe for concurrent use. The functions for snapshots and the identity file must not be
// called concurrently on one directory, except LoadNewestSnapshot.
//
// All access goes through Filesystem, so the same code runs on the operating system and on the simulated disk of
// package simdisk. docs/STORAGE.md documents the on-disk formats and the guarantees.
package storage
