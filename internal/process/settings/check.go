package settings

import (
	"fmt"
	"math"
	"net/netip"
	"strings"

	"github.com/rosestand/rosestand/internal/process/settings/signoffkey"
	"github.com/rosestand/rosestand/internal/protocol"
)

// Bounds of settings, in the unit of the field.
const (
	maxStopGraceMillis       = 600_000
	maxSeeds                 = 16
	minBodyBytes             = 1 << 10
	maxBodyBytes             = 1 << 30
	maxVirtualNodes          = 1_024
	minRenewMillis           = 10
	maxVoters                = 9
	minHeartbeatMillis       = 1
	maxElectionMillis        = 60_000
	minHeartbeatsPerElection = 3
	minLeaseMillis           = 50
	maxLeaseMillis           = 600_000
	maxShards                = 65_536
	maxReplicas              = 9
	minReplaceMillis         = 100
	maxReplaceMillis         = 86_400_000
	maxCoalesceMillis        = 1000
	maxSnapshotEntries       = 10_000_000
	minSegmentBytes          = 1 << 16
	maxSegmentBytes          = 1 << 32
	minCopyBytes             = 1 << 12
	maxCopyBytes             = 1 << 40
	maxScrubSeconds          = 7 * 86_400
	maxLeaseRenewMillis      = 60_000
	maxToleratedLosses       = (maxVoters - 1) / 2
	minMemoryBytes           = 48 << 20
	maxMemoryBytes           = 1 << 50
	minOpenFiles             = 256
)

func checkNode(node *protocol.NodeSettings, check *checker) {
	check.name("node.name", node.GetName())
	check.name("node.zone", node.GetZone())
	check.name("node.region", node.GetRegion())
	internal := check.listener("node.internal_address", node.GetInternalAddress())
	http := check.listener("node.http_address", node.GetHttpAddress())
	if internal.IsValid() && internal == http && internal.Port() != 0 {
		check.addFault("node.http_address", "is the same as node.internal_address")
	}
	check.peers("node.seeds", node.GetSeeds())
	if len(node.GetSeeds()) > maxSeeds {
		check.addFault("node.seeds", "has %d addresses, must have at most %d", len(node.GetSeeds()), maxSeeds)
	}
	check.secretFile("node.cluster_key_file", node.GetClusterKeyFile(), "node.trust_network", node.GetTrustNetwork())
	check.between("node.seed_port", uint64(node.GetSeedPort()), 0, math.MaxUint16)
	check.oneOf("node.log_level", node.GetLogLevel(), "debug", "info", "warn", "error")
	check.oneOf("node.log_format", node.GetLogFormat(), "text", "json")
	check.between("node.stop_grace_millis", uint64(node.GetStopGraceMillis()), 1, maxStopGraceMillis)
	if limit := node.GetMemoryLimitBytes(); limit != 0 {
		check.between("node.memory_limit_bytes", limit, minMemoryBytes, maxMemoryBytes)
	}
	if files := node.GetMaxOpenFiles(); files != 0 {
		check.between("node.max_open_files", uint64(files), minOpenFiles, math.MaxUint32)
	}
	checkAdvertisedAddress(node.GetAdvertisedAddress(), check)
	checkDebugAddress(node.GetDebugAddress(), check)
}

func checkAdvertisedAddress(value string, check *checker) {
	if value == "" {
		return
	}
	address := check.listener("node.advertised_address", value)
	if address.IsValid() && address.Port() == 0 {
		check.addFault("node.advertised_address", "%q has no port", value)
	}
}

func checkDebugAddress(value string, check *checker) {
	if value == "" {
		return
	}
	address, err := netip.ParseAddrPort(value)
	if err != nil || !address.Addr().IsLoopback() {
		check.addFault("node.debug_address", "%q is not a loopback IP:port", value)
	}
}

func checkFront(settings *protocol.FrontSettings, check *checker) {
	checkNode(settings.GetNode(), check)
	requireSeeds(settings.GetNode(), check)
	check.between("max_body_bytes", settings.GetMaxBodyBytes(), minBodyBytes, maxBodyBytes)
	check.between("virtual_places", uint64(settings.GetVirtualPlaces()), 1, maxVirtualNodes)
	checkTrafficAddress(settings, check)
	check.between("lease_renew_millis", uint64(settings.GetLeaseRenewMillis()), minRenewMillis, maxLeaseRenewMillis)
}

func checkTrafficAddress(settings *protocol.FrontSettings, check *checker) {
	if settings.GetTrafficAddress() == "" {
		return
	}
	traffic := check.listener("traffic_address", settings.GetTrafficAddress())
	if !traffic.IsValid() || traffic.Port() == 0 {
		return
	}
	node := settings.GetNode()
	if other := settings.GetTrafficAddress(); other == node.GetInternalAddress() || other == node.GetHttpAddress() {
		check.addFault("traffic_address", "is the same as another listener of this process")
	}
}

