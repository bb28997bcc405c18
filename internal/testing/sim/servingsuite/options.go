package servingsuite

import (
	"io"

	"github.com/rosestand/rosestand/internal/testing/sim"
)

// Scenario is one of five combinations of faults and load.
type Scenario string

// Scenarios.
const (
	// ScenarioBursts sends bursts of requests, some of them mostly urgent.
	ScenarioBursts Scenario = "bursts"
	// ScenarioServerFaults releases servers in turn, crashes them, replaces them at their addresses and puts them into
	// fault modes: flapping, grey failures, lost and late answers.
	ScenarioServerFaults Scenario = "servers"
	// ScenarioProcessFaults crashes, freezes, partitions and restarts front nodes, alone and several at once, and the
	// core.
	ScenarioProcessFaults Scenario = "processes"
	// ScenarioOperatorOrders has operators race, resend, give invalid orders, lose acknowledgements and add routes.
	ScenarioOperatorOrders Scenario = "orders"
	// ScenarioStoreFaults partitions, freezes and restarts the ledger's store.
	ScenarioStoreFaults Scenario = "stores"
)

// Scenarios lists all scenarios.
func Scenarios() []Scenario {
	return []Scenario{
		ScenarioBursts, ScenarioServerFaults, ScenarioProcessFaults, ScenarioOperatorOrders,
		ScenarioStoreFaults,
	}
}

// Mutation names a defect that a run puts into the code on purpose.
type Mutation string

// Mutations, each made to break one rule.
const (
	MutationNone Mutation = ""
	// MutationReissueCalls treats non-idempotent calls as idempotent.
	MutationReissueCalls Mutation = "reissue-calls"
	// MutationReissueTurns treats a broken answer as a connection that was never made.
	MutationReissueTurns Mutation = "reissue-turns"
	// MutationSkipTombstone rejects without a tombstone in the ledger.
	MutationSkipTombstone Mutation = "skip-tombstone"
	// MutationIgnoreNonces passes on answers without checking which request they answer.
	MutationIgnoreNonces Mutation = "ignore-nonces"
	// MutationSpliceStreams continues a broken stream with that of another server.
	MutationSpliceStreams Mutation = "splice-streams"
	// MutationIgnoreDrains sends to draining servers.
	MutationIgnoreDrains Mutation = "ignore-drains"
	// MutationEarlyAcknowledgement acknowledges an order before every front node has it in force.
	MutationEarlyAcknowledgement Mutation = "early-acknowledgement"
	// MutationSkipReservation issues turns without a reservation in the ledger.
	MutationSkipReservation Mutation = "skip-reservation"
	// MutationNoDeadline lets requests continue after their deadlines.
	MutationNoDeadline Mutation = "no-deadline"
	// MutationUnboundedWait lets requests wait for a slot until their deadlines.
	MutationUnboundedWait Mutation = "long-wait"
	// MutationNoRetryAfter rejects without a retry-after.
	MutationNoRetryAfter Mutation = "no-retry-after"
	// MutationSwapClasses admits urgent requests as probes, and probes as urgent ones.
	MutationSwapClasses Mutation = "swap-classes"
	// MutationEjectAll excludes every ejected server from the choice, without the bound on ejections.
	MutationEjectAll Mutation = "eject-all"
	// MutationNeverRenew keeps front nodes whose lease expired from renewing it.
	MutationNeverRenew Mutation = "stay-out"
)

// Mutations lists all mutations.
func Mutations() []Mutation {
	return []Mutation{
		MutationReissueCalls, MutationReissueTurns, MutationSkipTombstone, MutationIgnoreNonces, MutationSpliceStreams,
		MutationIgnoreDrains, MutationEarlyAcknowledgement, MutationSkipReservation, MutationNoDeadline,
		MutationUnboundedWait,
		MutationNoRetryAfter, MutationSwapClasses, MutationEjectAll, MutationNeverRenew,
	}
}

// Options of one run; zero values stand for the defaults.
type Options struct {
	// Scenarios are combined in the run; default all.
	Scenarios []Scenario
	// Faults replaces the schedule of faults drawn from the seed, when not nil.
	Faults []sim.Fault
	// Mutation is the defect to put in, to show that a rule detects it; default none.
	Mutation Mutation
	Trace    io.Writer
}
