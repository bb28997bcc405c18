package store

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rosestand/rosestand/internal/state/register"
	"github.com/rosestand/rosestand/internal/state/store/datafolder"
	"github.com/rosestand/rosestand/internal/state/store/lifecycle"
	"github.com/rosestand/rosestand/internal/state/store/owner"
	"github.com/rosestand/rosestand/internal/storage"
)

const (
	maintenanceInterval = time.Second
	// turnExpiryInterval and registerExpiryInterval are the intervals at which expired turns and registers are removed.
	turnExpiryInterval     = 5 * time.Second
	registerExpiryInterval = 30 * time.Second
	// maxTurnExpiryInterval bounds how long expired turns stay in the index when no segment can be removed.
	maxTurnExpiryInterval = time.Minute
	// A snapshot of the registers is due when their log exceeds snapshotSegments segments and
	// snapshotGrowth times the size of the registers in memory.
	snapshotSegments = 2
	snapshotGrowth   = 4
	// snapshotRetryInterval is the wait before a snapshot that failed on a full disk is retried.
	snapshotRetryInterval = 30 * time.Second
)

// maintain periodically writes snapshots, removes expired turns and registers, and sets the gauges.
func (s *Store) maintain() {
	nextTurnExpiry := s.options.Clock.Now().Add(turnExpiryInterval)
	nextRegisterExpiry := s.options.Clock.Now().Add(registerExpiryInterval)
	for s.lifecycle.Sleep(maintenanceInterval) {
		s.ViewChanged()
		total := s.counts()
		s.metrics.observe(total)
		now := s.options.Clock.Now()
		if err := s.saveSnapshots(total, now); err != nil {
			s.failUnlessStopped(err)
			return
		}
		if now.Before(nextTurnExpiry) {
			continue
		}
		nextTurnExpiry = now.Add(turnExpiryInterval)
		if err := s.removeExpiredTurns(now); err != nil {
			s.failUnlessStopped(err)
			return
		}
		if now.Before(nextRegisterExpiry) {
			continue
		}
		nextRegisterExpiry = now.Add(registerExpiryInterval)
		if err := s.removeExpiredRegisters(now); err != nil {
			s.failUnlessStopped(err)
			return
		}
	}
}

// saveSnapshots writes the snapshots that are due, so that a start need not read long logs. A
// snapshot that does not fit on the disk is retried later: the logs still accept records, and
// contain everything that the snapshot would.
func (s *Store) saveSnapshots(total counts, now time.Time) error {
	if now.Before(s.nextSnapshotAttempt) {
		return nil
	}
	err := s.saveDueSnapshots(total)
	if !storage.IsDiskFull(err) || s.folder.HasFailedLog() {
		return err
	}
	s.nextSnapshotAttempt = now.Add(snapshotRetryInterval)
	s.options.Logger.Warn("snapshot postponed: disk full", "error", err)
	return nil
}

func (s *Store) saveDueSnapshots(total counts) error {
	threshold := max(snapshotSegments*s.options.registerSegmentBytes(), snapshotGrowth*total.registerBytes)
	if s.folder.Registers.Size() > threshold {
		if err := s.saveRegisters(); err != nil {
			return err
		}
		s.metrics.snapshots.Inc()
	}
	if s.turnIndexIsDue(total.turns) {
		return s.saveTurnIndex()
	}
	return nil
}

// failUnlessStopped fails the store unless the error reports that the store is stopping.
func (s *Store) failUnlessStopped(err error) {
	var stopped *lifecycle.StoppedError
	if !errors.As(err, &stopped) {
		s.fail(err)
	}
}

// removeExpiredTurns removes turns whose retention has ended, and log segments that contain no other turns.
func (s *Store) removeExpiredTurns(now time.Time) error {
	oldest, newest := s.folder.Turns.FirstSegment(), s.folder.Turns.End().Segment
	if err := s.awaitTurnsRecorded(); err != nil {
		return err
	}
	first := s.segments.FirstRetained(oldest, newest, now)
	if first == oldest && now.Before(s.nextIndexExpiry) {
		return nil
	}
	s.nextIndexExpiry = now.Add(maxTurnExpiryInterval)
	for _, group := range s.groups {
		if _, err := owner.Call(group, func() bool { group.RemoveExpiredTurns(first, now); return true }); err != nil {
			return err
		}
	}
	if err := s.folder.Turns.RemoveBefore(first); err != nil {
		return &datafolder.LogError{Log: datafolder.TurnLog, Cause: err}
	}
	return nil
}

// awaitTurnsRecorded returns when every turn that is in the log now is in the index of its owner, and so in the expiry
// of its segment. A segment may have been finished, and its turns durable, before that.
func (s *Store) awaitTurnsRecorded() error {
	if err := s.turnCommits.BetweenBatches(func() {}); err != nil {
		return &datafolder.LogError{Log: datafolder.TurnLog, Cause: err}
	}
	for _, group := range s.groups {
		if _, err := owner.Call(group, func() bool { return true }); err != nil {
			return err
		}
	}
	return nil
}

// removeExpiredRegisters removes expired registers from memory; the next snapshot omits them.
func (s *Store) removeExpiredRegisters(now time.Time) error {
	for number, group := range s.groups {
		failed, err := owner.Call(group, func() error {
			return group.RemoveExpiredRegisters(now, s.proposers[number].IsProposing)
		})
		if err := errors.CombineErrors(err, failed); err != nil {
			return err
		}
	}
	return nil
}

// counts are the numbers of registers, turns, shards and proposals of a store or of one group.
type counts struct {
	registers, turns uint64
	// registerBytes is the size of all keys and values of registers.
	registerBytes int64
	// active and copying count the shards that the store serves, and those that are still being copied.
	active, copying uint32
	// proposals counts the registers with a proposal in progress.
	proposals int
}

// counts returns the sum over all groups; groups that have stopped are left out.
func (s *Store) counts() counts {
	var total counts
	for number, group := range s.groups {
		groupCounts, _ := owner.Call(group, func() counts { return s.countGroup(number) })
		total.registers += groupCounts.registers
		total.registerBytes += groupCounts.registerBytes
		total.turns += groupCounts.turns
		total.active += groupCounts.active
		total.copying += groupCounts.copying
		total.proposals += groupCounts.proposals
	}
	return total
}

// countGroup returns the counts of one group. It runs on the group's goroutine.
func (s *Store) countGroup(number int) counts {
	total := counts{proposals: s.proposers[number].Proposals()}
	for _, table := range s.groups[number].Tables() {
		total.registers += uint64(table.Registers.Len())
		total.turns += uint64(table.Turns.Len())
		total.registerBytes += table.RegisterBytes()
		switch table.View.Role {
		case register.RoleActive:
			total.active++
		case register.RoleRebuilding, register.RoleJoining:
			total.copying++
		}
	}
	return total
}
