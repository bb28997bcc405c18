package directory

import (
	"slices"
	"time"

	"github.com/rosestand/rosestand/internal/dataplane/ring"
	"github.com/rosestand/rosestand/internal/protocol"
)

// entry is one registration held.
type entry struct {
	registration *protocol.Registration
	key          uint64
	// seen is the highest view version named with it; a view older than that cannot tell that the owner is gone.
	viewVersion uint64
}

// gain is what this node gained with one view and whose registrations are not complete.
type transfer struct {
	ranges  []ring.Range
	version uint64
	since   time.Time
	nextRequestAt   time.Time
	requestInterval time.Duration
	// waiting holds the incarnation of each front node whose word is needed and has not come.
	awaiting map[string]uint64
	// said holds the front nodes that have said complete.
	completed map[string]bool
	// everyone is true once the word of every front node is needed.
	awaitsAll bool
	// bound is how long the ranges may settle.
	timeout time.Duration
	// suspects are the former holders that are only suspected, by name.
	suspects map[string]uint64
}

// holds reports whether this node is the holder of the key by its view.
func (d *Directory) holds(key uint64) bool {
	holder, found := d.view.holder(key)
	return found && d.isSelf(holder)
}

// settling reports whether the key is in a range gained whose registrations may still be on their way.
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

// ServeRegister takes registrations as holder. It must be called only with authority.
func (d *Directory) ServeRegister(at Moment, request *protocol.RegisterSessionsRequest) (*protocol.RegisterSessionsResponse, []Command) {
	d.at = at
	response := &protocol.RegisterSessionsResponse{ViewVersion: d.view.Version, Incarnation: d.self.Incarnation}
	d.applyIndirectSuspicions(request.GetSuspects())
	d.contactReceived(request.GetFrom())
	for _, registration := range request.GetRegistrations() {
		result := d.register(registration, request.GetCause(), request.GetViewVersion())
		response.Results = append(response.Results, result)
	}
	if request.GetComplete() {
		d.completionReceived(request)
	}
	if request.GetResend() {
		d.reregister(request.GetFrom(), request.GetViewVersion(), request.GetSuspects())
	}
	d.dispatch()
	return response, d.takeCommands()
}

// register decides on one registration.
func (d *Directory) register(registration *protocol.Registration, cause protocol.RegistrationCause, senderVersion uint64) *protocol.RegistrationResult {
	key := ring.Key(registration.GetSession())
	result := &protocol.RegistrationResult{Session: registration.GetSession()}
	switch {
	case !d.holds(key):
		result.Status = protocol.DirectoryStatus_INCORRECT_PARTITION
	case senderVersion <= d.view.Version && !d.ownerIsMember(registration):
		result.Status = removedOwnerStatus(cause)
	default:
		result.Status, result.Current = d.decide(registration, cause, key, senderVersion)
	}
	return result
}

// goneOwnerStatus answers for an owner that the view no longer has: the former
// holder may forget it, the owner itself has to come back under a new incarnation.
func removedOwnerStatus(cause protocol.RegistrationCause) protocol.DirectoryStatus {
	if cause == protocol.RegistrationCause_CAUSE_HAND_OFF {
		return protocol.DirectoryStatus_DIRECTORY_OK
	}
	return protocol.DirectoryStatus_INCORRECT_PARTITION
}

