package statesuite

import (
	"io"
	"time"

	"github.com/rosestand/rosestand/internal/testing/sim"
)

// Mutation is a fault put into the adapters on purpose.
type Mutation string

// Mutations, each of which a checker must notice.
const (
	// CoreAcknowledgesBeforeSync sends votes and acknowledgements before they are durable.
	CoreAcknowledgesBeforeSync Mutation = "core-acknowledges-before-sync"
	// CoreVotesAfterLostDisk lets a member without its disk come back under its former id.
	CoreVotesAfterLostDisk Mutation = "core-votes-after-lost-disk"
	// CoreForgetsVotes does not write terms and votes.
	CoreForgetsVotes Mutation = "core-forgets-votes"
	// CoreReadsWithoutLease answers reads from whoever believes to lead, without confirming it.
	CoreReadsWithoutLease Mutation = "core-reads-without-lease"
	// CoreForgetsOrders answers an order that was seen before as if it were new.
	CoreForgetsOrders Mutation = "core-forgets-orders"
	// CoreAcknowledgesLosers says accepted to a bundle whose number another one has.
	CoreAcknowledgesLosers Mutation = "core-acknowledges-losers"
	// CoreIgnoresLeaseDrift believes in a leader lease four times as long as it is.
	CoreIgnoresLeaseDrift Mutation = "core-ignores-lease-drift"
	// CoreSnapshotsOldState saves the state of its first snapshot again under the index of each later one.
	CoreSnapshotsOldState Mutation = "core-snapshots-old-state"
	// CoreEmptiesEarly shows a store as emptied as soon as that was ordered, and lets it be retired.
	CoreEmptiesEarly Mutation = "core-empties-early"
	// CoreRepeatsMemberOrders carries out an order about a member again although a later one was given.
	CoreRepeatsMemberOrders Mutation = "core-repeats-member-orders"
	// CoreForgetsRemovedMembers does not keep a removed member from joining again by itself.
	CoreForgetsRemovedMembers Mutation = "core-forgets-removed-members"
	// CoreRemovesBeforeReplacing removes a voter by order before another takes its place, if a majority of the rest seems alive.
	CoreRemovesBeforeReplacing Mutation = "core-removes-before-replacing"
	// CoreIgnoresRegions places replicas as if no store had told its region.
	CoreIgnoresRegions Mutation = "core-ignores-regions"
	// StoreAcceptsOldEpochs answers requests whatever placement they were sent under.
	StoreAcceptsOldEpochs Mutation = "store-accepts-old-epochs"
	// StoreReportsCopiedEarly says that a shard is copied before it is.
	StoreReportsCopiedEarly Mutation = "store-reports-copied-early"
	// StoreAcknowledgesBeforeSync answers prepares and accepts before they are durable.
	StoreAcknowledgesBeforeSync Mutation = "store-acknowledges-before-sync"
	// StoreVotesAfterLostDisk lets a rebuilding replica vote.
	StoreVotesAfterLostDisk Mutation = "store-votes-after-lost-disk"
	// StoreReadsOneReplica answers reads from the replica at hand.
	StoreReadsOneReplica Mutation = "store-reads-one-replica"
	// StoreTrustsOneMissing says that a turn is missing when one replica lacks it.
	StoreTrustsOneMissing Mutation = "store-trusts-one-missing"
	// StoreSettlesBeforeKeeping charges a turn before a majority holds it, and never waits for it.
	StoreSettlesBeforeKeeping Mutation = "store-settles-before-keeping"
	// StoreReusesFailedHead skips the prepare round also after a change that failed.
	StoreReusesFailedHead Mutation = "store-reuses-failed-head"
	// StoresStayDown lets no store process start again.
	StoresStayDown Mutation = "stores-stay-down"
	// DisksRot flips a bit of a store's log before it starts again.
	DisksRot Mutation = "disks-rot"
	// FrontPollsRarely asks for the configuration every five seconds.
	FrontPollsRarely Mutation = "front-polls-rarely"
	// FrontTakesAnyView takes the configuration of any core member, whatever it holds already.
	FrontTakesAnyView Mutation = "front-takes-any-view"
	// FrontSkipsDeltaSteps applies only the last step of a delta and checks no digest.
	FrontSkipsDeltaSteps Mutation = "front-skips-delta-steps"
	// FrontSkipsTombstone refuses a request that it knows nothing of without asking the ledger.
	FrontSkipsTombstone Mutation = "front-skips-tombstone"
	// FrontSkipsReservation passes tokens on when a reservation is not known to be granted.
	FrontSkipsReservation Mutation = "front-skips-reservation"
	// FrontSkipsIntent issues a call when its intent is not known to be granted.
	FrontSkipsIntent Mutation = "front-skips-intent"
)

