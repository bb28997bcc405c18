// Package shardtable is what a replica has of one shard: its registers and the index of its
// retained turns, with the pages in which both are copied, the digests by which replicas
// are compared, and the scan for the programs of a training step.
//
// A Table belongs to the goroutine that owns its shard; nothing in this package locks or
// waits. What goes into the log is written by that owner before an answer shows it.
package shardtable
