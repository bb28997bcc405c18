// Package simdisk is a storage.Filesystem in memory that fails the way disks do, repeatably
// from a seed: on a loss of power it drops, tears or keeps what was not synced, sector
// by sector; a failed sync loses what it should have kept while later syncs
// succeed; syncs stall; the disk runs full; bytes rot; the whole disk is lost.
//
// Like the page cache of an operating system, content that was written but not synced survives the end of a
// process (Kill) and not a loss of power (LosePower).
package simdisk
