package register

import (
	"slices"

	"github.com/rosestand/rosestand/internal/protocol"
)

// Function gives the new value for the newest one, nil for a register never
// written. Returning changed false leaves the value as it is. It may be called
// again with another value after a lost race, so it must be idempotent.
type UpdateFunc func(current []byte) (next []byte, changed bool)

// Head is what a proposer knows of a register after its own change was chosen:
// a majority promised Ballot along with Value under the placement epoch, so the
// next change may skip its prepare round.
type PreparedProposal struct {
	Epoch  uint64
	Ballot Ballot
	Value  []byte
}

// Status says how far a change has come.
type Status int

const (
	// StatusUnderWay waits for answers.
	StatusInProgress Status = iota
	// StatusPreempted lost against a higher ballot and waits for Retry.
	StatusPreempted
	// StatusUnavailable found no majority; it waits for Retry.
	StatusUnavailable
	// StatusWrongPlacement met a replica under another placement epoch; begin
	// anew once the placement that SeenEpoch names is known.
	StatusWrongPlacement
	// StatusChosen ended: the value is chosen.
	StatusChosen
)

// Message is a request to one replica; exactly one of Prepare and Accept is set.
// Round tells late answers apart.
type Message struct {
	Store       string
	PhaseNumber uint64
	Prepare     *protocol.PrepareRequest
	Accept      *protocol.AcceptRequest
}

type phase int

const (
	phaseReading phase = iota
	phasePreparing
	phaseAccepting
)

// ChangeOptions describe one change.
type ChangeOptions struct {
	Key     *protocol.RegisterKey
	Shard   uint32
	Epoch   uint64
	Quorum  Quorum
	Ballots *BallotGenerator
	// Function is applied to the newest value. When nil the change is a read.
	Update UpdateFunc
	// Head, when of the same epoch, skips the prepare round.
	PreparedProposal PreparedProposal
}

// Change takes one register through prepare and accept. It is driven by its
// owner: Start and Retry return messages to send, the answers come back through
// Prepared, Accepted and Failed.
type Change struct {
	options        ChangeOptions
	members        []string
	phaseNumber    uint64
	phase          phase
	status         Status
	ballot         Ballot
	nextBallot     Ballot
	value          []byte
	seenBallot     Ballot
	seenEpoch      uint64
	votes          []string
	failed         []string
	newestAccepted Ballot
	unanimous      bool
}

// NewChange makes a change that has not begun.
func NewChange(options ChangeOptions) *Change {
	return &Change{options: options, members: options.Quorum.Members()}
}

// Status says how far the change has come.
func (c *Change) Status() Status { return c.status }

// Value is the chosen value; nil for a register never written. Valid with StatusChosen.
func (c *Change) Value() []byte { return c.value }

// SeenEpoch is the placement epoch that a replica named. Valid with StatusWrongPlacement.
func (c *Change) SeenEpoch() uint64 { return c.seenEpoch }

// Head lets the next change skip its prepare round. Its ballot is zero when it cannot.
func (c *Change) PreparedProposal() PreparedProposal {
	if c.status != StatusChosen || c.phase != phaseAccepting {
		return PreparedProposal{}
	}
	return PreparedProposal{Epoch: c.options.Epoch, Ballot: c.nextBallot, Value: c.value}
}

// Start gives the first messages. It is called once.
func (c *Change) Start() []Message {
	if c.options.Update == nil {
		return c.read()
	}
	if prepared := c.options.PreparedProposal; !prepared.Ballot.IsZero() && prepared.Epoch == c.options.Epoch {
		c.ballot = prepared.Ballot
		return c.accept(prepared.Value)
	}
	return c.prepare()
}

// Retry begins anew with a higher ballot after StatusPreempted or StatusUnavailable.
func (c *Change) Retry() []Message {
	if c.status != StatusPreempted && c.status != StatusUnavailable {
		return nil
	}
	return c.prepare()
}

func (c *Change) beginPhase(phase phase) {
	c.phaseNumber++
	c.phase = phase
	c.status = StatusInProgress
	c.votes = c.votes[:0]
	c.failed = c.failed[:0]
}

// read asks for the values only. When a majority voted for the same ballot that
// value is chosen, and no later one was when the read began. Otherwise the read
// goes on as a change that leaves the value as it is, and so repairs it.
func (c *Change) read() []Message {
	c.beginPhase(phaseReading)
	c.resetNewest()
	return c.broadcast(func(message *Message) {
		message.Prepare = &protocol.PrepareRequest{
			Shard: c.options.Shard, PlacementEpoch: c.options.Epoch, Key: c.options.Key,
		}
	})
}

func (c *Change) prepare() []Message {
	c.beginPhase(phasePreparing)
	c.resetNewest()
	c.ballot = c.options.Ballots.Next(c.seenBallot, c.ballot, c.nextBallot)
	request := &protocol.PrepareRequest{
		Shard: c.options.Shard, PlacementEpoch: c.options.Epoch, Key: c.options.Key, Ballot: c.ballot.ToProto(),
	}
	return c.broadcast(func(message *Message) { message.Prepare = request })
}

