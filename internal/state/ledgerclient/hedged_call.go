package ledgerclient

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/state/ledger"
)

// maxConcurrentAttempts bounds the attempts in flight for one operation: the first one and one hedge.
const maxConcurrentAttempts = 2

// hedgedCall is one operation in progress: usually one attempt after another, with a hedge to another replica while one
// does not answer. Only the goroutine of run accesses it; attempts send to results.
type hedgedCall struct {
	callOptions
	client    *Client
	operation *protocol.LedgerOperation
	shard     uint32

	results chan attemptResult
	// done is closed when the operation returns; attempts that end later drop their result.
	done chan struct{}
	// inFlight counts attempts without a result.
	inFlight int
	// attempted are the addresses of the targets that have been attempted since the last backoff.
	attempted []string
	// outcomeUnknown is true if an attempt that has ended may have taken effect, or may still do so.
	outcomeUnknown bool
	// relayRequested is true if a relay was already requested in addition to the attempts in flight.
	relayRequested bool
	// backoff is the upper bound of the next random wait.
	backoff time.Duration
}

// callOptions restrict the targets and the duration of an operation.
type callOptions struct {
	// replicasOnly excludes relays: the operation is sent to replicas only.
	replicasOnly bool
	// persistent makes the operation continue while the shard is unreachable, until the context ends.
	persistent bool
}

// attemptResult is the result of one attempt. With attemptAnswered, either result or err is set.
type attemptResult struct {
	result  *protocol.LedgerResult
	outcome attemptOutcome
	err     error
}

// callStep is what a hedged call does next.
type callStep int

const (
	// stepNextTarget attempts the next target at once.
	stepNextTarget callStep = iota
	// stepBackOff waits before the next attempt.
	stepBackOff
	// stepReturn returns the final answer.
	stepReturn
)

// run sends the operation until an answer is final. outcomeUnknown is true if an attempt other than the final one may
// have taken effect, or may still do so.
func (c *Client) run(
	ctx context.Context, operation *protocol.LedgerOperation, options callOptions,
) (result *protocol.LedgerResult, outcomeUnknown bool, err error) {
	h := &hedgedCall{
		callOptions: options, client: c, operation: operation, shard: c.shardOf(operation),
		results: make(chan attemptResult), done: make(chan struct{}), backoff: initialBackoff,
	}
	h.recordStart()
	defer h.recordEnd()
	for ctx.Err() == nil && !h.shouldGiveUp() {
		if step, answer := h.attemptOnce(ctx); step == stepReturn {
			return answer.result, h.mayTakeEffect(), answer.err
		}
	}
	return ledger.ResultWithStatus(protocol.LedgerStatus_LEDGER_UNAVAILABLE), h.mayTakeEffect(), nil
}

// attemptOnce attempts the next target and waits for a result. It backs off when there is no target or the attempt was
// undecided.
func (h *hedgedCall) attemptOnce(ctx context.Context) (callStep, attemptResult) {
	to, ok := h.nextTarget()
	if !ok {
		return h.backOff(ctx)
	}
	h.startAttempt(ctx, to)
	step, result := h.awaitResultOrHedge(ctx, to)
	if step == stepBackOff {
		return h.backOff(ctx)
	}
	return step, result
}

// mayTakeEffect reports whether an attempt other than the final one may have taken effect, or may still do so.
func (h *hedgedCall) mayTakeEffect() bool { return h.outcomeUnknown || h.inFlight > 0 }

func (h *hedgedCall) recordStart() {
	now := time.Now()
	h.client.replicaOutages.observeStart(h.shard, now)
	h.client.shardOutages.observeStart(h.shard, now)
}

func (h *hedgedCall) recordEnd() {
	now := time.Now()
	h.client.replicaOutages.observeEnd(h.shard, now)
	h.client.shardOutages.observeEnd(h.shard, now)
	close(h.done)
}

// shouldGiveUp reports whether to stop waiting: the shard is unreachable, and the work that the operation would begin
// should rather begin later. It never does so without health checks, since nothing else detects that a shard answers
// again.
func (h *hedgedCall) shouldGiveUp() bool {
	if h.persistent || !h.client.checking.Load() {
		return false
	}
	now := time.Now()
	return h.client.shardOutages.isDown(h.shard, now) ||
		h.replicasOnly && h.client.replicaOutages.isDown(h.shard, now)
}

