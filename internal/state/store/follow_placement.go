package store

import (
	"time"

	"github.com/rosestand/rosestand/internal/state/register"
	"github.com/rosestand/rosestand/internal/state/store/placement"
	"github.com/rosestand/rosestand/internal/state/store/shardtable"
)

// wait returns after the time has passed, or false when the store stops.
func (s *Store) wait(duration time.Duration) bool {
	return s.waitOr(duration, nil)
}

// waitOr is wait that ends early when it is poked.
func (s *Store) waitOr(duration time.Duration, poke <-chan struct{}) bool {
	passed := make(chan struct{})
	stop := s.options.Clock.AfterFunc(duration, func() { close(passed) })
	select {
	case <-passed:
		return true
	case <-poke:
		stop()
		return true
	case <-s.stopped:
		stop()
		return false
	}
}

// followPlacement hands every new placement to the groups.
func (s *Store) followPlacement() {
	for {
		if current, changed := s.watch.Refresh(); changed {
			s.options.Logger.Info("placement in force", "epoch", current.Epoch)
			for _, group := range s.groups {
				group.mailbox.Post(func() { group.applyPlacement(current) })
			}
			signal(s.copyPoke)
		}
		select {
		case <-s.poke:
		case <-s.stopped:
			return
		}
	}
}

// applyPlacement brings the tables of the group's shards under a new placement.
func (g *group) applyPlacement(current *placement.Topology) {
	for _, view := range current.Shards {
		if g.store.group(view.Shard) != g {
			continue
		}
		g.applyView(g.table(view.Shard), view)
	}
}

func (g *group) applyView(table *shardtable.Table, view register.ShardView) {
	before := table.View
	table.View = view
	if view.Role == register.RoleActive {
		table.CaughtUp = false
	}
	if view.RequiresReset(before) && (view.Role != register.RoleNone || !table.IsEmpty()) {
		g.dropShard(table, func() {})
	}
}
