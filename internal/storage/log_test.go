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
		log := open(disk, small)
		expected := written(log, 0, 40)
		Expect(log.Sync()).To(Succeed())
		Expect(log.Close()).To(Succeed())

		log = open(disk, small)
		Expect(replayed(log)).To(Equal(expected))
		Expect(len(disk.Files(dir))).To(BeNumerically(">", 3))
		Expect(log.Replay(storage.Position{}, func(position storage.Position, record []byte) error {
			read, err := log.Read(position)
			Expect(err).NotTo(HaveOccurred())
			Expect(read).To(Equal(record))
			return nil
		})).To(Succeed())
	})

	It("given a position, when replayed from it, then begins there", func() {
		log := open(disk, small)
		written(log, 0, 10)
		position, err := log.Write([]byte("the eleventh"))
		Expect(err).NotTo(HaveOccurred())
		var seen []string
		Expect(log.Replay(position, func(_ storage.Position, record []byte) error {
			seen = append(seen, string(record))
			return nil
		})).To(Succeed())
		Expect(seen).To(Equal([]string{"the eleventh"}))
	})

	It("given an unsynced record, when read, then is found", func() {
		log := open(disk, small)
		position, err := log.Write([]byte("fresh"))
		Expect(err).NotTo(HaveOccurred())
		Expect(log.Read(position)).To(Equal([]byte("fresh")))
		_, err = log.Read(storage.Position{Segment: 9, Offset: 20})
		Expect(err).To(BeAssignableToTypeOf(&storage.PositionError{}))
	})

	It("given records of a wrong size, then rejects them and goes on", func() {
		log := open(disk, small)
		_, err := log.Write(nil)
		Expect(err).To(BeAssignableToTypeOf(&storage.RecordSizeError{}))
		_, err = log.Write(make([]byte, 1001))
		Expect(err).To(BeAssignableToTypeOf(&storage.RecordSizeError{}))
		Expect(written(log, 0, 1)).To(HaveLen(1))
	})

	It("given old segments, when removed and power is lost, then the rest is complete", func() {
		for seed := range uint64(50) {
			disk := newDisk(seed)
			log := open(disk, small)
			written(log, 0, 20)
			segment, err := log.Rotate()
			Expect(err).NotTo(HaveOccurred())
			synced := written(log, 20, 30)
			Expect(log.Sync()).To(Succeed())
			Expect(log.RemoveBefore(segment)).To(Succeed())
			Expect(log.FirstSegment()).To(Equal(segment))
			disk.LosePower()
			Expect(replayed(open(disk, small))).To(Equal(synced))
		}
	})

	It("given syncs between writes, when power is lost, then keeps all synced records and none out of order", func() {
		for seed := range uint64(400) {
			disk := newDisk(seed)
			random := rand.New(rand.NewPCG(seed, 2))
			var expected []string
			durable := 0
			log := open(disk, small)
			for range 4 {
				for range random.IntN(12) {
					expected = append(expected, written(log, len(expected), len(expected)+1)...)
					if random.IntN(3) == 0 {
						Expect(log.Sync()).To(Succeed())
						durable = len(expected)
					}
				}
				if random.IntN(2) == 0 {
					_, _ = log.Read(storage.Position{Segment: log.End().Segment, Offset: log.End().Offset - 20})
				}
				disk.LosePower()
				log = open(disk, small)
				records := replayed(log)
				Expect(len(records)).To(BeNumerically(">=", durable), "seed %d", seed)
				Expect(slices.Equal(records, expected[:len(records)])).To(BeTrue(), "seed %d", seed)
				expected, durable = records, len(records)
			}
		}
	})

	It("given a process that was killed, when opened and power is lost, then what was replayed is durable", func() {
		for seed := range uint64(50) {
			disk := newDisk(seed)
			log := open(disk, small)
			written(log, 0, 3)
			_, err := log.Read(storage.Position{Segment: 1, Offset: 28})
			Expect(err).NotTo(HaveOccurred())
			disk.Kill()
			records := replayed(open(disk, small))
			disk.LosePower()
			Expect(replayed(open(disk, small))).To(Equal(records))
		}
	})

	It("given a damaged record that was synced before later ones, when opened, then is a loss and not truncated", func() {
		log := open(disk, storage.LogOptions{})
		position, err := log.Write([]byte("first"))
		Expect(err).NotTo(HaveOccurred())
		Expect(log.Sync()).To(Succeed())
		written(log, 0, 2)
		Expect(log.Sync()).To(Succeed())
		Expect(disk.Damage(disk.Files(dir)[0], position.Offset+21, 0x10)).To(BeTrue())
		_, err = storage.OpenLog(disk, dir, storage.LogOptions{})
		var corrupt *storage.CorruptError
		Expect(errors.As(err, &corrupt)).To(BeTrue())
		Expect(corrupt.Offset).To(Equal(position.Offset))
		_, err = log.Read(position)
		Expect(errors.As(err, &corrupt)).To(BeTrue())
	})

	It("given damage in a finished segment or an absent one, when opened, then is a loss", func() {
		log := open(disk, small)
		written(log, 0, 30)
		Expect(log.Sync()).To(Succeed())
		files := disk.Files(dir)
		Expect(disk.Damage(files[1], 100, 1)).To(BeTrue())
		_, err := storage.OpenLog(disk, dir, small)
		var corrupt *storage.CorruptError
		Expect(errors.As(err, &corrupt)).To(BeTrue())

		Expect(disk.Remove(files[1])).To(Succeed())
		_, err = storage.OpenLog(disk, dir, small)
		Expect(errors.As(err, &corrupt)).To(BeTrue())
		Expect(corrupt.Reason).To(ContainSubstring("absent"))
	})

	It("given segments that were verified before, when opened, then only their headers and lengths are read", func() {
		log := open(disk, small)
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
		Expect(errors.As(err, &corrupt)).To(BeTrue(), "the damage is behind what was verified")

		verified.VerifiedBefore = newest
		Expect(disk.Damage(files[2], 10, 1)).To(BeTrue())
		_, err = storage.OpenLog(disk, dir, verified)
		Expect(errors.As(err, &corrupt)).To(BeTrue(), "a header is damaged")
	})

	It("given a failed sync, when retried, then fails for ever although the disk works", func() {
		log := open(disk, small)
		synced := written(log, 0, 2)
		Expect(log.Sync()).To(Succeed())
		written(log, 2, 4)
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
		Expect(replayed(open(disk, small))[:2]).To(Equal(synced))
	})

	It("given a failed sync, a new process and a loss of power, then what was replayed after it is durable", func() {
		for seed := range uint64(100) {
			disk := newDisk(seed)
			log := open(disk, storage.LogOptions{})
			written(log, 0, 2)
			Expect(log.Sync()).To(Succeed())
			written(log, 2, 8)
			disk.FailSyncs(0, 1)
			Expect(log.Sync()).To(HaveOccurred())
			disk.Kill()
			log = open(disk, storage.LogOptions{})
			records := replayed(log)
			records = append(records, written(log, 20, 23)...)
			Expect(log.Sync()).To(Succeed())
			disk.LosePower()
			Expect(replayed(open(disk, storage.LogOptions{}))).To(Equal(records), "seed %d", seed)
		}
	})

	It("given a full disk, when written, then fails for ever and keeps what was synced", func() {
		log := open(disk, small)
		synced := written(log, 0, 2)
		Expect(log.Sync()).To(Succeed())
		disk.SetCapacity(disk.Used() + 30)
		written(log, 2, 4)
		var failed *storage.FailedError
		Expect(errors.As(log.Sync(), &failed)).To(BeTrue())
		Expect(failed.DiskFull()).To(BeTrue())
		Expect(errors.Is(failed, syscall.ENOSPC)).To(BeTrue())
		disk.SetCapacity(0)
		Expect(log.Sync()).To(MatchError(failed))
		log = open(disk, small)
		Expect(replayed(log)).To(Equal(synced))
		Expect(log.TruncatedBytes()).To(BeNumerically("==", 30))
	})

	It("given a lost disk, when opened, then is empty", func() {
		log := open(disk, small)
		written(log, 0, 2)
		Expect(log.Sync()).To(Succeed())
		disk.Lose()
		Expect(log.Sync()).To(Succeed(), "nothing was written since")
		_, err := log.Write([]byte("x"))
		Expect(err).NotTo(HaveOccurred())
		Expect(log.Sync()).To(HaveOccurred())
		Expect(replayed(open(disk, small))).To(BeEmpty())
	})

	It("given the file system of the operating system, then behaves the same", func() {
		path := GinkgoT().TempDir()
		log, err := storage.OpenLog(storage.OSFilesystem{}, path+"/a/log", small)
		Expect(err).NotTo(HaveOccurred())
		expected := written(log, 0, 20)
		Expect(log.Sync()).To(Succeed())
		segment, err := log.Rotate()
		Expect(err).NotTo(HaveOccurred())
		Expect(log.Close()).To(Succeed())
		Expect(log.Sync()).To(BeAssignableToTypeOf(&storage.ClosedError{}))
		log, err = storage.OpenLog(storage.OSFilesystem{}, path+"/a/log", small)
		Expect(err).NotTo(HaveOccurred())
		Expect(replayed(log)).To(Equal(expected))
		Expect(log.RemoveBefore(segment)).To(Succeed())
		Expect(replayed(log)).To(BeEmpty())
		Expect(log.Size()).To(BeNumerically("==", 28))
		Expect(log.Close()).To(Succeed())
	})
})
