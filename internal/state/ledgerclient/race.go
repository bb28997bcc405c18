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
type race struct {
	raceOptions
	client    *Client
	operation *protocol.LedgerOperation
	shard     uint32
	answers   chan attemptAnswer
	ended     chan struct{}
	// inFlight counts attempts without an answer, tried names the replicas of this round.
	inFlight int
	tried    []string
	// doubtful says that an attempt that ended may have taken effect, or may still do so.
	doubtful bool
	// relayed says that another front node was asked, beyond the attempts that are under way else.
	relayed bool
	wait    time.Duration
}

// raceOptions say how far an operation goes for its answer.
type raceOptions struct {
	// directly asks replicas only, not other front nodes.
	directly bool
	// patient goes on while the shard is unreachable, until the context ends.
	patient bool
}

// attemptAnswer is how one attempt ended.
type attemptAnswer struct {
	result  *protocol.LedgerResult
	outcome attemptOutcome
	err     error
}

// attemptsAtOnce bounds the attempts under way for one operation.
const attemptsAtOnce = 2

// raceStep says what a race does next.
type raceStep int

const (
	// stepNext tries the next replica at once.
	stepNext raceStep = iota
	// stepRest waits before the next try.
	stepRest
	// stepFinal has the answer.
	stepFinal
)

// run sends the operation until an answer is final. doubtful says that an
// earlier try may have taken effect, or may still do so.
func (c *Client) run(ctx context.Context, operation *protocol.LedgerOperation, options raceOptions) (result *protocol.LedgerResult, doubtful bool, err error) {
	r := &race{
		raceOptions: options, client: c, operation: operation, shard: c.shardOf(operation),
		answers: make(chan attemptAnswer), ended: make(chan struct{}), wait: firstWait,
	}
	r.begin()
	defer r.end()
	for ctx.Err() == nil && !r.isHopeless() {
		next, known := r.next()
		step, answer := stepRest, attemptAnswer{}
		if known {
			r.start(ctx, next)
			step, answer = r.listenTo(ctx, next)
		}
		if step == stepRest {
			step, answer = r.rest(ctx)
		}
		if step == stepFinal {
			return answer.result, r.doubtful || r.inFlight > 0, answer.err
		}
	}
	return ledger.ResultWithStatus(protocol.LedgerStatus_LEDGER_UNAVAILABLE), r.doubtful || r.inFlight > 0, nil
}

func (r *race) begin() {
	now := time.Now()
	r.client.replicas.begin(r.shard, now)
	r.client.shards.begin(r.shard, now)
}

func (r *race) end() {
	now := time.Now()
	r.client.replicas.end(r.shard, now)
	r.client.shards.end(r.shard, now)
	close(r.ended)
}

// isHopeless reports whether there is no use in waiting longer: the shard is unreachable, and what the operation would
// begin is better begun later.
func (r *race) isHopeless() bool {
	if r.patient || !r.client.watched.Load() {
		return false
	}
	now := time.Now()
	return r.client.shards.isOut(r.shard, now) || r.directly && r.client.replicas.isOut(r.shard, now)
}

// mayRelay reports whether another front node is worth asking besides the attempts that are under way.
func (r *race) mayRelay() bool {
	if r.directly || r.relayed || !r.client.replicas.isOut(r.shard, time.Now()) {
		return false
	}
	r.relayed = len(r.client.relayAddresses()) > 0
	return r.relayed
}

// next gives the first replica that was not tried in this round. Without any a
// new round begins after a rest.
func (r *race) next() (target, bool) {
	for _, each := range r.client.targets(r.operation, r.directly) {
		if !slices.Contains(r.tried, each.address) {
			return each, true
		}
	}
	r.tried = r.tried[:0]
	return target{}, false
}

// start makes an attempt in the background. It outlives the operation, so that
// a replica that stays silent becomes a suspect also when another one answered.
func (r *race) start(ctx context.Context, to target) {
	r.tried = append(r.tried, to.address)
	r.inFlight++
	go func() {
		answer := r.client.attempt(ctx, to, r.operation)
		select {
		case r.answers <- answer:
		case <-r.ended:
		}
	}()
}

// listenTo waits for an answer until silence of the replica asked last lets the next one be asked, which
// needs to be in the budget of hedges. No more than two attempts are under way at a time.
func (r *race) listenTo(ctx context.Context, asked target) (raceStep, attemptAnswer) {
	began := time.Now()
	for {
		inFlight := r.inFlight
		step, answer := r.listen(ctx, r.client.patienceFor(r.operation).hedge)
		if step != stepNext || r.inFlight < inFlight || ctx.Err() != nil || r.isHopeless() || r.mayRelay() {
			return step, answer
		}
		if r.inFlight < attemptsAtOnce && !r.client.hedges.heardSince(asked.address, began) && r.client.hedges.take(time.Now()) {
			return stepNext, attemptAnswer{}
		}
	}
}

// listen waits for an answer for a while. Without one the step is stepNext.
func (r *race) listen(ctx context.Context, patience time.Duration) (raceStep, attemptAnswer) {
	timer := time.NewTimer(patience)
	defer timer.Stop()
	select {
	case answer := <-r.answers:
		return r.judge(answer)
	case <-timer.C:
		return stepNext, attemptAnswer{}
	case <-ctx.Done():
		return stepNext, attemptAnswer{}
	}
}

func (r *race) judge(answer attemptAnswer) (raceStep, attemptAnswer) {
	r.inFlight--
	switch answer.outcome {
	case attemptFinal:
		return stepFinal, answer
	case attemptNotSent:
		return stepNext, answer
	case attemptBroken:
		r.doubtful = true
		return stepNext, answer
	case attemptOutOfTime:
		r.doubtful = true
		return stepFinal, attemptAnswer{result: ledger.ResultWithStatus(protocol.LedgerStatus_LEDGER_UNAVAILABLE)}
	default:
		r.doubtful = true
		return stepRest, answer
	}
}

// rest waits, longer each time, and listens meanwhile.
func (r *race) rest(ctx context.Context) (raceStep, attemptAnswer) {
	wait := r.wait/2 + rand.N(r.wait/2+1)
	r.wait = min(2*r.wait, longestWait)
	if r.inFlight > 0 {
		step, answer := r.listen(ctx, wait)
		if step == stepRest {
			step = stepNext
		}
		return step, answer
	}
	r.client.options.Wait(ctx, wait)
	return stepNext, attemptAnswer{}
}
