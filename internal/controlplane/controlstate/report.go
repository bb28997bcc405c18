package controlstate

import (
	"fmt"
	"maps"
	"slices"

	"github.com/rosestand/rosestand/internal/controlplane/placement"
	"github.com/rosestand/rosestand/internal/failure"
	"github.com/rosestand/rosestand/internal/protocol"
)

// States of a store in a report.
const (
	StoreReady    = "ready"
	StoreAbsent   = "absent"
	StoreEmptying = "emptying"
	StoreEmptied  = "emptied"
	StoreRetired  = "retired"
)

// StoreReport describes one store. Its numbers count shards.
type StoreReport struct {
	Name      string `json:"name"`
	Zone      string `json:"zone,omitempty"`
	Address   string `json:"address,omitempty"`
	StorageID string `json:"storage_id,omitempty"`
	State     string `json:"state"`
	// Present is true while the store has a lease.
	Present bool `json:"present"`
	// Shards counts the shards that have a current replica on the store, including rebuilding ones.
	Shards     int `json:"shards"`
	Rebuilding int `json:"rebuilding"`
	Arriving   int `json:"arriving"`
	Leaving    int `json:"leaving"`
}

// ReportStores returns the reports on all stores that are present, in the placement or retired, sorted by name.
func (v *View) ReportStores() []StoreReport {
	reports := map[string]*StoreReport{}
	find := func(name string) *StoreReport {
		if reports[name] == nil {
			reports[name] = &StoreReport{Name: name, State: StoreAbsent}
		}
		return reports[name]
	}
	for _, retired := range v.Placement.GetRetired() {
		find(retired.GetStore()).State = StoreRetired
	}
	for _, node := range v.Membership.GetNodes() {
		if node.GetKind() == protocol.NodeKind_STORE {
			report := find(node.GetName())
			report.Zone, report.Address, report.StorageID = node.GetZone(), node.GetAddress(), node.GetStorageId()
			report.State, report.Present = StoreReady, true
		}
	}
	for _, name := range v.Placement.GetEmptying() {
		find(name).State = StoreEmptying
	}
	for _, name := range v.Placement.GetEmptied() {
		find(name).State = StoreEmptied
	}
	for _, shard := range v.Placement.GetShards() {
		countShard(shard, find)
	}
	listed := make([]StoreReport, 0, len(reports))
	for _, name := range slices.Sorted(maps.Keys(reports)) {
		listed = append(listed, *reports[name])
	}
	return listed
}

// ReportStore returns the report on one store, or a failure.NotFound error for an unknown one.
func (v *View) ReportStore(name string) (StoreReport, error) {
	for _, report := range v.ReportStores() {
		if report.Name == name {
			return report, nil
		}
	}
	return StoreReport{}, failure.New(failure.NotFound, protocol.Outcome_NOT_RUN,
		fmt.Sprintf("there is no store %q", name), failure.WithPath("store"))
}

func countShard(shard *protocol.ShardPlacement, find func(string) *StoreReport) {
	for _, replica := range shard.GetCurrent() {
		report := find(replica.GetStore())
		report.Shards++
		if replica.GetState() == protocol.ReplicaState_REPLICA_REBUILDING {
			report.Rebuilding++
		}
		if len(shard.GetNext()) > 0 && placement.FindReplica(shard.GetNext(), replica.GetStore()) == nil {
			report.Leaving++
		}
	}
	for _, replica := range shard.GetNext() {
		if placement.FindReplica(shard.GetCurrent(), replica.GetStore()) == nil {
			find(replica.GetStore()).Arriving++
		}
	}
}
