package directory

import (
	"github.com/rosestand/rosestand/internal/dataplane/ring"
	"github.com/rosestand/rosestand/internal/protocol"
)

// ServeLookup serves a lookup as holder, and registers the owner named in the request when the request contains a
// registration and the session has no owner. It must be called only with authority. The response is nil when the lookup
// is to be relayed.
func (d *Directory) ServeLookup(
	moment Moment, request *protocol.LookupSessionRequest,
) (*protocol.LookupSessionResponse, *Relay, []Command) {
	d.moment = moment
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

// lookupFor looks up a session for another node, whose request may contain a registration.
func (d *Directory) lookupFor(
	request *protocol.LookupSessionRequest, key uint64,
) (protocol.DirectoryStatus, *protocol.Registration) {
	status, registration := d.lookup(request.GetSession(), key, request.GetViewVersion(), request.GetSuspects())
	requested := request.GetRegistration()
	registers := requested != nil && requested.GetSession() == request.GetSession()
	if status != protocol.DirectoryStatus_DIRECTORY_NOT_FOUND || !registers {
		return status, registration
	}
	if request.GetViewVersion() <= d.membership.Version && !d.ownerIsMember(requested) {
		return protocol.DirectoryStatus_INCORRECT_PARTITION, nil
	}
	if requested.GetOwner() == d.self.Name {
		return d.ownForDrainingNode(requested, key)
	}
	return protocol.DirectoryStatus_DIRECTORY_OK, d.registerOwner(requested, key, request.GetViewVersion())
}

// ownForDrainingNode makes this node the owner of a session for which a draining node has a request.
func (d *Directory) ownForDrainingNode(
	requested *protocol.Registration, key uint64,
) (protocol.DirectoryStatus, *protocol.Registration) {
	if d.draining || requested.GetOwnerIncarnation() != d.self.Incarnation {
		return protocol.DirectoryStatus_INCORRECT_PARTITION, nil
	}
	session := d.addOwnedSession(requested.GetSession(), requested.GetProgram(), d.nextSequence(), true)
	registered := d.registerOwner(d.registrationOf(session), key, d.view.Version)
	session.claim = registered.GetClaim()
	d.continueResolve(session.name)
	return protocol.DirectoryStatus_DIRECTORY_OK, registered
}

// registerOwner registers the owner of a session that has none or whose owner is suspected.
func (d *Directory) registerOwner(requested *protocol.Registration, key, senderVersion uint64) *protocol.Registration {
	var former *protocol.Registration
	if current := d.partition[requested.GetSession()]; current != nil {
		former = current.registration
		d.stats.Takeovers++
		d.displace(displacement{registration: former, viewVersion: current.viewVersion})
	}
	registered := withClaim(requested, d.claimFor(key, former))
	d.partition[requested.GetSession()] = &entry{registration: registered, key: key, viewVersion: senderVersion}
	return registered
}

// withClaim returns a registration with the given claim, unchanged if that is 0. The original is part of a message and
// is not modified.
func withClaim(requested *protocol.Registration, claim uint64) *protocol.Registration {
	if claim == 0 {
		return requested
	}
	return &protocol.Registration{
		Session: requested.GetSession(), Program: requested.GetProgram(), Owner: requested.GetOwner(),
		OwnerIncarnation: requested.GetOwnerIncarnation(), ViewVersion: requested.GetViewVersion(),
		Sequence: requested.GetSequence(), Claim: claim,
	}
}

// lookup returns the registered owner, ignoring one that this node or the requesting node suspects.
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
		// A client with a newer view may be aware of changes of holders that this node has not received.
		return protocol.DirectoryStatus_DIRECTORY_SETTLING, nil
	}
	return protocol.DirectoryStatus_DIRECTORY_NOT_FOUND, nil
}
