package schedule_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/rosestand/rosestand/internal/dataplane/schedule"
)

func TestProfileIsLearnedFromAnswers(t *testing.T) {
	var estimator schedule.ProfileEstimator
	random := rand.New(rand.NewPCG(1, 2))
	const rate = 60.0
	for range 2000 {
		own, ahead := uint64(200+random.IntN(3000)), uint64(random.IntN(2)*1000)
		latency := 4*time.Millisecond + time.Duration(float64(own+ahead)/rate*float64(time.Millisecond))
		estimator.ObserveFirstToken(own, ahead, latency)
		estimator.ObserveOutput(33, 32*9*time.Millisecond)
		estimator.ObserveService(200 * time.Millisecond)
	}
	profile := estimator.Profile()
	for _, tokens := range []uint64{500, 1500, 3000} {
		want := 4*time.Millisecond + time.Duration(float64(tokens)/rate*float64(time.Millisecond))
		if got := profile.FirstToken(tokens); got < want*8/10 || got > want*12/10 {
			t.Errorf("FirstToken(%d) = %v, want %v within 20 percent", tokens, got, want)
		}
	}
	if profile.StepTime.Round(time.Millisecond) != 9*time.Millisecond ||
		profile.ServiceTime.Round(time.Millisecond) != 200*time.Millisecond {
		t.Errorf("step time %v and service time %v, want 9ms and 200ms", profile.StepTime, profile.ServiceTime)
	}
	if profile.MeanPrompt < 1500 || profile.MeanPrompt > 1900 {
		t.Errorf("mean prompt %v, want 1500 to 1900", profile.MeanPrompt)
	}
}

func TestDelayedFirstTokenDoesNotChangeThePromptRate(t *testing.T) {
	var estimator schedule.ProfileEstimator
	before := estimator.Profile().PromptRate
	for range 100 {
		estimator.ObserveFirstToken(1000, 0, 10*time.Second)
		estimator.ObserveFirstToken(1000, 0, 0)
	}
	if after := estimator.Profile().PromptRate; after != before {
		t.Fatalf("prompt rate changed from %v to %v", before, after)
	}
}

func TestSlownessIsLearnedAndDecays(t *testing.T) {
	now := time.Unix(1000, 0)
	var slowness schedule.Slowness
	if slowness.Factor(now) != 1 {
		t.Fatal("the factor without observations is not 1")
	}
	for range 10 {
		now = now.Add(100 * time.Millisecond)
		slowness.Observe(50*time.Millisecond, 300*time.Millisecond, now)
	}
	if factor := slowness.Factor(now); factor < 4 || factor > 6.1 {
		t.Fatalf("factor %v after answers six times as slow as expected, want 4 to 6.1", factor)
	}
	if factor := slowness.Factor(now.Add(30 * time.Second)); factor > 1.2 {
		t.Fatalf("factor %v after thirty seconds without answers, want at most 1.2", factor)
	}
	for range 10 {
		slowness.Observe(50*time.Millisecond, 50*time.Millisecond, now)
	}
	if factor := slowness.Factor(now); factor > 1.3 {
		t.Fatalf("factor %v after ten ordinary answers, want at most 1.3", factor)
	}
	slowness.Observe(0, time.Hour, now)
	slowness.Observe(time.Millisecond, time.Hour, now)
	if factor := slowness.Factor(now); factor > 3 {
		t.Fatalf("factor %v after one extremely slow answer, want at most 3", factor)
	}
}

func TestServerWithOverdueAnswersIsSlowBeforeItAnswers(t *testing.T) {
	now := time.Unix(1000, 0)
	var slowness schedule.Slowness
	if factor := slowness.FactorWhileWaiting(50*time.Millisecond, 20*time.Millisecond, now); factor != 1 {
		t.Fatalf("factor %v while no answer is overdue, want 1", factor)
	}
	if factor := slowness.FactorWhileWaiting(50*time.Millisecond, 400*time.Millisecond, now); factor != 8 {
		t.Fatalf("factor %v after waiting eight times the expected time, want 8", factor)
	}
}
