package directory

import (
	"slices"
	"time"

	"github.com/rosestand/rosestand/internal/dataplane/ring"
	"github.com/rosestand/rosestand/internal/protocol"
)

// transfer is the ranges that this node gained with one view and whose registrations are not complete.
type transfer struct {
	ranges          []ring.Range
	version         uint64
	since           time.Time
	nextRequestAt   time.Time
	requestInterval time.Duration
	// awaiting are the incarnations of the front nodes, by name, whose completion is needed and has not been received.
	awaiting map[string]uint64
	// completed are the front nodes whose completion was received.
	completed map[string]bool
	// awaitsAll is true once the completion of every front node is needed.
	awaitsAll bool
	// timeout is how long the ranges may be transferring.
	timeout time.Duration
	// suspects are the incarnations of the former holders, by name, that are suspected but not removed.
	suspects map[string]uint64
}

// isTransferring reports whether the key is in a range whose registrations may still be in flight.
func (d *Directory) isTransferring(key uint64) bool {
	for _, each := range d.transfers {
		if d.at.Now.Before(each.since.Add(each.timeout)) && each.contains(key) {
			return true
		}
	}
	return false
}

func (g *transfer) contains(key uint64) bool {
	return slices.ContainsFunc(g.ranges, func(each ring.Range) bool { return each.Contains(key) })
}

// updateTransfers begins a transfer of what this node gained, and no longer awaits nodes that left.
func (d *Directory) updateTransfers(changes []ring.Change) {
	d.dropUnsuspectedTransfers()
	for _, each := range d.transfers {
		left := false
		for name, incarnation := range each.awaiting {
			if !d.view.Has(name, incarnation) {
				delete(each.awaiting, name)
				left = true
			}
		}
		if left {
			// A former holder may have left before it handed everything off.
			d.awaitAll(each)
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

// newTransfer awaits the former holders that are alive, since each hands
// off all its registrations; for a range whose holder was lost it awaits every owner.
func (d *Directory) newTransfer(gained []ring.Change) *transfer {
	started := &transfer{
		version: d.view.Version, since: d.at.Now, awaiting: make(map[string]uint64), completed: make(map[string]bool),
		nextRequestAt: d.at.Now.Add(d.options.ReregistrationDelay), requestInterval: d.options.ReregistrationDelay,
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
			// The others may not know yet that the holder cannot be reached.
			started.nextRequestAt = d.at.Now
		} else {
			onlySuspected = false
		}
	}
	if onlySuspected && len(started.suspects) > 0 {
		started.timeout = d.options.SuspectTransferTimeout
	}
	return started
}

// dropUnsuspectedTransfers ends the transfers from suspects that are trusted again.
func (d *Directory) dropUnsuspectedTransfers() {
	d.transfers = slices.DeleteFunc(d.transfers, func(each *transfer) bool {
		trusted := false
		for name, incarnation := range each.suspects {
			if d.membership.Has(name, incarnation) && !d.isSuspect(name, incarnation) {
				delete(each.suspects, name)
				trusted = true
			}
		}
		return trusted && len(each.suspects) == 0
	})
}

// covers reports whether the sender of a completion suspects the suspects of a transfer, too.
func (d *Directory) covers(request *protocol.RegisterSessionsRequest, each *transfer) bool {
	for name, incarnation := range each.suspects {
		if d.membership.Has(name, incarnation) && !containsSuspect(request.GetSuspects(), name, incarnation) {
			return false
		}
	}
	return true
}

// awaitAll extends a transfer to all front nodes of the view whose completion was not received. Nodes with a fresh
// start have nothing to register: after a mass restart, no node waits for each other one.
func (d *Directory) awaitAll(each *transfer) {
	if each.awaitsAll {
		return
	}
	each.awaitsAll = true
	for _, front := range d.view.fronts {
		if front.Name != d.self.Name && !front.FreshStart && !each.completed[front.Name] {
			each.awaiting[front.Name] = front.Incarnation
		}
	}
}

// completionReceived records that a node has nothing more to register for the view version.
func (d *Directory) completionReceived(request *protocol.RegisterSessionsRequest) {
	for _, each := range d.transfers {
		if each.version > request.GetViewVersion() || !d.covers(request, each) {
			continue
		}
		delete(each.awaiting, request.GetFrom())
		each.completed[request.GetFrom()] = true
		if request.GetPartialKnowledge() && !each.awaitsAll {
			d.awaitAll(each)
			each.nextRequestAt = d.at.Now
		}
	}
	d.finishCompleteTransfers()
}

func (d *Directory) finishCompleteTransfers() {
	incomplete := d.transfers[:0]
	for _, each := range d.transfers {
		if len(each.awaiting) > 0 {
			incomplete = append(incomplete, each)
			continue
		}
		d.emit(TransferCompleted{Took: d.at.Now.Sub(each.since)})
	}
	clear(d.transfers[len(incomplete):])
	d.transfers = incomplete
}

// requestReregistrations has the nodes that a transfer awaits register again
// what they own here. It covers a node that saw no change of holders because it
// skipped a view, and continues after the timeout until each has answered or left.
func (d *Directory) requestReregistrations() {
	for _, each := range d.transfers {
		if d.at.Now.Before(each.nextRequestAt) {
			continue
		}
		each.requestInterval = min(2*each.requestInterval, maxReregistrationDelay)
		each.nextRequestAt = d.at.Now.Add(d.jitter(each.requestInterval))
		for _, name := range sortedKeys(each.awaiting) {
			if front, found := d.view.byName[name]; found {
				waitedFor := d.peer(front.Member)
				waitedFor.needsReregistrationRequest = true
				d.schedule(waitedFor)
			}
		}
	}
}

// handOffLost queues the registrations in ranges that this node lost for their new holders.
func (d *Directory) handOffLost() {
	for _, name := range sortedKeys(d.partition) {
		current := d.partition[name]
		if d.holds(current.key) {
			continue
		}
		delete(d.partition, name)
		if current.registration.GetOwner() != d.self.Name {
			d.handOff[name] = &item{session: name, key: current.key, registration: current.registration, since: d.at.Now}
		}
	}
}
