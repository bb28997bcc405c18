package directory

import (
	"time"

	"github.com/rosestand/rosestand/internal/dataplane/ring"
	"github.com/rosestand/rosestand/internal/protocol"
)

// Relay is the holder to which a lookup is to be passed on, with Relayed set,
// because the asking node could not reach it. Its answer goes back as it is; when
// there is none, the failure is told with PeerFailed and the lookup served anew.
type Relay struct {
	Address string
	Timeout time.Duration
}

// ServeLookup answers a lookup as holder, and registers the asking node when it
// asked for that and no other owner is known. It must be called only with
// authority. The response is nil when there is a relay.
func (d *Directory) ServeLookup(at Moment, request *protocol.LookupSessionRequest) (*protocol.LookupSessionResponse, *Relay, []Command) {
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

// lookupFor answers for another node, which may want to be registered.
func (d *Directory) lookupFor(request *protocol.LookupSessionRequest, key uint64) (protocol.DirectoryStatus, *protocol.Registration) {
	status, found := d.lookup(request.GetSession(), key, request.GetViewVersion(), request.GetSuspects())
	wanted := request.GetRegistration()
	if status != protocol.DirectoryStatus_DIRECTORY_NOT_FOUND || wanted == nil || wanted.GetSession() != request.GetSession() {
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

// takeInHere owns a session for a draining node that has a request for it.
func (d *Directory) ownForDrainingNode(wanted *protocol.Registration, key uint64) (protocol.DirectoryStatus, *protocol.Registration) {
	if d.draining || wanted.GetOwnerIncarnation() != d.self.Incarnation {
		return protocol.DirectoryStatus_INCORRECT_PARTITION, nil
	}
	session := d.own(wanted.GetSession(), wanted.GetProgram(), d.nextSequence(), true)
	taken := d.registerOwner(d.registrationOf(session), key, d.view.Version)
	session.claim = taken.GetClaim()
	d.continueResolve(session.name)
	return protocol.DirectoryStatus_DIRECTORY_OK, taken
}

// takeIn registers an owner in place of none, or of one that is lost.
func (d *Directory) registerOwner(wanted *protocol.Registration, key, senderVersion uint64) *protocol.Registration {
	var former *protocol.Registration
	if held := d.partition[wanted.GetSession()]; held != nil {
		former = held.registration
		d.stats.Takeovers++
		d.displace(displacement{registration: former, viewVersion: held.viewVersion})
	}
	taken := withClaim(wanted, d.claimFor(key, former))
	d.partition[wanted.GetSession()] = &entry{registration: taken, key: key, viewVersion: senderVersion}
	return taken
}

// withClaim is a registration under a claim. The one given is not changed, since it belongs to a message.
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

// lookup finds the owner registered; one that is lost by the word of this node or of the asking one counts as none.
func (d *Directory) lookup(session string, key, clientVersion uint64, suspects []*protocol.Suspect) (protocol.DirectoryStatus, *protocol.Registration) {
	if !d.holds(key) {
		return protocol.DirectoryStatus_INCORRECT_PARTITION, nil
	}
	if found := d.partition[session]; found != nil && !d.isClaimable(found.registration, suspects) {
		return protocol.DirectoryStatus_DIRECTORY_OK, found.registration
	}
	if d.isTransferring(key) || clientVersion > d.view.Version {
		// A client that is ahead may know of changes of hands that this node has not seen.
		return protocol.DirectoryStatus_DIRECTORY_SETTLING, nil
	}
	return protocol.DirectoryStatus_DIRECTORY_NOT_FOUND, nil
}
