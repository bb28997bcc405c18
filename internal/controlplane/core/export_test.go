package core

import (
	"context"
	"time"
)

// Idle reports whether the owner has handled the tick at now and no task of runTask is running.
func (s *Service) Idle(now time.Time) bool {
	idle := false
	s.owner.execute(context.Background(), func(time.Time) {
		idle = s.owner.lastTick.Equal(now) && s.owner.runningTasks == 0
	})
	return idle
}
