package directory

import (
	"github.com/rosestand/rosestand/internal/dataplane/ring"
	"github.com/rosestand/rosestand/internal/failure"
	"github.com/rosestand/rosestand/internal/protocol"
)

// registerHere takes a session in whose partition this node holds itself.
func (d *Directory) registerHere(running *resolve) {
	if d.draining && len(d.view.ring.Members()) == 1 {
		d.fail(running, failure.Draining)
		return
	}
	if d.draining || !d.view.Has(d.self.Name, d.self.Incarnation) {
		// The next view names another holder.
		d.retry(running)
		return
	}
	session := d.own(running.session, running.program, d.nextSequence(), true)
	session.claim = d.takeIn(d.registrationOf(session), running.key, d.view.Version).GetClaim()
	d.finish(running, d.ownerHere(running))
}

// firstRegistration is a registration of this node for a session that nobody may own.
func (d *Directory) firstRegistration(running *resolve) *protocol.Registration {
	running.sequence = d.nextSequence()
	return &protocol.Registration{
		Session: running.session, Program: running.program, Owner: d.self.Name,
		OwnerIncarnation: d.self.Incarnation, ViewVersion: d.view.Version, Sequence: running.sequence,
	}
}

// registrationFor has the holder take a session in itself, so that a draining
// node, which owns nothing any more, can pass on the requests that it has read.
func (d *Directory) registrationFor(running *resolve, holder ring.Member) *protocol.Registration {
	return &protocol.Registration{
		Session: running.session, Program: running.program, Owner: holder.Name, OwnerIncarnation: holder.Incarnation,
		ViewVersion: d.view.Version,
	}
}

// isFirstRegistration reports whether a holder has taken the registration that went with a lookup.
func (d *Directory) isFirstRegistration(running *resolve, done *call, registration *protocol.Registration) bool {
	return done.registers && done.incarnation == d.self.Incarnation && registration.GetOwner() == d.self.Name &&
		registration.GetOwnerIncarnation() == d.self.Incarnation && registration.GetSequence() == running.sequence
}

// registerThere asks the holder, which knows no owner, to register this node.
func (d *Directory) registerThere(running *resolve, to *peer) {
	if d.draining {
		d.failDraining(running)
		return
	}
	if !d.at.Authority {
		d.fail(running, failure.NoAuthority)
		return
	}
	request := &protocol.RegisterSessionsRequest{
		ViewVersion: d.view.Version, Cause: protocol.RegistrationCause_CAUSE_NEW, From: d.self.Name,
		Registrations: []*protocol.Registration{d.firstRegistration(running)}, Suspects: d.namedSuspects(),
	}
	running.call = d.emitCall(&call{kind: callNew, peer: to, resolve: running, registers: true}, &protocol.Request{
		Body: &protocol.Request_RegisterSessions{RegisterSessions: request},
	})
}

func (d *Directory) newAnswered(done *call, answer *protocol.RegisterSessionsResponse) {
	running := done.resolve
	if d.resolves[running.session] != running || running.call != done.number {
		return
	}
	running.call = 0
	if done.incarnation != d.self.Incarnation {
		d.retry(running)
		return
	}
	if answer == nil || len(answer.GetResults()) != 1 {
		running.ambiguous = true
		d.retry(running)
		return
	}
	result := answer.GetResults()[0]
	switch result.GetStatus() {
	case protocol.DirectoryStatus_DIRECTORY_OK:
		d.registered(running, done.peer, 0)
	case protocol.DirectoryStatus_DUPLICATE_ACTIVATION:
		d.found(running, result.GetCurrent())
	default:
		d.countRefusal(result.GetStatus())
		d.retry(running)
	}
}

// registered owns the session, at once when the answer came from its present holder.
func (d *Directory) registered(running *resolve, by *peer, claim uint64) {
	holder, _ := d.view.holder(running.key)
	if holder == by.member && d.peers[holder.Name] == by && !d.draining {
		d.own(running.session, running.program, running.sequence, true).claim = claim
		d.finish(running, d.ownerHere(running))
		return
	}
	session := d.own(running.session, running.program, running.sequence, false)
	session.claim = claim
	if d.draining {
		d.giveUp(session, YieldDrain, true)
		return
	}
	d.salvageSession(session)
	d.continueResolve(running.session)
}
