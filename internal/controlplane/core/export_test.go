package core

import (
	"context"
	"time"
)

// Settled reports that the owner has worked through the tick at now and that nothing it began is under way.
func (s *Service) Idle(now time.Time) bool {
	idle := false
	s.owner.execute(context.Background(), func(time.Time) {
		idle = s.owner.lastTick.Equal(now) && s.owner.runningTasks == 0
	})
	return idle
}
