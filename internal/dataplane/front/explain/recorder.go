package explain

import (
	"sync"
	"time"

	"github.com/rosestand/rosestand/internal/dataplane/front/commandloop"
	"github.com/rosestand/rosestand/internal/dataplane/schedule"
	"github.com/rosestand/rosestand/internal/protocol"
)

// capacity is the number of requests whose path a front node remembers; the oldest one goes first.
const capacity = 4_096

// Clock tells the time.
type Clock interface{ Now() time.Time }

// Recorder holds the newest explanations of this front node. The loop's goroutine owns its tables.
type Recorder struct {
	loop  *commandloop.Loop
	ring  []*Explanation
	next  int
	byID  map[string][]*Explanation
	clock Clock
	node  string
}

// NewRecorder returns an empty recorder for a front node and starts its goroutine, which Stop ends.
func NewRecorder(clock Clock, node string) *Recorder {
	return &Recorder{
		loop: commandloop.New(), ring: make([]*Explanation, capacity), byID: make(map[string][]*Explanation),
		clock: clock, node: node,
	}
}

// Explanation collects the path of one request. Its mutex guards the record, which may be read while
// the request is in progress.
type Explanation struct {
	clock     Clock
	startedAt time.Time
	id        string

	mutex  sync.Mutex
	record protocol.Explanation
}

// Stop ends the store's goroutine.
func (s *Recorder) Stop() { s.loop.Stop() }

// Begin starts the explanation of one request; one request may have several on a front node.
func (s *Recorder) Begin(requestID, session, program string) *Explanation {
	entry := &Explanation{clock: s.clock, startedAt: s.clock.Now(), id: requestID}
	entry.record.RequestId, entry.record.Node = requestID, s.node
	entry.record.Session, entry.record.Program = session, program
	s.loop.Post(func() { s.put(entry) })
	return entry
}

func (s *Recorder) put(entry *Explanation) {
	if evicted := s.ring[s.next]; evicted != nil {
		s.remove(evicted)
	}
	s.ring[s.next] = entry
	s.next = (s.next + 1) % len(s.ring)
	s.byID[entry.id] = append(s.byID[entry.id], entry)
}

func (s *Recorder) remove(entry *Explanation) {
	entries := s.byID[entry.id]
	if len(entries) <= 1 {
		delete(s.byID, entry.id)
		return
	}
	s.byID[entry.id] = append([]*Explanation(nil), entries[1:]...)
}

// Find returns copies of the explanations of a request, oldest first; none once the store is stopped.
func (s *Recorder) Find(requestID string) []*protocol.Explanation {
	var entries []*Explanation
	s.loop.Do(func() { entries = append(entries, s.byID[requestID]...) })
	snapshots := make([]*protocol.Explanation, 0, len(entries))
	for _, entry := range entries {
		snapshots = append(snapshots, entry.snapshot())
	}
	return snapshots
}

// RecordStep adds a step at the time of the call.
func (e *Explanation) RecordStep(name, detail string) {
	elapsedMicros := e.clock.Now().Sub(e.startedAt).Microseconds()
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.record.Steps = append(e.record.Steps, &protocol.ExplanationStep{AtMicros: elapsedMicros, What: name, Detail: detail})
}

// Update changes the record's fields under its mutex.
func (e *Explanation) Update(change func(record *protocol.Explanation)) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	change(&e.record)
}

// RecordDecision sets the candidates and the choice of the last scheduling decision.
func (e *Explanation) RecordDecision(decision schedule.Decision) {
	scores := make([]*protocol.CandidateScore, 0, len(decision.Scores))
	for _, score := range decision.Scores {
		scores = append(scores, &protocol.CandidateScore{BackEnd: score.ID, Score: score.Score, Reason: score.Reason})
	}
	e.Update(func(record *protocol.Explanation) {
		record.Candidates, record.Chosen = scores, decision.Chosen
	})
}

func (e *Explanation) snapshot() *protocol.Explanation {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return &protocol.Explanation{
		RequestId: e.record.GetRequestId(), Node: e.record.GetNode(), Session: e.record.GetSession(),
		Program: e.record.GetProgram(), PartitionHolder: e.record.GetPartitionHolder(), Owner: e.record.GetOwner(),
		Epoch: e.record.GetEpoch(), BundleVersion: e.record.GetBundleVersion(), CandidateArm: e.record.GetCandidateArm(),
		Route: e.record.GetRoute(), Group: e.record.GetGroup(), Algorithm: e.record.GetAlgorithm(),
		Candidates: e.record.GetCandidates(), Steps: append([]*protocol.ExplanationStep(nil), e.record.GetSteps()...),
		Chosen: e.record.GetChosen(), ShadowChosen: e.record.GetShadowChosen(),
	}
}