// Mutations lists all of them.
func Mutations() []Mutation {
	return []Mutation{
		CoreAcknowledgesBeforeSync, CoreVotesAfterLostDisk, CoreForgetsVotes, CoreReadsWithoutLease, CoreForgetsOrders,
		CoreAcknowledgesLosers, CoreIgnoresLeaseDrift, CoreSnapshotsOldState, CoreEmptiesEarly,
		CoreRepeatsMemberOrders, CoreForgetsRemovedMembers, CoreRemovesBeforeReplacing, CoreIgnoresRegions,
		StoreAcceptsOldEpochs, StoreReportsCopiedEarly, StoreAcknowledgesBeforeSync, StoreVotesAfterLostDisk, StoreReadsOneReplica, StoreTrustsOneMissing,
		StoreSettlesBeforeKeeping, StoreReusesFailedHead, StoresStayDown, DisksRot,
		FrontPollsRarely, FrontTakesAnyView, FrontSkipsDeltaSteps, FrontSkipsTombstone, FrontSkipsReservation, FrontSkipsIntent,
	}
}

// Role says what a machine does; it is the beginning of its address.
type Role string

// Roles that faults strike.
const (
	RoleCore  Role = "core-"
	RoleStore Role = "store-"
	RoleFront Role = "front-"
)

// Options are the settings of a run; zero values stand for the defaults.
type Options struct {
	// Mutation, when set, breaks the adapters.
	Mutation Mutation
	// Faults is the schedule to run; nil stands for the one generated from the seed.
	Faults []sim.Fault
	// FaultCount is the number of generated faults; default 24.
	FaultCount int
	// Kinds and Roles narrow the generated faults to some kinds and to machines of some roles; all by default.
	Kinds []sim.FaultKind
	Roles []Role
	// LongestFault bounds how long a generated fault lasts; default 4 s, which is the most.
	LongestFault time.Duration
	// GiveUpSpread has operators empty stores of regions whatever spread of the replicas is lost with them.
	GiveUpSpread bool
	// Plain leaves out the losses right after a repair and the restart of everything, which else join the generated faults.
	Plain bool
	// Shape is the fleet; the default is ShapeZones.
	Shape Shape
	// Trace, when set, receives a line for each event of note.
	Trace io.Writer
}

const (
	defaultFaultCount = 24
	// Faults begin and end at these times; then everything must come back.
	faultsBegin = 4 * time.Second
	faultsEnd   = 24 * time.Second
	// comeBack is the time within which service must be back after the last fault has ended.
	comeBack = 12 * time.Second
	// finalReads is the time given to the reads that look for what was acknowledged.
	finalReads = 8 * time.Second

	// secondLossAfter is how long after a loss the next one is due, if the first is repaired by then.
	secondLossAfter = 100 * time.Millisecond
	// restartAt is when everything is restarted.
	restartAt = 22 * time.Second

	minimumFault = 200 * time.Millisecond
	maximumFault = 4 * time.Second
)

func (o Options) withDefaults() Options {
	if o.FaultCount <= 0 {
		o.FaultCount = defaultFaultCount
	}
	if len(o.Kinds) == 0 {
		o.Kinds = []sim.FaultKind{
			sim.FaultCrash, sim.FaultFreeze, sim.FaultPowerLoss, sim.FaultPowerLoss, sim.FaultDiskLoss, sim.FaultDiskLoss,
			sim.FaultReplace, sim.FaultPartition, sim.FaultOutboundPartition, sim.FaultInboundPartition, sim.FaultMessageLoss, sim.FaultSyncFailure, sim.FaultFullDisk,
		}
	}
	if len(o.Roles) == 0 {
		o.Roles = []Role{RoleCore, RoleCore, RoleStore, RoleStore, RoleFront}
	}
	if o.LongestFault <= 0 || o.LongestFault > maximumFault {
		o.LongestFault = maximumFault
	}
	return o
}
