package settings

import "github.com/rosestand/rosestand/internal/protocol"

// Defaults of all settings. Times are in the unit of the field.
const (
	defaultRegion               = "default"
	defaultLogLevel             = "info"
	defaultLogFormat            = "text"
	defaultStopGraceMillis      = 20_000
	defaultMaxBodyBytes         = 8 << 20
	defaultVirtualNodes         = 16
	defaultLeaseRenewMillis     = 1_000
	defaultTargetVoters         = 3
	defaultElectionMillis       = 1_000
	defaultHeartbeatMillis      = 100
	defaultLeaseMillis          = 5_000
	defaultShardCount           = 64
	defaultReplicaCount         = 3
	defaultReplaceVoterMillis   = 10_000
	defaultSnapshotEntries      = 10_000
	defaultCoalesceMillis       = 100
	defaultSegmentBytes         = 16 << 20
	defaultCopyBytesPerSecond   = 64 << 20
	defaultScrubIntervalSeconds = 600

	// frontGraceOfKillPercent is the part of kill_after_millis that the graceful shutdown of a front node may take.
	// Requests at servers have five sixths of kill_after_millis to end; the rest is for the answers and the end of what
	// is left.
	frontGraceOfKillPercent = 85
	// graceOfKillPercent is that part for core members and stores, which end after the front nodes that need them and
	// still need time for the end of an interrupted shutdown.
	graceOfKillPercent = 90
)

// fillDefaults sets each field that is zero and has a default.
func fillDefaults(message Message) {
	switch settings := any(message).(type) {
	case *protocol.FrontSettings:
		fillNode(settings.GetNode(), frontGraceOfKillPercent)
		fillFront(settings)
	case *protocol.CoreSettings:
		fillNode(settings.GetNode(), graceOfKillPercent)
		fillCore(settings)
	case *protocol.StoreSettings:
		fillNode(settings.GetNode(), graceOfKillPercent)
		fillStore(settings)
	}
}

// fillNode fills in the settings that all kinds have; gracePercent of the time until the kill is for the shutdown.
func fillNode(node *protocol.NodeSettings, gracePercent uint64) {
	setIfZero(&node.Region, defaultRegion)
	setIfZero(&node.LogLevel, defaultLogLevel)
	setIfZero(&node.LogFormat, defaultLogFormat)
	setIfZero(&node.StopGraceMillis, defaultStopGraceMillis)
	if kill := node.GetKillAfterMillis(); kill > 0 {
		node.StopGraceMillis = min(node.StopGraceMillis, max(1, uint32(uint64(kill)*gracePercent/100)))
	}
}

func fillFront(settings *protocol.FrontSettings) {
	setIfZero(&settings.MaxBodyBytes, defaultMaxBodyBytes)
	setIfZero(&settings.VirtualPlaces, defaultVirtualNodes)
	setIfZero(&settings.LeaseRenewMillis, defaultLeaseRenewMillis)
}

func fillCore(settings *protocol.CoreSettings) {
	if losses := settings.GetToleratedLosses(); losses > 0 && losses <= maxToleratedLosses {
		setIfZero(&settings.TargetVoters, groupSizeFor(losses))
		setIfZero(&settings.ReplicaCount, groupSizeFor(losses))
	}
	setIfZero(&settings.TargetVoters, defaultTargetVoters)
	setIfZero(&settings.ElectionTimeoutMillis, defaultElectionMillis)
	setIfZero(&settings.HeartbeatMillis, defaultHeartbeatMillis)
	setIfZero(&settings.LeaseMillis, defaultLeaseMillis)
	setIfZero(&settings.ShardCount, defaultShardCount)
	setIfZero(&settings.ReplicaCount, defaultReplicaCount)
	setIfZero(&settings.ReplaceVoterMillis, defaultReplaceVoterMillis)
	setIfZero(&settings.SnapshotEntries, defaultSnapshotEntries)
	setIfZero(&settings.MaxBodyBytes, defaultMaxBodyBytes)
	setIfZero(&settings.CoalesceMillis, defaultCoalesceMillis)
}

// groupSizeFor returns the size of the smallest group that has a majority left after the losses.
func groupSizeFor(losses uint32) uint32 { return 2*losses + 1 }

func fillStore(settings *protocol.StoreSettings) {
	setIfZero(&settings.SegmentBytes, defaultSegmentBytes)
	setIfZero(&settings.CopyBytesPerSecond, defaultCopyBytesPerSecond)
	setIfZero(&settings.ScrubIntervalSeconds, defaultScrubIntervalSeconds)
}

// setIfZero sets a field that has its zero value.
func setIfZero[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
