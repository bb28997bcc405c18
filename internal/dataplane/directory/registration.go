package directory

import (
	"github.com/rosestand/rosestand/internal/dataplane/ring"
	"github.com/rosestand/rosestand/internal/failure"
	"github.com/rosestand/rosestand/internal/protocol"
)

// registerLocally makes this node the owner of a session whose partition it holds itself.
func (d *Directory) registerLocally(resolution *resolution) {
	if d.draining && len(d.view.ring.Members()) == 1 {
		d.failResolution(resolution, failure.Draining)
		return
	}
	if d.draining || !d.view.Has(d.self.Name, d.self.Incarnation) {
		// The next view will have another holder.
		d.retry(resolution)
		return
	}
	session := d.addOwnedSession(resolution.session, resolution.program, d.nextSequence(), true)
	session.claim = d.registerOwner(d.registrationOf(session), resolution.key, d.view.Version).GetClaim()
	d.succeedResolution(resolution, d.localOwner(resolution))
}

// firstRegistration returns this node's registration for a session that may have no owner yet.
func (d *Directory) firstRegistration(resolution *resolution) *protocol.Registration {
	resolution.sequence = d.nextSequence()
	return &protocol.Registration{
		Session: resolution.session, Program: resolution.program, Owner: d.self.Name,
		OwnerIncarnation: d.self.Incarnation, ViewVersion: d.view.Version, Sequence: resolution.sequence,
	}
}

// registrationFor returns a registration of the holder itself as owner, so that a draining node, which owns no
// sessions, can forward the requests that it has already read.
func (d *Directory) registrationFor(resolution *resolution, holder ring.Member) *protocol.Registration {
	return &protocol.Registration{
		Session: resolution.session, Program: resolution.program, Owner: holder.Name, OwnerIncarnation: holder.Incarnation,
		ViewVersion: d.view.Version,
	}
}

// isFirstRegistration reports whether the holder returned the registration that was sent with the lookup, and so
// accepted it.
func (d *Directory) isFirstRegistration(resolution *resolution, ended *call, registration *protocol.Registration) bool {
	return ended.registers && ended.incarnation == d.self.Incarnation && registration.GetOwner() == d.self.Name &&
		registration.GetOwnerIncarnation() == d.self.Incarnation && registration.GetSequence() == resolution.sequence
}

// registerRemotely sends a first registration of this node to the holder, which has no owner registered.
func (d *Directory) registerRemotely(resolution *resolution, to *peer) {
	if d.draining {
		d.failDraining(resolution)
		return
	}
	if !d.moment.Authority {
		d.failResolution(resolution, failure.NoAuthority)
		return
	}
	request := &protocol.RegisterSessionsRequest{
		ViewVersion: d.view.Version, Cause: protocol.RegistrationCause_CAUSE_NEW, From: d.self.Name,
		Registrations: []*protocol.Registration{d.firstRegistration(resolution)}, Suspects: d.namedSuspects(),
	}
	registrationCall := &call{kind: callFirstRegistration, peer: to, resolution: resolution, registers: true}
	resolution.call = d.emitCall(registrationCall, &protocol.Request{
		Body: &protocol.Request_RegisterSessions{RegisterSessions: request},
	})
}

func (d *Directory) handleFirstRegistrationResponse(ended *call, answer *protocol.RegisterSessionsResponse) {
	resolution := ended.resolution
	if d.resolutions[resolution.session] != resolution || resolution.call != ended.number {
		return
	}
	resolution.call = 0
	if ended.incarnation != d.self.Incarnation {
		d.retry(resolution)
		return
	}
	if answer == nil || len(answer.GetResults()) != 1 {
		resolution.ambiguous = true
		d.retry(resolution)
		return
	}
	result := answer.GetResults()[0]
	switch result.GetStatus() {
	case protocol.DirectoryStatus_DIRECTORY_OK:
		d.handleFirstRegistrationAccepted(resolution, ended.peer, 0)
	case protocol.DirectoryStatus_DUPLICATE_ACTIVATION:
		d.applyRegistration(resolution, result.GetCurrent())
	default:
		d.countRejection(result.GetStatus())
		d.retry(resolution)
	}
}

// handleFirstRegistrationAccepted makes this node the owner of the session, confirmed if the response came from the
// current holder.
func (d *Directory) handleFirstRegistrationAccepted(resolution *resolution, acceptedBy *peer, claim uint64) {
	holder, _ := d.view.holder(resolution.key)
	if holder == acceptedBy.member && d.peers[holder.Name] == acceptedBy && !d.draining {
		d.addOwnedSession(resolution.session, resolution.program, resolution.sequence, true).claim = claim
		d.succeedResolution(resolution, d.localOwner(resolution))
		return
	}
	session := d.addOwnedSession(resolution.session, resolution.program, resolution.sequence, false)
	session.claim = claim
	if d.draining {
		d.yield(session, YieldDrain, true)
		return
	}
	d.salvageSession(session)
	d.continueResolve(resolution.session)
}
