package store

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rosestand/rosestand/internal/state/register"
	"github.com/rosestand/rosestand/internal/state/store/datafolder"
	"github.com/rosestand/rosestand/internal/storage"
)

// maintain writes snapshots, collects what need not be kept and keeps the gauges, once in a while.
func (s *Store) maintain() {
	collectAt := s.options.Clock.Now().Add(collectInterval)
	forgetAt := s.options.Clock.Now().Add(forgetInterval)
	for s.wait(maintenanceInterval) {
		s.ViewChanged()
		held := s.counts()
		s.metrics.observe(held)
		now := s.options.Clock.Now()
		if err := s.saveSnapshots(held, now); err != nil {
			s.failUnlessStopped(err)
			return
		}
		if now.Before(collectAt) {
			continue
		}
		collectAt = now.Add(collectInterval)
		if err := s.collect(now); err != nil {
			s.failUnlessStopped(err)
			return
		}
		if now.Before(forgetAt) {
			continue
		}
		forgetAt = now.Add(forgetInterval)
		if err := s.forgetRegisters(now); err != nil {
			s.failUnlessStopped(err)
			return
		}
	}
}

// saveSnapshots writes what a start would otherwise read from long logs. A snapshot for which there is no room is tried again
// later: the logs still take records, and hold all that it would.
func (s *Store) saveSnapshots(held counts, now time.Time) error {
	if now.Before(s.snapshotsAfter) {
		return nil
	}
	err := s.saveDueSnapshots(held)
	if !storage.IsDiskFull(err) || s.logFailed() {
		return err
	}
	s.snapshotsAfter = now.Add(snapshotRetry)
	s.options.Logger.Warn("no room for a snapshot", "error", err)
	return nil
}

func (s *Store) saveDueSnapshots(held counts) error {
	if s.folder.Registers.Size() > max(snapshotSegments*s.options.registerSegmentBytes(), snapshotGrowth*held.registerBytes) {
		if err := s.saveRegisters(); err != nil {
			return err
		}
		s.metrics.snapshots.Inc()
	}
	if s.turnIndexIsDue(held.turns) {
		return s.saveTurnIndex()
	}
	return nil
}

// logFailed reports whether one of the logs takes no records any more.
func (s *Store) logFailed() bool {
	return s.folder.Registers.Err() != nil || s.folder.Turns.Err() != nil
}

// failUnlessStopped ends the store unless the error only says that it stops already.
func (s *Store) failUnlessStopped(err error) {
	var stopped *StoppedError
	if !errors.As(err, &stopped) {
		s.fail(err)
	}
}

// collect removes turns whose keeping time has ended, and log segments without any other.
func (s *Store) collect(now time.Time) error {
	held := s.folder.Turns.FirstSegment()
	first := s.turnSegments.FirstRetained(held, s.folder.Turns.End().Segment, now)
	if first == held && now.Before(s.collectAllAt) {
		return nil
	}
	s.collectAllAt = now.Add(collectAllInterval)
	for _, group := range s.groups {
		if _, err := ask(group, func() bool { group.collectTurns(first, now); return true }); err != nil {
			return err
		}
	}
	if err := s.folder.Turns.RemoveBefore(first); err != nil {
		return &datafolder.LogError{Log: datafolder.TurnLog, Cause: err}
	}
	return nil
}

// forgetRegisters removes what is past its keeping time from memory; the next snapshot leaves it out.
func (s *Store) forgetRegisters(now time.Time) error {
	for _, group := range s.groups {
		failed, err := ask(group, func() error { return group.collectRegisters(now) })
		if err := errors.CombineErrors(err, failed); err != nil {
			return err
		}
	}
	return nil
}

// counts is what a store holds.
type counts struct {
	registers, turns uint64
	registerBytes    int64
	active, copying  uint32
	proposals        int
}

// counts sums up all groups; those of a store that stops are left out.
func (s *Store) counts() counts {
	var total counts
	for _, group := range s.groups {
		held, _ := ask(group, group.counts)
		total.registers += held.registers
		total.registerBytes += held.registerBytes
		total.turns += held.turns
		total.active += held.active
		total.copying += held.copying
		total.proposals += held.proposals
	}
	return total
}

func (g *group) counts() counts {
	held := counts{proposals: len(g.proposals)}
	for _, table := range g.shards {
		held.registers += uint64(table.Registers.Len())
		held.turns += uint64(table.Turns.Len())
		held.registerBytes += table.RegisterBytes()
		switch table.View.Role {
		case register.RoleActive:
			held.active++
		case register.RoleRebuilding, register.RoleJoining:
			held.copying++
		}
	}
	return held
}