func checkCore(settings *protocol.CoreSettings, check *checker) {
	checkNode(settings.GetNode(), check)
	check.required("node.data_folder", settings.GetNode().GetDataFolder())
	check.secretFile(
		"operator_token_file", settings.GetOperatorTokenFile(), "trust_operators", settings.GetTrustOperators(),
	)
	if len(settings.GetFounders()) == 0 && len(settings.GetNode().GetSeeds()) == 0 {
		check.addFault("founders", "is empty and so is node.seeds: a core process founds a cluster or joins one")
	}
	checkVoters(settings, check)
	checkSignOffKeys(settings.GetSignOffKeys(), check)
	checkCoreTimes(settings, check)
	check.between("shard_count", uint64(settings.GetShardCount()), 1, maxShards)
	check.between("replica_count", uint64(settings.GetReplicaCount()), 1, maxReplicas)
	requireOdd("replica_count", settings.GetReplicaCount(), check)
	check.between("snapshot_entries", uint64(settings.GetSnapshotEntries()), 1, maxSnapshotEntries)
	check.between("max_body_bytes", settings.GetMaxBodyBytes(), minBodyBytes, maxBodyBytes)
	check.between("tolerated_losses", uint64(settings.GetToleratedLosses()), 0, maxToleratedLosses)
	checkZoneRegions(settings.GetZoneRegions(), check)
	if lease := settings.GetBackEndLeaseMillis(); lease != 0 {
		check.between("back_end_lease_millis", uint64(lease), minLeaseMillis, maxLeaseMillis)
	}
	check.between("coalesce_millis", uint64(settings.GetCoalesceMillis()), 1, maxCoalesceMillis)
}

func checkVoters(settings *protocol.CoreSettings, check *checker) {
	check.peers("founders", settings.GetFounders())
	check.between("target_voters", uint64(settings.GetTargetVoters()), 1, maxVoters)
	requireOdd("target_voters", settings.GetTargetVoters(), check)
	if founders := len(settings.GetFounders()); founders > int(settings.GetTargetVoters()) {
		check.addFault("founders", "has %d addresses, must have at most target_voters, which is %d",
			founders, settings.GetTargetVoters())
	}
}

func checkCoreTimes(settings *protocol.CoreSettings, check *checker) {
	check.between("heartbeat_millis", uint64(settings.GetHeartbeatMillis()), minHeartbeatMillis, maxElectionMillis)
	check.between("election_timeout_millis", uint64(settings.GetElectionTimeoutMillis()),
		uint64(settings.GetHeartbeatMillis())*minHeartbeatsPerElection, maxElectionMillis)
	check.between("lease_millis", uint64(settings.GetLeaseMillis()), minLeaseMillis, maxLeaseMillis)
	check.between("replace_voter_millis", uint64(settings.GetReplaceVoterMillis()), minReplaceMillis, maxReplaceMillis)
}

func checkZoneRegions(pairs []string, check *checker) {
	seen := map[string]bool{}
	for index, pair := range pairs {
		path := fmt.Sprintf("zone_regions[%d]", index)
		zone, region, _ := strings.Cut(pair, "=")
		check.name(path, zone)
		check.name(path, region)
		if seen[zone] {
			check.addFault(path, "zone %q is listed twice", zone)
		}
		seen[zone] = true
	}
}

func checkSignOffKeys(keys []string, check *checker) {
	seen := map[string]bool{}
	for index, text := range keys {
		path := fmt.Sprintf("sign_off_keys[%d]", index)
		parsed, err := signoffkey.Parse([]string{text})
		if err != nil {
			check.addFault(path, "%v", err)
			continue
		}
		name := parsed[0].GetName()
		if seen[name] {
			check.addFault(path, "%q is listed twice", name)
		}
		seen[name] = true
	}
}

func checkStore(settings *protocol.StoreSettings, check *checker) {
	checkNode(settings.GetNode(), check)
	requireSeeds(settings.GetNode(), check)
	check.required("node.data_folder", settings.GetNode().GetDataFolder())
	check.between("segment_bytes", settings.GetSegmentBytes(), minSegmentBytes, maxSegmentBytes)
	check.between("copy_bytes_per_second", settings.GetCopyBytesPerSecond(), minCopyBytes, maxCopyBytes)
	check.between("scrub_interval_seconds", uint64(settings.GetScrubIntervalSeconds()), 1, maxScrubSeconds)
}

func requireSeeds(node *protocol.NodeSettings, check *checker) {
	if len(node.GetSeeds()) == 0 {
		check.addFault("node.seeds", "is empty: give internal addresses of other processes, three is usual")
	}
}

func requireOdd(path string, value uint32, check *checker) {
	if value%2 == 0 {
		check.addFault(path, "is %d, must be odd", value)
	}
}