func (d *Directory) decide(registration *protocol.Registration, cause protocol.RegistrationCause, key, senderVersion uint64) (protocol.DirectoryStatus, *protocol.Registration) {
	held := d.partition[registration.GetSession()]
	if held == nil {
		first := cause == protocol.RegistrationCause_CAUSE_NEW
		if first && (d.isTransferring(key) || senderVersion > d.view.Version) {
			return protocol.DirectoryStatus_DIRECTORY_SETTLING, nil
		}
		d.partition[registration.GetSession()] = &entry{registration: registration, key: key, viewVersion: senderVersion}
		return protocol.DirectoryStatus_DIRECTORY_OK, nil
	}
	held.viewVersion = max(held.viewVersion, senderVersion)
	if held.registration.GetOwner() == registration.GetOwner() {
		if isNewer(registration, held.registration) {
			held.registration = registration
		}
		return protocol.DirectoryStatus_DIRECTORY_OK, nil
	}
	if d.outranks(registration, held.registration) {
		d.displace(displacement{registration: held.registration, viewVersion: held.viewVersion})
		held.registration = registration
		return protocol.DirectoryStatus_DIRECTORY_OK, nil
	}
	if d.policy.HigherViewVersion && registration.GetViewVersion() > held.registration.GetViewVersion() {
		d.displace(displacement{registration: held.registration, viewVersion: held.viewVersion})
		held.registration = registration
		return protocol.DirectoryStatus_DIRECTORY_OK, nil
	}
	return protocol.DirectoryStatus_DUPLICATE_ACTIVATION, held.registration
}

// outranks reports whether a registration stays against one held of another
// owner: because that one is lost, or because this one took the session over later.
func (d *Directory) outranks(registration, held *protocol.Registration) bool {
	return d.isClaimable(held, nil) || registration.GetClaim() > held.GetClaim()
}

// isNewer orders registrations of one owner.
func isNewer(registration, held *protocol.Registration) bool {
	if registration.GetOwnerIncarnation() != held.GetOwnerIncarnation() {
		return registration.GetOwnerIncarnation() > held.GetOwnerIncarnation()
	}
	return registration.GetSequence() >= held.GetSequence()
}

func (d *Directory) ownerInView(registration *protocol.Registration) bool {
	return d.view.Has(registration.GetOwner(), registration.GetOwnerIncarnation())
}

// ownerInBase reports whether the owner is in the membership, suspect or not.
func (d *Directory) ownerIsMember(registration *protocol.Registration) bool {
	return d.membership.Has(registration.GetOwner(), registration.GetOwnerIncarnation())
}

// displacement is a registration that lost a tie on the view version.
type displacement struct {
	registration *protocol.Registration
	viewVersion         uint64
}

// displace tells an owner that it lost a tie on the view version. An owner that
// is ahead of this node's view is told once the view has it.
func (d *Directory) displace(lost displacement) {
	owner := lost.registration.GetOwner()
	switch {
	case owner == d.self.Name:
		d.displacementReceived(lost.registration)
	case d.ownerIsMember(lost.registration):
		peer := d.peer(d.membership.byName[owner].Member)
		peer.displaced = append(peer.displaced, lost.registration)
		d.schedule(peer)
	case lost.viewVersion > d.view.Version:
		d.pendingDisplacements = append(d.pendingDisplacements, lost)
	}
}

// tellDisplaced tries again to tell owners that the view did not have.
func (d *Directory) notifyDisplaced() {
	untold := d.pendingDisplacements
	d.pendingDisplacements = nil
	for _, lost := range untold {
		d.displace(lost)
	}
}

// ServeUnregister withdraws registrations as holder, and gives sessions up that name this node as their owner.
func (d *Directory) ServeUnregister(at Moment, request *protocol.UnregisterSessionsRequest) (*protocol.UnregisterSessionsResponse, []Command) {
	d.at = at
	response := &protocol.UnregisterSessionsResponse{ViewVersion: d.view.Version, Incarnation: d.self.Incarnation}
	for _, registration := range request.GetRegistrations() {
		response.Results = append(response.Results, d.unregister(registration))
	}
	d.dispatch()
	return response, d.takeCommands()
}

func (d *Directory) unregister(registration *protocol.Registration) *protocol.RegistrationResult {
	result := &protocol.RegistrationResult{Session: registration.GetSession(), Status: protocol.DirectoryStatus_DIRECTORY_OK}
	if registration.GetOwner() == d.self.Name {
		d.displacementReceived(registration)
		return result
	}
	if !d.holds(ring.Key(registration.GetSession())) {
		result.Status = protocol.DirectoryStatus_INCORRECT_PARTITION
		return result
	}
	d.withdraw(registration)
	return result
}

