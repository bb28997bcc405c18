package store

import (
	"time"

	"github.com/rosestand/rosestand/internal/state/ledger"
)

// forgottenSlack is how much later than the end of its keeping time a register is removed, so that
// no proposer whose clock is behind still builds on it.
const forgottenSlack = time.Minute

// keepsUntil gives the end of a register's keeping time in Unix seconds. A promise
// without a value is kept as long as a late message may ask for it.
func (e *entry) keepsUntil(key registerKey) (uint32, error) {
	if e.keptUntil != 0 {
		return e.keptUntil, nil
	}
	until, err := e.valueKeptUntil(key)
	if err != nil {
		return 0, err
	}
	promised := int64(e.state.Promised.Counter) + ledger.MinRetention.Milliseconds()
	e.keptUntil = secondsOf(max(until, promised))
	return e.keptUntil, nil
}

func (e *entry) valueKeptUntil(key registerKey) (int64, error) {
	if len(e.state.Value) == 0 {
		return 0, nil
	}
	if key.call != "" {
		record, err := decodeCall(e.state.Value)
		return ledger.CallRetainedUntil(record), err
	}
	record, err := decodeProgram(e.state.Value)
	return ledger.ProgramRetainedUntil(record), err
}

// secondsOf rounds a time in Unix milliseconds up to seconds.
func secondsOf(millis int64) uint32 {
	return uint32(min(max(millis+999, 0)/1000, int64(^uint32(0))))
}

// mayBeForgotten spares the decoding of values that changed a short time ago.
func (e *entry) mayBeForgotten(now time.Time) bool {
	return int64(e.state.Promised.Counter) < now.Add(-ledger.MinRetention).UnixMilli()
}

// isForgotten reports whether the keeping time has ended. A value that cannot be read is not forgotten.
func (e *entry) isForgotten(key registerKey, now time.Time) bool {
	if !e.mayBeForgotten(now) {
		return false
	}
	until, err := e.keepsUntil(key)
	return err == nil && int64(until) < now.Unix()
}

// collectRegisters removes registers that nobody may ask for any more.
func (g *group) collectRegisters(now time.Time) error {
	before := now.Add(-forgottenSlack).Unix()
	for _, table := range g.shards {
		for key, held := range table.registers.All() {
			if !held.mayBeForgotten(now) || g.unsynced[held] != nil || g.proposals[key] != nil {
				continue
			}
			until, err := held.keepsUntil(key)
			if err != nil {
				return err
			}
			if int64(until) < before {
				table.registers.Delete(key)
			}
		}
	}
	return nil
}
