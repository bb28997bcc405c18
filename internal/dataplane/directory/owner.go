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
	// confirmed is true once a holder accepted the registration under the current incarnation.
	confirmed bool
	// grants is the number of turns and calls in flight.
	grants int
	// yieldReason is why the session is being yielded; empty otherwise.
	yieldReason YieldReason
	// unregister is true when the registration is to be withdrawn once the session is yielded.
	unregister bool
	// viewVersion is the view version under which this node became the owner.
	viewVersion uint64
	sequence    uint64
	// claim is the claim of the registration; 0 when the session was not taken over.
	claim uint64
}

// addOwnedSession adds a session that is registered, or being registered, with the given sequence number. Turns may
// begin at once when its current holder has confirmed the registration.
func (d *Directory) addOwnedSession(session, program string, sequence uint64, confirmed bool) *ownedSession {
	owned := d.owned[session]
	if owned == nil {
		owned = &ownedSession{
			name: session, program: program, key: ring.Key(session),
			viewVersion: d.view.Version, sequence: sequence,
		}
		d.owned[session] = owned
		d.hasOwned = true
	}
	owned.confirmed = owned.confirmed || confirmed
	d.cache.Remove(session)
	return owned
}

func (d *Directory) nextSequence() uint64 {
	d.sequence++
	return d.sequence
}

func (d *Directory) registrationOf(session *ownedSession) *protocol.Registration {
	return &protocol.Registration{
		Session: session.name, Program: session.program, Owner: d.self.Name,
		OwnerIncarnation: d.self.Incarnation, ViewVersion: session.viewVersion, Sequence: session.sequence,
		Claim: session.claim,
	}
}

// Begin admits a turn or call of an owned session. When it does, the code is empty and a GrantEnded event must follow;
// otherwise the code is NotOwner or NoAuthority. A request for a session that this node does not own shows a stale
// registration, which is withdrawn.
func (d *Directory) Begin(moment Moment, session string) (failure.Code, []Command) {
	d.moment = moment
	owned := d.owned[session]
	switch {
	case !moment.Authority:
		return failure.NoAuthority, nil
	case owned == nil:
		if d.resolutions[session] == nil && d.withdrawals[session] == nil {
			d.withdrawOwn(session, "")
			d.dispatch()
		}
		return failure.NotOwner, d.takeCommands()
	case owned.yieldReason != "":
		return failure.NotOwner, nil
	case !owned.confirmed:
		return failure.NoAuthority, nil
	default:
		owned.grants++
		return "", nil
	}
}

func (d *Directory) handleGrantEnded(session string) {
	owned := d.owned[session]
	if owned == nil || owned.grants == 0 {
		return
	}
	owned.grants--
	if owned.grants == 0 && owned.yieldReason != "" {
		d.finishYield(owned)
	}
}

// yield gives up a session; its ownership ends once its last turn is committed.
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

// handleDisplacement yields a session that another node now owns, unless this node has registered it again since.
func (d *Directory) handleDisplacement(registration *protocol.Registration) {
	owned := d.owned[registration.GetSession()]
	if owned == nil || registration.GetOwnerIncarnation() != d.self.Incarnation {
		return
	}
	if registration.GetSequence() < owned.sequence {
		return
	}
	d.yield(owned, YieldDisplaced, false)
}

// handleOwnershipLost yields a session whose epoch the ledger rejected, and withdraws its registration.
func (d *Directory) handleOwnershipLost(session string) {
	if owned := d.owned[session]; owned != nil {
		d.yield(owned, YieldFenced, true)
	}
}

// withdrawOwn withdraws this node's registration of a session from the holder.
func (d *Directory) withdrawOwn(session, program string) {
	registration := &protocol.Registration{
		Session: session, Program: program, Owner: d.self.Name,
		OwnerIncarnation: d.self.Incarnation, ViewVersion: d.view.Version, Sequence: d.nextSequence(),
	}
	withdrawal := &pendingUpdate{session: session, key: ring.Key(session), registration: registration, since: d.moment.Now}
	d.withdrawals[session] = withdrawal
	d.enqueue(withdrawal)
}

func (d *Directory) handleDrainBegun() {
	d.draining = true
	for _, name := range sortedKeys(d.owned) {
		d.yield(d.owned[name], YieldDrain, true)
	}
}

// Drained reports whether this node is draining and has yielded its sessions and handed off its partition.
func (d *Directory) Drained() bool {
	if !d.draining || len(d.owned) > 0 {
		return false
	}
	if d.view.ring == nil || len(d.view.ring.Members()) == 0 {
		// There is no other node to hand anything off to.
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
	front, owned := d.view.byName[d.self.Name]
	return !owned || front.Draining
}
