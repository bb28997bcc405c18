package directory

import (
	"time"

	"github.com/rosestand/rosestand/internal/dataplane/ring"
	"github.com/rosestand/rosestand/internal/protocol"
)

// Relay is the holder to which a lookup is to be forwarded, with Relayed set, because the requesting node could not
// reach it. The holder's response is returned unchanged. Without a response, the shell reports the failure with
// PeerFailed and serves the lookup again.
type Relay struct {
	Address string
	Timeout time.Duration
}

// relayTo returns the holder to which a request is to be forwarded because the requesting node cannot reach it and
// considers this node the next holder.
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

// relayTimeout returns a timeout that is shorter than that of the requesting node.
func (d *Directory) relayTimeout() time.Duration { return d.options.FailureDetectionTimeout / 4 }
