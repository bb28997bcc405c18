package storage_test

import (
	"errors"
	"io"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/rosestand/rosestand/internal/storage"
	"github.com/rosestand/rosestand/internal/storage/simdisk"
)

func saveSnapshot(filesystem storage.Filesystem, number uint64, content string) error {
	return storage.SaveSnapshot(filesystem, dir, number, func(writer io.Writer) error {
		_, err := io.WriteString(writer, content)
		return err
	})
}

func loadSnapshot(filesystem storage.Filesystem) (number uint64, content string, exists bool, err error) {
	number, exists, err = storage.LoadNewestSnapshot(filesystem, dir, func(_ uint64, reader io.Reader) error {
		data, err := io.ReadAll(reader)
		content = string(data)
		return err
	})
	return number, content, exists, err
}

var _ = Describe("Snapshot", func() {
	It("given an empty directory, then there is no snapshot", func() {
		_, _, exists, err := loadSnapshot(newDisk(1))
		Expect(err).NotTo(HaveOccurred())
		Expect(exists).To(BeFalse())
	})

	It("given several snapshots, then loads the newest after the old ones are removed", func() {
		disk := newDisk(1)
		Expect(saveSnapshot(disk, 9, "nine")).To(Succeed())
		Expect(saveSnapshot(disk, 10, "")).To(Succeed())
		Expect(saveSnapshot(disk, 300, strings.Repeat("long", 100_000))).To(Succeed())
		Expect(storage.RemoveSnapshotsBefore(disk, dir, 300)).To(Succeed())
		Expect(disk.Files(dir)).To(HaveLen(1))
		number, content, exists, err := loadSnapshot(disk)
		Expect(err).NotTo(HaveOccurred())
		Expect(exists).To(BeTrue())
		Expect(number).To(BeNumerically("==", 300))
		Expect(content).To(HaveLen(400_000))
	})

	It("given a failure of any sync and a loss of power, then the newest snapshot is complete", func() {
		for seed := range uint64(200) {
			disk := newDisk(seed)
			Expect(saveSnapshot(disk, 1, "old")).To(Succeed())
			disk.FailSyncs(int(seed%3), 1)
			err := saveSnapshot(disk, 2, strings.Repeat("new", 1000))
			disk.FailSyncs(0, 0)
			disk.LosePower()
			number, content, _, loadErr := loadSnapshot(disk)
			Expect(loadErr).NotTo(HaveOccurred())
			if err == nil {
				Expect(number).To(BeNumerically("==", 2))
			}
			if number == 1 {
				Expect(content).To(Equal("old"))
			} else {
				Expect(content).To(Equal(strings.Repeat("new", 1000)))
			}
		}
	})

	It("given a snapshot that is being saved, when the newest is loaded at the same time, then both succeed", func() {
		disk := newDisk(1)
		Expect(saveSnapshot(disk, 1, "old")).To(Succeed())
		var loaded string
		err := storage.SaveSnapshot(disk, dir, 2, func(writer io.Writer) error {
			var loadErr error
			_, loaded, _, loadErr = loadSnapshot(disk)
			Expect(loadErr).NotTo(HaveOccurred())
			_, err := io.WriteString(writer, "new")
			return err
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(loaded).To(Equal("old"))
		_, newest, _, err := loadSnapshot(disk)
		Expect(err).NotTo(HaveOccurred())
		Expect(newest).To(Equal("new"))
	})

	It("given a temporary file of a crashed process, when removed, then loads the previous snapshot", func() {
		disk := newDisk(1)
		Expect(saveSnapshot(disk, 1, "old")).To(Succeed())
		unfinished, err := disk.Create(dir + "/0000000000000002.snapshot.tmp")
		Expect(err).NotTo(HaveOccurred())
		Expect(unfinished.Close()).To(Succeed())
		Expect(storage.RemoveUnfinishedSnapshots(disk, dir)).To(Succeed())
		Expect(disk.Files(dir)).To(HaveLen(1))
		_, content, _, err := loadSnapshot(disk)
		Expect(err).NotTo(HaveOccurred())
		Expect(content).To(Equal("old"))
	})

	It("given a write callback that fails, then keeps the previous snapshot and leaves no temporary file", func() {
		disk := newDisk(1)
		Expect(saveSnapshot(disk, 1, "old")).To(Succeed())
		errWrite := errors.New("write callback failed")
		err := storage.SaveSnapshot(disk, dir, 2, func(io.Writer) error { return errWrite })
		Expect(errors.Is(err, errWrite)).To(BeTrue())
		Expect(disk.Files(dir)).To(HaveLen(1))
	})

	It("given a flipped bit in any byte, then returns a CorruptError", func() {
		disk := newDisk(1)
		Expect(saveSnapshot(disk, 7, "content")).To(Succeed())
		path := disk.Files(dir)[0]
		for offset := int64(0); disk.Damage(path, offset, 0x40); offset++ {
			_, _, _, err := loadSnapshot(disk)
			var corrupt *storage.CorruptError
			Expect(errors.As(err, &corrupt)).To(BeTrue(), "byte %d", offset)
			disk.Damage(path, offset, 0x40)
		}
		_, content, _, err := loadSnapshot(disk)
		Expect(err).NotTo(HaveOccurred())
		Expect(content).To(Equal("content"))
	})
})

var _ = Describe("Identity", func() {
	const dataDir = "/data"

	It("given restarts with losses of power, then keeps its StorageID and counts the starts", func() {
		disk := newDisk(3)
		first, err := storage.OpenIdentity(disk, dataDir, storage.IdentityOptions{})
		Expect(err).NotTo(HaveOccurred())
		Expect(first.Fresh).To(BeTrue())
		for start := uint64(2); start < 20; start++ {
			disk.LosePower()
			reopened, err := storage.OpenIdentity(disk, dataDir, storage.IdentityOptions{})
			Expect(err).NotTo(HaveOccurred())
			Expect(reopened).To(Equal(storage.Identity{StorageID: first.StorageID, Starts: start}))
		}
	})

	It("given a lost disk, then is fresh and has a new StorageID", func() {
		disk := newDisk(3)
		first, err := storage.OpenIdentity(disk, dataDir, storage.IdentityOptions{})
		Expect(err).NotTo(HaveOccurred())
		disk.Lose()
		second, err := storage.OpenIdentity(disk, dataDir, storage.IdentityOptions{})
		Expect(err).NotTo(HaveOccurred())
		Expect(second.Fresh).To(BeTrue())
		Expect(second.StorageID).NotTo(Equal(first.StorageID))
	})

	It("given an empty log without an identity file, which an interrupted start leaves, then is fresh", func() {
		disk := newDisk(3)
		openLog(disk, storage.LogOptions{})
		created, err := storage.OpenIdentity(disk, dataDir, storage.IdentityOptions{Logs: []string{"log", "other"}})
		Expect(err).NotTo(HaveOccurred())
		Expect(created.Fresh).To(BeTrue())
		Expect(disk.Files(dataDir)).To(ContainElements("/data/log/0000000000000001.log", "/data/other/0000000000000001.log"))
	})

	It("given an identity file without one of the logs, then returns a CorruptError", func() {
		for _, absent := range []string{"log", "other"} {
			disk := newDisk(3)
			options := storage.IdentityOptions{Logs: []string{"log", "other"}}
			_, err := storage.OpenIdentity(disk, dataDir, options)
			Expect(err).NotTo(HaveOccurred())
			Expect(disk.Remove("/data/" + absent + "/0000000000000001.log")).To(Succeed())
			var corrupt *storage.CorruptError
			for range 2 {
				_, err = storage.OpenIdentity(disk, dataDir, options)
				Expect(errors.As(err, &corrupt)).To(BeTrue(), absent)
			}
		}
	})

	It("given records without an identity file or a damaged identity file, then returns a CorruptError", func() {
		var corrupt *storage.CorruptError
		for name, fill := range map[string]func(*simdisk.Disk){
			"a record": func(disk *simdisk.Disk) {
				log := openLog(disk, storage.LogOptions{})
				writeRecords(log, 0, 1)
				Expect(log.Sync()).To(Succeed())
			},
			"a second segment": func(disk *simdisk.Disk) {
				_, err := openLog(disk, storage.LogOptions{}).Rotate()
				Expect(err).NotTo(HaveOccurred())
			},
			"a snapshot": func(disk *simdisk.Disk) {
				write := func(writer io.Writer) error { return nil }
				Expect(storage.SaveSnapshot(disk, dir, 1, write)).To(Succeed())
			},
		} {
			disk := newDisk(3)
			fill(disk)
			_, err := storage.OpenIdentity(disk, dataDir, storage.IdentityOptions{Logs: []string{"log"}})
			Expect(errors.As(err, &corrupt)).To(BeTrue(), name)
		}

		disk := newDisk(3)
		_, err := storage.OpenIdentity(disk, dataDir, storage.IdentityOptions{})
		Expect(err).NotTo(HaveOccurred())
		for offset := int64(0); disk.Damage("/data/identity", offset, 2); offset++ {
			_, err = storage.OpenIdentity(disk, dataDir, storage.IdentityOptions{})
			Expect(errors.As(err, &corrupt)).To(BeTrue(), "byte %d", offset)
			disk.Damage("/data/identity", offset, 2)
		}
	})
})

var _ = Describe("LockDir", func() {
	It("given a locked directory, then rejects a second lock until the first is released", func() {
		path := GinkgoT().TempDir()
		lock, err := storage.LockDir(path)
		Expect(err).NotTo(HaveOccurred())
		_, err = storage.LockDir(path)
		Expect(err).To(BeAssignableToTypeOf(&storage.DirLockedError{}))
		Expect(lock.Close()).To(Succeed())
		lock, err = storage.LockDir(path)
		Expect(err).NotTo(HaveOccurred())
		Expect(lock.Close()).To(Succeed())
	})
})
