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
	RuleAtMostOnce           = "what may not be repeated runs once"
	RuleRejectedNeverRuns    = "a refused request never runs"
	RuleAnswerMatchesRequest = "an answer is that of its own request"
	RuleStreamContiguous     = "a stream neither skips, repeats nor splices"
	RuleNothingAfterDrain    = "nothing goes to a server whose drain is acknowledged"
	RuleRouteInForce         = "an acknowledged route is in force at every front node with authority"
	RuleWithinBudget         = "no program receives more than its budget plus one turn"
	RuleAnsweredByDeadline   = "every request has its final answer by its deadline and the time to hear of it"
	RuleEarlyRejection       = "a refusal for load comes early"
	RuleRetryAfterGiven      = "a refusal for load names a time to come back"
	RulePriorityOrder        = "the more urgent are not served less than the less urgent"
	RuleEjectionBound        = "suspicion never takes more than half of a group out"
	RuleServiceRecovers      = "service is back within 12 s"
)

const (
	// drainBound is how long after the acknowledgement of a drain a request that was in flight may reach the server.
	drainBound = 2 * time.Second
	// slotBound is how long a request may wait for a slot before it is rejected for load.
	slotBound = 2*time.Second + 100*time.Millisecond
	// deadlineTolerance allows for the delay between a timer and its answer.
	deadlineTolerance = 100 * time.Millisecond
	// contention is how long requests of all classes compete at the beginning of a burst; later requests, which arrive
	// when the burst has been served, do not compare with them.
	contention = burstSpread + 100*time.Millisecond
	// minWeight is the weight in decisions that a comparison needs to be significant.
	minWeight = 40
	// priorityTolerance is by how much a class may be served better than a more urgent one over the bursts of a run, as
	// the queue's policy allows; standardErrors allows for chance.
	priorityTolerance = 0.03
	standardErrors    = 2
	// maxTolerance bounds the tolerance, however few the decisions.
	maxTolerance  = 0.1
	percentPoints = 100
)

// rules are the checkers of one run with their state.
type rules struct {
	suite *suite

	atMostOnce         *sim.Rule
	rejectedNeverRuns  *sim.Rule
	answerMatches      *sim.Rule
	streamContiguous   *sim.Rule
	nothingAfterDrain  *sim.Rule
	routeInForce       *sim.Rule
	withinBudget       *sim.Rule
	answeredByDeadline *sim.Rule
	earlyRejection     *sim.Rule
	retryAfterGiven    *sim.Rule
	priorityOrder      *sim.Rule
	ejectionBound      *sim.Rule
	serviceRecovers    *sim.Rule

	executions          map[string]int
	kinds               map[string]requestKind
	rejectedIDs         map[string]bool
	drainAcknowledgedAt map[string]time.Duration
	acknowledgedRoutes  []string
	// tokens are the chunks that callers received, by program.
	tokens         map[string]map[string]bool
	pending        map[pendingKey]time.Duration
	contendedUntil time.Duration
	// bursts counts the bursts so far; admissions are the decisions on tickets in each of them.
	bursts     int
	admissions map[admissionKey]*admissionCount
}

type pendingKey struct {
	front       string
	incarnation int
	id          string
}

// admissionKey names the decisions of one front node on one class in one burst. Fractions of different bursts or front
// nodes do not compare, since the state of the fleet differs.
type admissionKey struct {
	burst int
	front string
	class protocol.Priority
}

type admissionCount struct{ served, rejected int }

func (s admissionCount) decided() int { return s.served + s.rejected }

func (s admissionCount) servedFraction() float64 {
	return float64(s.served) / float64(max(s.decided(), 1))
}

func newRules(s *suite) *rules {
	rule := s.world.NewRule
	return &rules{
		suite:              s,
		atMostOnce:         rule(RuleAtMostOnce),
		rejectedNeverRuns:  rule(RuleRejectedNeverRuns),
		answerMatches:      rule(RuleAnswerMatchesRequest),
		streamContiguous:   rule(RuleStreamContiguous),
		nothingAfterDrain:  rule(RuleNothingAfterDrain),
		routeInForce:       rule(RuleRouteInForce),
		withinBudget:       rule(RuleWithinBudget),
		answeredByDeadline: rule(RuleAnsweredByDeadline),
		earlyRejection:     rule(RuleEarlyRejection),
		retryAfterGiven:    rule(RuleRetryAfterGiven),
		priorityOrder:      rule(RulePriorityOrder),
		ejectionBound:      rule(RuleEjectionBound),
		serviceRecovers:    rule(RuleServiceRecovers),

		executions: make(map[string]int), kinds: make(map[string]requestKind), rejectedIDs: make(map[string]bool),
		drainAcknowledgedAt: make(map[string]time.Duration), tokens: make(map[string]map[string]bool),
		pending: make(map[pendingKey]time.Duration), admissions: make(map[admissionKey]*admissionCount),
	}
}

