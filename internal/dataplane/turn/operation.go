package turn

import "time"

// ledgerOperation times the attempts of one ledger operation, which is retried while the ledger is unavailable.
type ledgerOperation struct {
	startedAt time.Time
	backoff   time.Duration
}

func beginOperation(now time.Time) ledgerOperation {
	return ledgerOperation{startedAt: now, backoff: initialBackoff}
}

func (o *ledgerOperation) elapsed(now time.Time) time.Duration { return now.Sub(o.startedAt) }

// backOff returns the wait before the next attempt. It doubles with each attempt, up to maxBackoff.
func (o *ledgerOperation) backOff() []Command {
	wait := o.backoff
	o.backoff = min(2*o.backoff, maxBackoff)
	return []Command{Backoff{For: wait}}
}

// slot is true while a turn or call has a slot of its server group.
type slot bool

// free returns the command that frees the slot, or none if the slot was freed before or never obtained.
func (s *slot) free() []Command {
	if !*s {
		return nil
	}
	*s = false
	return []Command{FreeSlot{}}
}
