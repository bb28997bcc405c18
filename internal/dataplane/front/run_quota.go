package front

import "github.com/rosestand/rosestand/internal/protocol"

// runAllowance is how many servers may still run a call of an HTTP route, over all owners that it is brought to. What an
// owner that was lost has used of its share is not known, so all of it counts as used. Calls of no HTTP route are not bounded
// by it: their owners bound the attempts.
type runAllowance struct {
	bounded bool
	left    uint32
}

func newRunAllowance(request *protocol.ToolCallRequest) *runAllowance {
	if request.GetHttp() == nil {
		return &runAllowance{}
	}
	return &runAllowance{bounded: true, left: callRuns(request)}
}

// leastToDivide is the number of runs from which one is kept back for another owner. With fewer, the owner needs them
// itself: an answer that its server lost is far more frequent than a lost owner.
const leastToDivide = 3

// share is what the next owner may use. Another front node leaves one run to the owner after it where there are enough; this
// one is not lost before its own request is.
func (a *runAllowance) share(local bool) uint32 {
	if local || a.left < leastToDivide {
		return a.left
	}
	return a.left - 1
}

// spend takes off the share of an owner that may have used it.
func (a *runAllowance) spend(share uint32) { a.left -= min(share, a.left) }

// isSpent reports whether no server may run the call any more.
func (a *runAllowance) isSpent() bool { return a.bounded && a.left == 0 }
