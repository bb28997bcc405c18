package ledger

import (
	"time"

	"github.com/rosestand/rosestand/internal/protocol"
)

const (
	// DefaultRetention is the minimum time for which a finished request, a call, and a program after its last change are
	// stored, unless the program sets another retention. A turn with a longer retention prolongs that of its request and
	// its program. 24 hours cover callers that repeat a request after an outage.
	DefaultRetention = 24 * time.Hour
	// MinRetention is the shortest retention that a program may set. It is far above the longest delay of a message.
	MinRetention = 2 * time.Minute
	// MinProgramRetention is the minimum time after which an idle program's record expires, and its budget with it. A
	// stopped program commonly resumes far sooner.
	MinProgramRetention = 10 * time.Minute
)

// effectiveRetentionMillis returns the retention that applies for a requested one; 0 requests the default.
func effectiveRetentionMillis(requestedMillis int64) int64 {
	if requestedMillis <= 0 {
		return DefaultRetention.Milliseconds()
	}
	return max(requestedMillis, MinRetention.Milliseconds())
}

// ProgramRetainedUntil returns the time in Unix milliseconds after which a program's record expires: its retention
// since the last change is over, and so is that of every finished request.
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
