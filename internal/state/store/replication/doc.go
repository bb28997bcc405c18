// Package replication brings the replicas of a store up to date. Catch-up copies the shards
// that the store joins or must rebuild, from enough complete replicas to miss no acknowledged
// change, and reports each to the core. A scrub compares the shards that the store serves with
// the other replicas, bucket by bucket, and copies the entries that it lacks.
//
// The goroutine that owns a shard writes the received entries. Catch-up and scrub run on
// goroutines of their own and are limited in bytes per second.
package replication
