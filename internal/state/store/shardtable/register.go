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

// removalSlack is how much later than the end of its retention a register is removed, so
// that no proposer whose clock is behind still builds on it.
const removalSlack = time.Minute

// Key names one register; Call is empty for the program's own.
type Key struct {
	Program string
	Call    string
}

// KeyFromProto returns the key that a message names.
func KeyFromProto(message *protocol.RegisterKey) Key {
	return Key{Program: message.GetProgram(), Call: message.GetCall()}
}

// ToProto returns the key as a message.
func (k Key) ToProto() *protocol.RegisterKey {
	return &protocol.RegisterKey{Program: k.Program, Call: k.Call}
}

// Hash implements hashtree.Key; the zero key is before all others.
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

// bucketHash decides on the bucket of the digest. All replicas must agree on it.
func (k Key) bucketHash() uint64 {
	return xxhash.Sum64String(k.Program) ^ xxhash.Sum64String("\x00"+k.Call)
}

// Register is one register of this replica.
type Register struct {
	// State is replaced by SetState, once a register is in use.
	State register.State
	// PreparedEpoch is the placement epoch under which this store's own change of the value
	// was chosen last, so that its next change may skip the prepare phase; zero when another
	// store may have changed the register since.
	PreparedEpoch uint64
	// retainUntil is the end of the value's retention in Unix seconds, rounded up; zero when it is not known.
	retainUntil uint32
}

// SetState replaces the state.
func (r *Register) SetState(state register.State) {
	r.State = state
	r.retainUntil = 0
}

// cachedRetainUntil returns the end of a register's retention in Unix seconds. One that was
// prepared but has no value is retained as long as a late message may ask for it.
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

// mayHaveExpired spares the decoding of values that changed a short time ago.
func (r *Register) mayHaveExpired(now time.Time) bool {
	return int64(r.State.Promised.Counter) < now.Add(-ledger.MinRetention).UnixMilli()
}

// isExpired reports whether the retention has ended. A value that cannot be read is not expired.
func (r *Register) isExpired(key Key, now time.Time) bool {
	if !r.mayHaveExpired(now) {
		return false
	}
	until, err := r.cachedRetainUntil(key)
	return err == nil && int64(until) < now.Unix()
}

// RemoveExpiredRegisters removes the registers that nobody may ask for any more, except
// those in use. The error is a *records.UnreadableError.
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
