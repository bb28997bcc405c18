package register

import "github.com/rosestand/rosestand/internal/protocol"

// State is the state of one register on one replica, the acceptor of the protocol. Its methods do not modify it and
// return the next state. It is not safe for concurrent use: the goroutine that owns the replica owns its states.
type State struct {
	// Promised is the lowest ballot that may still be accepted.
	Promised Ballot
	// Accepted is the ballot of Value; zero when no value was accepted.
	Accepted Ballot
	Value    []byte
	// Learned reports whether the value was copied from another replica. A proposer considers a learned value when it
	// determines the newest value, but it is not a vote for that value.
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

// Prepare handles a prepare request: it promises to reject lower ballots and reports the accepted value. When changed,
// the next state must be durable before the response is sent. A response must also not be sent before the earlier state
// of the register that it reports is durable. A zero ballot reads without a promise.
func (s State) Prepare(ballot Ballot) (next State, response *protocol.PrepareResponse, changed bool) {
	response = &protocol.PrepareResponse{
		Accepted: s.Accepted.ToProto(),
		Value:    s.Value,
		Learned:  s.Learned,
	}
	if ballot.IsZero() || ballot.Less(s.Promised) {
		response.Seen = s.Promised.ToProto()
		return s, response, false
	}
	response.Promised = true
	if ballot == s.Promised {
		return s, response, false
	}
	s.Promised = ballot
	return s, response, true
}

// Accept handles an accept request; nextBallot, when not zero, is promised together with the value. A repeated request
// is accepted again without a change. The durability rules are those of Prepare.
func (s State) Accept(
	ballot Ballot, value []byte, nextBallot Ballot,
) (next State, response *protocol.AcceptResponse, changed bool) {
	if ballot == s.Accepted && !s.Learned {
		return s, &protocol.AcceptResponse{Accepted: true}, false
	}
	if ballot.IsZero() || ballot.Less(s.Promised) {
		return s, &protocol.AcceptResponse{Seen: s.Promised.ToProto()}, false
	}
	accepted := State{Promised: maxBallot(ballot, nextBallot), Accepted: ballot, Value: value}
	return accepted, &protocol.AcceptResponse{Accepted: true}, true
}

// Learn copies the value that another replica accepted, for rebuilds, moves and scrubs. A learned value is not a vote,
// but the promised ballot is raised to its ballot: a proposer with a lower ballot would build on a value newer than its
// own proposal.
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
