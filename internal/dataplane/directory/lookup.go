package directory

import (
	"github.com/rosestand/rosestand/internal/dataplane/ring"
	"github.com/rosestand/rosestand/internal/protocol"
)

// ServeLookup answers a lookup as holder, and registers the requesting node when it
// sent a registration and no other owner is known. It must be called only with
// authority. The response is nil when there is a relay.
func (d *Directory) ServeLookup(
	at Moment, request *protocol.LookupSessionRequest,
) (*protocol.LookupSessionResponse, *Relay, []Command) {
	d.at = at
	key := ring.Key(request.GetSession())
	holder, relays := d.relayTo(key, request.GetSuspects())
	if relays && !request.GetRelayed() && !d.isUnconfirmed(holder.Name) {
		return nil, &Relay{Address: holder.Address, Timeout: d.relayTimeout()}, nil
	}
	d.applyIndirectSuspicions(request.GetSuspects())
	response := &protocol.LookupSessionResponse{ViewVersion: d.view.Version, Incarnation: d.self.Incarnation}
	response.Status, response.Registration = d.lookupFor(request, key)
	d.dispatch()
	return response, nil, d.takeCommands()
}

// lookupFor answers another node, whose request may carry a registration.
func (d *Directory) lookupFor(
	request *protocol.LookupSessionRequest, key uint64,
) (protocol.DirectoryStatus, *protocol.Registration) {
	status, found := d.lookup(request.GetSession(), key, request.GetViewVersion(), request.GetSuspects())
	wanted := request.GetRegistration()
	registers := wanted != nil && wanted.GetSession() == request.GetSession()
	if status != protocol.DirectoryStatus_DIRECTORY_NOT_FOUND || !registers {
		return status, found
	}
	if request.GetViewVersion() <= d.membership.Version && !d.ownerIsMember(wanted) {
		return protocol.DirectoryStatus_INCORRECT_PARTITION, nil
	}
	if wanted.GetOwner() == d.self.Name {
		return d.ownForDrainingNode(wanted, key)
	}
	return protocol.DirectoryStatus_DIRECTORY_OK, d.registerOwner(wanted, key, request.GetViewVersion())
}

// ownForDrainingNode owns a session for which a draining node has a request.
func (d *Directory) ownForDrainingNode(
	wanted *protocol.Registration, key uint64,
) (protocol.DirectoryStatus, *protocol.Registration) {
	if d.draining || wanted.GetOwnerIncarnation() != d.self.Incarnation {
		return protocol.DirectoryStatus_INCORRECT_PARTITION, nil
	}
	session := d.own(wanted.GetSession(), wanted.GetProgram(), d.nextSequence(), true)
	registered := d.registerOwner(d.registrationOf(session), key, d.view.Version)
	session.claim = registered.GetClaim()
	d.continueResolve(session.name)
	return protocol.DirectoryStatus_DIRECTORY_OK, registered
}

// registerOwner registers the owner of a session that has none or whose owner is lost.
func (d *Directory) registerOwner(wanted *protocol.Registration, key, senderVersion uint64) *protocol.Registration {
	var former *protocol.Registration
	if current := d.partition[wanted.GetSession()]; current != nil {
		former = current.registration
		d.stats.Takeovers++
		d.displace(displacement{registration: former, viewVersion: current.viewVersion})
	}
	registered := withClaim(wanted, d.claimFor(key, former))
	d.partition[wanted.GetSession()] = &entry{registration: registered, key: key, viewVersion: senderVersion}
	return registered
}

// withClaim is a registration with a claim. The one given is not changed, since it belongs to a message.
func withClaim(wanted *protocol.Registration, claim uint64) *protocol.Registration {
	if claim == 0 {
		return wanted
	}
	return &protocol.Registration{
		Session: wanted.GetSession(), Program: wanted.GetProgram(), Owner: wanted.GetOwner(),
		OwnerIncarnation: wanted.GetOwnerIncarnation(), ViewVersion: wanted.GetViewVersion(), Sequence: wanted.GetSequence(),
		Claim: claim,
	}
}

// lookup finds the registered owner; one that this node or the requesting one suspects counts as none.
func (d *Directory) lookup(
	session string, key, clientVersion uint64, suspects []*protocol.Suspect,
) (protocol.DirectoryStatus, *protocol.Registration) {
	if !d.holds(key) {
		return protocol.DirectoryStatus_INCORRECT_PARTITION, nil
	}
	if current := d.partition[session]; current != nil && !d.isClaimable(current.registration, suspects) {
		return protocol.DirectoryStatus_DIRECTORY_OK, current.registration
	}
	if d.isTransferring(key) || clientVersion > d.view.Version {
		// A client that is ahead may know of changes of holders that this node has not received.
		return protocol.DirectoryStatus_DIRECTORY_SETTLING, nil
	}
	return protocol.DirectoryStatus_DIRECTORY_NOT_FOUND, nil
}
