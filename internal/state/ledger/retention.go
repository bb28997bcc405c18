package ledger

import (
	"time"

	"github.com/rosestand/rosestand/internal/protocol"
)

const (
	// KeepingTime is how long a finished request, a program after its last change and a call are
	// remembered at least, unless the program names another time. A turn that is
	// kept for longer prolongs it for its request and program.
	DefaultRetention = 24 * time.Hour
	// ShortestKeepingTime bounds what a program may name: far above the time for which a message can be late.
	MinRetention = 2 * time.Minute
	// ShortestProgramTime bounds how early an idle program's record is forgotten, and its budget with it. One that was
	// stopped may come again, far sooner than that.
	MinProgramRetention = 10 * time.Minute
)

// keepingMillis gives the keeping time in force for the one that a record names.
func effectiveRetentionMillis(named int64) int64 {
	if named <= 0 {
		return DefaultRetention.Milliseconds()
	}
	return max(named, MinRetention.Milliseconds())
}

// ProgramKeptUntil tells in Unix milliseconds when a program's record may be
// forgotten: nothing changed it for its keeping time, and none of its finished requests is kept for longer.
func ProgramRetainedUntil(record *protocol.ProgramRecord) int64 {
	until := record.GetUpdatedAtMillis() + max(effectiveRetentionMillis(record.GetKeepingMillis()), MinProgramRetention.Milliseconds())
	for _, finished := range record.GetFinished() {
		until = max(until, finished.GetKeepUntilMillis())
	}
	for entry := range packedRequests(record.GetFinishedPacked()) {
		until = max(until, entry.retainUntilMillis)
	}
	return until
}

// CallKeptUntil tells in Unix milliseconds when a call's record may be forgotten.
func CallRetainedUntil(record *protocol.CallRecord) int64 {
	return record.GetUpdatedAtMillis() + effectiveRetentionMillis(record.GetKeepingMillis())
}
