package servingsuite

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rosestand/rosestand/internal/dataplane/schedule"
	"github.com/rosestand/rosestand/internal/failure"
	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/testing/sim"
)

// Names of the rules.
const (
	RuleOnce      = "what may not be repeated runs once"
	RuleRefused   = "a refused request never runs"
	RuleOwnAnswer = "an answer is that of its own request"
	RuleStream    = "a stream neither skips, repeats nor splices"
	RuleDrain     = "nothing goes to a server whose drain is acknowledged"
	RuleRoute     = "an acknowledged route is in force at every front node with authority"
	RuleBudget    = "no program receives more than its budget plus one turn"
	RuleDeadline  = "every request has its final answer by its deadline and the time to hear of it"
	RuleEarly     = "a refusal for load comes early"
	RuleRetry     = "a refusal for load names a time to come back"
	RuleUrgency   = "the more urgent are not served less than the less urgent"
	RuleHalf      = "suspicion never takes more than half of a group out"
	RuleBack      = "service is back within 12 s"
)

const (
	// drainBound is how long after the acknowledgement of a drain a request that was under way may reach the server.
	drainBound = 2 * time.Second
	// slotBound is how long a request may wait for a slot before it is refused for load.
	slotBound = 2*time.Second + 100*time.Millisecond
	// deadlineTolerance is for the work between a timer and its answer.
	deadlineTolerance = 100 * time.Millisecond
	// contention is how long requests of all classes come at once at the beginning of a burst: what comes later, when
	// the burst has been served, would be compared with what came in its midst.
	contention = burstSpread + 100*time.Millisecond
	// leastWeight is how many decisions on tickets a comparison needs to mean something.
	leastWeight = 40
	// shareTolerance is by how much a class may be served better than a more urgent one over the bursts of a run, as in
	// the queue's own policy; standardErrors is by how much more chance may have it look.
	shareTolerance = 0.03
	standardErrors = 2
	// mostTolerance is never exceeded, however few the decisions.
	mostTolerance = 0.1
	percentPoints = 100
)

// rules are the checkers of one run and what they remember.
type rules struct {
	suite *suite

	once, refusals, own, stream, drain, route, budget, deadline, early, retry, urgency, half, back *sim.Rule

	runs       map[string]int
	kinds      map[string]requestKind
	refusedIDs map[string]bool
	drained    map[string]time.Duration
	routes     []string
	// tokens are the pieces that callers got, by program.
	tokens    map[string]map[string]bool
	pending   map[pendingKey]time.Duration
	contended time.Duration
	// bursts counts the bursts so far; shares are the decisions on tickets in each of them.
	bursts int
	shares map[shareKey]*share
}

type pendingKey struct {
	front string
	life  int
	id    string
}

// shareKey names the decisions of one front node on one class in one burst. Other bursts strike the fleet in another
// state, and other front nodes may be worse off, so that their shares do not compare.
type shareKey struct {
	burst int
	front string
	class protocol.Priority
}

type share struct{ served, refused int }

func (s share) decided() int { return s.served + s.refused }

func (s share) of() float64 { return float64(s.served) / float64(max(s.decided(), 1)) }

func newRules(s *suite) *rules {
	rule := s.world.NewRule
	return &rules{
		suite: s, once: rule(RuleOnce), refusals: rule(RuleRefused), own: rule(RuleOwnAnswer), stream: rule(RuleStream),
		drain: rule(RuleDrain), route: rule(RuleRoute), budget: rule(RuleBudget), deadline: rule(RuleDeadline),
		early: rule(RuleEarly), retry: rule(RuleRetry), urgency: rule(RuleUrgency), half: rule(RuleHalf), back: rule(RuleBack),
		runs: make(map[string]int), kinds: make(map[string]requestKind), refusedIDs: make(map[string]bool),
		drained: make(map[string]time.Duration), tokens: make(map[string]map[string]bool),
		pending: make(map[pendingKey]time.Duration), shares: make(map[shareKey]*share),
	}
}

func (r *rules) elapsed() time.Duration { return r.suite.world.Elapsed() }

// ran is told when a server begins to run a request.
func (r *rules) ran(id, server string) {
	r.runs[id]++
	if !r.kinds[id].mayRunTwice() {
		r.once.Check(r.runs[id] == 1, "%s of kind %d ran %d times, now at %s", id, r.kinds[id], r.runs[id], server)
	}
	if r.refusedIDs[id] {
		r.refusals.Violatef("%s was refused and runs at %s", id, server)
	}
}

