package storage_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/goleak"

	"github.com/rosestand/rosestand/internal/storage"
	"github.com/rosestand/rosestand/internal/storage/simdisk"
)

const dir = "/data/log"

// interruptHandler is a goroutine that ginkgo never stops, so goleak must ignore it.
const interruptHandler = "github.com/onsi/ginkgo/v2/internal/interrupt_handler." +
	"(*InterruptHandler).registerForInterrupts.func2"

func TestStorage(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Storage")
}

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m, goleak.IgnoreAnyFunction(interruptHandler))
}

func newDisk(seed uint64) *simdisk.Disk { return simdisk.New(rand.New(rand.NewPCG(seed, 1))) }

func payload(number int) []byte {
	return fmt.Appendf(nil, "record %d of random length %0*d", number, 1+number*37%700, number)
}

// replayRecords returns the contents of all records in the log.
func replayRecords(log *storage.Log) []string {
	var records []string
	err := log.Replay(storage.Position{}, func(_ storage.Position, record []byte) error {
		records = append(records, string(record))
		return nil
	})
	Expect(err).NotTo(HaveOccurred())
	return records
}

// writeRecords appends and returns payload(from) to payload(to-1).
func writeRecords(log *storage.Log, from, to int) []string {
	var records []string
	for number := from; number < to; number++ {
		_, err := log.Write(payload(number))
		Expect(err).NotTo(HaveOccurred())
		records = append(records, string(payload(number)))
	}
	return records
}

func openLog(filesystem storage.Filesystem, options storage.LogOptions) *storage.Log {
	log, err := storage.OpenLog(filesystem, dir, options)
	Expect(err).NotTo(HaveOccurred())
	return log
}
