package front

import "github.com/rosestand/rosestand/internal/protocol"

// runQuota is how many servers may still run a call of an HTTP route, over all owners that it is forwarded to.
// What a lost owner has used of its share is not known, so all of it counts as used. Other calls are not
// bounded by it: their owners bound the attempts. One goroutine uses it.
type runQuota struct {
	bounded   bool
	remaining uint32
}

func newRunQuota(request *protocol.ToolCallRequest) *runQuota {
	if request.GetHttp() == nil {
		return &runQuota{}
	}
	return &runQuota{bounded: true, remaining: callRuns(request)}
}

// minRunsToShare is the number of runs from which one is reserved for another owner. With fewer, the owner
// needs them: answers lost by servers are far more frequent than lost owners.
const minRunsToShare = 3

// share is what the next owner may use. Another front node leaves one run to the owner after it where there
// are enough; this one is not lost before its own request is.
func (a *runQuota) share(local bool) uint32 {
	if local || a.remaining < minRunsToShare {
		return a.remaining
	}
	return a.remaining - 1
}

// consume subtracts the share of an owner that may have used it.
func (a *runQuota) consume(share uint32) { a.remaining -= min(share, a.remaining) }

// isExhausted reports whether no server may run the call any more.
func (a *runQuota) isExhausted() bool { return a.bounded && a.remaining == 0 }
