package interruptedstart

import (
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"

	"github.com/rosestand/rosestand/internal/storage/simdisk"
)

// startNumber is a start under an incarnation.
type startNumber struct {
	incarnation string
	starts      uint64
}

// history records the starts on one disk and checks them.
type history struct {
	scenario Scenario
	disk     *simdisk.Disk
	// interruptions are those that were applied so far.
	interruptions []interruption
	// acknowledged are the records that were durable, by their incarnations, and starts the numbers in use.
	acknowledged map[string][]string
	starts       map[startNumber]bool
	records      int
	last         *Started
	violations   []string
}

func newHistory(scenario Scenario, disk *simdisk.Disk) *history {
	return &history{
		scenario: scenario, disk: disk, acknowledged: map[string][]string{}, starts: map[startNumber]bool{},
	}
}

// clone returns a copy of the disk and its history, from which another one may follow.
func (h *history) clone(random *rand.Rand) *history {
	copied := *h
	copied.disk = h.disk.Clone(random)
	copied.interruptions = slices.Clone(h.interruptions)
	copied.starts = maps.Clone(h.starts)
	copied.violations = slices.Clone(h.violations)
	copied.acknowledged = map[string][]string{}
	for incarnation, records := range h.acknowledged {
		copied.acknowledged[incarnation] = slices.Clone(records)
	}
	return &copied
}

// interrupt starts the process and ends it at an operation. It returns false if the start completed before.
func (h *history) interrupt(each interruption) bool {
	h.interruptions = append(h.interruptions, each)
	h.disk.StopAfter(each.operations)
	h.start()
	wasInterrupted := h.disk.IsStopped()
	each.ending.apply(h.disk)
	return wasInterrupted
}

func (h *history) reportf(format string, arguments ...any) {
	h.violations = append(h.violations, fmt.Sprintf(format, arguments...))
}

// start starts the process once and checks what it found.
func (h *history) start() {
	h.records++
	record := h.lastRecord()
	started, err := h.scenario.Start(h.disk, record)
	h.last = started
	if err != nil && !h.isExpected(err) {
		h.reportf("start %d: %v", h.records, err)
	}
	if started == nil {
		return
	}
	h.check(started)
	if err == nil {
		h.acknowledged[started.Incarnation] = append(h.acknowledged[started.Incarnation], record)
	}
}

// isExpected reports whether an error is the interruption or the documented answer to damage.
func (h *history) isExpected(err error) bool {
	var stopped *simdisk.StoppedError
	return errors.As(err, &stopped) || h.scenario.Rejects != nil && h.scenario.Rejects(err)
}

// check checks a start that completed.
func (h *history) check(started *Started) {
	number := startNumber{incarnation: started.Incarnation, starts: started.Starts}
	if h.starts[number] {
		h.reportf("start %d has the number %d, which incarnation %q has used", h.records, started.Starts, started.Incarnation)
	}
	h.starts[number] = true
	for _, record := range h.acknowledged[started.Incarnation] {
		if !slices.Contains(started.Remembered, record) {
			h.reportf("start %d is of incarnation %q and forgets its %s", h.records, started.Incarnation, record)
		}
	}
	if started.Lost != nil && !h.scenario.Damaged {
		h.reportf("start %d reports a loss, though nothing is lost: %v", h.records, started.Lost)
	}
}

// checkLast checks the start that was not interrupted: unless data was damaged, it remembers every record that was
// acknowledged before it.
func (h *history) checkLast() {
	if h.last == nil || h.scenario.Damaged {
		return
	}
	for _, records := range h.acknowledged {
		for _, record := range records {
			if record != h.lastRecord() && !slices.Contains(h.last.Remembered, record) {
				h.reportf("the last start forgets %s", record)
			}
		}
	}
}

// lastRecord returns the record that the latest start wrote.
func (h *history) lastRecord() string { return fmt.Sprintf("record %d", h.records) }
