package delivery

import (
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/protocol"
)

// minPacingSweepSize is the number of entries below which none are dropped.
const minPacingSweepSize = 1024

// pacing remembers when each node was last sent an update and which, so that a
// burst of changes becomes few answers. Its mutex guards the fields below it and is
// held for a map access only; nothing here needs an order between polls.
type pacing struct {
	interval time.Duration

	mutex sync.Mutex
	sent  map[string]sentAnswer
	// sweepSize is the size at which old entries are dropped next.
	sweepSize int
}

type sentAnswer struct {
	at       time.Time
	versions *protocol.ControlVersions
}

func newPacing(interval time.Duration) *pacing {
	return &pacing{interval: interval, sent: map[string]sentAnswer{}, sweepSize: minPacingSweepSize}
}

// remainingWait is how long the answer to a node is delayed. A node that requests again
// what it was sent already, as after a lost answer, does not wait.
func (p *pacing) remainingWait(node string, versions *protocol.ControlVersions, now time.Time) time.Duration {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	last, known := p.sent[node]
	if !known || proto.Equal(last.versions, versions) {
		return 0
	}
	return max(0, min(p.interval, last.at.Add(p.interval).Sub(now)))
}

// recordAnswer remembers an answer with an update.
func (p *pacing) recordAnswer(node string, versions *protocol.ControlVersions, now time.Time) {
	if node == "" || p.interval <= 0 {
		return
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.sent[node] = sentAnswer{at: now, versions: versions}
	if len(p.sent) < p.sweepSize {
		return
	}
	for name, last := range p.sent {
		if now.Sub(last.at) > p.interval {
			delete(p.sent, name)
		}
	}
	p.sweepSize = max(minPacingSweepSize, 2*len(p.sent))
}
