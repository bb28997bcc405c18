package shardtable

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rosestand/rosestand/internal/protocol"
)

// MaxBuckets is the maximum number of buckets of a digest.
const MaxBuckets = 1 << 16

// Digest returns, for each bucket, the sum of hashes of the registers' keys and ballots and that
// of the turns' id hashes. Expired entries are left out, since replicas remove them at different
// times.
func (t *Table) Digest(buckets uint32, now time.Time) *protocol.ShardDigestResponse {
	answer := &protocol.ShardDigestResponse{
		RegisterDigests: make([]uint64, buckets),
		TurnDigests:     make([]uint64, buckets),
	}
	for key, register := range t.Registers.All() {
		accepted := register.State.Accepted
		if !accepted.IsZero() && !register.isExpired(key, now) {
			summary := key.Program + "\x00" + key.Call + "\x00" + accepted.String()
			answer.RegisterDigests[key.bucketHash()%uint64(buckets)] += xxhash.Sum64String(summary)
		}
	}
	for key, entry := range t.Turns.All() {
		if int64(entry.RetainUntil) >= now.Unix() {
			answer.TurnDigests[key.TurnHash%uint64(buckets)] += key.IDHash
		}
	}
	return answer
}
