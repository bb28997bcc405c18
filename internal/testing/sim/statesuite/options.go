package statesuite

import (
	"io"
	"time"

	"github.com/rosestand/rosestand/internal/testing/sim"
)

// Mutation is a defect put into the adapters on purpose.
type Mutation string

// Mutations, each of which a checker must detect.
const (
	// CoreAcknowledgesBeforeSync sends votes and acknowledgements before they are durable.
	CoreAcknowledgesBeforeSync Mutation = "core-acknowledges-before-sync"
	// CoreVotesAfterLostDisk lets a member without its disk come back under its former id.
	CoreVotesAfterLostDisk Mutation = "core-votes-after-lost-disk"
	// CoreForgetsVotes does not write terms and votes.
	CoreForgetsVotes Mutation = "core-forgets-votes"
	// CoreReadsWithoutLease answers reads on any member that considers itself leader, without a lease.
	CoreReadsWithoutLease Mutation = "core-reads-without-lease"
	// CoreIgnoresOrderIDs applies an order again that was applied before.
	CoreIgnoresOrderIDs Mutation = "core-forgets-orders"
	// CoreAcceptsConflictingBundles acknowledges a bundle whose version another one has.
	CoreAcceptsConflictingBundles Mutation = "core-acknowledges-losers"
	// CoreIgnoresLeaseDrift treats the leader lease as four times as long as it is.
	CoreIgnoresLeaseDrift Mutation = "core-ignores-lease-drift"
	// CoreSnapshotsOldState saves the state of its first snapshot again under the index of each later one.
	CoreSnapshotsOldState Mutation = "core-snapshots-old-state"
	// CoreReportsEmptiedEarly reports a store as emptied as soon as that was ordered, and lets it be retired.
	CoreReportsEmptiedEarly Mutation = "core-empties-early"
	// CoreRepeatsMemberOrders carries out a resent order about a member although there is a later one.
	CoreRepeatsMemberOrders Mutation = "core-repeats-member-orders"
	// CoreForgetsRemovedMembers lets a removed member join again by itself.
	CoreForgetsRemovedMembers Mutation = "core-forgets-removed-members"
	// CoreRemovesBeforeReplacing removes a voter by order before another replaces it, if a majority of the others has
	// contact.
	CoreRemovesBeforeReplacing Mutation = "core-removes-before-replacing"
	// CoreIgnoresRegions places replicas as if no store had reported its region.
	CoreIgnoresRegions Mutation = "core-ignores-regions"
	// StoreAcceptsOldEpochs answers requests of any placement epoch.
	StoreAcceptsOldEpochs Mutation = "store-accepts-old-epochs"
	// StoreReportsCopiedEarly reports a shard as copied before it is.
	StoreReportsCopiedEarly Mutation = "store-reports-copied-early"
	// StoreAcknowledgesBeforeSync answers prepares and accepts before they are durable.
	StoreAcknowledgesBeforeSync Mutation = "store-acknowledges-before-sync"
	// StoreVotesAfterLostDisk lets a rebuilding replica vote.
	StoreVotesAfterLostDisk Mutation = "store-votes-after-lost-disk"
	// StoreReadsOneReplica answers reads from the local replica.
	StoreReadsOneReplica Mutation = "store-reads-one-replica"
	// StoreReportsMissingFromOneReplica reports a turn as missing when one replica lacks it.
	StoreReportsMissingFromOneReplica Mutation = "store-trusts-one-missing"
	// StoreCommitsBeforeRetaining commits a turn without waiting until a majority has retained it.
	StoreCommitsBeforeRetaining Mutation = "store-settles-before-keeping"
	// StoreReusesFailedHead skips the prepare phase also after a change that failed.
	StoreReusesFailedHead Mutation = "store-reuses-failed-head"
	// StoresNeverRestart lets no store process start again.
	StoresNeverRestart Mutation = "stores-stay-down"
	// StoreLogsCorrupted flips a bit of a store's log before it starts again.
	StoreLogsCorrupted Mutation = "disks-rot"
	// FrontPollsInfrequently polls the configuration every five seconds.
	FrontPollsInfrequently Mutation = "front-polls-rarely"
	// FrontReadsAnyMember puts the configuration of any core member in force, even if it is older.
	FrontReadsAnyMember Mutation = "front-takes-any-view"
	// FrontSkipsDeltaSteps applies only the last step of a delta and checks no digest.
	FrontSkipsDeltaSteps Mutation = "front-skips-delta-steps"
	// FrontSkipsTombstone rejects a request without a tombstone in the ledger.
	FrontSkipsTombstone Mutation = "front-skips-tombstone"
	// FrontSkipsReservation runs a turn when its reservation was not granted.
	FrontSkipsReservation Mutation = "front-skips-reservation"
	// FrontSkipsIntent issues a call when its intent was not granted.
	FrontSkipsIntent Mutation = "front-skips-intent"
)

