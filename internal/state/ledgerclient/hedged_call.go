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
// does not answer. It belongs to the goroutine of run; attempts only send to results.
type hedgedCall struct {
	callOptions
	client    *Client
	operation *protocol.LedgerOperation
	shard     uint32

	results chan attemptResult
	// ended is closed when the operation returns; attempts that end later drop their result.
	ended chan struct{}
	// inFlight counts attempts without a result.
	inFlight int
	// attempted are the addresses of the targets that had an attempt since the last backoff.
	attempted []string
	// outcomeUnknown says that an attempt that ended may have taken effect, or may still do so.
	outcomeUnknown bool
	// relayed says that a relay was already requested beside the attempts in flight.
	relayed bool
	// backoff is the upper bound of the next random wait.
	backoff time.Duration
}

// callOptions say how far an operation goes for its answer.
type callOptions struct {
	// replicasOnly sends to replicas only, not to other front nodes.
	replicasOnly bool
	// persistent goes on while the shard is unreachable, until the context ends.
	persistent bool
}

// attemptResult is how one attempt ended. Either result or err is set with attemptAnswered.
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
	// stepReturn has the final answer.
	stepReturn
)

// run sends the operation until an answer is final. outcomeUnknown says that an earlier attempt may have taken effect,
// or may still do so.
func (c *Client) run(
	ctx context.Context, operation *protocol.LedgerOperation, options callOptions,
) (result *protocol.LedgerResult, outcomeUnknown bool, err error) {
	h := &hedgedCall{
		callOptions: options, client: c, operation: operation, shard: c.shardOf(operation),
		results: make(chan attemptResult), ended: make(chan struct{}), backoff: initialBackoff,
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

// attemptOnce attempts the next target and waits for an answer, and backs off when there is no target or no decision.
func (h *hedgedCall) attemptOnce(ctx context.Context) (callStep, attemptResult) {
	to, exists := h.nextTarget()
	if !exists {
		return h.backOff(ctx)
	}
	h.startAttempt(ctx, to)
	step, answer := h.awaitAnswerOrHedge(ctx, to)
	if step == stepBackOff {
		return h.backOff(ctx)
	}
	return step, answer
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
	close(h.ended)
}

// shouldGiveUp reports whether waiting longer is useless: the shard is unreachable, and the work that the operation
// would begin is better begun later. Without health checks nothing would find out when the shard answers again.
func (h *hedgedCall) shouldGiveUp() bool {
	if h.persistent || !h.client.checking.Load() {
		return false
	}
	now := time.Now()
	return h.client.shardOutages.isOut(h.shard, now) ||
		h.replicasOnly && h.client.replicaOutages.isOut(h.shard, now)
}

// shouldRelay reports, once for an operation, whether a relay is worth a request beside the attempts in flight.
func (h *hedgedCall) shouldRelay() bool {
	if h.replicasOnly || h.relayed || !h.client.replicaOutages.isOut(h.shard, time.Now()) {
		return false
	}
	h.relayed = len(h.client.relayAddresses()) > 0
	return h.relayed
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

// startAttempt makes an attempt in a goroutine that outlives the operation, so that a replica that does not answer is
// suspected even when another one did. The attempt timeout ends it.
func (h *hedgedCall) startAttempt(ctx context.Context, to target) {
	h.attempted = append(h.attempted, to.address)
	h.inFlight++
	go func() {
		answer := h.client.attempt(ctx, to, h.operation)
		select {
		case h.results <- answer:
		case <-h.ended:
		}
	}()
}

// awaitAnswerOrHedge waits for an answer until the latest target is late enough for a hedge, which the hedge budget
// must allow.
func (h *hedgedCall) awaitAnswerOrHedge(ctx context.Context, latest target) (callStep, attemptResult) {
	began := time.Now()
	for {
		inFlight := h.inFlight
		step, answer := h.awaitAnswer(ctx, h.client.timeoutsFor(h.operation).hedgeAfter)
		if step != stepNextTarget || h.inFlight < inFlight || ctx.Err() != nil || h.shouldGiveUp() || h.shouldRelay() {
			return step, answer
		}
		if h.mayHedge(latest, began) {
			return stepNextTarget, attemptResult{}
		}
	}
}

// mayHedge reports whether one more attempt may be in flight. A target that carried out a change since the attempt
// began is slow and not frozen, so a hedge would only add to its load.
func (h *hedgedCall) mayHedge(latest target, began time.Time) bool {
	return h.inFlight < maxConcurrentAttempts && !h.client.hedgeBudget.changedSince(latest.address, began) &&
		h.client.hedgeBudget.allow(time.Now())
}

// awaitAnswer waits for the next result. The step is stepNextTarget when none arrives within the timeout.
func (h *hedgedCall) awaitAnswer(ctx context.Context, timeout time.Duration) (callStep, attemptResult) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case answer := <-h.results:
		return h.handleResult(answer)
	case <-timer.C:
		return stepNextTarget, attemptResult{}
	case <-ctx.Done():
		return stepNextTarget, attemptResult{}
	}
}

func (h *hedgedCall) handleResult(answer attemptResult) (callStep, attemptResult) {
	h.inFlight--
	switch answer.outcome {
	case attemptAnswered:
		return stepReturn, answer
	case attemptNotSent:
		return stepNextTarget, answer
	case attemptUnanswered:
		h.outcomeUnknown = true
		return stepNextTarget, answer
	case attemptDeadlineExceeded:
		h.outcomeUnknown = true
		return stepReturn, attemptResult{result: ledger.ResultWithStatus(protocol.LedgerStatus_LEDGER_UNAVAILABLE)}
	default:
		h.outcomeUnknown = true
		return stepBackOff, answer
	}
}

// backOff waits for a random time with a doubling bound, and takes in the result of an attempt in flight meanwhile.
func (h *hedgedCall) backOff(ctx context.Context) (callStep, attemptResult) {
	wait := h.backoff/2 + rand.N(h.backoff/2+1)
	h.backoff = min(2*h.backoff, maxBackoff)
	if h.inFlight > 0 {
		step, answer := h.awaitAnswer(ctx, wait)
		if step == stepBackOff {
			step = stepNextTarget
		}
		return step, answer
	}
	h.client.options.Wait(ctx, wait)
	return stepNextTarget, attemptResult{}
}
