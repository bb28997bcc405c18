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
			t.Errorf("%d tokens: %v expected, %v taken", tokens, got, want)
		}
	}
	if profile.StepTime.Round(time.Millisecond) != 9*time.Millisecond ||
		profile.ServiceTime.Round(time.Millisecond) != 200*time.Millisecond {
		t.Errorf("step %v, service %v", profile.StepTime, profile.ServiceTime)
	}
	if profile.MeanPrompt < 1500 || profile.MeanPrompt > 1900 {
		t.Errorf("mean prompt %v", profile.MeanPrompt)
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
		t.Fatalf("%v became %v", before, after)
	}
}

func TestSlownessIsLearnedAndDecays(t *testing.T) {
	now := time.Unix(1000, 0)
	var slowness schedule.Slowness
	if slowness.Factor(now) != 1 {
		t.Fatal("an unknown server must be an ordinary one")
	}
	for range 10 {
		now = now.Add(100 * time.Millisecond)
		slowness.Observe(50*time.Millisecond, 300*time.Millisecond, now)
	}
	if factor := slowness.Factor(now); factor < 4 || factor > 6.1 {
		t.Fatalf("six times slower is taken for %v", factor)
	}
	if factor := slowness.Factor(now.Add(30 * time.Second)); factor > 1.2 {
		t.Fatalf("after thirty quiet seconds still %v", factor)
	}
	for range 10 {
		slowness.Observe(50*time.Millisecond, 50*time.Millisecond, now)
	}
	if factor := slowness.Factor(now); factor > 1.3 {
		t.Fatalf("ten ordinary answers leave %v", factor)
	}
	slowness.Observe(0, time.Hour, now)
	slowness.Observe(time.Millisecond, time.Hour, now)
	if factor := slowness.Factor(now); factor > 3 {
		t.Fatalf("one answer tells as much as %v", factor)
	}
}

func TestServerWithOverdueAnswersIsSlowBeforeItAnswers(t *testing.T) {
	now := time.Unix(1000, 0)
	var slowness schedule.Slowness
	if factor := slowness.FactorWhileWaiting(50*time.Millisecond, 20*time.Millisecond, now); factor != 1 {
		t.Fatalf("%v while nothing is late", factor)
	}
	if factor := slowness.FactorWhileWaiting(50*time.Millisecond, 400*time.Millisecond, now); factor != 8 {
		t.Fatalf("%v after eight times as long", factor)
	}
}
