package storage_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/rosestand/rosestand/internal/storage"
)

// eventuallyWithin is the timeout for expected events. It is long enough for slow machines.
const eventuallyWithin = 30 * time.Second

var _ = Describe("A stalled or full disk", func() {
	It("given a rotation that waits for a stalled sync, then reads are not blocked", func() {
		disk := newDisk(21)
		log := openLog(disk, storage.LogOptions{})
		position, err := log.Write(payload(1))
		Expect(err).NotTo(HaveOccurred())
		Expect(log.Sync()).To(Succeed())

		disk.StallSyncs()
		rotated := make(chan error, 1)
		go func() {
			_, err := log.Rotate()
			rotated <- err
		}()
		Eventually(func() int { return disk.Counters().StalledSyncs }, eventuallyWithin).Should(BeNumerically(">", 0))
		records := make(chan string, 1)
		go func() {
			record, _ := log.Read(position)
			_, _ = log.Size(), log.End()
			records <- string(record)
		}()
		Eventually(records, eventuallyWithin).Should(Receive(Equal(string(payload(1)))))
		Expect(rotated).NotTo(Receive())

		disk.ResumeSyncs()
		Eventually(rotated, eventuallyWithin).Should(Receive(BeNil()))
		Expect(log.Close()).To(Succeed())
	})

	It("given a record written while a rotation waits for a stalled sync, then it is not lost", func() {
		disk := newDisk(22)
		log := openLog(disk, storage.LogOptions{})
		expected := writeRecords(log, 0, 5)
		Expect(log.Sync()).To(Succeed())
		disk.StallSyncs()
		rotated, wrote := make(chan error, 1), make(chan error, 1)
		go func() {
			_, err := log.Rotate()
			rotated <- err
		}()
		Eventually(func() int { return disk.Counters().StalledSyncs }, eventuallyWithin).Should(BeNumerically(">", 0))
		go func() {
			_, err := log.Write(payload(5))
			wrote <- err
		}()
		disk.ResumeSyncs()
		Eventually(rotated, eventuallyWithin).Should(Receive(BeNil()))
		Eventually(wrote, eventuallyWithin).Should(Receive(BeNil()))
		Expect(log.Sync()).To(Succeed())
		Expect(log.Close()).To(Succeed())
		log = openLog(disk, storage.LogOptions{})
		Expect(replayRecords(log)).To(Equal(append(expected, string(payload(5)))))
		Expect(log.Close()).To(Succeed())
	})

	It("given sufficient or insufficient free space, when checked, then reports which and leaves no file", func() {
		disk := newDisk(23)
		Expect(storage.MkdirAll(disk, dir)).To(Succeed())
		disk.SetCapacity(100 << 10)
		Expect(storage.CheckFreeSpace(disk, dir, 90<<10)).To(Succeed())
		err := storage.CheckFreeSpace(disk, dir, 110<<10)
		Expect(storage.IsDiskFull(err)).To(BeTrue())
		Expect(disk.Files(dir)).To(BeEmpty())
		disk.SetCapacity(0)
		Expect(storage.CheckFreeSpace(disk, dir, 110<<10)).To(Succeed())
	})
})