// withdraw removes a registration of the same owner and incarnation that is not newer than the withdrawal.
func (d *Directory) withdraw(registration *protocol.Registration) {
	held := d.partition[registration.GetSession()]
	if held == nil || held.registration.GetOwner() != registration.GetOwner() {
		return
	}
	if isNewer(registration, held.registration) {
		delete(d.partition, registration.GetSession())
	}
}

// dropGoneOwners removes registrations of nodes that the view no longer has.
func (d *Directory) dropRemovedOwners() {
	for name, held := range d.partition {
		if held.viewVersion <= d.view.Version && !d.ownerIsMember(held.registration) {
			delete(d.partition, name)
		}
	}
}

// updateGains begins to settle what this node gained, and stops waiting for nodes that left.
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
			// A former holder may have gone before it handed everything off.
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

// newGain waits for the former holders as long as they live, since each hands
// off all that it held; for a range whose holder was lost it waits for every owner.
func (d *Directory) newTransfer(gained []ring.Change) *transfer {
	made := &transfer{
		version: d.view.Version, since: d.at.Now, awaiting: make(map[string]uint64), completed: make(map[string]bool),
		nextRequestAt: d.at.Now.Add(d.options.ReregistrationDelay), requestInterval: d.options.ReregistrationDelay,
		timeout: d.options.TransferTimeout, suspects: make(map[string]uint64),
	}
	onlySuspected := true
	for _, change := range gained {
		made.ranges = append(made.ranges, change.Range)
		if d.alive(change.From) {
			made.awaiting[change.From.Name] = change.From.Incarnation
			continue
		}
		d.awaitAll(made)
		if d.isSuspect(change.From.Name, change.From.Incarnation) {
			made.suspects[change.From.Name] = change.From.Incarnation
			// The others may not know yet that the holder cannot be reached.
			made.nextRequestAt = d.at.Now
		} else {
			onlySuspected = false
		}
	}
	if onlySuspected && len(made.suspects) > 0 {
		made.timeout = d.options.SuspectTransferTimeout
	}
	return made
}

// dropTrustedGains ends the gains from suspects that turned out to be there.
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

// covers reports whether a node that says complete knows that the suspects of a gain cannot be reached.
func (d *Directory) covers(request *protocol.RegisterSessionsRequest, each *transfer) bool {
	for name, incarnation := range each.suspects {
		if d.membership.Has(name, incarnation) && !containsSuspect(request.GetSuspects(), name, incarnation) {
			return false
		}
	}
	return true
}

// waitForEveryone widens a gain to all front nodes of the view that have not said complete. Those that have owned
// nothing have nothing to say: when a whole fleet returns, no node waits for each other one.
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

// completed notes that a node has nothing more to register for the view version.
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
	kept := d.transfers[:0]
	for _, each := range d.transfers {
		if len(each.awaiting) > 0 {
			kept = append(kept, each)
			continue
		}
		d.emit(TransferCompleted{Took: d.at.Now.Sub(each.since)})
	}
	clear(d.transfers[len(kept):])
	d.transfers = kept
}

// askForCompletion asks the nodes that a gain still waits for to register again
// what they own here. It covers a node that saw no change of hands because it
// skipped a view, and goes on after the bound until each has answered or left.
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

// handOffLost passes registrations on that this node no longer holds.
func (d *Directory) handOffLost() {
	for _, name := range sortedKeys(d.partition) {
		held := d.partition[name]
		if d.holds(held.key) {
			continue
		}
		delete(d.partition, name)
		if held.registration.GetOwner() != d.self.Name {
			d.handOff[name] = &item{session: name, key: held.key, registration: held.registration, since: d.at.Now}
		}
	}
}
