// Package shardtable implements a replica's table of one shard: its registers and the index of
// its retained turns, the pages in which both are copied, the digests by which replicas are
// compared, and the scan for the programs of a training step.
//
// A Table belongs to the goroutine that owns its shard; nothing in this package locks or blocks.
// That owner logs every change before a response shows it.
package shardtable
