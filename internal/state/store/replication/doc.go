// Package replication brings the replicas of a store up to date. Catch-up copies the shards
// that the store joins or must rebuild, from enough complete replicas that nothing that was
// acknowledged is missed, and reports each to the core. A scrub compares the shards that the
// store serves with the other replicas, bucket by bucket, and takes over what it lacks.
//
// What arrives is written by the goroutine that owns the shard. Catch-up and scrub run on
// goroutines of their own and are bounded in bytes a second.
package replication
