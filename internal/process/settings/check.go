package settings

import (
	"fmt"
	"math"
	"net/netip"
	"strings"

	"github.com/rosestand/rosestand/internal/controlplane/bundle"
	"github.com/rosestand/rosestand/internal/protocol"
)

// Bounds of settings, in the unit of the field.
const (
	maxStopGraceMillis  = 600_000
	maxSeeds            = 16
	minBodyBytes        = 1 << 10
	maxBodyBytes        = 1 << 30
	maxVirtualPlaces    = 1_024
	minRenewMillis      = 10
	maxVoters           = 9
	minHeartbeatMillis  = 1
	maxElectionMillis   = 60_000
	electionBeats       = 3
	minLeaseMillis      = 50
	maxLeaseMillis      = 600_000
	maxShards           = 65_536
	maxReplicas         = 9
	minReplaceMillis    = 100
	maxReplaceMillis    = 86_400_000
	maxCoalesceMillis   = 1000
	maxSnapshotEntries  = 10_000_000
	minSegmentBytes     = 1 << 16
	maxSegmentBytes     = 1 << 32
	minCopyBytes        = 1 << 12
	maxCopyBytes        = 1 << 40
	maxScrubSeconds     = 7 * 86_400
	maxLeaseRenewMillis = 60_000
	maxToleratedLosses  = (maxVoters - 1) / 2
)

func checkNode(node *protocol.NodeSettings, faults *checker) {
	faults.name("node.name", node.GetName())
	faults.name("node.zone", node.GetZone())
	faults.name("node.region", node.GetRegion())
	internal := faults.listener("node.internal_address", node.GetInternalAddress())
	http := faults.listener("node.http_address", node.GetHttpAddress())
	if internal.IsValid() && internal == http && internal.Port() != 0 {
		faults.add("node.http_address", "is the same as node.internal_address")
	}
	faults.peers("node.seeds", node.GetSeeds())
	if len(node.GetSeeds()) > maxSeeds {
		faults.add("node.seeds", "has %d addresses, must have at most %d", len(node.GetSeeds()), maxSeeds)
	}
	checkClusterKey(node, faults)
	faults.between("node.seed_port", uint64(node.GetSeedPort()), 0, math.MaxUint16)
	faults.oneOf("node.log_level", node.GetLogLevel(), "debug", "info", "warn", "error")
	faults.oneOf("node.log_format", node.GetLogFormat(), "text", "json")
	faults.between("node.stop_grace_millis", uint64(node.GetStopGraceMillis()), 1, maxStopGraceMillis)
	checkAdvertisedAddress(node.GetAdvertisedAddress(), faults)
	checkDebugAddress(node.GetDebugAddress(), faults)
}

// checkClusterKey requires a key file, or the explicit word that there is none, and never both.
func checkClusterKey(node *protocol.NodeSettings, faults *checker) {
	if !node.GetTrustNetwork() {
		faults.present("node.cluster_key_file", node.GetClusterKeyFile())
		return
	}
	if node.GetClusterKeyFile() != "" {
		faults.add("node.cluster_key_file", "must be empty where node.trust_network is true")
	}
}

func checkAdvertisedAddress(value string, faults *checker) {
	if value == "" {
		return
	}
	address := faults.listener("node.advertised_address", value)
	if address.IsValid() && address.Port() == 0 {
		faults.add("node.advertised_address", "%q has no port", value)
	}
}

func checkDebugAddress(value string, faults *checker) {
	if value == "" {
		return
	}
	address, err := netip.ParseAddrPort(value)
	if err != nil || !address.Addr().IsLoopback() {
		faults.add("node.debug_address", "%q is not a loopback IP:port", value)
	}
}

func checkFront(settings *protocol.FrontSettings, faults *checker) {
	checkNode(settings.GetNode(), faults)
	requireSeeds(settings.GetNode(), faults)
	faults.between("max_body_bytes", settings.GetMaxBodyBytes(), minBodyBytes, maxBodyBytes)
	faults.between("virtual_places", uint64(settings.GetVirtualPlaces()), 1, maxVirtualPlaces)
	checkTrafficAddress(settings, faults)
	faults.between("lease_renew_millis", uint64(settings.GetLeaseRenewMillis()), minRenewMillis, maxLeaseRenewMillis)
}

func checkTrafficAddress(settings *protocol.FrontSettings, faults *checker) {
	if settings.GetTrafficAddress() == "" {
		return
	}
	traffic := faults.listener("traffic_address", settings.GetTrafficAddress())
	if !traffic.IsValid() || traffic.Port() == 0 {
		return
	}
	node := settings.GetNode()
	if other := settings.GetTrafficAddress(); other == node.GetInternalAddress() || other == node.GetHttpAddress() {
		faults.add("traffic_address", "is the same as another listener of this process")
	}
}

