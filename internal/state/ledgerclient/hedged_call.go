package ledgerclient

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/state/ledger"
)

// race is one operation on its way: usually one attempt after the other, with
// a further one at another replica while one is silent.
type hedgedCall struct {
	callOptions
	client    *Client
	operation *protocol.LedgerOperation
	shard     uint32
	results   chan attemptResult
	ended     chan struct{}
	// inFlight counts attempts without an answer, tried names the replicas of this round.
	inFlight  int
	attempted []string
	// doubtful says that an attempt that ended may have taken effect, or may still do so.
	outcomeUnknown bool
	// relayed says that another front node was asked, beyond the attempts that are under way else.
	relayed bool
	backoff time.Duration
}

// raceOptions say how far an operation goes for its answer.
type callOptions struct {
	// directly asks replicas only, not other front nodes.
	replicasOnly bool
	// patient goes on while the shard is unreachable, until the context ends.
	persistent bool
}

// attemptAnswer is how one attempt ended.
type attemptResult struct {
	result  *protocol.LedgerResult
	outcome attemptOutcome
	err     error
}

// attemptsAtOnce bounds the attempts under way for one operation.
const maxConcurrentAttempts = 2

// raceStep says what a race does next.
type callStep int

const (
	// stepNext tries the next replica at once.
	stepNextTarget callStep = iota
	// stepRest waits before the next try.
	stepBackOff
	// stepFinal has the answer.
	stepReturn
)

// run sends the operation until an answer is final. doubtful says that an
// earlier try may have taken effect, or may still do so.
func (c *Client) run(ctx context.Context, operation *protocol.LedgerOperation, options callOptions) (result *protocol.LedgerResult, outcomeUnknown bool, err error) {
	r := &hedgedCall{
		callOptions: options, client: c, operation: operation, shard: c.shardOf(operation),
		results: make(chan attemptResult), ended: make(chan struct{}), backoff: initialBackoff,
	}
	r.recordStart()
	defer r.recordEnd()
	for ctx.Err() == nil && !r.shouldGiveUp() {
		next, known := r.nextTarget()
		step, answer := stepBackOff, attemptResult{}
		if known {
			r.startAttempt(ctx, next)
			step, answer = r.awaitAnswerOrHedge(ctx, next)
		}
		if step == stepBackOff {
			step, answer = r.backOff(ctx)
		}
		if step == stepReturn {
			return answer.result, r.outcomeUnknown || r.inFlight > 0, answer.err
		}
	}
	return ledger.ResultWithStatus(protocol.LedgerStatus_LEDGER_UNAVAILABLE), r.outcomeUnknown || r.inFlight > 0, nil
}

func (r *hedgedCall) recordStart() {
	now := time.Now()
	r.client.replicaOutages.observeStart(r.shard, now)
	r.client.shardOutages.observeStart(r.shard, now)
}

func (r *hedgedCall) recordEnd() {
	now := time.Now()
	r.client.replicaOutages.observeEnd(r.shard, now)
	r.client.shardOutages.observeEnd(r.shard, now)
	close(r.ended)
}

// isHopeless reports whether there is no use in waiting longer: the shard is unreachable, and what the operation would
// begin is better begun later.
func (r *hedgedCall) shouldGiveUp() bool {
	if r.persistent || !r.client.checking.Load() {
		return false
	}
	now := time.Now()
	return r.client.shardOutages.isOut(r.shard, now) || r.replicasOnly && r.client.replicaOutages.isOut(r.shard, now)
}

// mayRelay reports whether another front node is worth asking besides the attempts that are under way.
func (r *hedgedCall) shouldRelay() bool {
	if r.replicasOnly || r.relayed || !r.client.replicaOutages.isOut(r.shard, time.Now()) {
		return false
	}
	r.relayed = len(r.client.relayAddresses()) > 0
	return r.relayed
}

// next gives the first replica that was not tried in this round. Without any a
// new round begins after a rest.
func (r *hedgedCall) nextTarget() (target, bool) {
	for _, each := range r.client.targets(r.operation, r.replicasOnly) {
		if !slices.Contains(r.attempted, each.address) {
			return each, true
		}
	}
	r.attempted = r.attempted[:0]
	return target{}, false
}

// start makes an attempt in the background. It outlives the operation, so that
// a replica that stays silent becomes a suspect also when another one answered.
func (r *hedgedCall) startAttempt(ctx context.Context, to target) {
	r.attempted = append(r.attempted, to.address)
	r.inFlight++
	go func() {
		answer := r.client.attempt(ctx, to, r.operation)
		select {
		case r.results <- answer:
		case <-r.ended:
		}
	}()
}

// listenTo waits for an answer until silence of the replica asked last lets the next one be asked, which
// needs to be in the budget of hedges. No more than two attempts are under way at a time.
func (r *hedgedCall) awaitAnswerOrHedge(ctx context.Context, latest target) (callStep, attemptResult) {
	began := time.Now()
	for {
		inFlight := r.inFlight
		step, answer := r.awaitAnswer(ctx, r.client.timeoutsFor(r.operation).hedgeAfter)
		if step != stepNextTarget || r.inFlight < inFlight || ctx.Err() != nil || r.shouldGiveUp() || r.shouldRelay() {
			return step, answer
		}
		if r.inFlight < maxConcurrentAttempts && !r.client.hedgeBudget.changedSince(latest.address, began) && r.client.hedgeBudget.allow(time.Now()) {
			return stepNextTarget, attemptResult{}
		}
	}
}

// listen waits for an answer for a while. Without one the step is stepNext.
func (r *hedgedCall) awaitAnswer(ctx context.Context, timeout time.Duration) (callStep, attemptResult) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case answer := <-r.results:
		return r.handleResult(answer)
	case <-timer.C:
		return stepNextTarget, attemptResult{}
	case <-ctx.Done():
		return stepNextTarget, attemptResult{}
	}
}

func (r *hedgedCall) handleResult(answer attemptResult) (callStep, attemptResult) {
	r.inFlight--
	switch answer.outcome {
	case attemptAnswered:
		return stepReturn, answer
	case attemptNotSent:
		return stepNextTarget, answer
	case attemptUnanswered:
		r.outcomeUnknown = true
		return stepNextTarget, answer
	case attemptDeadlineExceeded:
		r.outcomeUnknown = true
		return stepReturn, attemptResult{result: ledger.ResultWithStatus(protocol.LedgerStatus_LEDGER_UNAVAILABLE)}
	default:
		r.outcomeUnknown = true
		return stepBackOff, answer
	}
}

// rest waits, longer each time, and listens meanwhile.
func (r *hedgedCall) backOff(ctx context.Context) (callStep, attemptResult) {
	wait := r.backoff/2 + rand.N(r.backoff/2+1)
	r.backoff = min(2*r.backoff, maxBackoff)
	if r.inFlight > 0 {
		step, answer := r.awaitAnswer(ctx, wait)
		if step == stepBackOff {
			step = stepNextTarget
		}
		return step, answer
	}
	r.client.options.Wait(ctx, wait)
	return stepNextTarget, attemptResult{}
}
