// Package simdisk is a storage.Filesystem in memory that fails the way disks do, deterministically for a seed: on a
// loss of power it drops, tears or persists what was not synced, sector by sector; a failed sync loses what it should
// have made durable while later syncs succeed; syncs stall; the disk runs full; bytes are damaged; the complete disk is
// lost.
//
// Like the page cache of an operating system, content that was written but not synced survives the end of a process
// (Kill) and not a loss of power (LosePower).
//
// A Disk is safe for concurrent use, its faults included; it is deterministic only when one goroutine uses it.
package simdisk