func checkCore(settings *protocol.CoreSettings, faults *checker) {
	checkNode(settings.GetNode(), faults)
	faults.present("node.data_folder", settings.GetNode().GetDataFolder())
	checkOperators(settings, faults)
	if len(settings.GetFounders()) == 0 && len(settings.GetNode().GetSeeds()) == 0 {
		faults.add("founders", "is empty and so is node.seeds: a core process founds a cluster or joins one")
	}
	checkVoters(settings, faults)
	checkSignOffKeys(settings.GetSignOffKeys(), faults)
	checkCoreTimes(settings, faults)
	faults.between("shard_count", uint64(settings.GetShardCount()), 1, maxShards)
	faults.between("replica_count", uint64(settings.GetReplicaCount()), 1, maxReplicas)
	requireOdd("replica_count", settings.GetReplicaCount(), faults)
	faults.between("snapshot_entries", uint64(settings.GetSnapshotEntries()), 1, maxSnapshotEntries)
	faults.between("max_body_bytes", settings.GetMaxBodyBytes(), minBodyBytes, maxBodyBytes)
	faults.between("tolerated_losses", uint64(settings.GetToleratedLosses()), 0, maxToleratedLosses)
	checkZoneRegions(settings.GetZoneRegions(), faults)
	if lease := settings.GetBackEndLeaseMillis(); lease != 0 {
		faults.between("back_end_lease_millis", uint64(lease), minLeaseMillis, maxLeaseMillis)
	}
	faults.between("coalesce_millis", uint64(settings.GetCoalesceMillis()), 1, maxCoalesceMillis)
}

// checkOperators requires a token file, or the explicit word that there is none, and never both.
func checkOperators(settings *protocol.CoreSettings, faults *checker) {
	if !settings.GetTrustOperators() {
		faults.present("operator_token_file", settings.GetOperatorTokenFile())
		return
	}
	if settings.GetOperatorTokenFile() != "" {
		faults.add("operator_token_file", "must be empty where trust_operators is true")
	}
}

func checkVoters(settings *protocol.CoreSettings, faults *checker) {
	faults.peers("founders", settings.GetFounders())
	faults.between("target_voters", uint64(settings.GetTargetVoters()), 1, maxVoters)
	requireOdd("target_voters", settings.GetTargetVoters(), faults)
	if founders := len(settings.GetFounders()); founders > int(settings.GetTargetVoters()) {
		faults.add("founders", "has %d addresses, must have at most target_voters, which is %d",
			founders, settings.GetTargetVoters())
	}
}

func checkCoreTimes(settings *protocol.CoreSettings, faults *checker) {
	faults.between("heartbeat_millis", uint64(settings.GetHeartbeatMillis()), minHeartbeatMillis, maxElectionMillis)
	faults.between("election_timeout_millis", uint64(settings.GetElectionTimeoutMillis()),
		uint64(settings.GetHeartbeatMillis())*electionBeats, maxElectionMillis)
	faults.between("lease_millis", uint64(settings.GetLeaseMillis()), minLeaseMillis, maxLeaseMillis)
	faults.between("replace_voter_millis", uint64(settings.GetReplaceVoterMillis()), minReplaceMillis, maxReplaceMillis)
}

func checkZoneRegions(pairs []string, faults *checker) {
	seen := map[string]bool{}
	for index, pair := range pairs {
		path := fmt.Sprintf("zone_regions[%d]", index)
		zone, region, _ := strings.Cut(pair, "=")
		faults.name(path, zone)
		faults.name(path, region)
		if seen[zone] {
			faults.add(path, "zone %q is there twice", zone)
		}
		seen[zone] = true
	}
}

func checkSignOffKeys(keys []string, faults *checker) {
	seen := map[string]bool{}
	for index, text := range keys {
		path := fmt.Sprintf("sign_off_keys[%d]", index)
		parsed, err := bundle.ParseKeys([]string{text})
		if err != nil {
			faults.add(path, "%v", err)
			continue
		}
		name := parsed[0].GetName()
		if seen[name] {
			faults.add(path, "%q is there twice", name)
		}
		seen[name] = true
	}
}

func checkStore(settings *protocol.StoreSettings, faults *checker) {
	checkNode(settings.GetNode(), faults)
	requireSeeds(settings.GetNode(), faults)
	faults.present("node.data_folder", settings.GetNode().GetDataFolder())
	faults.between("segment_bytes", settings.GetSegmentBytes(), minSegmentBytes, maxSegmentBytes)
	faults.between("copy_bytes_per_second", settings.GetCopyBytesPerSecond(), minCopyBytes, maxCopyBytes)
	faults.between("scrub_interval_seconds", uint64(settings.GetScrubIntervalSeconds()), 1, maxScrubSeconds)
}

func requireSeeds(node *protocol.NodeSettings, faults *checker) {
	if len(node.GetSeeds()) == 0 {
		faults.add("node.seeds", "is empty: give internal addresses of other processes, three is usual")
	}
}

func requireOdd(path string, value uint32, faults *checker) {
	if value%2 == 0 {
		faults.add(path, "is %d, must be odd", value)
	}
}
