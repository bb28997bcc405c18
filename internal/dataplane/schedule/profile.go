package schedule

import (
	"cmp"
	"time"
)

// Profile is the speed of an ordinary server of a group. A field that is 0 means its default.
type Profile struct {
	// PromptRate is the number of prompt tokens prefilled in a millisecond.
	PromptRate float64
	// StepTime is the time in which one output token is generated at low load.
	StepTime time.Duration
	// Overhead is the part of the time to the first token that does not depend on the prompt.
	Overhead time.Duration
	// MeanPrompt is the mean number of prompt tokens to prefill.
	MeanPrompt float64
	// ServiceTime is the duration of a request without a prompt.
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

// prefillTime returns how long a server takes to prefill that many prompt tokens.
func (p Profile) prefillTime(tokens float64) time.Duration {
	return time.Duration(tokens / p.PromptRate * float64(time.Millisecond))
}

// FirstToken returns the expected time to the first token of a request with that many tokens to prefill, including
// those of requests ahead of it at the server.
func (p Profile) FirstToken(tokens uint64) time.Duration {
	p = p.withDefaults()
	return p.Overhead + p.prefillTime(float64(tokens))
}

const (
	// profileGain is the weight of one observation.
	profileGain = 0.02
	// maxFirstTokenFactor is the multiple of the expected time above which a first token is no measure of the prompt rate:
	// it was delayed by something else.
	maxFirstTokenFactor = 3
)

// ProfileEstimator estimates the profile of a group from its answers. Its zero value has the defaults as its estimate.
type ProfileEstimator struct {
	profile Profile
}

// Profile returns the current estimate.
func (e *ProfileEstimator) Profile() Profile { return e.profile.withDefaults() }

// ObserveFirstToken adds the time from issue to the first token of a request, of which the server had to prefill
// own tokens after ahead tokens of other requests.
func (e *ProfileEstimator) ObserveFirstToken(own, ahead uint64, latency time.Duration) {
	e.profile = e.Profile()
	e.profile.MeanPrompt += profileGain * (float64(own) - e.profile.MeanPrompt)
	expected := e.profile.FirstToken(own + ahead)
	if latency <= 0 || latency > maxFirstTokenFactor*expected {
		return
	}
	// The error is divided between the overhead and the rate in proportion to their parts of the expected time.
	correction := profileGain * float64(latency-expected) / float64(expected)
	overhead := float64(e.profile.Overhead)
	e.profile.Overhead = time.Duration(overhead * (1 + correction*overhead/float64(expected)))
	e.profile.PromptRate /= 1 + correction*(1-float64(e.profile.Overhead)/float64(expected))
}

// ObserveOutput adds the time between the first and the last of that many output tokens.
func (e *ProfileEstimator) ObserveOutput(tokens uint64, passed time.Duration) {
	if tokens < 2 || passed <= 0 {
		return
	}
	e.profile = e.Profile()
	step := passed / time.Duration(tokens-1)
	e.profile.StepTime += time.Duration(profileGain * float64(step-e.profile.StepTime))
}

// ObserveService adds the duration of a request without a prompt.
func (e *ProfileEstimator) ObserveService(passed time.Duration) {
	e.profile = e.Profile()
	e.profile.ServiceTime += time.Duration(profileGain * float64(passed-e.profile.ServiceTime))
}
