package store_test

import (
	"context"
	"strings"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/state/ledger"
	"github.com/rosestand/rosestand/internal/storage"
)

// blockingDisk is a filesystem whose syncs of turn segments can be blocked.
type blockingDisk struct {
	storage.Filesystem
	mutex sync.Mutex
	// unblocked is closed when blocked syncs may continue; nil while syncs are not blocked.
	unblocked chan struct{}
	// waiting receives a value when a sync is blocked.
	waiting chan struct{}
}

func newBlockingDisk(filesystem storage.Filesystem) *blockingDisk {
	return &blockingDisk{Filesystem: filesystem, waiting: make(chan struct{}, 1)}
}

func (d *blockingDisk) blockSyncs() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.unblocked = make(chan struct{})
}

func (d *blockingDisk) unblockSyncs() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	close(d.unblocked)
	d.unblocked = nil
}

func (d *blockingDisk) waitIfBlocked() {
	d.mutex.Lock()
	unblocked := d.unblocked
	d.mutex.Unlock()
	if unblocked != nil {
		d.waiting <- struct{}{}
		<-unblocked
	}
}

func (d *blockingDisk) Create(path string) (storage.File, error) {
	return d.wrap(path)(d.Filesystem.Create(path))
}

func (d *blockingDisk) Open(path string) (storage.File, error) {
	return d.wrap(path)(d.Filesystem.Open(path))
}

func (d *blockingDisk) wrap(path string) func(storage.File, error) (storage.File, error) {
	return func(file storage.File, err error) (storage.File, error) {
		if err != nil || !strings.Contains(path, "turns") {
			return file, err
		}
		return &blockingFile{File: file, disk: d}, nil
	}
}

type blockingFile struct {
	storage.File
	disk *blockingDisk
}

func (f *blockingFile) Sync() error {
	f.disk.waitIfBlocked()
	return f.File.Sync()
}

var _ = Describe("a turn whose write is in flight while its shard moves", func() {
	It("given a new placement before the write is durable, then the write is rejected under the old one", func() {
		var disk *blockingDisk
		f := newFleetWithDisks(func(name string, filesystem storage.Filesystem) storage.Filesystem {
			if name != "a" {
				return filesystem
			}
			disk = newBlockingDisk(filesystem)
			return disk
		}, "a", "b", "c", "d")
		before := f.View().Placement.GetShards()[0].GetEpoch()

		disk.blockSyncs()
		answers := make(chan *protocol.KeepTurnResponse, 1)
		go func() {
			defer GinkgoRecover()
			request := &protocol.Request{Body: &protocol.Request_KeepTurn{KeepTurn: &protocol.KeepTurnRequest{
				PlacementEpoch: before, Turn: &protocol.Turn{Id: "turn_1", Program: "p"},
			}}}
			Expect(f.running("a").Serve(context.Background(), request, func(response *protocol.Response) error {
				answers <- response.GetKeepTurn()
				return nil
			})).To(Succeed())
		}()
		<-disk.waiting
		f.move(0, "c", "d")
		f.until(func() bool { return f.running("a").Status().GetPlacementEpoch() > before })
		disk.unblockSyncs()

		Expect((<-answers).GetRefusal()).To(Equal(protocol.ReplicaRefusal_REPLICA_WRONG_PLACEMENT),
			"a copy made under the newer placement may lack the turn")
	})
})

var _ = Describe("a batch of requests to a replica", func() {
	It("given valid and invalid requests, then each response is at the position of its request", func() {
		f := newFleet("a", "b", "c")
		p := f.program("p")
		p.takeTurn()
		// An acknowledged change is on a majority, which may not include this store yet.
		f.until(func() bool { return f.running("a").Status().GetRegisters() == 1 })
		shard := ledger.ShardOf(p.name, shardCount)
		epoch := f.View().Placement.GetShards()[shard].GetEpoch()
		prepare := &protocol.Request{Body: &protocol.Request_Prepare{Prepare: &protocol.PrepareRequest{
			Shard: shard, PlacementEpoch: epoch, Key: &protocol.RegisterKey{Program: p.name},
		}}}
		wrongEpoch := &protocol.Request{Body: &protocol.Request_Accept{Accept: &protocol.AcceptRequest{
			Shard: shard, PlacementEpoch: epoch + 1, Key: &protocol.RegisterKey{Program: p.name}, Value: []byte("x"),
		}}}
		retain := &protocol.Request{Body: &protocol.Request_KeepTurn{KeepTurn: &protocol.KeepTurnRequest{
			Shard: shard, PlacementEpoch: epoch, Turn: &protocol.Turn{Id: "t", Program: p.name},
		}}}
		withoutIdentity := &protocol.Request{Body: &protocol.Request_KeepTurn{
			KeepTurn: &protocol.KeepTurnRequest{Turn: &protocol.Turn{}},
		}}
		status := &protocol.Request{Body: &protocol.Request_StoreStatus{StoreStatus: &protocol.StoreStatusRequest{}}}
		var answers []*protocol.Response
		err := f.running("a").Serve(GinkgoT().Context(),
			&protocol.Request{Body: &protocol.Request_StoreBatch{StoreBatch: &protocol.RequestBatch{
				Requests: []*protocol.Request{prepare, wrongEpoch, status, retain, withoutIdentity},
			}}}, func(response *protocol.Response) error {
				answers = response.GetStoreBatch().GetResponses()
				return nil
			})
		Expect(err).NotTo(HaveOccurred())
		Expect(answers).To(HaveLen(5))
		Expect(answers[0].GetPrepare().GetValue()).NotTo(BeEmpty())
		Expect(answers[1].GetAccept().GetRefusal()).To(Equal(protocol.ReplicaRefusal_REPLICA_WRONG_PLACEMENT))
		Expect(answers[2].GetBody()).To(BeNil())
		Expect(answers[3].GetKeepTurn()).NotTo(BeNil())
		Expect(answers[3].GetKeepTurn().GetRefusal()).To(Equal(protocol.ReplicaRefusal_REPLICA_REFUSAL_UNSPECIFIED))
		Expect(answers[4].GetBody()).To(BeNil())
	})
})
