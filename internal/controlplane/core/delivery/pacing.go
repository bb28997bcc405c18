package delivery

import (
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/protocol"
)

// minPacingSweepSize is the smallest number of entries at which old ones are dropped.
const minPacingSweepSize = 1024

// pacing records which update each node was last sent and when, so that a burst of
// changes is coalesced into few answers. Its mutex guards the fields below it and is
// held only for accesses to the map; polls need no order among themselves.
type pacing struct {
	interval time.Duration

	mutex sync.Mutex
	sent  map[string]sentAnswer
	// sweepSize is the number of entries at which old ones are dropped next.
	sweepSize int
}

type sentAnswer struct {
	sentAt   time.Time
	versions *protocol.ControlVersions
}

func newPacing(interval time.Duration) *pacing {
	return &pacing{interval: interval, sent: map[string]sentAnswer{}, sweepSize: minPacingSweepSize}
}

// remainingWait returns how long the answer to a node must be delayed. A node that requests
// the versions that it was last sent, as after a lost answer, does not wait.
func (p *pacing) remainingWait(node string, versions *protocol.ControlVersions, now time.Time) time.Duration {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	last, known := p.sent[node]
	if !known || proto.Equal(last.versions, versions) {
		return 0
	}
	return max(0, min(p.interval, last.sentAt.Add(p.interval).Sub(now)))
}

// recordAnswer records that a node was sent an update, and drops old entries when there are sweepSize of them.
func (p *pacing) recordAnswer(node string, versions *protocol.ControlVersions, now time.Time) {
	if node == "" || p.interval <= 0 {
		return
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.sent[node] = sentAnswer{sentAt: now, versions: versions}
	if len(p.sent) < p.sweepSize {
		return
	}
	for name, last := range p.sent {
		if now.Sub(last.sentAt) > p.interval {
			delete(p.sent, name)
		}
	}
	p.sweepSize = max(minPacingSweepSize, 2*len(p.sent))
}
