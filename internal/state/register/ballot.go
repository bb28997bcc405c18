package register

import (
	"fmt"

	"github.com/rosestand/rosestand/internal/protocol"
)

// Ballot is the number of a proposal and orders the proposals for one register. The zero ballot is below all others. A
// proposer never uses a ballot for two values, so its name must be new at every start of its process.
type Ballot struct {
	Counter uint64
	// Proposer is unique among all proposers of the cluster and orders ballots of the same Counter.
	Proposer string
}

// BallotFromProto returns the ballot of a message; nil is the zero ballot.
func BallotFromProto(message *protocol.Ballot) Ballot {
	return Ballot{Counter: message.GetCounter(), Proposer: message.GetProposer()}
}

// ToProto returns the ballot as a message; nil for the zero ballot.
func (b Ballot) ToProto() *protocol.Ballot {
	if b.IsZero() {
		return nil
	}
	return &protocol.Ballot{Counter: b.Counter, Proposer: b.Proposer}
}

// IsZero reports whether no proposal was made under the ballot.
func (b Ballot) IsZero() bool { return b.Counter == 0 && b.Proposer == "" }

// Less orders ballots by counter, then by proposer.
func (b Ballot) Less(other Ballot) bool {
	if b.Counter != other.Counter {
		return b.Counter < other.Counter
	}
	return b.Proposer < other.Proposer
}

// String returns the ballot as counter@proposer, for logs.
func (b Ballot) String() string { return fmt.Sprintf("%d@%s", b.Counter, b.Proposer) }

func maxBallot(a, b Ballot) Ballot {
	if a.Less(b) {
		return b
	}
	return a
}

// BallotGenerator issues the ballots of one proposer, each larger than any that it issued before on any key.
// It is not safe for concurrent use.
type BallotGenerator struct {
	proposer string
	counter  uint64
}

// NewBallotGenerator returns a generator for a proposer whose name no process has used before.
func NewBallotGenerator(proposer string) *BallotGenerator {
	return &BallotGenerator{proposer: proposer}
}

// Advance makes the next ballot larger than any that proposers with synchronized clocks issued before a time in Unix
// milliseconds. Replicas expire registers that have not been written for a long time. A replica that missed the expiry
// still stores the old value, and every later ballot must be above that value's ballot.
func (g *BallotGenerator) Advance(unixMillis int64) {
	if unixMillis > 0 {
		g.counter = max(g.counter, uint64(unixMillis))
	}
}

// Next returns a ballot larger than the seen ones and all ballots issued before.
func (g *BallotGenerator) Next(seen ...Ballot) Ballot {
	for _, ballot := range seen {
		g.counter = max(g.counter, ballot.Counter)
	}
	g.counter++
	return Ballot{Counter: g.counter, Proposer: g.proposer}
}
