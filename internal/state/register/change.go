package register

import (
	"slices"

	"github.com/rosestand/rosestand/internal/protocol"
)

// UpdateFunc computes the next value from the current one, which is nil for a register that was never written. When
// changed is false, the value stays unchanged. The function is called again with a newer value when another proposer
// wins, so it must be idempotent.
type UpdateFunc func(current []byte) (next []byte, changed bool)

// PreparedProposal lets the proposer of a chosen change skip the prepare phase of its next change: a majority promised
// Ballot together with Value under the placement epoch.
type PreparedProposal struct {
	// Epoch is the placement epoch under which the ballot was promised.
	Epoch  uint64
	Ballot Ballot
	Value  []byte
}

// Status is the progress of a change; the package comment has a table of the transitions.
type Status int

const (
	// StatusInProgress waits for responses.
	StatusInProgress Status = iota
	// StatusPreempted lost to a higher ballot and waits for Retry.
	StatusPreempted
	// StatusUnavailable can no longer reach a majority and waits for Retry.
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
	// PhaseNumber is passed back with the response, so that late responses to an earlier phase are ignored.
	PhaseNumber uint64
	Prepare     *protocol.PrepareRequest
	Accept      *protocol.AcceptRequest
}

// phase is the protocol phase of a change.
type phase int

const (
	// phaseReading requests the accepted values without a ballot.
	phaseReading phase = iota
	// phasePreparing requests promises for a ballot, together with the accepted values.
	phasePreparing
	// phaseAccepting requests that the value be stored under the promised ballot.
	phaseAccepting
)

// ChangeOptions describe one change or read.
type ChangeOptions struct {
	Key   *protocol.RegisterKey
	Shard uint32
	// Epoch is the placement epoch of Quorum; every message has it.
	Epoch   uint64
	Quorum  Quorum
	Ballots *BallotGenerator
	// Update is applied to the newest value. When nil the change is a read.
	Update UpdateFunc
	// PreparedProposal, if it has the same epoch, lets the change skip its prepare phase.
	PreparedProposal PreparedProposal
}

// Change is the proposer of one change or read of a register. Its owner sends the messages that Start, Retry and the
// handlers return. It passes each response to HandlePrepareResponse or HandleAcceptResponse and reports each missing
// one with HandleFailure. A Change is not safe for concurrent use.
type Change struct {
	options ChangeOptions
	members []string

	phase       phase
	phaseNumber uint64
	status      Status

	// ballot is the ballot of the proposal; nextBallot is promised with its value, for the next change.
	ballot     Ballot
	nextBallot Ballot
	value      []byte

	// seenBallot and seenEpoch are the highest ones in the rejections received.
	seenBallot Ballot
	seenEpoch  uint64

	// votes are the stores that voted in the phase, failed those that rejected it or will not respond.
	votes  []string
	failed []string

	// newestAccepted is the highest accepted ballot among the votes; unanimous reports whether all of them accepted it.
	newestAccepted Ballot
	unanimous      bool
}

// NewChange returns a change that has not been started.
func NewChange(options ChangeOptions) *Change {
	return &Change{options: options, members: options.Quorum.Members()}
}

// Status returns the progress of the change.
func (c *Change) Status() Status { return c.status }

// Value returns the chosen value; nil for a register that was never written. It is valid with StatusChosen.
func (c *Change) Value() []byte { return c.value }

// SeenEpoch returns the newest placement epoch that a replica reported. It is valid with StatusWrongPlacement.
func (c *Change) SeenEpoch() uint64 { return c.seenEpoch }

// PreparedProposal returns the promise that lets the next change skip its prepare phase. Its ballot is zero when there
// is none.
func (c *Change) PreparedProposal() PreparedProposal {
	if c.status != StatusChosen || c.phase != phaseAccepting {
		return PreparedProposal{}
	}
	return PreparedProposal{Epoch: c.options.Epoch, Ballot: c.nextBallot, Value: c.value}
}

// Start returns the first messages to send. It is called once.
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

// read requests the accepted values without a ballot. When a majority voted for the same ballot, its value is chosen,
// and no later value was chosen when the read began. Otherwise the read continues as a change that leaves the value as
// it is, which repairs the register.
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

// accept updates the current value and proposes it under the ballot that a majority promised.
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

// broadcast returns the message of the phase for every member. The messages share the request, which is read-only from
// here on.
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

// HandlePrepareResponse handles a store's response to a prepare message and returns the messages to send next.
func (c *Change) HandlePrepareResponse(store string, phaseNumber uint64, response *protocol.PrepareResponse) []Message {
	if !c.expectsResponse(store, phaseNumber) || c.phase == phaseAccepting {
		return nil
	}
	if response.GetRefusal() != notRejected {
		c.handleRejection(store, response.GetRefusal(), response.GetPlacementEpoch())
		return nil
	}
	c.seenBallot = maxBallot(c.seenBallot, BallotFromProto(response.GetSeen()))
	if c.phase == phasePreparing && !response.GetPromised() {
		c.recordFailure(store, StatusPreempted)
		return nil
	}
	c.mergeValue(response)
	c.votes = append(c.votes, store)
	if !c.options.Quorum.Reached(c.hasVoted) {
		return nil
	}
	return c.finishPrepare()
}

// mergeValue keeps the value with the highest ballot and records whether all votes agree on it.
func (c *Change) mergeValue(response *protocol.PrepareResponse) {
	accepted := BallotFromProto(response.GetAccepted())
	if response.GetLearned() || (len(c.votes) > 0 && accepted != c.newestAccepted) {
		c.unanimous = false
	}
	if len(c.votes) == 0 || c.newestAccepted.Less(accepted) {
		c.newestAccepted = accepted
		c.value = response.GetValue()
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

// wouldChange reports whether the update changes the current value, which is already chosen. Otherwise nothing needs to
// be written.
func (c *Change) wouldChange(current []byte) bool {
	if c.options.Update == nil {
		return false
	}
	_, changed := c.options.Update(current)
	return changed
}

// HandleAcceptResponse handles a store's response to an accept message. It has the signature of HandlePrepareResponse
// but returns no messages, since no phase follows the accept phase.
func (c *Change) HandleAcceptResponse(store string, phaseNumber uint64, response *protocol.AcceptResponse) []Message {
	if !c.expectsResponse(store, phaseNumber) || c.phase != phaseAccepting {
		return nil
	}
	if response.GetRefusal() != notRejected {
		c.handleRejection(store, response.GetRefusal(), response.GetPlacementEpoch())
		return nil
	}
	if !response.GetAccepted() {
		c.seenBallot = maxBallot(c.seenBallot, BallotFromProto(response.GetSeen()))
		c.recordFailure(store, StatusPreempted)
		return nil
	}
	c.votes = append(c.votes, store)
	if c.options.Quorum.Reached(c.hasVoted) {
		c.status = StatusChosen
	}
	return nil
}

// HandleFailure records that the store will not respond in the phase.
func (c *Change) HandleFailure(store string, phaseNumber uint64) {
	if c.expectsResponse(store, phaseNumber) {
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

// recordFailure excludes a store from the phase. When no majority remains possible, the change stops with the status.
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

// expectsResponse reports whether a response of the store in the phase with the number is still expected.
func (c *Change) expectsResponse(store string, phaseNumber uint64) bool {
	return c.status == StatusInProgress && phaseNumber == c.phaseNumber &&
		!c.hasVoted(store) && !c.hasFailed(store) && slices.Contains(c.members, store)
}