// Mutations lists all mutations.
func Mutations() []Mutation {
	return []Mutation{
		CoreAcknowledgesBeforeSync, CoreVotesAfterLostDisk, CoreForgetsVotes, CoreReadsWithoutLease, CoreIgnoresOrderIDs,
		CoreAcceptsConflictingBundles, CoreIgnoresLeaseDrift, CoreSnapshotsOldState, CoreReportsEmptiedEarly,
		CoreRepeatsMemberOrders, CoreForgetsRemovedMembers, CoreRemovesBeforeReplacing, CoreIgnoresRegions,
		StoreAcceptsOldEpochs, StoreReportsCopiedEarly, StoreAcknowledgesBeforeSync, StoreVotesAfterLostDisk,
		StoreReadsOneReplica, StoreReportsMissingFromOneReplica,
		StoreCommitsBeforeRetaining, StoreReusesFailedHead, StoresNeverRestart, StoreLogsCorrupted,
		FrontPollsInfrequently, FrontReadsAnyMember, FrontSkipsDeltaSteps, FrontSkipsTombstone, FrontSkipsReservation,
		FrontSkipsIntent,
	}
}

// Role is the role of a machine; it is the prefix of its address.
type Role string

// Roles that faults strike.
const (
	RoleCore  Role = "core-"
	RoleStore Role = "store-"
	RoleFront Role = "front-"
)

// Options are the settings of a run; zero values stand for the defaults.
type Options struct {
	// Mutation is the defect to put in; default none.
	Mutation Mutation
	// Faults is the schedule to run; nil stands for the one generated from the seed.
	Faults []sim.Fault
	// FaultCount is the number of generated faults; default 24.
	FaultCount int
	// Kinds and Roles narrow the generated faults to some kinds and to machines of some roles; all by default.
	Kinds []sim.FaultKind
	Roles []Role
	// MaxFaultDuration bounds the duration of a generated fault; default and maximum 4 s.
	MaxFaultDuration time.Duration
	// AllowLostSpread lets operators empty stores even if replicas then no longer spread over regions.
	AllowLostSpread bool
	// Plain omits the second disk losses, the full restart and the zone faults, which else join the generated faults.
	Plain bool
	// Shape is the fleet; the default is ShapeZones.
	Shape Shape
	// Trace, when set, receives the trace of the world.
	Trace io.Writer
}

const (
	defaultFaultCount = 24
	// Faults begin between these times; then everything must recover.
	faultsBegin = 4 * time.Second
	faultsEnd   = 24 * time.Second
	// recoveryBound bounds the time from the end of the last fault until service has recovered.
	recoveryBound = 12 * time.Second
	// finalReadTime bounds the final reads of what was acknowledged.
	finalReadTime = 8 * time.Second

	// secondLossDelay is the time from a disk loss to the next one, which waits until the first is repaired.
	secondLossDelay = 100 * time.Millisecond
	// fullRestartAt is when all processes are restarted.
	fullRestartAt = 22 * time.Second

	minFaultDuration = 200 * time.Millisecond
	maxFaultDuration = 4 * time.Second
)

func (o Options) withDefaults() Options {
	if o.FaultCount <= 0 {
		o.FaultCount = defaultFaultCount
	}
	if len(o.Kinds) == 0 {
		o.Kinds = []sim.FaultKind{
			sim.FaultCrash, sim.FaultFreeze, sim.FaultPowerLoss, sim.FaultPowerLoss, sim.FaultDiskLoss, sim.FaultDiskLoss,
			sim.FaultReplace, sim.FaultPartition, sim.FaultOutboundPartition, sim.FaultInboundPartition, sim.FaultMessageLoss,
			sim.FaultSyncFailure, sim.FaultFullDisk,
		}
	}
	if len(o.Roles) == 0 {
		o.Roles = []Role{RoleCore, RoleCore, RoleStore, RoleStore, RoleFront}
	}
	if o.MaxFaultDuration <= 0 || o.MaxFaultDuration > maxFaultDuration {
		o.MaxFaultDuration = maxFaultDuration
	}
	return o
}
