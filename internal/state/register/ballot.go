// Package register is a compare-and-set register for every key, replicated over
// the stores of a shard. It follows the published CASPaxos idea: a change is a
// function of the newest value, proposed under a ballot in two rounds over a
// majority of the replicas, with no leader and no log. The package does no I/O:
// acceptors say what must be durable before an answer leaves, proposers say
// which messages to send.
//
// Source: design page, program ledger.
package register

import (
	"fmt"

	"github.com/rosestand/rosestand/internal/protocol"
)

// Ballot orders proposals on one register. The zero ballot is below all others.
// A proposer never uses a ballot for two values; its name is therefore new at
// every start of its process.
type Ballot struct {
	Counter  uint64
	Proposer string
}

// BallotOf reads a ballot from a message; nil is the zero ballot.
func BallotFromProto(message *protocol.Ballot) Ballot {
	return Ballot{Counter: message.GetCounter(), Proposer: message.GetProposer()}
}

// Message gives the ballot as a message; the zero ballot is nil.
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

func (b Ballot) String() string { return fmt.Sprintf("%d@%s", b.Counter, b.Proposer) }

func maxBallot(a, b Ballot) Ballot {
	if a.Less(b) {
		return b
	}
	return a
}

// Ballots hands out the ballots of one proposer, each larger than any before on any key.
type BallotGenerator struct {
	proposer string
	counter  uint64
}

// NewBallots begins with the first ballot of a proposer whose name no process used before.
func NewBallotGenerator(proposer string) *BallotGenerator {
	return &BallotGenerator{proposer: proposer}
}

// Advance makes the next ballot larger than any that was given before a time in Unix
// milliseconds by proposers whose clocks agree. Replicas forget registers that nobody wrote
// for long; one that missed the end still holds the old value, and every later ballot must be above it.
func (b *BallotGenerator) Advance(unixMillis int64) {
	if unixMillis > 0 {
		b.counter = max(b.counter, uint64(unixMillis))
	}
}

// Next gives a ballot larger than the ones seen and than all given before.
func (b *BallotGenerator) Next(seen ...Ballot) Ballot {
	for _, ballot := range seen {
		b.counter = max(b.counter, ballot.Counter)
	}
	b.counter++
	return Ballot{Counter: b.counter, Proposer: b.proposer}
}
