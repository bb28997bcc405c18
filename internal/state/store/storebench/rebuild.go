package storebench

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/controlplane/corelink"
	"github.com/rosestand/rosestand/internal/protocol"
)

// Rebuild contains the costs of rebuilding a store that lost its disk, and of its restart.
type Rebuild struct {
	Turns uint64
	// Took is the time from the placement with the store's new storage id until every shard is copied.
	Took time.Duration
	// ProcessorTime is the processor time of the three stores during the rebuild.
	ProcessorTime time.Duration
	// Restart is the time that the rebuilt store takes from opening its folder until it serves requests.
	Restart time.Duration
	// RestartProcessorTime is the processor time of the process during the restart.
	RestartProcessorTime time.Duration
}

// String implements fmt.Stringer.
func (r *Rebuild) String() string {
	return fmt.Sprintf("%d turns copied in %v with %v of processor time; restarted in %v with %v",
		r.Turns, r.Took.Round(time.Millisecond), r.ProcessorTime.Round(time.Millisecond),
		r.Restart.Round(time.Millisecond), r.RestartProcessorTime.Round(time.Millisecond))
}

// MeasureRebuild fills three stores, removes the data of one and waits until that store is rebuilt;
// then it restarts the store.
func MeasureRebuild(ctx context.Context, folder string, programs, turns, turnBytes int) (*Rebuild, error) {
	result := &Rebuild{}
	err := withFleet(folder, replicaCount, func(f *fleet, data string) error { //nolint:contextcheck // stores outlive it
		if failed := f.runPrograms(ctx, "retained", programs, turns, turnBytes); failed > 0 {
			return &FailedOperationsError{Count: failed}
		}
		if err := f.stopNode(0); err != nil {
			return err
		}
		if err := os.RemoveAll(filepath.Join(data, f.stores[0].self.GetName())); err != nil {
			return errors.Wrap(err, "lose disk")
		}
		if err := f.rebuildFirst(ctx, data, result); err != nil {
			return err
		}
		return f.restartFirst(data, result) //nolint:contextcheck // stores outlive calls
	})
	return result, err
}

// rebuildFirst starts the first store without its data and waits until it has copied every shard.
func (f *fleet) rebuildFirst(ctx context.Context, data string, result *Rebuild) error {
	started, err := f.startNode(data, 0) //nolint:contextcheck // stores outlive calls
	if err != nil {
		return err
	}
	f.stores[0] = started
	before, began := f.usage(), time.Now()
	f.core.loseDisk(started.self, f.nodes())
	f.core.subscribe(started.store.ViewChanged)
	for f.core.rebuildingCount() > 0 {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		time.Sleep(time.Millisecond)
	}
	result.Took = time.Since(began)
	result.ProcessorTime = f.usage().since(before).processor
	result.Turns = started.store.Status().GetTurns()
	return nil
}

// restartFirst stops and restarts the first store.
func (f *fleet) restartFirst(data string, result *Rebuild) error {
	if err := f.stopNode(0); err != nil {
		return err
	}
	before, began := f.usage(), time.Now()
	started, err := f.startNode(data, 0)
	if err != nil {
		return err
	}
	result.Restart = time.Since(began)
	result.RestartProcessorTime = f.usage().since(before).processor
	f.stores[0] = started
	return nil
}

func (f *fleet) stopNode(number int) error {
	stopped := f.stores[number]
	stopped.server.Close()
	err := stopped.store.Stop()
	stopped.pool.Close()
	return err
}

// loseDisk replaces a store's storage id in all shards and marks its replicas as rebuilding.
func (c *fixedCore) loseDisk(lost *protocol.Node, nodes []*protocol.Node) {
	placement := &protocol.Placement{}
	for _, placed := range c.View().Placement.GetShards() {
		changed := proto.CloneOf(placed)
		for _, replica := range changed.GetCurrent() {
			if replica.GetStore() == lost.GetName() {
				replica.StorageId = lost.GetStorageId()
				replica.State = protocol.ReplicaState_REPLICA_REBUILDING
			}
		}
		placement.Shards = append(placement.Shards, changed)
	}
	c.publish(&corelink.View{Membership: &protocol.MembershipView{Version: 2, Nodes: nodes}, Placement: placement},
		placement.GetShards())
}

// rebuildingCount returns the number of replicas that are not complete.
func (c *fixedCore) rebuildingCount() int {
	count := 0
	for _, placed := range c.View().Placement.GetShards() {
		for _, replica := range placed.GetCurrent() {
			if replica.GetState() != protocol.ReplicaState_REPLICA_ACTIVE {
				count++
			}
		}
	}
	return count
}
