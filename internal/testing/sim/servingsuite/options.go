package servingsuite

import (
	"io"

	"github.com/rosestand/rosestand/internal/testing/sim"
)

// Kind is one of the five kinds of bad days.
type Kind string

// Kinds of bad days.
const (
	// KindBursts has callers come in bursts, and urgent requests all at once.
	KindBursts Kind = "bursts"
	// KindServers has servers released one after another, lost, replaced at their addresses, unreachable by turns,
	// faulty in part, losing answers and answering late.
	KindServers Kind = "servers"
	// KindProcesses has front nodes killed, frozen, cut off and restarted, alone and in herds, and the core cut off.
	KindProcesses Kind = "processes"
	// KindOrders has operators race, resend, order what is invalid, lose acknowledgements and add routes one by one.
	KindOrders Kind = "orders"
	// KindStores has the ledger's store cut off, frozen and restarted.
	KindStores Kind = "stores"
)

// Kinds lists all kinds.
func Kinds() []Kind {
	return []Kind{KindBursts, KindServers, KindProcesses, KindOrders, KindStores}
}

// Mutation names a fault of the code that a run puts in on purpose.
type Mutation string

// Mutations, each made to break one rule.
const (
	MutationNone Mutation = ""
	// MutationReissueCalls takes calls that may not be repeated for repeatable ones.
	MutationReissueCalls Mutation = "reissue-calls"
	// MutationReissueTurns takes a broken answer for a connection that was never made.
	MutationReissueTurns Mutation = "reissue-turns"
	// MutationSkipTombstone refuses without telling the ledger.
	MutationSkipTombstone Mutation = "skip-tombstone"
	// MutationIgnoreNonces passes on answers whoever they are for.
	MutationIgnoreNonces Mutation = "ignore-nonces"
	// MutationSpliceStreams goes on with a stream that broke off at another server, as if nothing had happened.
	MutationSpliceStreams Mutation = "splice-streams"
	// MutationIgnoreDrains sends to servers that drain.
	MutationIgnoreDrains Mutation = "ignore-drains"
	// MutationEarlyAcknowledgement has the core acknowledge an order before every front node has it in force.
	MutationEarlyAcknowledgement Mutation = "early-acknowledgement"
	// MutationSkipReservation takes a turn's ceiling for reserved without asking the ledger.
	MutationSkipReservation Mutation = "skip-reservation"
	// MutationNoDeadline lets requests go on beyond their deadlines.
	MutationNoDeadline Mutation = "no-deadline"
	// MutationLongWait lets requests wait for a slot until their deadlines.
	MutationLongWait Mutation = "long-wait"
	// MutationNoRetryAfter refuses without a time to come back.
	MutationNoRetryAfter Mutation = "no-retry-after"
	// MutationSwapClasses admits urgent requests as probes, and probes as urgent ones.
	MutationSwapClasses Mutation = "swap-classes"
	// MutationEjectAll keeps every suspected server out of the choice, however many there are.
	MutationEjectAll Mutation = "eject-all"
	// MutationStayOut has front nodes that lost their authority never ask for it again.
	MutationStayOut Mutation = "stay-out"
)

// Mutations lists all mutations.
func Mutations() []Mutation {
	return []Mutation{
		MutationReissueCalls, MutationReissueTurns, MutationSkipTombstone, MutationIgnoreNonces, MutationSpliceStreams,
		MutationIgnoreDrains, MutationEarlyAcknowledgement, MutationSkipReservation, MutationNoDeadline, MutationLongWait,
		MutationNoRetryAfter, MutationSwapClasses, MutationEjectAll, MutationStayOut,
	}
}

// Options of one run; zero values stand for the defaults.
type Options struct {
	// Kinds are the kinds of bad days that come together; default all.
	Kinds []Kind
	// Faults replaces the schedule of faults drawn from the seed, when not nil.
	Faults []sim.Fault
	// Mutation breaks the code on purpose, to show that a rule bites.
	Mutation Mutation
	Trace    io.Writer
}
