// Package turnindex implements the index of a store's retained turns: each turn's position in
// the log of turns, the end of its retention and the turn that it continues. A store has millions
// of entries, so each takes few bytes and contains hashes only; the record on disk contains a
// turn's id and program in full.
//
// An Index belongs to the goroutine that owns its shard. A SegmentExpiry is shared by all of
// them and has a mutex.
package turnindex
