package schedule

import (
	"cmp"
	"time"
)

// Profile is what a server of ordinary speed in a group takes for its work. Zero fields mean the defaults.
type Profile struct {
	// PromptRate is the number of prompt tokens read in a millisecond.
	PromptRate float64
	// StepTime is the time of one output token when little else runs.
	StepTime time.Duration
	// Overhead is the part of the time to the first token that does not depend on the prompt.
	Overhead time.Duration
	// MeanPrompt is how many tokens of a prompt servers have to read on average.
	MeanPrompt float64
	// ServiceTime is how long a request without a prompt takes.
	ServiceTime time.Duration
}

const (
	defaultPromptRate  = 30.0
	defaultStepTime    = 6 * time.Millisecond
	defaultOverhead    = 8 * time.Millisecond
	defaultMeanPrompt  = 1000.0
	defaultServiceTime = 60 * time.Millisecond
)

func (p Profile) withDefaults() Profile {
	return Profile{
		PromptRate:  cmp.Or(p.PromptRate, defaultPromptRate),
		StepTime:    cmp.Or(p.StepTime, defaultStepTime),
		Overhead:    cmp.Or(p.Overhead, defaultOverhead),
		MeanPrompt:  cmp.Or(p.MeanPrompt, defaultMeanPrompt),
		ServiceTime: cmp.Or(p.ServiceTime, defaultServiceTime),
	}
}

// reading is how long a server takes to read so many prompt tokens.
func (p Profile) prefillTime(tokens float64) time.Duration {
	return time.Duration(tokens / p.PromptRate * float64(time.Millisecond))
}

// FirstToken is the expected time to the first token of a request with so many tokens to read, those of requests
// ahead of it at the server included.
func (p Profile) FirstToken(tokens uint64) time.Duration {
	p = p.withDefaults()
	return p.Overhead + p.prefillTime(float64(tokens))
}

const (
	// profileGain is the weight of one observation.
	profileGain = 0.02
	// mostFirstTokenFactor bounds what a first token may tell of the prompt rate: one that took much longer waited for something else.
	maxFirstTokenFactor = 3
)

// ProfileEstimator learns the profile of a group from its answers. Its zero value holds the defaults.
type ProfileEstimator struct {
	profile Profile
}

// Profile gives the estimate.
func (e *ProfileEstimator) Profile() Profile { return e.profile.withDefaults() }

// ObserveFirstToken takes the time from issue to the first token in, for a request of which the server had to read
// own tokens after those of ahead tokens of other requests.
func (e *ProfileEstimator) ObserveFirstToken(own, ahead uint64, latency time.Duration) {
	e.profile = e.Profile()
	e.profile.MeanPrompt += profileGain * (float64(own) - e.profile.MeanPrompt)
	expected := e.profile.FirstToken(own + ahead)
	if latency <= 0 || latency > maxFirstTokenFactor*expected {
		return
	}
	// The error is shared between the fixed part and the rate by what each is expected to cause.
	wrong := profileGain * float64(latency-expected) / float64(expected)
	e.profile.Overhead = time.Duration(float64(e.profile.Overhead) * (1 + wrong*float64(e.profile.Overhead)/float64(expected)))
	e.profile.PromptRate /= 1 + wrong*(1-float64(e.profile.Overhead)/float64(expected))
}

// ObserveOutput takes the time between the first and the last of so many output tokens in.
func (e *ProfileEstimator) ObserveOutput(tokens uint64, passed time.Duration) {
	if tokens < 2 || passed <= 0 {
		return
	}
	e.profile = e.Profile()
	step := passed / time.Duration(tokens-1)
	e.profile.StepTime += time.Duration(profileGain * float64(step-e.profile.StepTime))
}

// ObserveService takes the time of a request without a prompt in.
func (e *ProfileEstimator) ObserveService(passed time.Duration) {
	e.profile = e.Profile()
	e.profile.ServiceTime += time.Duration(profileGain * float64(passed-e.profile.ServiceTime))
}
