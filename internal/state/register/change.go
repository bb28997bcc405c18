package register

import (
	"slices"

	"github.com/rosestand/rosestand/internal/protocol"
)

// Function gives the new value for the newest one, nil for a register never
// written. Returning changed false leaves the value as it is. It may be called
// again with another value after a lost race, so it must be idempotent.
type Function func(current []byte) (next []byte, changed bool)

// Head is what a proposer knows of a register after its own change was chosen:
// a majority promised Ballot along with Value under the placement epoch, so the
// next change may skip its prepare round.
type Head struct {
	Epoch  uint64
	Ballot Ballot
	Value  []byte
}

// Status says how far a change has come.
type Status int

const (
	// StatusUnderWay waits for answers.
	StatusUnderWay Status = iota
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
	Store   string
	Round   uint64
	Prepare *protocol.PrepareRequest
	Accept  *protocol.AcceptRequest
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
	Ballots *Ballots
	// Function is applied to the newest value. When nil the change is a read.
	Function Function
	// Head, when of the same epoch, skips the prepare round.
	Head Head
}

// Change takes one register through prepare and accept. It is driven by its
// owner: Start and Retry return messages to send, the answers come back through
// Prepared, Accepted and Failed.
type Change struct {
	options   ChangeOptions
	members   []string
	round     uint64
	phase     phase
	status    Status
	ballot    Ballot
	next      Ballot
	value     []byte
	seen      Ballot
	seenEpoch uint64
	votes     []string
	failed    []string
	newest    Ballot
	unanimous bool
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
func (c *Change) Head() Head {
	if c.status != StatusChosen || c.phase != phaseAccepting {
		return Head{}
	}
	return Head{Epoch: c.options.Epoch, Ballot: c.next, Value: c.value}
}

// Start gives the first messages. It is called once.
func (c *Change) Start() []Message {
	if c.options.Function == nil {
		return c.read()
	}
	if head := c.options.Head; !head.Ballot.IsZero() && head.Epoch == c.options.Epoch {
		c.ballot = head.Ballot
		return c.accept(head.Value)
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

func (c *Change) beginRound(phase phase) {
	c.round++
	c.phase = phase
	c.status = StatusUnderWay
	c.votes = c.votes[:0]
	c.failed = c.failed[:0]
}

// read asks for the values only. When a majority voted for the same ballot that
// value is chosen, and no later one was when the read began. Otherwise the read
// goes on as a change that leaves the value as it is, and so repairs it.
func (c *Change) read() []Message {
	c.beginRound(phaseReading)
	c.resetNewest()
	return c.toAll(func(message *Message) {
		message.Prepare = &protocol.PrepareRequest{
			Shard: c.options.Shard, PlacementEpoch: c.options.Epoch, Key: c.options.Key,
		}
	})
}

func (c *Change) prepare() []Message {
	c.beginRound(phasePreparing)
	c.resetNewest()
	c.ballot = c.options.Ballots.Next(c.seen, c.ballot, c.next)
	request := &protocol.PrepareRequest{
		Shard: c.options.Shard, PlacementEpoch: c.options.Epoch, Key: c.options.Key, Ballot: c.ballot.Message(),
	}
	return c.toAll(func(message *Message) { message.Prepare = request })
}

// accept proposes the function's value of current under the ballot at hand.
func (c *Change) accept(current []byte) []Message {
	c.beginRound(phaseAccepting)
	c.value = current
	if c.options.Function != nil {
		if next, changed := c.options.Function(current); changed {
			c.value = next
		}
	}
	c.next = c.options.Ballots.Next(c.ballot)
	request := &protocol.AcceptRequest{
		Shard: c.options.Shard, PlacementEpoch: c.options.Epoch, Key: c.options.Key,
		Ballot: c.ballot.Message(), Value: c.value, NextBallot: c.next.Message(),
	}
	return c.toAll(func(message *Message) { message.Accept = request })
}

func (c *Change) toAll(fill func(*Message)) []Message {
	messages := make([]Message, 0, len(c.members))
	for _, store := range c.members {
		message := Message{Store: store, Round: c.round}
		fill(&message)
		messages = append(messages, message)
	}
	return messages
}

func (c *Change) resetNewest() {
	c.newest = Ballot{}
	c.value = nil
	c.unanimous = true
}

// Prepared takes the answer to a prepare message of the round.
func (c *Change) Prepared(store string, round uint64, answer *protocol.PrepareResponse) []Message {
	if !c.expects(store, round) || c.phase == phaseAccepting {
		return nil
	}
	if answer.GetRefusal() != protocol.ReplicaRefusal_REPLICA_REFUSAL_UNSPECIFIED {
		return c.refused(store, answer.GetRefusal(), answer.GetPlacementEpoch())
	}
	c.seen = maxBallot(c.seen, BallotOf(answer.GetSeen()))
	if c.phase == phasePreparing && !answer.GetPromised() {
		c.fail(store, StatusPreempted)
		return nil
	}
	c.takeValue(answer)
	c.votes = append(c.votes, store)
	if !c.options.Quorum.Reached(c.voted) {
		return nil
	}
	return c.prepared()
}

// takeValue keeps the value of the highest ballot and whether all votes agree on it.
func (c *Change) takeValue(answer *protocol.PrepareResponse) {
	accepted := BallotOf(answer.GetAccepted())
	if answer.GetLearned() || (len(c.votes) > 0 && accepted != c.newest) {
		c.unanimous = false
	}
	if len(c.votes) == 0 || c.newest.Less(accepted) {
		c.newest = accepted
		c.value = answer.GetValue()
	}
}

func (c *Change) prepared() []Message {
	if c.phase == phaseReading {
		if c.unanimous {
			c.status = StatusChosen
			return nil
		}
		return c.prepare()
	}
	if c.unanimous && !c.changes(c.value) {
		c.status = StatusChosen
		return nil
	}
	return c.accept(c.value)
}

// changes asks the function about a value that is known to be chosen, since
// nothing needs to be written when it stays as it is.
func (c *Change) changes(current []byte) bool {
	if c.options.Function == nil {
		return false
	}
	_, changed := c.options.Function(current)
	return changed
}

// Accepted takes the answer to an accept message of the round.
func (c *Change) Accepted(store string, round uint64, answer *protocol.AcceptResponse) []Message {
	if !c.expects(store, round) || c.phase != phaseAccepting {
		return nil
	}
	if answer.GetRefusal() != protocol.ReplicaRefusal_REPLICA_REFUSAL_UNSPECIFIED {
		return c.refused(store, answer.GetRefusal(), answer.GetPlacementEpoch())
	}
	if !answer.GetAccepted() {
		c.seen = maxBallot(c.seen, BallotOf(answer.GetSeen()))
		c.fail(store, StatusPreempted)
		return nil
	}
	c.votes = append(c.votes, store)
	if c.options.Quorum.Reached(c.voted) {
		c.status = StatusChosen
	}
	return nil
}

// Failed says that no answer to the round will come from the store.
func (c *Change) Failed(store string, round uint64) {
	if c.expects(store, round) {
		c.fail(store, StatusUnavailable)
	}
}

func (c *Change) refused(store string, refusal protocol.ReplicaRefusal, epoch uint64) []Message {
	if refusal == protocol.ReplicaRefusal_REPLICA_WRONG_PLACEMENT && epoch > c.options.Epoch {
		c.seenEpoch = max(c.seenEpoch, epoch)
		c.fail(store, StatusWrongPlacement)
		return nil
	}
	c.fail(store, StatusUnavailable)
	return nil
}

// fail counts a store out; the change stops when no majority is left.
func (c *Change) fail(store string, status Status) {
	c.failed = append(c.failed, store)
	if !c.options.Quorum.Lost(func(s string) bool { return slices.Contains(c.failed, s) }) {
		return
	}
	c.status = status
	if status == StatusUnavailable && c.seenEpoch > c.options.Epoch {
		c.status = StatusWrongPlacement
	}
}

func (c *Change) voted(store string) bool { return slices.Contains(c.votes, store) }

func (c *Change) expects(store string, round uint64) bool {
	return c.status == StatusUnderWay && round == c.round &&
		!slices.Contains(c.votes, store) && !slices.Contains(c.failed, store) && slices.Contains(c.members, store)
}