// refused is told when a caller hears that a request did not run and never will.
func (r *rules) refused(id string, failed *protocol.Failure) {
	r.refusedIDs[id] = true
	r.refusals.Check(r.runs[id] == 0, "%s ran and was refused: %s, %s", id, failed.GetCode(), failed.GetMessage())
}

func (r *rules) ownAnswer(own bool, request callerRequest, got string) {
	r.own.Check(own, "%s got %q", request.id(), got)
}

func (r *rules) inOrder(follows bool, request callerRequest, event *protocol.TurnEvent) {
	r.stream.Check(follows, "%s got event %d-%d out of order", request.id(), event.GetAttempt(), event.GetSequence())
}

func (r *rules) spliced(follows bool, request callerRequest, piece string) {
	r.stream.Check(follows, "%s got %q, which does not follow", request.id(), piece)
}

// completed checks a whole answer.
func (r *rules) completed(request callerRequest, completed *protocol.TurnCompleted, text string, pieces int) {
	r.ownAnswer(completed.GetNonce() == request.turn.GetNonce(), request, completed.GetNonce())
	whole := pieces == r.suite.tokensOf(request.id()) && completed.GetText() == text
	r.stream.Check(whole, "%s got %d pieces and the text %q for %q", request.id(), pieces, completed.GetText(), text)
}

// received counts a piece of output against its program's budget.
func (r *rules) received(request callerRequest, piece string) {
	program := request.turn.GetProgram()
	if r.tokens[program] == nil {
		r.tokens[program] = make(map[string]bool)
	}
	r.tokens[program][piece] = true
	got := len(r.tokens[program])
	if got > programBudget/2 {
		r.budget.Check(got <= programBudget+turnCeiling, "%s received %d tokens of %d", program, got, programBudget)
	}
}

func (r *rules) drainAcknowledged(server string) {
	if _, known := r.drained[server]; !known {
		r.drained[server] = r.elapsed()
	}
}

// chosen is told when a front node decides for a server.
func (r *rules) chosen(server string) {
	acknowledged, drained := r.drained[server]
	if drained {
		r.drain.Violatef("%s was chosen %s after its drain was acknowledged", server, r.elapsed()-acknowledged)
	}
	if len(r.drained) > 0 {
		r.drain.Provoke()
	}
}

// reached is told when a request reaches a server.
func (r *rules) reached(server string) {
	acknowledged, drained := r.drained[server]
	if drained && r.elapsed()-acknowledged > drainBound {
		r.drain.Violatef("a request reached %s %s after its drain was acknowledged", server, r.elapsed()-acknowledged)
	}
}

func (r *rules) routeAcknowledged(name string) {
	if !slices.Contains(r.routes, name) {
		r.routes = append(r.routes, name)
	}
}

func (r *rules) knownRoutes() int { return len(r.routes) }

func (r *rules) anyRoute(random *rand.Rand) string { return r.routes[random.IntN(len(r.routes))] }

func (r *rules) routeUnknown(front, route string) {
	r.route.Violatef("%s does not know %s", front, route)
}

// arrived begins the watch over one request at one front node.
func (r *rules) arrived(f *front, request callerRequest) {
	r.kinds[request.id()] = request.kind
	if request.route != "" {
		r.route.Provoke()
	}
	key := pendingKey{front: f.name, life: f.environment.Incarnation(), id: request.id()}
	began := r.elapsed()
	r.pending[key] = began
	bound := request.timeLeft + answerSlack + deadlineTolerance
	r.suite.world.After(bound, func() {
		if r.pending[key] != began || !f.environment.Alive() || r.suite.stoodStill(f.environment.Address(), began, r.elapsed()) {
			return
		}
		r.deadline.Violatef("%s has no answer at %s %s after it came", request.id(), f.name, bound)
	})
}

// answered ends it.
func (r *rules) answered(f *front, request callerRequest, failed *protocol.Failure) {
	delete(r.pending, pendingKey{front: f.name, life: f.environment.Incarnation(), id: request.id()})
	r.deadline.Provoke()
	if failure.Code(failed.GetCode()) == failure.Overloaded && failed.GetOutcome() == protocol.Outcome_NOT_RUN {
		r.retry.Check(failed.GetRetryAfterMillis() > 0, "%s was refused for load without a time to come back", request.id())
	}
}