func (r *rules) elapsed() time.Duration { return r.suite.world.Elapsed() }

// observeExecution is called when a server begins to run a request.
func (r *rules) observeExecution(id, server string) {
	r.executions[id]++
	if !r.kinds[id].idempotent() {
		r.atMostOnce.Check(r.executions[id] == 1, "%s of kind %d ran %d times, now at %s", id, r.kinds[id], r.executions[id],
			server)
	}
	if r.rejectedIDs[id] {
		r.rejectedNeverRuns.Violatef("%s was rejected and runs at %s", id, server)
	}
}

// observeRejection is called when a caller receives a rejection.
func (r *rules) observeRejection(id string, failed *protocol.Failure) {
	r.rejectedIDs[id] = true
	r.rejectedNeverRuns.Check(r.executions[id] == 0, "%s ran and was rejected: %s, %s", id, failed.GetCode(),
		failed.GetMessage())
}

func (r *rules) checkAnswer(own bool, request callerRequest, got string) {
	r.answerMatches.Check(own, "%s got %q", request.id(), got)
}

func (r *rules) checkEventOrder(follows bool, request callerRequest, event *protocol.TurnEvent) {
	r.streamContiguous.Check(follows, "%s got event %d-%d out of order", request.id(), event.GetAttempt(),
		event.GetSequence())
}

func (r *rules) checkChunk(follows bool, request callerRequest, chunk string) {
	r.streamContiguous.Check(follows, "%s got %q, which does not follow", request.id(), chunk)
}

// checkCompletion checks a complete answer.
func (r *rules) checkCompletion(request callerRequest, completed *protocol.TurnCompleted, text string, chunks int) {
	r.checkAnswer(completed.GetNonce() == request.turn.GetNonce(), request, completed.GetNonce())
	complete := chunks == r.suite.expectedTokens(request.id()) && completed.GetText() == text
	r.streamContiguous.Check(complete, "%s got %d chunks and the text %q for %q", request.id(), chunks,
		completed.GetText(), text)
}

// countOutput counts a chunk of output against the budget of its program.
func (r *rules) countOutput(request callerRequest, chunk string) {
	program := request.turn.GetProgram()
	if r.tokens[program] == nil {
		r.tokens[program] = make(map[string]bool)
	}
	r.tokens[program][chunk] = true
	received := len(r.tokens[program])
	if received > programBudget/2 {
		r.withinBudget.Check(received <= programBudget+turnReservationLimit, "%s received %d tokens of %d", program, received,
			programBudget)
	}
}

func (r *rules) observeDrainAcknowledged(server string) {
	if _, known := r.drainAcknowledgedAt[server]; !known {
		r.drainAcknowledgedAt[server] = r.elapsed()
	}
}

// observeChoice is called when a front node chooses a server.
func (r *rules) observeChoice(server string) {
	acknowledged, drained := r.drainAcknowledgedAt[server]
	if drained {
		r.nothingAfterDrain.Violatef("%s was chosen %s after its drain was acknowledged", server, r.elapsed()-acknowledged)
	}
	if len(r.drainAcknowledgedAt) > 0 {
		r.nothingAfterDrain.Provoke()
	}
}

// observeArrival is called when a request reaches a server.
func (r *rules) observeArrival(server string) {
	acknowledged, drained := r.drainAcknowledgedAt[server]
	if drained && r.elapsed()-acknowledged > drainBound {
		r.nothingAfterDrain.Violatef("a request reached %s %s after its drain was acknowledged", server,
			r.elapsed()-acknowledged)
	}
}

func (r *rules) observeRouteAcknowledged(name string) {
	if !slices.Contains(r.acknowledgedRoutes, name) {
		r.acknowledgedRoutes = append(r.acknowledgedRoutes, name)
	}
}

func (r *rules) knownRoutes() int { return len(r.acknowledgedRoutes) }

func (r *rules) anyRoute(random *rand.Rand) string {
	return r.acknowledgedRoutes[random.IntN(len(r.acknowledgedRoutes))]
}

func (r *rules) observeUnknownRoute(front, route string) {
	r.routeInForce.Violatef("%s does not know %s", front, route)
}

// watchRequest starts the deadline check of a request at a front node.
func (r *rules) watchRequest(f *front, request callerRequest) {
	r.kinds[request.id()] = request.kind
	if request.route != "" {
		r.routeInForce.Provoke()
	}
	key := pendingKey{front: f.name, incarnation: f.environment.Incarnation(), id: request.id()}
	began := r.elapsed()
	r.pending[key] = began
	bound := request.timeLeft + answerSlack + deadlineTolerance
	r.suite.world.After(bound, func() {
		if r.pending[key] != began || !f.environment.Alive() ||
			r.suite.wasFrozen(f.environment.Address(), began, r.elapsed()) {
			return
		}
		r.answeredByDeadline.Violatef("%s has no answer at %s %s after it came", request.id(), f.name, bound)
	})
}

