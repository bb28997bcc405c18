package subprocess

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

// ticksPerSecond is the unit of processor time in /proc on Linux.
const ticksPerSecond = 100

// Usage is the processor time and the memory that a process has used.
type Usage struct {
	Processor     time.Duration
	ResidentBytes uint64
}

// Usage reads the processor time and the memory of the process.
func (p *Process) Usage() (Usage, error) { return UsageOf(p.ID()) }

// UsageOf reads the processor time and the memory of a process by its id.
func UsageOf(id int) (Usage, error) {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", id))
	if err != nil {
		return Usage{}, errors.Wrap(err, "read process status")
	}
	return parseStat(content)
}

// StatError is returned when the status of a process has an unknown form.
type StatError struct{ Content string }

// Error implements error.
func (e *StatError) Error() string { return "process status has an unknown form: " + e.Content }

// parseStat reads the fields after the name, which may contain spaces itself.
func parseStat(content []byte) (Usage, error) {
	const (
		userField     = 11
		systemField   = 12
		residentField = 21
	)
	end := bytes.LastIndexByte(content, ')')
	fields := bytes.Fields(content[end+1:])
	if end < 0 || len(fields) <= residentField {
		return Usage{}, &StatError{Content: string(content)}
	}
	var numbers [3]uint64
	for i, field := range []int{userField, systemField, residentField} {
		number, err := strconv.ParseUint(string(fields[field]), 10, 64)
		if err != nil {
			return Usage{}, &StatError{Content: string(content)}
		}
		numbers[i] = number
	}
	return Usage{
		Processor:     time.Duration(numbers[0]+numbers[1]) * time.Second / ticksPerSecond,
		ResidentBytes: numbers[2] * uint64(os.Getpagesize()),
	}, nil
}
