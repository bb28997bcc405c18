package interruptedstart

import (
	"fmt"

	"github.com/rosestand/rosestand/internal/storage/simdisk"
)

// Started is what a start of a process found.
type Started struct {
	// Incarnation identifies the data: what was acknowledged under an incarnation must be remembered by every later start
	// under it, and a process that lost it must start under another one.
	Incarnation string
	// Starts is the number of this start, which must never be used twice under one incarnation.
	Starts uint64
	// Remembered are the records that the start found.
	Remembered []string
	// Lost is the loss of data that the start reported, or nil.
	Lost error
}

// Start starts a process on a disk, durably writes a record and ends. It returns nil with an error if the start itself
// failed, and what the start found with an error if only the write of the record failed.
type Start func(disk *simdisk.Disk, record string) (*Started, error)

// Scenario is a disk and the starts of a process on it.
type Scenario struct {
	Start Start
	// Prepare, if not nil, fills the disk before the first interrupted start. run makes a complete start with a record of
	// its own.
	Prepare func(disk *simdisk.Disk, run func())
	// Damaged is true if Prepare loses or damages data. Otherwise each start must be free of a reported loss, and the last
	// one must remember all records that were acknowledged under any incarnation.
	Damaged bool
	// Rejects, if not nil, reports that an error is the documented answer of a start to the damage.
	Rejects func(error) bool
}

// ending is how an interrupted process ends.
type ending int

const (
	// killed is the end by a signal: what was written stays.
	killed ending = iota
	// powerLost is the end by a loss of power: what was not synced is lost or torn.
	powerLost
)

var endings = []ending{killed, powerLost}

// String implements fmt.Stringer.
func (e ending) String() string {
	if e == powerLost {
		return "loss of power"
	}
	return "kill"
}

func (e ending) apply(disk *simdisk.Disk) {
	if e == powerLost {
		disk.LosePower()
		return
	}
	disk.Kill()
}

// interruption ends a start at one of its operations.
type interruption struct {
	// operations is how many operations the start performs before it is stopped.
	operations int
	ending     ending
}

// String implements fmt.Stringer.
func (i interruption) String() string {
	return fmt.Sprintf("%d operations by a %v", i.operations, i.ending)
}
