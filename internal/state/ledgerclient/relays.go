package ledgerclient

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rosestand/rosestand/internal/protocol"
)

const (
	// relaySample is how many other front nodes are asked to carry operations out.
	maxRelays = 3
	// heardWithin is how old the last word of another front node may be.
	relayAnswerTTL = 2 * time.Second
)

// relays remembers when other front nodes answered, whatever they said.
type relayAnswers struct {
	mutex      sync.Mutex
	lastAnswer map[string]time.Time
}

func newRelayAnswers() *relayAnswers { return &relayAnswers{lastAnswer: map[string]time.Time{}} }

func (r *relayAnswers) record(address string, now time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.lastAnswer[address] = now
}

// countHeard is the number of addresses that answered lately.
func (r *relayAnswers) countRecent(addresses []string, now time.Time) int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	count := 0
	for _, address := range addresses {
		if at, known := r.lastAnswer[address]; known && now.Sub(at) < relayAnswerTTL {
			count++
		}
	}
	return count
}

// relayAddresses names the front nodes that may carry operations out for this one: always the same few, those of
// other zones first, because a cut often takes a whole zone. Without a name of its own a client has none.
func (c *Client) relayAddresses() []string {
	self := c.options.Self
	if self.GetName() == "" {
		return nil
	}
	var others []*protocol.Node
	for _, node := range c.view().Membership.GetNodes() {
		if node.GetKind() == protocol.NodeKind_FRONT && node.GetName() != self.GetName() && node.GetAddress() != "" {
			others = append(others, node)
		}
	}
	slices.SortFunc(others, func(a, b *protocol.Node) int {
		if sameZone := a.GetZone() == self.GetZone(); sameZone != (b.GetZone() == self.GetZone()) {
			return cmp.Compare(falseFirst(sameZone), falseFirst(!sameZone))
		}
		return cmp.Compare(relayHash(self, a), relayHash(self, b))
	})
	var addresses []string
	for _, node := range others[:min(len(others), maxRelays)] {
		addresses = append(addresses, node.GetAddress())
	}
	return addresses
}

// boolRank puts what is false before what is true.
func falseFirst(value bool) int {
	if value {
		return 1
	}
	return 0
}

// relayHash spreads the front nodes that are cut off over those that are not.
func relayHash(self, other *protocol.Node) uint64 {
	return xxhash.Sum64String(self.GetName() + "\x00" + other.GetName())
}
