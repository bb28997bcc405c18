package directory

import (
	"slices"
	"time"

	"github.com/rosestand/rosestand/internal/dataplane/ring"
	"github.com/rosestand/rosestand/internal/protocol"
)

// transfer is the set of ranges that this node gained with one view and whose registrations are not complete yet.
type transfer struct {
	ranges          []ring.Range
	viewVersion     uint64
	since           time.Time
	nextRequestAt   time.Time
	requestInterval time.Duration
	// awaiting maps the names of the front nodes whose completion is still needed to their incarnations.
	awaiting map[string]uint64
	// completed is the set of front nodes whose completion has been received.
	completed map[string]bool
	// awaitsAll is true once the completion of every front node is needed.
	awaitsAll bool
	// timeout is how long the ranges may be transferring.
	timeout time.Duration
	// suspects maps the names of the former holders that are suspected but still members to their incarnations.
	suspects map[string]uint64
}

// isTransferring reports whether the key is in a gained range whose registrations may still be incomplete.
func (d *Directory) isTransferring(key uint64) bool {
	for _, t := range d.transfers {
		if d.moment.Now.Before(t.since.Add(t.timeout)) && t.contains(key) {
			return true
		}
	}
	return false
}

func (t *transfer) contains(key uint64) bool {
	return slices.ContainsFunc(t.ranges, func(gained ring.Range) bool { return gained.Contains(key) })
}

// updateTransfers starts a transfer for the ranges that this node gained, and stops awaiting nodes that have left the
// view.
func (d *Directory) updateTransfers(changes []ring.Change) {
	d.dropUnsuspectedTransfers()
	for _, t := range d.transfers {
		left := false
		for name, incarnation := range t.awaiting {
			if !d.view.Has(name, incarnation) {
				delete(t.awaiting, name)
				left = true
			}
		}
		if left {
			// A former holder may have left before it handed off all of its registrations.
			d.awaitAll(t)
		}
	}
	var gained []ring.Change
	for _, change := range changes {
		if change.To.Name != "" && d.isSelf(change.To) {
			gained = append(gained, change)
		}
	}
	if len(gained) > 0 {
		d.transfers = append(d.transfers, d.newTransfer(gained))
	}
	d.finishCompleteTransfers()
}

// newTransfer returns a transfer of the gained ranges. It awaits the former holders that are alive, since each hands
// off all of its registrations; for a range whose holder was lost it awaits every front node that may own sessions.
func (d *Directory) newTransfer(gained []ring.Change) *transfer {
	started := &transfer{
		viewVersion: d.view.Version, since: d.moment.Now, awaiting: make(map[string]uint64), completed: make(map[string]bool),
		nextRequestAt: d.moment.Now.Add(d.options.ReregistrationDelay), requestInterval: d.options.ReregistrationDelay,
		timeout: d.options.TransferTimeout, suspects: make(map[string]uint64),
	}
	onlySuspected := true
	for _, change := range gained {
		started.ranges = append(started.ranges, change.Range)
		if d.alive(change.From) {
			started.awaiting[change.From.Name] = change.From.Incarnation
			continue
		}
		d.awaitAll(started)
		if d.isSuspect(change.From.Name, change.From.Incarnation) {
			started.suspects[change.From.Name] = change.From.Incarnation
			// Other nodes may not have detected yet that the holder is unreachable.
			started.nextRequestAt = d.moment.Now
		} else {
			onlySuspected = false
		}
	}
	if onlySuspected && len(started.suspects) > 0 {
		started.timeout = d.options.SuspectTransferTimeout
	}
	return started
}

// dropUnsuspectedTransfers drops the transfers whose suspects are all trusted again.
func (d *Directory) dropUnsuspectedTransfers() {
	d.transfers = slices.DeleteFunc(d.transfers, func(t *transfer) bool {
		trusted := false
		for name, incarnation := range t.suspects {
			if d.membership.Has(name, incarnation) && !d.isSuspect(name, incarnation) {
				delete(t.suspects, name)
				trusted = true
			}
		}
		return trusted && len(t.suspects) == 0
	})
}

// covers reports whether a completion names all suspects of a transfer that are still members.
func (d *Directory) covers(request *protocol.RegisterSessionsRequest, t *transfer) bool {
	for name, incarnation := range t.suspects {
		if d.membership.Has(name, incarnation) && !containsSuspect(request.GetSuspects(), name, incarnation) {
			return false
		}
	}
	return true
}

// awaitAll makes a transfer await all front nodes of the view whose completion has not been received. Nodes with a
// fresh start have nothing to register and are not awaited, so that after a mass restart the nodes do not all wait for
// one another.
func (d *Directory) awaitAll(t *transfer) {
	if t.awaitsAll {
		return
	}
	t.awaitsAll = true
	for _, front := range d.view.fronts {
		if front.Name != d.self.Name && !front.FreshStart && !t.completed[front.Name] {
			t.awaiting[front.Name] = front.Incarnation
		}
	}
}

// handleCompletion records that a node has nothing more to register under the view version of the request.
func (d *Directory) handleCompletion(request *protocol.RegisterSessionsRequest) {
	for _, t := range d.transfers {
		if t.viewVersion > request.GetViewVersion() || !d.covers(request, t) {
			continue
		}
		delete(t.awaiting, request.GetFrom())
		t.completed[request.GetFrom()] = true
		if request.GetPartialKnowledge() && !t.awaitsAll {
			d.awaitAll(t)
			t.nextRequestAt = d.moment.Now
		}
	}
	d.finishCompleteTransfers()
}

func (d *Directory) finishCompleteTransfers() {
	incomplete := d.transfers[:0]
	for _, t := range d.transfers {
		if len(t.awaiting) > 0 {
			incomplete = append(incomplete, t)
			continue
		}
		d.emit(TransferCompleted{Took: d.moment.Now.Sub(t.since)})
	}
	clear(d.transfers[len(incomplete):])
	d.transfers = incomplete
}

// requestReregistrations requests that the nodes which a transfer awaits register their sessions again. This covers a
// node that saw no change of holders because it skipped a view. The requests are repeated, even after the transfer's
// timeout, until each node has sent its completion or left.
func (d *Directory) requestReregistrations() {
	for _, t := range d.transfers {
		if d.moment.Now.Before(t.nextRequestAt) {
			continue
		}
		t.requestInterval = min(2*t.requestInterval, maxReregistrationDelay)
		t.nextRequestAt = d.moment.Now.Add(d.jitter(t.requestInterval))
		for _, name := range sortedKeys(t.awaiting) {
			if front, found := d.view.byName[name]; found {
				awaitedPeer := d.peer(front.Member)
				awaitedPeer.needsReregistrationRequest = true
				d.schedule(awaitedPeer)
			}
		}
	}
}

// handOffLost queues the registrations in ranges that this node no longer holds for their new holders.
func (d *Directory) handOffLost() {
	for _, name := range sortedKeys(d.partition) {
		current := d.partition[name]
		if d.holds(current.key) {
			continue
		}
		delete(d.partition, name)
		if current.registration.GetOwner() != d.self.Name {
			d.handOff[name] = &pendingUpdate{
				session: name, key: current.key, registration: current.registration, since: d.moment.Now,
			}
		}
	}
}
