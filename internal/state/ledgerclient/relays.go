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
	// maxRelays bounds the other front nodes that relay the operations of this one. A few are enough, since a relay is
	// needed only while this node cannot reach the stores itself.
	maxRelays = 3
	// relayAnswerTTL is how long the last answer of another front node counts. It spans several health checks.
	relayAnswerTTL = 2 * time.Second
)

// relayAnswers records when other front nodes last answered, with any result or failure. It is safe for concurrent use.
type relayAnswers struct {
	mutex sync.Mutex
	// lastAnswer maps the address of a front node to the time of its last answer.
	lastAnswer map[string]time.Time
}

func newRelayAnswers() *relayAnswers { return &relayAnswers{lastAnswer: map[string]time.Time{}} }

func (r *relayAnswers) record(address string, now time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.lastAnswer[address] = now
}

// countRecent returns how many of the addresses answered within relayAnswerTTL.
func (r *relayAnswers) countRecent(addresses []string, now time.Time) int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	count := 0
	for _, address := range addresses {
		if answeredAt, ok := r.lastAnswer[address]; ok && now.Sub(answeredAt) < relayAnswerTTL {
			count++
		}
	}
	return count
}

// relayAddresses returns the addresses of the front nodes that may relay operations for this one: always the same few,
// those of other zones first, because a network partition often isolates a zone. A client without Self has none.
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
	isLocal := func(node *protocol.Node) bool { return node.GetZone() == self.GetZone() }
	slices.SortFunc(others, func(a, b *protocol.Node) int {
		switch {
		case isLocal(a) == isLocal(b):
			return cmp.Compare(relayHash(self, a), relayHash(self, b))
		case isLocal(a):
			return 1
		default:
			return -1
		}
	})
	var addresses []string
	for _, node := range others[:min(len(others), maxRelays)] {
		addresses = append(addresses, node.GetAddress())
	}
	return addresses
}

// relayHash determines the order of the relays of a front node. It differs between front nodes, which spreads the load
// of relaying.
func relayHash(self, other *protocol.Node) uint64 {
	return xxhash.Sum64String(self.GetName() + "\x00" + other.GetName())
}
