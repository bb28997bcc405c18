package settings

import "fmt"

// helpTexts maps the name of each field to its help text; a test checks that none is missing.
var helpTexts = map[string]string{
	"name":             "name of this process, stable across restarts",
	"zone":             "zone of the machine",
	"region":           withDefault("region of the machine", defaultRegion),
	"internal_address": "IP:port to listen on for other processes; port 0 takes a free one",
	"http_address":     "IP:port to listen on for HTTP; port 0 takes a free one",
	"seeds":            "internal addresses (IP:port) of other processes of any kind, three is usual",
	"data_folder":      "folder for everything that outlives a restart; a front node needs none",
	"cluster_key_file": "file with the key that every process of the cluster shares",
	"log_level":        withDefault("debug, info, warn or error", defaultLogLevel),
	"log_format":       withDefault("text or json", defaultLogFormat),
	"stop_grace_millis": withDefault(
		"longest time that a graceful shutdown may take, in milliseconds", defaultStopGraceMillis,
	),
	"advertised_address": "IP:port at which other processes reach the internal protocol; internal_address when empty",
	"debug_address":      "loopback IP:port of the profiler; none when empty",
	"trust_network":      "run without a cluster key: whoever reaches the internal port is trusted",
	"seed_port":          "port that replaces the port of each seed and founder; 0 leaves them as they are",
	"kill_after_millis":  "milliseconds from the first signal to the kill by the system; bounds stop_grace_millis",
	"memory_limit_bytes": "resident memory in bytes that the process may use; 0: that of the machine",
	"max_open_files":     "descriptors that the process may open; 0: the limit of the system",
	"max_body_bytes":     withDefault("largest HTTP body in bytes", defaultMaxBodyBytes),
	"virtual_places": withDefault(
		"virtual nodes on the hash ring, the same on every front node", defaultVirtualNodes,
	),
	"lease_renew_millis": withDefault(
		"interval between renewals of the lease, in milliseconds", defaultLeaseRenewMillis,
	),
	"traffic_address":     "IP:port to listen on for callers of HTTP routes; none when empty",
	"founders":            "internal addresses of the core processes that found a new cluster together",
	"target_voters":       withDefault("number of voters the cluster keeps", defaultTargetVoters),
	"operator_token_file": "file with operators' bearer tokens, one \"name token\" a line",
	"sign_off_keys":       "first sign-off keys, each name:hex ed25519 public key",
	"election_timeout_millis": withDefault(
		"time without a heartbeat of the leader before an election, in milliseconds", defaultElectionMillis,
	),
	"heartbeat_millis": withDefault(
		"interval between heartbeats of the leader, in milliseconds", defaultHeartbeatMillis,
	),
	"lease_millis": withDefault("length of the leases granted to nodes, in milliseconds", defaultLeaseMillis),
	"shard_count":  withDefault("shards of the ledger; counts when the cluster is founded", defaultShardCount),
	"replica_count": withDefault(
		"replicas of each shard; counts when the cluster is founded", defaultReplicaCount,
	),
	"replace_voter_millis": withDefault(
		"time without contact to a voter before a standby replaces it, in milliseconds", defaultReplaceVoterMillis,
	),
	"snapshot_entries": withDefault("log entries between two snapshots", defaultSnapshotEntries),
	"coalesce_millis": withDefault(
		"minimum interval between two updates to the same node, in milliseconds", defaultCoalesceMillis,
	),
	"trust_operators":        "accept commands without an operator's token, and sign them off in the core's name",
	"back_end_lease_millis":  "time without a heartbeat until a back end's lease expires, in milliseconds; 0: default",
	"tolerated_losses":       "machines that may be lost together; sets the defaults of target-voters and replica-count",
	"zone_regions":           "regions of zones, each zone=region, for back ends that name only their zone",
	"segment_bytes":          withDefault("size at which a log segment is closed, in bytes", defaultSegmentBytes),
	"copy_bytes_per_second":  withDefault("bytes a second that copying shards may use", defaultCopyBytesPerSecond),
	"scrub_interval_seconds": withDefault("seconds between two runs of the background scrub", defaultScrubIntervalSeconds),
}

func withDefault(text string, value any) string {
	return fmt.Sprintf("%s (default %v)", text, value)
}