// shouldRelay reports, at most once per operation, whether to request a relay in addition to the attempts in flight.
func (h *hedgedCall) shouldRelay() bool {
	if h.replicasOnly || h.relayRequested || !h.client.replicaOutages.isDown(h.shard, time.Now()) {
		return false
	}
	h.relayRequested = len(h.client.relayAddresses()) > 0
	return h.relayRequested
}

// nextTarget returns the first target without an attempt since the last backoff. When there is none, the next call
// starts with the first target again.
func (h *hedgedCall) nextTarget() (target, bool) {
	for _, candidate := range h.client.targets(h.operation, h.replicasOnly) {
		if !slices.Contains(h.attempted, candidate.address) {
			return candidate, true
		}
	}
	h.attempted = h.attempted[:0]
	return target{}, false
}

// startAttempt starts an attempt in a goroutine that may outlive the operation, so that a replica that does not answer
// is suspected even when another one did. The attempt timeout ends it.
func (h *hedgedCall) startAttempt(ctx context.Context, to target) {
	h.attempted = append(h.attempted, to.address)
	h.inFlight++
	go func() {
		result := h.client.attempt(ctx, to, h.operation)
		select {
		case h.results <- result:
		case <-h.done:
		}
	}()
}

// awaitResultOrHedge waits for a result until the latest target is late enough for a hedge and the hedge budget allows
// one.
func (h *hedgedCall) awaitResultOrHedge(ctx context.Context, latest target) (callStep, attemptResult) {
	startedAt := time.Now()
	for {
		inFlight := h.inFlight
		step, result := h.awaitResult(ctx, h.client.timeoutsFor(h.operation).hedgeAfter)
		if step != stepNextTarget || h.inFlight < inFlight || ctx.Err() != nil || h.shouldGiveUp() || h.shouldRelay() {
			return step, result
		}
		if h.mayHedge(latest, startedAt) {
			return stepNextTarget, attemptResult{}
		}
	}
}

// mayHedge reports whether one more attempt may be in flight. A target that carried out a change since the attempt
// started is slow but not unresponsive, so a hedge would only add load.
func (h *hedgedCall) mayHedge(latest target, startedAt time.Time) bool {
	return h.inFlight < maxConcurrentAttempts && !h.client.hedgeBudget.changedSince(latest.address, startedAt) &&
		h.client.hedgeBudget.allow(time.Now())
}

// awaitResult waits for the next result. The step is stepNextTarget when none arrives within the timeout.
func (h *hedgedCall) awaitResult(ctx context.Context, timeout time.Duration) (callStep, attemptResult) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case result := <-h.results:
		return h.handleResult(result)
	case <-timer.C:
		return stepNextTarget, attemptResult{}
	case <-ctx.Done():
		return stepNextTarget, attemptResult{}
	}
}

func (h *hedgedCall) handleResult(result attemptResult) (callStep, attemptResult) {
	h.inFlight--
	switch result.outcome {
	case attemptAnswered:
		return stepReturn, result
	case attemptNotSent:
		return stepNextTarget, result
	case attemptUnanswered:
		h.outcomeUnknown = true
		return stepNextTarget, result
	case attemptDeadlineExceeded:
		h.outcomeUnknown = true
		return stepReturn, attemptResult{result: ledger.ResultWithStatus(protocol.LedgerStatus_LEDGER_UNAVAILABLE)}
	default:
		h.outcomeUnknown = true
		return stepBackOff, result
	}
}

// backOff waits for a random time with a doubling bound, and handles the result of an attempt in flight meanwhile.
func (h *hedgedCall) backOff(ctx context.Context) (callStep, attemptResult) {
	wait := h.backoff/2 + rand.N(h.backoff/2+1)
	h.backoff = min(2*h.backoff, maxBackoff)
	if h.inFlight > 0 {
		step, result := h.awaitResult(ctx, wait)
		if step == stepBackOff {
			step = stepNextTarget
		}
		return step, result
	}
	h.client.options.Wait(ctx, wait)
	return stepNextTarget, attemptResult{}
}
