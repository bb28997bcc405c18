// Package simdisk implements an in-memory storage.Filesystem that injects disk faults, deterministically for a seed: a
// loss of power drops, tears or persists unsynced writes, sector by sector; a failed sync loses the data that it should
// have made durable, while later syncs succeed; syncs stall; the disk runs full; bytes are corrupted; the complete disk
// is lost.
//
// As with the page cache of an operating system, written but unsynced content survives the end of a process (Kill) but
// not a loss of power (LosePower).
//
// A Disk is safe for concurrent use, including its fault injection, but deterministic only when a single goroutine uses
// it.
package simdisk
