package directory

import (
	"github.com/rosestand/rosestand/internal/protocol"
)

// isClaimable reports whether the owner of a registration is suspected by this node or is among the suspects named by
// the requesting node.
func (d *Directory) isClaimable(registration *protocol.Registration, suspects []*protocol.Suspect) bool {
	owner, incarnation := registration.GetOwner(), registration.GetOwnerIncarnation()
	return d.isSuspect(owner, incarnation) || containsSuspect(suspects, owner, incarnation)
}

// claimFor returns the claim of a registration that replaces the current one, or one that a suspected holder may have;
// 0 for any other registration. Claims grow with the wall clock in milliseconds, so that the later takeover of a
// session wins.
func (d *Directory) claimFor(key uint64, current *protocol.Registration) uint64 {
	if current == nil && !d.holdsForSuspect(key) {
		return 0
	}
	return max(current.GetClaim()+1, uint64(max(d.moment.Now.UnixMilli(), 0)))
}

// holdsForSuspect reports whether this node holds the key only because the holder in the membership is suspected.
func (d *Directory) holdsForSuspect(key uint64) bool {
	if len(d.suspects) == 0 {
		return false
	}
	holder, found := d.membership.holder(key)
	return found && !d.isSelf(holder)
}
