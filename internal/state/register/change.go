package register

import (
	"slices"

	"github.com/rosestand/rosestand/internal/protocol"
)

// UpdateFunc computes the next value from the current one, which is nil for a register never written. Returning changed
// false leaves the value as it is. It is called again with a newer value when another proposer wins, so it must be
// idempotent.
type UpdateFunc func(current []byte) (next []byte, changed bool)

// PreparedProposal is what a proposer knows of a register after its own change was chosen: a majority promised Ballot
// along with Value under the placement epoch, so the next change may skip its prepare phase.
type PreparedProposal struct {
	// Epoch is the placement epoch under which the ballot was promised.
	Epoch  uint64
	Ballot Ballot
	Value  []byte
}

// Status is the progress of a change; the package comment has a table of the transitions.
type Status int

const (
	// StatusInProgress waits for answers.
	StatusInProgress Status = iota
	// StatusPreempted lost against a higher ballot and waits for Retry.
	StatusPreempted
	// StatusUnavailable cannot reach a majority any more; it waits for Retry.
	StatusUnavailable
	// StatusWrongPlacement was rejected under a newer placement epoch; a new Change is needed once the placement that
	// SeenEpoch names is known.
	StatusWrongPlacement
	// StatusChosen is final: the value is chosen.
	StatusChosen
)

// Message is a request to one replica; exactly one of Prepare and Accept is set.
type Message struct {
	Store string
	// PhaseNumber is handed back with the answer, so that late answers to an earlier phase are ignored.
	PhaseNumber uint64
	Prepare     *protocol.PrepareRequest
	Accept      *protocol.AcceptRequest
}

// phase is the step of the protocol that a change is in.
type phase int

const (
	// phaseReading requests the accepted values without a ballot.
	phaseReading phase = iota
	// phasePreparing requests promises for a ballot, with the accepted values.
	phasePreparing
	// phaseAccepting requests that the value be stored under the promised ballot.
	phaseAccepting
)

// ChangeOptions describe one change or read.
type ChangeOptions struct {
	Key   *protocol.RegisterKey
	Shard uint32
	// Epoch is the placement epoch that Quorum was taken from; every message names it.
	Epoch   uint64
	Quorum  Quorum
	Ballots *BallotGenerator
	// Update is applied to the newest value. When nil the change is a read.
	Update UpdateFunc
	// PreparedProposal, when of the same epoch, lets the change skip its prepare phase.
	PreparedProposal PreparedProposal
}

// Change is the proposer of one change or read of a register. Its owner sends the messages that Start, Retry and the
// handlers return, and passes each answer to HandlePrepareResponse or HandleAcceptResponse, or the lack of one to
// HandleFailure. It is not safe for concurrent use.
type Change struct {
	options ChangeOptions
	members []string

	phase       phase
	phaseNumber uint64
	status      Status

	// ballot is that of the proposal, nextBallot the one that it has promised for the change after it.
	ballot     Ballot
	nextBallot Ballot
	value      []byte

	// seenBallot and seenEpoch are the highest ones that a rejection named.
	seenBallot Ballot
	seenEpoch  uint64

	// votes and failed name the stores that answered the phase, and those that will not.
	votes  []string
	failed []string

	// newestAccepted is the highest accepted ballot among the votes; unanimous says that all of them accepted it.
	newestAccepted Ballot
	unanimous      bool
}

// NewChange returns a change that has not been started.
func NewChange(options ChangeOptions) *Change {
	return &Change{options: options, members: options.Quorum.Members()}
}

// Status returns the progress of the change.
func (c *Change) Status() Status { return c.status }

// Value returns the chosen value; nil for a register never written. Valid with StatusChosen.
func (c *Change) Value() []byte { return c.value }

// SeenEpoch returns the newest placement epoch that a replica named. Valid with StatusWrongPlacement.
func (c *Change) SeenEpoch() uint64 { return c.seenEpoch }

// PreparedProposal lets the next change skip its prepare phase. Its ballot is zero when that is not possible.
func (c *Change) PreparedProposal() PreparedProposal {
	if c.status != StatusChosen || c.phase != phaseAccepting {
		return PreparedProposal{}
	}
	return PreparedProposal{Epoch: c.options.Epoch, Ballot: c.nextBallot, Value: c.value}
}

// Start returns the first messages. It is called once.
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

// Retry starts the prepare phase again with a higher ballot after StatusPreempted or StatusUnavailable.
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

// read requests the values only. When a majority voted for the same ballot, that value is chosen, and no later one was
// when the read began. Otherwise the read continues as a change that leaves the value as it is, and so repairs it.
func (c *Change) read() []Message {
	c.beginPhase(phaseReading)
	c.resetNewest()
	return c.broadcast(Message{Prepare: &protocol.PrepareRequest{
		Shard: c.options.Shard, PlacementEpoch: c.options.Epoch, Key: c.options.Key,
	}})
}

