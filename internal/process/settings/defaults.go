package settings

import "github.com/rosestand/rosestand/internal/protocol"

// Defaults of all settings. Times are in the unit of the field.
const (
	defaultRegion              = "default"
	defaultLogLevel            = "info"
	defaultLogFormat           = "text"
	defaultStopGraceMillis     = 20_000
	defaultMaxBodyBytes        = 8 << 20
	defaultVirtualPlaces       = 16
	defaultLeaseRenewMillis    = 1_000
	defaultTargetVoters        = 3
	defaultElectionMillis      = 1_000
	defaultHeartbeatMillis     = 100
	defaultLeaseMillis         = 5_000
	defaultShardCount          = 64
	defaultReplicaCount        = 3
	defaultReplaceVoterMillis  = 10_000
	defaultSnapshotEntries     = 10_000
	defaultCoalesceMillis      = 100
	defaultSegmentBytes        = 16 << 20
	defaultCopyBytesPerSecond  = 64 << 20
	defaultScrubIntervalSecond = 600

	// gracePercent is the share of kill_after_millis that a gentle stop may take.
	gracePercent = 75
)

// fillDefaults replaces every field that is zero and has a default.
func fillDefaults(message Message) {
	fillNode(message.GetNode())
	switch settings := any(message).(type) {
	case *protocol.FrontSettings:
		fillFront(settings)
	case *protocol.CoreSettings:
		fillCore(settings)
	case *protocol.StoreSettings:
		fillStore(settings)
	}
}

func fillNode(node *protocol.NodeSettings) {
	fill(&node.Region, defaultRegion)
	fill(&node.LogLevel, defaultLogLevel)
	fill(&node.LogFormat, defaultLogFormat)
	fill(&node.StopGraceMillis, defaultStopGraceMillis)
	if kill := node.GetKillAfterMillis(); kill > 0 {
		node.StopGraceMillis = min(node.StopGraceMillis, max(1, uint32(uint64(kill)*gracePercent/100)))
	}
}

func fillFront(settings *protocol.FrontSettings) {
	fill(&settings.MaxBodyBytes, defaultMaxBodyBytes)
	fill(&settings.VirtualPlaces, defaultVirtualPlaces)
	fill(&settings.LeaseRenewMillis, defaultLeaseRenewMillis)
}

func fillCore(settings *protocol.CoreSettings) {
	if losses := settings.GetToleratedLosses(); losses > 0 && losses <= maxToleratedLosses {
		fill(&settings.TargetVoters, majorityOver(losses))
		fill(&settings.ReplicaCount, majorityOver(losses))
	}
	fill(&settings.TargetVoters, defaultTargetVoters)
	fill(&settings.ElectionTimeoutMillis, defaultElectionMillis)
	fill(&settings.HeartbeatMillis, defaultHeartbeatMillis)
	fill(&settings.LeaseMillis, defaultLeaseMillis)
	fill(&settings.ShardCount, defaultShardCount)
	fill(&settings.ReplicaCount, defaultReplicaCount)
	fill(&settings.ReplaceVoterMillis, defaultReplaceVoterMillis)
	fill(&settings.SnapshotEntries, defaultSnapshotEntries)
	fill(&settings.MaxBodyBytes, defaultMaxBodyBytes)
	fill(&settings.CoalesceMillis, defaultCoalesceMillis)
}

// majorityOver is the smallest group of which a majority is left after the losses.
func majorityOver(losses uint32) uint32 { return 2*losses + 1 }

func fillStore(settings *protocol.StoreSettings) {
	fill(&settings.SegmentBytes, defaultSegmentBytes)
	fill(&settings.CopyBytesPerSecond, defaultCopyBytesPerSecond)
	fill(&settings.ScrubIntervalSeconds, defaultScrubIntervalSecond)
}

// fill sets a field that has its zero value.
func fill[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
