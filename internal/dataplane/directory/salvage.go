package directory

import (
	"time"

	"github.com/rosestand/rosestand/internal/protocol"
)

// pendingUpdate is a registration or withdrawal to be applied by a holder. It stays on its list until the current
// holder accepts or rejects it.
type pendingUpdate struct {
	session      string
	key          uint64
	registration *protocol.Registration
	since        time.Time
	target       *peer
	// call is the number of the call that carries the update; 0 while it is queued.
	call uint64
}

// salvageReassigned puts the owned sessions whose holder changed on the salvage list. Under the end-sessions policy,
// those whose holder was lost are yielded instead.
func (d *Directory) salvageReassigned(former View) {
	for _, name := range sortedKeys(d.owned) {
		session := d.owned[name]
		before, hadHolder := former.holder(session.key)
		after, _ := d.view.holder(session.key)
		if session.yieldReason != "" || before == after {
			continue
		}
		lost := hadHolder && !d.view.Has(before.Name, before.Incarnation)
		if d.policy.EndSessions && lost {
			d.yield(session, YieldEnded, false)
			continue
		}
		d.salvageSession(session)
	}
}

func (d *Directory) salvageSession(session *ownedSession) {
	if d.salvage[session.name] == nil {
		d.salvage[session.name] = &pendingUpdate{session: session.name, key: session.key, since: d.moment.Now}
	}
	pending := d.salvage[session.name]
	pending.registration = d.registrationOf(session)
	d.enqueue(pending)
}

// requeueReassigned queues the updates whose holder changed for the new holder.
func (d *Directory) requeueReassigned() {
	for _, list := range []map[string]*pendingUpdate{d.salvage, d.handOff, d.withdrawals} {
		for _, name := range sortedKeys(list) {
			pending := list[name]
			if pending == nil {
				continue
			}
			holder, found := d.view.holder(pending.key)
			if !found || pending.target == nil || pending.target.member != holder || d.peers[holder.Name] != pending.target {
				d.enqueue(pending)
			}
		}
	}
}

// enqueue queues an update for the current holder of its key, or completes it locally when that is this node.
func (d *Directory) enqueue(pending *pendingUpdate) {
	pending.call = 0
	pending.target = nil
	holder, found := d.view.holder(pending.key)
	if !found {
		return
	}
	if d.isSelf(holder) {
		d.completeLocally(pending)
		return
	}
	if holder.Name == d.self.Name {
		// The view has an earlier incarnation of this node; the update is queued again under the next view.
		return
	}
	pending.target = d.peer(holder)
	pending.target.queue = append(pending.target.queue, pending)
	d.schedule(pending.target)
}

// completeLocally applies an update as holder.
func (d *Directory) completeLocally(pending *pendingUpdate) {
	switch {
	case d.withdrawals[pending.session] == pending:
		d.withdraw(pending.registration)
		d.completeWithdrawal(pending)
	case d.salvage[pending.session] == pending:
		result := d.register(pending.registration, protocol.RegistrationCause_CAUSE_SALVAGE, d.view.Version)
		if result.GetStatus() == protocol.DirectoryStatus_INCORRECT_PARTITION {
			// This node's incarnation is not in the view yet; a later view will have it.
			return
		}
		d.completeSalvage(pending, result)
	case d.handOff[pending.session] == pending:
		d.register(pending.registration, protocol.RegistrationCause_CAUSE_HAND_OFF, d.view.Version)
		delete(d.handOff, pending.session)
	}
}

// isCurrent reports whether the update is still on its list and addressed to the peer.
func (d *Directory) isCurrent(pending *pendingUpdate, to *peer) bool {
	if pending.target != to {
		return false
	}
	session := pending.session
	return d.salvage[session] == pending || d.handOff[session] == pending || d.withdrawals[session] == pending
}

// reregister serves a holder's request for reregistration: all sessions owned in its ranges are registered again. The
// suspects are those from which the holder has gained ranges.
func (d *Directory) reregister(from string, version uint64, suspects []*protocol.Suspect) {
	front, found := d.view.byName[from]
	if !found || d.view.Version < version {
		return
	}
	for _, name := range sortedKeys(d.owned) {
		session := d.owned[name]
		holder, _ := d.view.holder(session.key)
		if holder == front.Member && session.yieldReason == "" && d.salvage[name] == nil {
			d.salvageSession(session)
		}
	}
	holder := d.peer(front.Member)
	holder.transferSuspects = suspects
	if !d.suspectsAll(suspects) {
		// The holder awaits a completion that names these suspects; it is sent once this node suspects them, too.
		return
	}
	d.markCompletionPending(holder)
}
