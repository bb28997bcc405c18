package storage_test

import (
	"context"
	"errors"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/rosestand/rosestand/internal/storage"
)

var _ = Describe("GroupCommitter", func() {
	It("given many writers, then all records are durable", func() {
		disk := newDisk(1)
		log := open(disk, storage.LogOptions{SegmentBytes: 4000})
		committer := storage.NewGroupCommitter(log, storage.GroupCommitterOptions{})
		var writers sync.WaitGroup
		for writer := range 64 {
			writers.Go(func() {
				defer GinkgoRecover()
				for number := range 20 {
					record := payload(writer*100 + number)
					positions, err := committer.Append(context.Background(), record, []byte("second"))
					Expect(err).NotTo(HaveOccurred())
					Expect(log.Read(positions[0])).To(Equal(record))
				}
			})
		}
		writers.Wait()
		committer.Close()
		disk.LosePower()
		Expect(replayed(open(disk, storage.LogOptions{}))).To(HaveLen(64 * 20 * 2))
	})

	It("given requests during a sync, then they share the next one", func() {
		const later = 9
		queued := make(chan struct{})
		var syncs []int
		committer := storage.NewGroupCommitter(open(newDisk(1), storage.LogOptions{}),
			storage.GroupCommitterOptions{OnSync: func(requests int) {
				<-queued
				syncs = append(syncs, requests)
			}})
		var answers sync.WaitGroup
		for range 1 + later {
			answers.Add(1)
			committer.AppendAsync([][]byte{[]byte("x")}, func(_ []storage.Position, err error) {
				defer answers.Done()
				defer GinkgoRecover()
				Expect(err).NotTo(HaveOccurred())
			})
		}
		close(queued)
		answers.Wait()
		committer.Close()
		Expect(len(syncs)).To(BeNumerically("<=", 2),
			"the first sync may have covered any part of them, the second covers the rest")
		total := 0
		for _, requests := range syncs {
			total += requests
		}
		Expect(total).To(Equal(1 + later))
	})

	It("given a failed sync, then all pending and all later requests fail", func() {
		disk := newDisk(1)
		committer := storage.NewGroupCommitter(open(disk, storage.LogOptions{}), storage.GroupCommitterOptions{})
		disk.FailSyncs(0, 1)
		var failed *storage.FailedError
		for range 3 {
			_, err := committer.Append(context.Background(), []byte("x"))
			Expect(errors.As(err, &failed)).To(BeTrue())
		}
		committer.Close()
		_, err := committer.Append(context.Background(), []byte("x"))
		Expect(err).To(BeAssignableToTypeOf(&storage.ClosedError{}))
	})

	It("given a request with one invalid record, then none of it is written and others succeed", func() {
		disk := newDisk(1)
		log := open(disk, storage.LogOptions{})
		committer := storage.NewGroupCommitter(log, storage.GroupCommitterOptions{})
		_, err := committer.Append(context.Background(), []byte("a"), nil)
		Expect(err).To(BeAssignableToTypeOf(&storage.RecordSizeError{}))
		_, err = committer.Append(context.Background(), []byte("b"))
		Expect(err).NotTo(HaveOccurred())
		committer.Close()
		Expect(replayed(log)).To(Equal([]string{"b"}))
	})

	It("given more pending bytes than allowed, then rejects at once", func() {
		disk := newDisk(1)
		release := make(chan struct{})
		entered := make(chan struct{}, 8)
		committer := storage.NewGroupCommitter(open(disk, storage.LogOptions{}), storage.GroupCommitterOptions{
			MaxPendingBytes: 10,
			OnSync:          func(int) { entered <- struct{}{}; <-release },
		})
		ignore := func([]storage.Position, error) {}
		committer.AppendAsync([][]byte{[]byte("held")}, ignore)
		<-entered
		committer.AppendAsync([][]byte{[]byte("12345678")}, ignore)
		_, err := committer.Append(context.Background(), []byte("12345678"))
		Expect(err).To(BeAssignableToTypeOf(&storage.QueueFullError{}))
		cancelled, cancel := context.WithCancel(context.Background())
		cancel()
		_, err = committer.Append(cancelled, []byte("1"))
		Expect(err).To(MatchError(context.Canceled))
		close(release)
		committer.Close()
	})
})
