package front

import (
	"sync"
	"time"

	"github.com/rosestand/rosestand/internal/dataplane/front/commandloop"
	"github.com/rosestand/rosestand/internal/dataplane/schedule"
	"github.com/rosestand/rosestand/internal/protocol"
)

// explanationCount is the number of requests whose path a front node remembers.
const explanationCount = 4_096

// explanations owns the newest explanations of this front node.
type explanations struct {
	*commandloop.Loop
	ring  []*explanation
	next  int
	byID  map[string][]*explanation
	clock Clock
	node  string
}

func newExplanations(clock Clock, node string) *explanations {
	return &explanations{
		Loop: commandloop.New(), ring: make([]*explanation, explanationCount), byID: make(map[string][]*explanation),
		clock: clock, node: node,
	}
}

// explanation collects the path of one request; it may be read while the request is under way.
type explanation struct {
	clock Clock
	began time.Time
	id    string

	mutex  sync.Mutex
	record protocol.Explanation
}

// begin starts the explanation of one request.
func (e *explanations) begin(requestID, session, program string) *explanation {
	entry := &explanation{clock: e.clock, began: e.clock.Now(), id: requestID}
	entry.record.RequestId, entry.record.Node = requestID, e.node
	entry.record.Session, entry.record.Program = session, program
	e.Post(func() { e.put(entry) })
	return entry
}

func (e *explanations) put(entry *explanation) {
	if former := e.ring[e.next]; former != nil {
		e.remove(former)
	}
	e.ring[e.next] = entry
	e.next = (e.next + 1) % len(e.ring)
	e.byID[entry.id] = append(e.byID[entry.id], entry)
}

func (e *explanations) remove(former *explanation) {
	entries := e.byID[former.id]
	if len(entries) <= 1 {
		delete(e.byID, former.id)
		return
	}
	e.byID[former.id] = append([]*explanation(nil), entries[1:]...)
}

// find returns what this front node knows of a request, oldest first.
func (e *explanations) find(requestID string) []*protocol.Explanation {
	var entries []*explanation
	e.Do(func() { entries = append(entries, e.byID[requestID]...) })
	snapshots := make([]*protocol.Explanation, 0, len(entries))
	for _, entry := range entries {
		snapshots = append(snapshots, entry.snapshot())
	}
	return snapshots
}

// recordStep notes that something happened.
func (x *explanation) recordStep(what, detail string) {
	at := x.clock.Now().Sub(x.began).Microseconds()
	x.mutex.Lock()
	defer x.mutex.Unlock()
	x.record.Steps = append(x.record.Steps, &protocol.ExplanationStep{AtMicros: at, What: what, Detail: detail})
}

// update changes the explanation's fields.
func (x *explanation) update(change func(record *protocol.Explanation)) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	change(&x.record)
}

// recordDecision notes the candidates of a scheduling decision.
func (x *explanation) recordDecision(decision schedule.Decision) {
	scores := make([]*protocol.CandidateScore, 0, len(decision.Scores))
	for _, score := range decision.Scores {
		scores = append(scores, &protocol.CandidateScore{BackEnd: score.ID, Score: score.Score, Reason: score.Reason})
	}
	x.update(func(record *protocol.Explanation) {
		record.Candidates, record.Chosen = scores, decision.Chosen
	})
}

func (x *explanation) snapshot() *protocol.Explanation {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	return &protocol.Explanation{
		RequestId: x.record.GetRequestId(), Node: x.record.GetNode(), Session: x.record.GetSession(),
		Program: x.record.GetProgram(), PartitionHolder: x.record.GetPartitionHolder(), Owner: x.record.GetOwner(),
		Epoch: x.record.GetEpoch(), BundleVersion: x.record.GetBundleVersion(), CandidateArm: x.record.GetCandidateArm(),
		Route: x.record.GetRoute(), Group: x.record.GetGroup(), Algorithm: x.record.GetAlgorithm(),
		Candidates: x.record.GetCandidates(), Steps: append([]*protocol.ExplanationStep(nil), x.record.GetSteps()...),
		Chosen: x.record.GetChosen(), ShadowChosen: x.record.GetShadowChosen(),
	}
}