// observeAnswer ends it.
func (r *rules) observeAnswer(f *front, request callerRequest, failed *protocol.Failure) {
	delete(r.pending, pendingKey{front: f.name, incarnation: f.environment.Incarnation(), id: request.id()})
	r.answeredByDeadline.Provoke()
	if failure.Code(failed.GetCode()) == failure.Overloaded && failed.GetOutcome() == protocol.Outcome_NOT_RUN {
		r.retryAfterGiven.Check(failed.GetRetryAfterMillis() > 0, "%s was rejected for load without retry-after",
			request.id())
	}
}

func (r *rules) observeSlotRejection(f *front, request callerRequest, waited time.Duration) {
	if r.suite.wasFrozen(f.environment.Address(), r.elapsed()-waited, r.elapsed()) {
		return
	}
	r.earlyRejection.Check(waited <= slotBound, "%s waited %s for a slot and was rejected", request.id(), waited)
}

func (r *rules) observeBurst() {
	r.contendedUntil = r.elapsed() + contention
	r.bursts++
}

// currentBurst returns the number of the burst in which classes compete now, or zero.
func (r *rules) currentBurst() int {
	if r.elapsed() > r.contendedUntil {
		return 0
	}
	return r.bursts
}

// recordAdmission counts the decision on a ticket of a burst.
func (r *rules) recordAdmission(front string, burst int, request callerRequest, served bool) {
	if burst == 0 || request.turn == nil {
		return
	}
	key := admissionKey{burst: burst, front: front, class: request.priority()}
	count := r.admissions[key]
	if count == nil {
		count = &admissionCount{}
		r.admissions[key] = count
	}
	if served {
		count.served++
	} else {
		count.rejected++
	}
}

// checkEjections checks how many reachable candidates a choice excluded.
func (r *rules) checkEjections(front string, all []schedule.Candidate, avoid []string, decision schedule.Decision) {
	eligible, used, suspected := 0, 0, 0
	for _, candidate := range all {
		if candidate.Draining || candidate.Weight <= 0 || slices.Contains(avoid, candidate.ID) {
			continue
		}
		eligible++
		switch out := excluded(candidate.ID, decision); {
		case !out:
			used++
		case !candidate.Unreachable:
			suspected++
		}
	}
	if suspected == 0 {
		return
	}
	r.ejectionBound.Check(used >= (eligible+1)/2, "%s uses %d of %d servers and ejects %d", front, used, eligible,
		suspected)
}

// excluded reports whether a candidate was ejected from a decision, or not offered to it.
func excluded(id string, decision schedule.Decision) bool {
	for _, score := range decision.Scores {
		if score.ID == id {
			return score.Reason == schedule.ReasonEjected
		}
	}
	return true
}

func (r *rules) checkRecovery() {
	for _, address := range r.suite.fronts {
		for _, kind := range []requestKind{ledgeredTurn, nonIdempotentCall} {
			name := probeName(address, kind)
			r.serviceRecovers.Check(r.suite.callers.served[name], "%s was not served", name)
		}
	}
}

// checkAtEnd compares the classes over all bursts of the run.
func (r *rules) checkAtEnd() {
	for index, urgent := range priorities {
		for _, lesser := range priorities[index+1:] {
			compared := r.compare(urgent, lesser)
			if compared.weight < minWeight {
				continue
			}
			r.priorityOrder.Check(compared.difference() >= -compared.tolerance(),
				"%s is served %.0f points less than %s over %d bursts at a node",
				urgent, -percentPoints*compared.difference(), lesser, compared.bursts)
		}
	}
}

// comparison is the mean difference of the served fractions of two classes, stratified by burst and front node (the
// pooled risk difference of Mantel and Haenszel).
type comparison struct {
	weighted float64
	weight   float64
	bursts   int
}

func (c comparison) difference() float64 { return c.weighted / c.weight }

// tolerance is the difference that chance may cause; the standard deviation of one decision is at most a half.
func (c comparison) tolerance() float64 {
	const maxDeviation = 0.5
	return min(maxTolerance, priorityTolerance+standardErrors*maxDeviation/math.Sqrt(c.weight))
}

func (c *comparison) add(urgent, lesser *admissionCount) {
	if urgent == nil || lesser == nil || urgent.rejected+lesser.rejected == 0 {
		return
	}
	first, second := float64(urgent.decided()), float64(lesser.decided())
	weight := first * second / (first + second)
	c.weighted += weight * (urgent.servedFraction() - lesser.servedFraction())
	c.weight += weight
	c.bursts++
}

func (r *rules) compare(urgent, lesser protocol.Priority) comparison {
	var result comparison
	for burst := 1; burst <= r.bursts; burst++ {
		for _, address := range r.suite.fronts {
			front := string(address)
			result.add(r.admissions[admissionKey{burst, front, urgent}], r.admissions[admissionKey{burst, front, lesser}])
		}
	}
	return result
}
