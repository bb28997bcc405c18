// Package turnindex is the index of a store's retained turns: where each turn is in the log
// of turns, until when it is retained, and which turn it continues. There are millions of
// entries, so that each takes few bytes; the record on disk has a turn's id and program in full.
//
// An Index belongs to the goroutine that owns its shard. A SegmentExpiry is shared by all of
// them and has a mutex.
package turnindex