func (c *Change) prepare() []Message {
	c.beginPhase(phasePreparing)
	c.resetNewest()
	c.ballot = c.options.Ballots.Next(c.seenBallot, c.ballot, c.nextBallot)
	return c.broadcast(Message{Prepare: &protocol.PrepareRequest{
		Shard: c.options.Shard, PlacementEpoch: c.options.Epoch, Key: c.options.Key, Ballot: c.ballot.ToProto(),
	}})
}

// accept proposes the updated value under the ballot that a majority promised.
func (c *Change) accept(current []byte) []Message {
	c.beginPhase(phaseAccepting)
	c.value = current
	if c.options.Update != nil {
		if next, changed := c.options.Update(current); changed {
			c.value = next
		}
	}
	c.nextBallot = c.options.Ballots.Next(c.ballot)
	return c.broadcast(Message{Accept: &protocol.AcceptRequest{
		Shard: c.options.Shard, PlacementEpoch: c.options.Epoch, Key: c.options.Key,
		Ballot: c.ballot.ToProto(), Value: c.value, NextBallot: c.nextBallot.ToProto(),
	}})
}

// broadcast addresses a message of the phase to every member. The request is shared and read-only from here on.
func (c *Change) broadcast(message Message) []Message {
	message.PhaseNumber = c.phaseNumber
	messages := make([]Message, 0, len(c.members))
	for _, store := range c.members {
		message.Store = store
		messages = append(messages, message)
	}
	return messages
}

func (c *Change) resetNewest() {
	c.newestAccepted = Ballot{}
	c.value = nil
	c.unanimous = true
}

// HandlePrepareResponse takes in a store's answer to a prepare message and returns the messages to send next.
func (c *Change) HandlePrepareResponse(store string, phaseNumber uint64, answer *protocol.PrepareResponse) []Message {
	if !c.expectsAnswer(store, phaseNumber) || c.phase == phaseAccepting {
		return nil
	}
	if answer.GetRefusal() != notRejected {
		c.handleRejection(store, answer.GetRefusal(), answer.GetPlacementEpoch())
		return nil
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

// mergeValue keeps the value of the highest ballot and whether all votes agree on it.
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

// wouldChange reports whether the update changes a value that is known to be chosen. Otherwise nothing needs to be
// written.
func (c *Change) wouldChange(current []byte) bool {
	if c.options.Update == nil {
		return false
	}
	_, changed := c.options.Update(current)
	return changed
}

// HandleAcceptResponse takes in a store's answer to an accept message. It has the form of HandlePrepareResponse but
// returns no messages, since no phase follows the accept phase.
func (c *Change) HandleAcceptResponse(store string, phaseNumber uint64, answer *protocol.AcceptResponse) []Message {
	if !c.expectsAnswer(store, phaseNumber) || c.phase != phaseAccepting {
		return nil
	}
	if answer.GetRefusal() != notRejected {
		c.handleRejection(store, answer.GetRefusal(), answer.GetPlacementEpoch())
		return nil
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

// HandleFailure records that the store will not answer the phase.
func (c *Change) HandleFailure(store string, phaseNumber uint64) {
	if c.expectsAnswer(store, phaseNumber) {
		c.recordFailure(store, StatusUnavailable)
	}
}

func (c *Change) handleRejection(store string, rejection protocol.ReplicaRefusal, epoch uint64) {
	status := StatusUnavailable
	if rejection == protocol.ReplicaRefusal_REPLICA_WRONG_PLACEMENT && epoch > c.options.Epoch {
		c.seenEpoch = max(c.seenEpoch, epoch)
		status = StatusWrongPlacement
	}
	c.recordFailure(store, status)
}

// recordFailure excludes a store from the phase; the change stops with the status when no majority is left.
func (c *Change) recordFailure(store string, status Status) {
	c.failed = append(c.failed, store)
	if !c.options.Quorum.Lost(c.hasFailed) {
		return
	}
	c.status = status
	if status == StatusUnavailable && c.seenEpoch > c.options.Epoch {
		c.status = StatusWrongPlacement
	}
}

func (c *Change) hasVoted(store string) bool { return slices.Contains(c.votes, store) }

func (c *Change) hasFailed(store string) bool { return slices.Contains(c.failed, store) }

// expectsAnswer reports whether an answer of the store to the numbered phase still counts.
func (c *Change) expectsAnswer(store string, phaseNumber uint64) bool {
	return c.status == StatusInProgress && phaseNumber == c.phaseNumber &&
		!c.hasVoted(store) && !c.hasFailed(store) && slices.Contains(c.members, store)
}
