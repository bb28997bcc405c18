package shardtable

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/state/ledger"
	"github.com/rosestand/rosestand/internal/state/register"
	"github.com/rosestand/rosestand/internal/state/store/records"
	"github.com/rosestand/rosestand/internal/state/store/turnindex"
)

// removalSlack is the time from the end of a register's retention to its removal, so that no
// proposer whose clock is behind still bases a change on it.
const removalSlack = time.Minute

// Key identifies a register; Call is empty for the program's own register.
type Key struct {
	Program string
	Call    string
}

// KeyFromProto converts a message to a key.
func KeyFromProto(message *protocol.RegisterKey) Key {
	return Key{Program: message.GetProgram(), Call: message.GetCall()}
}

// ToProto converts the key to a message.
func (k Key) ToProto() *protocol.RegisterKey {
	return &protocol.RegisterKey{Program: k.Program, Call: k.Call}
}

// Hash implements hashtree.Key; the zero key precedes all others.
func (k Key) Hash() uint64 {
	if k == (Key{}) {
		return 0
	}
	return k.bucketHash()
}

// Less implements hashtree.Key.
func (k Key) Less(other Key) bool {
	if k.Program != other.Program {
		return k.Program < other.Program
	}
	return k.Call < other.Call
}

// bucketHash determines the bucket of the digest. It must be the same on all replicas.
func (k Key) bucketHash() uint64 {
	return xxhash.Sum64String(k.Program) ^ xxhash.Sum64String("\x00"+k.Call)
}

// Register is one register of this replica.
type Register struct {
	// State must be replaced by SetState once the register is in use.
	State register.State
	// PreparedEpoch is the placement epoch under which this store's last change of the value was
	// chosen, so that its next change may skip the prepare phase; zero when another store may
	// have changed the register since.
	PreparedEpoch uint64
	// retainUntil caches the end of the retention in Unix seconds, rounded up; zero when not computed yet.
	retainUntil uint32
}

// SetState replaces the state and resets the cached end of the retention.
func (r *Register) SetState(state register.State) {
	r.State = state
	r.retainUntil = 0
}

// cachedRetainUntil returns the end of a register's retention in Unix seconds, which is at least
// ledger.MinRetention after its promised ballot: a register that was prepared but has no value
// is retained for as long as a delayed message may refer to it.
func (r *Register) cachedRetainUntil(key Key) (uint32, error) {
	if r.retainUntil != 0 {
		return r.retainUntil, nil
	}
	until, err := r.valueRetainUntil(key)
	if err != nil {
		return 0, err
	}
	prepared := int64(r.State.Promised.Counter) + ledger.MinRetention.Milliseconds()
	r.retainUntil = turnindex.CeilSeconds(max(until, prepared))
	return r.retainUntil, nil
}

// valueRetainUntil returns the end of a value's retention in Unix milliseconds.
func (r *Register) valueRetainUntil(key Key) (int64, error) {
	if len(r.State.Value) == 0 {
		return 0, nil
	}
	if key.Call != "" {
		record, err := records.DecodeCall(r.State.Value)
		return ledger.CallRetainedUntil(record), err
	}
	record, err := records.DecodeProgram(r.State.Value)
	return ledger.ProgramRetainedUntil(record), err
}

// mayHaveExpired returns false for a register that was prepared within ledger.MinRetention, whose
// value need not be decoded.
func (r *Register) mayHaveExpired(now time.Time) bool {
	return int64(r.State.Promised.Counter) < now.Add(-ledger.MinRetention).UnixMilli()
}

// isExpired reports whether the retention has ended. A value that cannot be decoded is not expired.
func (r *Register) isExpired(key Key, now time.Time) bool {
	if !r.mayHaveExpired(now) {
		return false
	}
	until, err := r.cachedRetainUntil(key)
	return err == nil && int64(until) < now.Unix()
}

// RemoveExpiredRegisters removes the registers whose retention ended more than removalSlack ago,
// except those in use. The error is a *records.UnreadableError.
func (t *Table) RemoveExpiredRegisters(now time.Time, inUse func(Key, *Register) bool) error {
	before := now.Add(-removalSlack).Unix()
	for key, entry := range t.Registers.All() {
		if !entry.mayHaveExpired(now) || inUse(key, entry) {
			continue
		}
		until, err := entry.cachedRetainUntil(key)
		if err != nil {
			return err
		}
		if int64(until) < before {
			t.Registers.Delete(key)
		}
	}
	return nil
}
