// Package turns serves retained turns. A turn is immutable; it is retained by a majority of
// the replicas of its shard before it is charged, until its retention ends. The package reads
// chains of turns, retains and extends them, finds a turn by its id alone, and repairs replicas
// that lack turns.
//
// A Service may be used by any goroutine. A Retainer belongs to the goroutine that owns the
// shards of its group.
package turns
