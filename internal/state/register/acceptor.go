package register

import "github.com/rosestand/rosestand/internal/protocol"

// State is one register on one replica, the acceptor of the protocol. Its methods leave it unchanged and return the
// next state. It is not synchronized: the goroutine that owns the replica owns its states.
type State struct {
	// Promised is the lowest ballot that may still be accepted.
	Promised Ballot
	// Accepted is the ballot of Value; zero when nothing was accepted.
	Accepted Ballot
	Value    []byte
	// Learned says that the value was copied from another replica. It counts when a new proposer looks for the newest
	// value, but it is no vote for that value.
	Learned bool
}

// StateFromProto reads a state from its message.
func StateFromProto(message *protocol.RegisterState) State {
	return State{
		Promised: BallotFromProto(message.GetPromised()),
		Accepted: BallotFromProto(message.GetAccepted()),
		Value:    message.GetValue(),
		Learned:  message.GetLearned(),
	}
}

// ToProto returns the state of a key as a message.
func (s State) ToProto(key *protocol.RegisterKey) *protocol.RegisterState {
	return &protocol.RegisterState{
		Key:      key,
		Promised: s.Promised.ToProto(),
		Accepted: s.Accepted.ToProto(),
		Value:    s.Value,
		Learned:  s.Learned,
	}
}

// Prepare decides a prepare request: it promises to reject lower ballots and reports what was accepted. When changed,
// the next state must be durable before the answer leaves; nor may an answer leave before an earlier state of the
// register that it shows is durable. A zero ballot reads without promising anything.
func (s State) Prepare(ballot Ballot) (next State, answer *protocol.PrepareResponse, changed bool) {
	answer = &protocol.PrepareResponse{
		Accepted: s.Accepted.ToProto(),
		Value:    s.Value,
		Learned:  s.Learned,
	}
	if ballot.IsZero() || ballot.Less(s.Promised) {
		answer.Seen = s.Promised.ToProto()
		return s, answer, false
	}
	answer.Promised = true
	if ballot == s.Promised {
		return s, answer, false
	}
	s.Promised = ballot
	return s, answer, true
}

// Accept decides an accept request; nextBallot, when not zero, is promised along with the value. A repeated request is
// accepted again without a change. The rules for durability are those of Prepare.
func (s State) Accept(
	ballot Ballot, value []byte, nextBallot Ballot,
) (next State, answer *protocol.AcceptResponse, changed bool) {
	if ballot == s.Accepted && !s.Learned {
		return s, &protocol.AcceptResponse{Accepted: true}, false
	}
	if ballot.IsZero() || ballot.Less(s.Promised) {
		return s, &protocol.AcceptResponse{Seen: s.Promised.ToProto()}, false
	}
	accepted := State{Promised: maxBallot(ballot, nextBallot), Accepted: ballot, Value: value}
	return accepted, &protocol.AcceptResponse{Accepted: true}, true
}

// Learn copies what another replica accepted, for rebuilds, moves and scrubs. A learned value is no vote, but the
// promised ballot rises to its ballot: a proposer below it would build on a value newer than its own proposal.
func (s State) Learn(accepted Ballot, value []byte) (next State, changed bool) {
	if !s.Accepted.Less(accepted) {
		return s, false
	}
	s.Promised = maxBallot(s.Promised, accepted)
	s.Accepted = accepted
	s.Value = value
	s.Learned = true
	return s, true
}