func (r *rules) refusedSlot(f *front, request callerRequest, waited time.Duration) {
	if r.suite.stoodStill(f.environment.Address(), r.elapsed()-waited, r.elapsed()) {
		return
	}
	r.early.Check(waited <= slotBound, "%s waited %s for a slot and was refused", request.id(), waited)
}

func (r *rules) burstBegan() {
	r.contended = r.elapsed() + contention
	r.bursts++
}

// contest is the burst that a request comes in; zero when classes do not compete now.
func (r *rules) contest() int {
	if r.elapsed() > r.contended {
		return 0
	}
	return r.bursts
}

// admissionDecided counts the decision on a ticket that came in a burst.
func (r *rules) admissionDecided(front string, burst int, request callerRequest, served bool) {
	if burst == 0 || request.turn == nil {
		return
	}
	key := shareKey{burst: burst, front: front, class: request.priority()}
	counted := r.shares[key]
	if counted == nil {
		counted = &share{}
		r.shares[key] = counted
	}
	if served {
		counted.served++
	} else {
		counted.refused++
	}
}

// chose checks what a choice left out for suspicion alone.
func (r *rules) chose(front string, all []schedule.Candidate, avoid []string, decision schedule.Decision) {
	group, used, suspected := 0, 0, 0
	for _, candidate := range all {
		if candidate.Draining || candidate.Weight <= 0 || slices.Contains(avoid, candidate.ID) {
			continue
		}
		group++
		switch out := leftOut(candidate.ID, decision); {
		case !out:
			used++
		case !candidate.Unreachable:
			suspected++
		}
	}
	if suspected == 0 {
		return
	}
	r.half.Check(used >= (group+1)/2, "%s uses %d of %d servers and leaves out %d for suspicion", front, used, group, suspected)
}

// leftOut says whether a candidate was ejected from a decision, or never offered to it.
func leftOut(id string, decision schedule.Decision) bool {
	for _, score := range decision.Scores {
		if score.ID == id {
			return score.Reason == schedule.ReasonEjected
		}
	}
	return true
}

func (r *rules) serviceIsBack() {
	for _, address := range r.suite.fronts {
		for _, kind := range []requestKind{ledgeredTurn, recordedCall} {
			name := probeName(address, kind)
			r.back.Check(r.suite.callers.served[name], "%s was not served", name)
		}
	}
}

// atTheEnd compares the classes over all bursts of the run.
func (r *rules) atTheEnd() {
	for place, urgent := range priorities {
		for _, lesser := range priorities[place+1:] {
			compared := r.compare(urgent, lesser)
			if compared.weight < leastWeight {
				continue
			}
			r.urgency.Check(compared.difference() >= -compared.tolerance(), "%s is served %.0f points less than %s over %d bursts at a node",
				urgent, -percentPoints*compared.difference(), lesser, compared.bursts)
		}
	}
}

// comparison is the mean difference of the shares of two classes, each burst at each node compared by itself and
// weighed by how much it tells (the pooled risk difference of Mantel and Haenszel).
type comparison struct {
	weighted float64
	weight   float64
	bursts   int
}

func (c comparison) difference() float64 { return c.weighted / c.weight }

// tolerance is what may be chance: half is the most that the deviation of one decision can be.
func (c comparison) tolerance() float64 {
	const mostDeviation = 0.5
	return min(mostTolerance, shareTolerance+standardErrors*mostDeviation/math.Sqrt(c.weight))
}

func (c *comparison) add(urgent, lesser *share) {
	if urgent == nil || lesser == nil || urgent.refused+lesser.refused == 0 {
		return
	}
	first, second := float64(urgent.decided()), float64(lesser.decided())
	weight := first * second / (first + second)
	c.weighted += weight * (urgent.of() - lesser.of())
	c.weight += weight
	c.bursts++
}

func (r *rules) compare(urgent, lesser protocol.Priority) comparison {
	var compared comparison
	for burst := 1; burst <= r.bursts; burst++ {
		for _, address := range r.suite.fronts {
			front := string(address)
			compared.add(r.shares[shareKey{burst, front, urgent}], r.shares[shareKey{burst, front, lesser}])
		}
	}
	return compared
}
