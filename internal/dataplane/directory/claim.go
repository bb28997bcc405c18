package directory

import (
	"github.com/rosestand/rosestand/internal/protocol"
)

// isClaimable reports whether this node or the requesting one, by the suspects
// that it names, suspects the owner of a registration.
func (d *Directory) isClaimable(registration *protocol.Registration, suspects []*protocol.Suspect) bool {
	owner, incarnation := registration.GetOwner(), registration.GetOwnerIncarnation()
	return d.isSuspect(owner, incarnation) || containsSuspect(suspects, owner, incarnation)
}

// claimFor is the claim of a registration that replaces the current one, or
// one that a suspected holder may have; 0 when it does neither. Claims grow with
// the wall clock in milliseconds, so that the later takeover of a session prevails.
func (d *Directory) claimFor(key uint64, current *protocol.Registration) uint64 {
	if current == nil && !d.holdsForSuspect(key) {
		return 0
	}
	return max(current.GetClaim()+1, uint64(max(d.at.Now.UnixMilli(), 0)))
}

// holdsForSuspect reports whether this node holds the key only because the holder in the membership is suspected.
func (d *Directory) holdsForSuspect(key uint64) bool {
	if len(d.suspects) == 0 {
		return false
	}
	holder, found := d.membership.holder(key)
	return found && !d.isSelf(holder)
}
