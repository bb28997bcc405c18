package ledger

import (
	"time"

	"github.com/rosestand/rosestand/internal/protocol"
)

const (
	// DefaultRetention is how long a finished request, a call, and a program after its last change are stored at least,
	// unless the program names another time. A turn with a longer retention prolongs that of its request and program.
	// A day covers callers that repeat a request after an outage.
	DefaultRetention = 24 * time.Hour
	// MinRetention bounds what a program may name: far above the time by which a message can be late.
	MinRetention = 2 * time.Minute
	// MinProgramRetention bounds how early an idle program's record expires, and its budget with it. A program that was
	// stopped commonly returns far sooner.
	MinProgramRetention = 10 * time.Minute
)

// effectiveRetentionMillis returns the retention in force for the one that a record names; 0 names the default.
func effectiveRetentionMillis(named int64) int64 {
	if named <= 0 {
		return DefaultRetention.Milliseconds()
	}
	return max(named, MinRetention.Milliseconds())
}

// ProgramRetainedUntil returns the time in Unix milliseconds after which a program's record expires: nothing changed it
// during its retention, and no finished request is retained for longer.
func ProgramRetainedUntil(record *protocol.ProgramRecord) int64 {
	retention := max(effectiveRetentionMillis(record.GetKeepingMillis()), MinProgramRetention.Milliseconds())
	until := record.GetUpdatedAtMillis() + retention
	for _, finished := range record.GetFinished() {
		until = max(until, finished.GetKeepUntilMillis())
	}
	for entry := range packedRequests(record.GetFinishedPacked()) {
		until = max(until, entry.retainUntilMillis)
	}
	return until
}

// CallRetainedUntil returns the time in Unix milliseconds after which a call's record expires.
func CallRetainedUntil(record *protocol.CallRecord) int64 {
	return record.GetUpdatedAtMillis() + effectiveRetentionMillis(record.GetKeepingMillis())
}
