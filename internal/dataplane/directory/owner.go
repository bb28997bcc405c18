package directory

import (
	"github.com/rosestand/rosestand/internal/dataplane/ring"
	"github.com/rosestand/rosestand/internal/failure"
	"github.com/rosestand/rosestand/internal/protocol"
)

// ownedSession is a session that this node owns.
type ownedSession struct {
	name    string
	program string
	key     uint64
	// confirmed is true once a holder took the registration under the present incarnation.
	confirmed bool
	grants    int
	// leaving is why the session is being given up; empty while it is not.
	yieldReason    YieldReason
	unregister bool
	// version is the view version under which the session was taken in.
	version  uint64
	sequence uint64
	// claim is that of the registration; zero when the session was not taken over.
	claim uint64
}

// own takes a session in that was or is being registered under the sequence
// given. It is usable at once when its present holder confirmed the registration.
func (d *Directory) own(session, program string, sequence uint64, confirmed bool) *ownedSession {
	found := d.owned[session]
	if found == nil {
		found = &ownedSession{
			name: session, program: program, key: ring.Key(session),
			version: d.view.Version, sequence: sequence,
		}
		d.owned[session] = found
		d.hasOwned = true
	}
	found.confirmed = found.confirmed || confirmed
	d.cache.Remove(session)
	return found
}

func (d *Directory) nextSequence() uint64 {
	d.sequence++
	return d.sequence
}

func (d *Directory) registrationOf(session *ownedSession) *protocol.Registration {
	return &protocol.Registration{
		Session: session.name, Program: session.program, Owner: d.self.Name,
		OwnerIncarnation: d.self.Incarnation, ViewVersion: session.version, Sequence: session.sequence,
		Claim: session.claim,
	}
}

// Begin admits a turn or call of an owned session. The code is empty when it is
// admitted; GrantEnded must follow then. A session that somebody takes to be
// owned here although it is not has a stale registration, which is withdrawn.
func (d *Directory) Begin(at Moment, session string) (failure.Code, []Command) {
	d.at = at
	found := d.owned[session]
	switch {
	case !at.Authority:
		return failure.NoAuthority, nil
	case found == nil:
		if d.resolutions[session] == nil && d.withdrawals[session] == nil {
			d.withdrawOwn(session, "")
			d.dispatch()
		}
		return failure.NotOwner, d.takeCommands()
	case found.yieldReason != "":
		return failure.NotOwner, nil
	case !found.confirmed:
		return failure.NoAuthority, nil
	default:
		found.grants++
		return "", nil
	}
}

func (d *Directory) grantEnded(session string) {
	found := d.owned[session]
	if found == nil || found.grants == 0 {
		return
	}
	found.grants--
	if found.grants == 0 && found.yieldReason != "" {
		d.finishYield(found)
	}
}

// giveUp ends ownership of a session, after its last turn is settled.
func (d *Directory) yield(session *ownedSession, reason YieldReason, unregister bool) {
	if session.yieldReason == "" {
		session.yieldReason = reason
		session.unregister = unregister
	}
	session.unregister = session.unregister && unregister
	delete(d.salvage, session.name)
	if session.grants == 0 {
		d.finishYield(session)
	}
}

func (d *Directory) finishYield(session *ownedSession) {
	delete(d.owned, session.name)
	delete(d.salvage, session.name)
	if d.stats.Yields == nil {
		d.stats.Yields = make(map[YieldReason]uint64)
	}
	d.stats.Yields[session.yieldReason]++
	d.emit(Yielded{Session: session.name, Reason: session.yieldReason})
	if session.unregister {
		d.withdrawOwn(session.name, session.program)
	}
	d.continueResolve(session.name)
}

// displaced follows a notice that another node took this one's place as the owner.
func (d *Directory) displacementReceived(registration *protocol.Registration) {
	found := d.owned[registration.GetSession()]
	if found == nil || registration.GetOwnerIncarnation() != d.self.Incarnation || registration.GetSequence() < found.sequence {
		return
	}
	d.yield(found, YieldDisplaced, false)
}

// ownershipLost gives a session up that the ledger fenced; its registration, if there is one, is withdrawn.
func (d *Directory) ownershipLost(session string) {
	if found := d.owned[session]; found != nil {
		d.yield(found, YieldFenced, true)
	}
}

// withdrawOwn withdraws this node's registration of a session at its holder.
func (d *Directory) withdrawOwn(session, program string) {
	registration := &protocol.Registration{
		Session: session, Program: program, Owner: d.self.Name,
		OwnerIncarnation: d.self.Incarnation, ViewVersion: d.view.Version, Sequence: d.nextSequence(),
	}
	withdrawal := &item{session: session, key: ring.Key(session), registration: registration, since: d.at.Now}
	d.withdrawals[session] = withdrawal
	d.target(withdrawal)
}

func (d *Directory) drainBegun() {
	d.draining = true
	for _, name := range sortedKeys(d.owned) {
		d.yield(d.owned[name], YieldDrain, true)
	}
}

// Drained reports whether a draining node has given up its sessions and handed off its partition.
func (d *Directory) Drained() bool {
	if !d.draining || len(d.owned) > 0 {
		return false
	}
	if d.view.ring == nil || len(d.view.ring.Members()) == 0 {
		// Nobody is left to hand anything to.
		return true
	}
	if len(d.handOff)+len(d.withdrawals)+len(d.partition) > 0 {
		return false
	}
	for _, peer := range d.peers {
		if peer.pendingCompletion > 0 {
			return false
		}
	}
	front, found := d.view.byName[d.self.Name]
	return !found || front.Draining
}
