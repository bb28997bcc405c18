package core

import (
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/protocol"
)

// pacing remembers when each node was last sent something and what, so that a
// burst of changes becomes few answers. Polls of all nodes ask it on their own
// goroutines and hold it for a map access; it decides nothing that must be ordered.
type pacing struct {
	interval time.Duration

	mutex sync.Mutex
	sent  map[string]sentAnswer
	// sweepAt is the size at which old entries are dropped next.
	sweepSize int
}

type sentAnswer struct {
	at       time.Time
	versions *protocol.ControlVersions
}

const minPacingSweepSize = 1024

func newPacing(interval time.Duration) *pacing {
	return &pacing{interval: interval, sent: map[string]sentAnswer{}, sweepSize: minPacingSweepSize}
}

// wait is how long the answer to a node is held back. A node that asks again for
// what it was sent already, as after a lost answer, is not held back.
func (p *pacing) remainingWait(node string, versions *protocol.ControlVersions, now time.Time) time.Duration {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	last, found := p.sent[node]
	if !found || proto.Equal(last.versions, versions) {
		return 0
	}
	return max(0, min(p.interval, last.at.Add(p.interval).Sub(now)))
}

// note remembers an answer that carries news.
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