// accept proposes the function's value of current under the ballot at hand.
func (c *Change) accept(current []byte) []Message {
	c.beginPhase(phaseAccepting)
	c.value = current
	if c.options.Update != nil {
		if next, changed := c.options.Update(current); changed {
			c.value = next
		}
	}
	c.nextBallot = c.options.Ballots.Next(c.ballot)
	request := &protocol.AcceptRequest{
		Shard: c.options.Shard, PlacementEpoch: c.options.Epoch, Key: c.options.Key,
		Ballot: c.ballot.ToProto(), Value: c.value, NextBallot: c.nextBallot.ToProto(),
	}
	return c.broadcast(func(message *Message) { message.Accept = request })
}

func (c *Change) broadcast(fill func(*Message)) []Message {
	messages := make([]Message, 0, len(c.members))
	for _, store := range c.members {
		message := Message{Store: store, PhaseNumber: c.phaseNumber}
		fill(&message)
		messages = append(messages, message)
	}
	return messages
}

func (c *Change) resetNewest() {
	c.newestAccepted = Ballot{}
	c.value = nil
	c.unanimous = true
}

// Prepared takes the answer to a prepare message of the round.
func (c *Change) HandlePrepareResponse(store string, phaseNumber uint64, answer *protocol.PrepareResponse) []Message {
	if !c.expectsAnswer(store, phaseNumber) || c.phase == phaseAccepting {
		return nil
	}
	if answer.GetRefusal() != protocol.ReplicaRefusal_REPLICA_REFUSAL_UNSPECIFIED {
		return c.handleRejection(store, answer.GetRefusal(), answer.GetPlacementEpoch())
	}
	c.seenBallot = maxBallot(c.seenBallot, BallotFromProto(answer.GetSeen()))
	if c.phase == phasePreparing && !answer.GetPromised() {
		c.recordFailure(store, StatusPreempted)
		return nil
	}
	c.mergeValue(answer)
	c.votes = append(c.votes, store)
	if !c.options.Quorum.Reached(c.hasVoted) {
		return nil
	}
	return c.finishPrepare()
}

// takeValue keeps the value of the highest ballot and whether all votes agree on it.
func (c *Change) mergeValue(answer *protocol.PrepareResponse) {
	accepted := BallotFromProto(answer.GetAccepted())
	if answer.GetLearned() || (len(c.votes) > 0 && accepted != c.newestAccepted) {
		c.unanimous = false
	}
	if len(c.votes) == 0 || c.newestAccepted.Less(accepted) {
		c.newestAccepted = accepted
		c.value = answer.GetValue()
	}
}

func (c *Change) finishPrepare() []Message {
	if c.phase == phaseReading {
		if c.unanimous {
			c.status = StatusChosen
			return nil
		}
		return c.prepare()
	}
	if c.unanimous && !c.wouldChange(c.value) {
		c.status = StatusChosen
		return nil
	}
	return c.accept(c.value)
}

// changes asks the function about a value that is known to be chosen, since
// nothing needs to be written when it stays as it is.
func (c *Change) wouldChange(current []byte) bool {
	if c.options.Update == nil {
		return false
	}
	_, changed := c.options.Update(current)
	return changed
}

// Accepted takes the answer to an accept message of the round.
func (c *Change) HandleAcceptResponse(store string, phaseNumber uint64, answer *protocol.AcceptResponse) []Message {
	if !c.expectsAnswer(store, phaseNumber) || c.phase != phaseAccepting {
		return nil
	}
	if answer.GetRefusal() != protocol.ReplicaRefusal_REPLICA_REFUSAL_UNSPECIFIED {
		return c.handleRejection(store, answer.GetRefusal(), answer.GetPlacementEpoch())
	}
	if !answer.GetAccepted() {
		c.seenBallot = maxBallot(c.seenBallot, BallotFromProto(answer.GetSeen()))
		c.recordFailure(store, StatusPreempted)
		return nil
	}
	c.votes = append(c.votes, store)
	if c.options.Quorum.Reached(c.hasVoted) {
		c.status = StatusChosen
	}
	return nil
}

// Failed says that no answer to the round will come from the store.
func (c *Change) HandleFailure(store string, phaseNumber uint64) {
	if c.expectsAnswer(store, phaseNumber) {
		c.recordFailure(store, StatusUnavailable)
	}
}

func (c *Change) handleRejection(store string, rejection protocol.ReplicaRefusal, epoch uint64) []Message {
	if rejection == protocol.ReplicaRefusal_REPLICA_WRONG_PLACEMENT && epoch > c.options.Epoch {
		c.seenEpoch = max(c.seenEpoch, epoch)
		c.recordFailure(store, StatusWrongPlacement)
		return nil
	}
	c.recordFailure(store, StatusUnavailable)
	return nil
}

// fail counts a store out; the change stops when no majority is left.
func (c *Change) recordFailure(store string, status Status) {
	c.failed = append(c.failed, store)
	if !c.options.Quorum.Lost(func(s string) bool { return slices.Contains(c.failed, s) }) {
		return
	}
	c.status = status
	if status == StatusUnavailable && c.seenEpoch > c.options.Epoch {
		c.status = StatusWrongPlacement
	}
}

func (c *Change) hasVoted(store string) bool { return slices.Contains(c.votes, store) }

func (c *Change) expectsAnswer(store string, phaseNumber uint64) bool {
	return c.status == StatusInProgress && phaseNumber == c.phaseNumber &&
		!slices.Contains(c.votes, store) && !slices.Contains(c.failed, store) && slices.Contains(c.members, store)
}
