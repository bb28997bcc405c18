package directory

import (
	"github.com/rosestand/rosestand/internal/dataplane/ring"
	"github.com/rosestand/rosestand/internal/failure"
	"github.com/rosestand/rosestand/internal/protocol"
)

// registerLocally owns a session whose partition this node holds itself.
func (d *Directory) registerLocally(resolution *resolution) {
	if d.draining && len(d.view.ring.Members()) == 1 {
		d.failResolution(resolution, failure.Draining)
		return
	}
	if d.draining || !d.view.Has(d.self.Name, d.self.Incarnation) {
		// The next view names another holder.
		d.retry(resolution)
		return
	}
	session := d.own(resolution.session, resolution.program, d.nextSequence(), true)
	session.claim = d.registerOwner(d.registrationOf(session), resolution.key, d.view.Version).GetClaim()
	d.finish(resolution, d.localOwner(resolution))
}

// firstRegistration is a registration of this node for a session that may have no owner yet.
func (d *Directory) firstRegistration(resolution *resolution) *protocol.Registration {
	resolution.sequence = d.nextSequence()
	return &protocol.Registration{
		Session: resolution.session, Program: resolution.program, Owner: d.self.Name,
		OwnerIncarnation: d.self.Incarnation, ViewVersion: d.view.Version, Sequence: resolution.sequence,
	}
}

// registrationFor makes the holder the owner of a session, so that a draining
// node, which owns no sessions, can forward the requests that it has read.
func (d *Directory) registrationFor(resolution *resolution, holder ring.Member) *protocol.Registration {
	return &protocol.Registration{
		Session: resolution.session, Program: resolution.program, Owner: holder.Name, OwnerIncarnation: holder.Incarnation,
		ViewVersion: d.view.Version,
	}
}

// isFirstRegistration reports whether a holder accepted the registration that was sent with a lookup.
func (d *Directory) isFirstRegistration(resolution *resolution, done *call, registration *protocol.Registration) bool {
	return done.registers && done.incarnation == d.self.Incarnation && registration.GetOwner() == d.self.Name &&
		registration.GetOwnerIncarnation() == d.self.Incarnation && registration.GetSequence() == resolution.sequence
}

// registerRemotely requests that the holder, which knows no owner, registers this node.
func (d *Directory) registerRemotely(resolution *resolution, to *peer) {
	if d.draining {
		d.failDraining(resolution)
		return
	}
	if !d.at.Authority {
		d.failResolution(resolution, failure.NoAuthority)
		return
	}
	request := &protocol.RegisterSessionsRequest{
		ViewVersion: d.view.Version, Cause: protocol.RegistrationCause_CAUSE_NEW, From: d.self.Name,
		Registrations: []*protocol.Registration{d.firstRegistration(resolution)}, Suspects: d.namedSuspects(),
	}
	registering := &call{kind: callFirstRegistration, peer: to, resolution: resolution, registers: true}
	resolution.call = d.emitCall(registering, &protocol.Request{
		Body: &protocol.Request_RegisterSessions{RegisterSessions: request},
	})
}

func (d *Directory) firstRegistrationAnswered(done *call, answer *protocol.RegisterSessionsResponse) {
	resolution := done.resolution
	if d.resolutions[resolution.session] != resolution || resolution.call != done.number {
		return
	}
	resolution.call = 0
	if done.incarnation != d.self.Incarnation {
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
		d.registered(resolution, done.peer, 0)
	case protocol.DirectoryStatus_DUPLICATE_ACTIVATION:
		d.applyRegistration(resolution, result.GetCurrent())
	default:
		d.countRejection(result.GetStatus())
		d.retry(resolution)
	}
}

// registered owns the session; it is confirmed when the answer came from the current holder.
func (d *Directory) registered(resolution *resolution, by *peer, claim uint64) {
	holder, _ := d.view.holder(resolution.key)
	if holder == by.member && d.peers[holder.Name] == by && !d.draining {
		d.own(resolution.session, resolution.program, resolution.sequence, true).claim = claim
		d.finish(resolution, d.localOwner(resolution))
		return
	}
	session := d.own(resolution.session, resolution.program, resolution.sequence, false)
	session.claim = claim
	if d.draining {
		d.yield(session, YieldDrain, true)
		return
	}
	d.salvageSession(session)
	d.continueResolve(resolution.session)
}
