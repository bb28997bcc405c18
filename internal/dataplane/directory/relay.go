package directory

import (
	"time"

	"github.com/rosestand/rosestand/internal/dataplane/ring"
	"github.com/rosestand/rosestand/internal/protocol"
)

// Relay is the holder to which a lookup is to be forwarded, with Relayed set,
// because the requesting node could not reach it. Its answer is returned unchanged; when
// there is none, the shell reports the failure with PeerFailed and serves the lookup again.
type Relay struct {
	Address string
	Timeout time.Duration
}

// relayTo finds the holder that a request is to be forwarded to, because the
// requesting node cannot reach it and considers this node the next holder.
func (d *Directory) relayTo(key uint64, suspects []*protocol.Suspect) (ring.Member, bool) {
	holder, found := d.view.holder(key)
	if !found || d.isSelf(holder) || !containsSuspect(suspects, holder.Name, holder.Incarnation) {
		return ring.Member{}, false
	}
	next, found := d.view.ring.HolderExcept(key, func(member ring.Member) bool {
		return containsSuspect(suspects, member.Name, member.Incarnation)
	})
	return holder, found && d.isSelf(next)
}

// relayTimeout is shorter than the timeout of the requesting node.
func (d *Directory) relayTimeout() time.Duration { return d.options.FailureDetectionTimeout / 4 }
