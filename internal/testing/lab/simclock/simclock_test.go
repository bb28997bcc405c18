package simclock_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/rosestand/rosestand/internal/testing/lab/simclock"
)

func TestFrozenClockAnswersWhenItWakes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var clock simclock.Clock
		began := time.Now()
		if now := clock.Now(); !now.Equal(began) || clock.IsFrozen() {
			t.Errorf("the time is %s, must be %s", now, began)
		}
		clock.Freeze()
		ran := make(chan time.Time, 1)
		clock.AfterFunc(time.Second, func() { ran <- time.Now() })
		stop := clock.AfterFunc(time.Second, func() { t.Error("ran although it was stopped") })
		stop()
		time.AfterFunc(time.Minute, clock.Wake)
		if now := clock.Now(); now.Sub(began) != time.Minute {
			t.Errorf("answered after %s", now.Sub(began))
		}
		if at := <-ran; at.Sub(began) != time.Minute {
			t.Errorf("a timer ran after %s", at.Sub(began))
		}
		if clock.IsFrozen() {
			t.Error("is frozen still")
		}
	})
}
