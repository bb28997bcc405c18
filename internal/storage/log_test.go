package storage_test

import (
	"errors"
	"math/rand/v2"
	"slices"
	"syscall"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/rosestand/rosestand/internal/storage"
	"github.com/rosestand/rosestand/internal/storage/simdisk"
)

var _ = Describe("Log", func() {
	var disk *simdisk.Disk
	small := storage.LogOptions{SegmentBytes: 2000, MaxRecordBytes: 1000}

	BeforeEach(func() { disk = newDisk(1) })

	It("given records over several segments, when opened again, then replays and reads all of them", func() {
		log := openLog(disk, small)
		expected := writeRecords(log, 0, 40)
		Expect(log.Sync()).To(Succeed())
		Expect(log.Close()).To(Succeed())

		log = openLog(disk, small)
		Expect(replayRecords(log)).To(Equal(expected))
		Expect(len(disk.Files(dir))).To(BeNumerically(">", 3))
		Expect(log.Replay(storage.Position{}, func(position storage.Position, record []byte) error {
			content, err := log.Read(position)
			Expect(err).NotTo(HaveOccurred())
			Expect(content).To(Equal(record))
			return nil
		})).To(Succeed())
	})

	It("given a position, when replayed from it, then begins with the record at that position", func() {
		log := openLog(disk, small)
		writeRecords(log, 0, 10)
		position, err := log.Write([]byte("the eleventh"))
		Expect(err).NotTo(HaveOccurred())
		var visited []string
		Expect(log.Replay(position, func(_ storage.Position, record []byte) error {
			visited = append(visited, string(record))
			return nil
		})).To(Succeed())
		Expect(visited).To(Equal([]string{"the eleventh"}))
	})

	It("given an unsynced record, when read, then returns it; a position outside the log is an error", func() {
		log := openLog(disk, small)
		position, err := log.Write([]byte("unsynced"))
		Expect(err).NotTo(HaveOccurred())
		Expect(log.Read(position)).To(Equal([]byte("unsynced")))
		Expect(log.RecordBytes(position)).To(Equal(len("unsynced")))
		_, err = log.Read(storage.Position{Segment: 9, Offset: 20})
		Expect(err).To(BeAssignableToTypeOf(&storage.PositionError{}))
		_, err = log.RecordBytes(storage.Position{Segment: 9, Offset: 20})
		Expect(err).To(BeAssignableToTypeOf(&storage.PositionError{}))
	})

	It("given records of an invalid size, then rejects them and still accepts valid ones", func() {
		log := openLog(disk, small)
		_, err := log.Write(nil)
		Expect(err).To(BeAssignableToTypeOf(&storage.RecordSizeError{}))
		_, err = log.Write(make([]byte, 1001))
		Expect(err).To(BeAssignableToTypeOf(&storage.RecordSizeError{}))
		Expect(writeRecords(log, 0, 1)).To(HaveLen(1))
	})

	It("given old segments, when removed and power is lost, then all later records remain", func() {
		for seed := range uint64(50) {
			disk := newDisk(seed)
			log := openLog(disk, small)
			writeRecords(log, 0, 20)
			segment, err := log.Rotate()
			Expect(err).NotTo(HaveOccurred())
			synced := writeRecords(log, 20, 30)
			Expect(log.Sync()).To(Succeed())
			Expect(log.RemoveBefore(segment)).To(Succeed())
			Expect(log.FirstSegment()).To(Equal(segment))
			disk.LosePower()
			Expect(replayRecords(openLog(disk, small))).To(Equal(synced))
		}
	})

	It("given syncs between writes, when power is lost, then recovers a prefix with all synced records", func() {
		for seed := range uint64(400) {
			disk := newDisk(seed)
			random := rand.New(rand.NewPCG(seed, 2))
			var expected []string
			durable := 0
			log := openLog(disk, small)
			for range 4 {
				for range random.IntN(12) {
					expected = append(expected, writeRecords(log, len(expected), len(expected)+1)...)
					if random.IntN(3) == 0 {
						Expect(log.Sync()).To(Succeed())
						durable = len(expected)
					}
				}
				if random.IntN(2) == 0 {
					_, _ = log.Read(storage.Position{Segment: log.End().Segment, Offset: log.End().Offset - 20})
				}
				disk.LosePower()
				log = openLog(disk, small)
				records := replayRecords(log)
				Expect(len(records)).To(BeNumerically(">=", durable), "seed %d", seed)
				Expect(slices.Equal(records, expected[:len(records)])).To(BeTrue(), "seed %d", seed)
				expected, durable = records, len(records)
			}
		}
	})

	It("given a killed process, when reopened and power is lost, then all replayed records are durable", func() {
		for seed := range uint64(50) {
			disk := newDisk(seed)
			log := openLog(disk, small)
			writeRecords(log, 0, 3)
			_, err := log.Read(storage.Position{Segment: 1, Offset: 28})
			Expect(err).NotTo(HaveOccurred())
			disk.Kill()
			records := replayRecords(openLog(disk, small))
			disk.LosePower()
			Expect(replayRecords(openLog(disk, small))).To(Equal(records))
		}
	})

	It("given a damaged record that was synced before later ones, then reports corruption without truncation", func() {
		log := openLog(disk, storage.LogOptions{})
		position, err := log.Write([]byte("first"))
		Expect(err).NotTo(HaveOccurred())
		Expect(log.Sync()).To(Succeed())
		writeRecords(log, 0, 2)
		Expect(log.Sync()).To(Succeed())
		Expect(disk.Damage(disk.Files(dir)[0], position.Offset+21, 0x10)).To(BeTrue())
		_, err = storage.OpenLog(disk, dir, storage.LogOptions{})
		var corrupt *storage.CorruptError
		Expect(errors.As(err, &corrupt)).To(BeTrue())
		Expect(corrupt.Offset).To(Equal(position.Offset))
		_, err = log.Read(position)
		Expect(errors.As(err, &corrupt)).To(BeTrue())
	})

	It("given a damaged or missing finished segment, when opened, then reports corruption", func() {
		log := openLog(disk, small)
		writeRecords(log, 0, 30)
		Expect(log.Sync()).To(Succeed())
		files := disk.Files(dir)
		Expect(disk.Damage(files[1], 100, 1)).To(BeTrue())
		_, err := storage.OpenLog(disk, dir, small)
		var corrupt *storage.CorruptError
		Expect(errors.As(err, &corrupt)).To(BeTrue())

		Expect(disk.Remove(files[1])).To(Succeed())
		_, err = storage.OpenLog(disk, dir, small)
		Expect(errors.As(err, &corrupt)).To(BeTrue())
		Expect(corrupt.Reason).To(ContainSubstring("segment is missing"))
	})

	It("given segments that were verified before, when opened, then checks only their headers and lengths", func() {
		log := openLog(disk, small)
		var positions []storage.Position
		for number := range 30 {
			position, err := log.Write(payload(number))
			Expect(err).NotTo(HaveOccurred())
			positions = append(positions, position)
		}
		Expect(log.Sync()).To(Succeed())
		newest := log.End().Segment
		files := disk.Files(dir)
		Expect(disk.Damage(files[1], 100, 1)).To(BeTrue())
		verified := small
		verified.VerifiedBefore = newest
		log, err := storage.OpenLog(disk, dir, verified)
		Expect(err).NotTo(HaveOccurred())
		damaged := 0
		var corrupt *storage.CorruptError
		for _, position := range positions {
			if _, err := log.Read(position); err != nil {
				Expect(errors.As(err, &corrupt)).To(BeTrue())
				damaged++
			}
		}
		Expect(damaged).To(Equal(1))

		verified.VerifiedBefore = 2
		_, err = storage.OpenLog(disk, dir, verified)
		Expect(errors.As(err, &corrupt)).To(BeTrue(), "the damaged segment is not covered by VerifiedBefore")

		verified.VerifiedBefore = newest
		Expect(disk.Damage(files[2], 10, 1)).To(BeTrue())
		_, err = storage.OpenLog(disk, dir, verified)
		Expect(errors.As(err, &corrupt)).To(BeTrue(), "the header of a verified segment is damaged")
	})

	It("given a failed sync, when retried, then fails permanently although the disk works again", func() {
		log := openLog(disk, small)
		synced := writeRecords(log, 0, 2)
		Expect(log.Sync()).To(Succeed())
		writeRecords(log, 2, 4)
		disk.FailSyncs(0, 1)
		var failed *storage.FailedError
		Expect(errors.As(log.Sync(), &failed)).To(BeTrue())
		Expect(failed.DiskFull()).To(BeFalse())
		Expect(errors.As(log.Sync(), &failed)).To(BeTrue())
		_, err := log.Write([]byte("more"))
		Expect(errors.As(err, &failed)).To(BeTrue())
		_, err = log.Rotate()
		Expect(errors.As(err, &failed)).To(BeTrue())
		Expect(log.Err()).To(HaveOccurred())
		disk.LosePower()
		Expect(replayRecords(openLog(disk, small))[:2]).To(Equal(synced))
	})

	It("given a failed sync and a restart, then a loss of power keeps all records replayed since the restart", func() {
		for seed := range uint64(100) {
			disk := newDisk(seed)
			log := openLog(disk, storage.LogOptions{})
			writeRecords(log, 0, 2)
			Expect(log.Sync()).To(Succeed())
			writeRecords(log, 2, 8)
			disk.FailSyncs(0, 1)
			Expect(log.Sync()).To(HaveOccurred())
			disk.Kill()
			log = openLog(disk, storage.LogOptions{})
			records := replayRecords(log)
			records = append(records, writeRecords(log, 20, 23)...)
			Expect(log.Sync()).To(Succeed())
			disk.LosePower()
			Expect(replayRecords(openLog(disk, storage.LogOptions{}))).To(Equal(records), "seed %d", seed)
		}
	})

	It("given a full disk, when written, then fails permanently and keeps the synced records", func() {
		log := openLog(disk, small)
		synced := writeRecords(log, 0, 2)
		Expect(log.Sync()).To(Succeed())
		disk.SetCapacity(disk.Used() + 30)
		writeRecords(log, 2, 4)
		var failed *storage.FailedError
		Expect(errors.As(log.Sync(), &failed)).To(BeTrue())
		Expect(failed.DiskFull()).To(BeTrue())
		Expect(errors.Is(failed, syscall.ENOSPC)).To(BeTrue())
		disk.SetCapacity(0)
		Expect(log.Sync()).To(MatchError(failed))
		log = openLog(disk, small)
		Expect(replayRecords(log)).To(Equal(synced))
		Expect(log.TruncatedBytes()).To(BeNumerically("==", 30))
	})

	It("given a lost disk, when opened, then the log is empty", func() {
		log := openLog(disk, small)
		writeRecords(log, 0, 2)
		Expect(log.Sync()).To(Succeed())
		disk.Lose()
		Expect(log.Sync()).To(Succeed(), "no record was written since the last sync")
		_, err := log.Write([]byte("x"))
		Expect(err).NotTo(HaveOccurred())
		Expect(log.Sync()).To(HaveOccurred())
		Expect(replayRecords(openLog(disk, small))).To(BeEmpty())
	})

	It("given the file system of the operating system, then writes, replays and removes as on the simulated disk", func() {
		path := GinkgoT().TempDir()
		log, err := storage.OpenLog(storage.OSFilesystem{}, path+"/a/log", small)
		Expect(err).NotTo(HaveOccurred())
		expected := writeRecords(log, 0, 20)
		Expect(log.Sync()).To(Succeed())
		segment, err := log.Rotate()
		Expect(err).NotTo(HaveOccurred())
		Expect(log.Close()).To(Succeed())
		Expect(log.Sync()).To(BeAssignableToTypeOf(&storage.ClosedError{}))
		log, err = storage.OpenLog(storage.OSFilesystem{}, path+"/a/log", small)
		Expect(err).NotTo(HaveOccurred())
		Expect(replayRecords(log)).To(Equal(expected))
		Expect(log.RemoveBefore(segment)).To(Succeed())
		Expect(replayRecords(log)).To(BeEmpty())
		Expect(log.Size()).To(BeNumerically("==", 28))
		Expect(log.Close()).To(Succeed())
	})
})
