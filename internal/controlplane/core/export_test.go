package core

import (
	"context"
	"time"
)

// Settled reports that the owner has worked through the tick at now and that nothing it began is under way.
func (s *Service) Settled(now time.Time) bool {
	settled := false
	s.owner.execute(context.Background(), func(time.Time) {
		settled = s.owner.lastTick.Equal(now) && s.owner.runningTasks == 0
	})
	return settled
}
