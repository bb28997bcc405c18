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
	seen uint64
}

// gain is what this node gained with one view and whose registrations are not complete.
type gain struct {
	ranges  []ring.Range
	version uint64
	since   time.Time
	askAt   time.Time
	askWait time.Duration
	// waiting holds the incarnation of each front node whose word is needed and has not come.
	waiting map[string]uint64
	// said holds the front nodes that have said complete.
	said map[string]bool
	// everyone is true once the word of every front node is needed.
	everyone bool
	// bound is how long the ranges may settle.
	bound time.Duration
	// suspects are the former holders that are only suspected, by name.
	suspects map[string]uint64
}

// holds reports whether this node is the holder of the key by its view.
func (d *Directory) holds(key uint64) bool {
	holder, found := d.view.holder(key)
	return found && d.isSelf(holder)
}

// settling reports whether the key is in a range gained whose registrations may still be on their way.
func (d *Directory) settling(key uint64) bool {
	for _, each := range d.gains {
		if d.at.Now.Before(each.since.Add(each.bound)) && each.contains(key) {
			return true
		}
	}
	return false
}

func (g *gain) contains(key uint64) bool {
	return slices.ContainsFunc(g.ranges, func(each ring.Range) bool { return each.Contains(key) })
}

// ServeRegister takes registrations as holder. It must be called only with authority.
func (d *Directory) ServeRegister(at Moment, request *protocol.RegisterSessionsRequest) (*protocol.RegisterSessionsResponse, []Command) {
	d.at = at
	response := &protocol.RegisterSessionsResponse{ViewVersion: d.view.Version, Incarnation: d.self.Incarnation}
	d.hearsay(request.GetSuspects())
	d.heard(request.GetFrom())
	for _, registration := range request.GetRegistrations() {
		result := d.register(registration, request.GetCause(), request.GetViewVersion())
		response.Results = append(response.Results, result)
	}
	if request.GetComplete() {
		d.completed(request)
	}
	if request.GetResend() {
		d.resend(request.GetFrom(), request.GetViewVersion(), request.GetSuspects())
	}
	d.pump()
	return response, d.takeCommands()
}

// register decides on one registration.
func (d *Directory) register(registration *protocol.Registration, cause protocol.RegistrationCause, senderVersion uint64) *protocol.RegistrationResult {
	key := ring.Key(registration.GetSession())
	result := &protocol.RegistrationResult{Session: registration.GetSession()}
	switch {
	case !d.holds(key):
		result.Status = protocol.DirectoryStatus_INCORRECT_PARTITION
	case senderVersion <= d.view.Version && !d.ownerInBase(registration):
		result.Status = goneOwnerStatus(cause)
	default:
		result.Status, result.Current = d.decide(registration, cause, key, senderVersion)
	}
	return result
}

// goneOwnerStatus answers for an owner that the view no longer has: the former
// holder may forget it, the owner itself has to come back under a new incarnation.
func goneOwnerStatus(cause protocol.RegistrationCause) protocol.DirectoryStatus {
	if cause == protocol.RegistrationCause_CAUSE_HAND_OFF {
		return protocol.DirectoryStatus_DIRECTORY_OK
	}
	return protocol.DirectoryStatus_INCORRECT_PARTITION
}

func (d *Directory) decide(registration *protocol.Registration, cause protocol.RegistrationCause, key, senderVersion uint64) (protocol.DirectoryStatus, *protocol.Registration) {
	held := d.partition[registration.GetSession()]
	if held == nil {
		first := cause == protocol.RegistrationCause_CAUSE_NEW
		if first && (d.settling(key) || senderVersion > d.view.Version) {
			return protocol.DirectoryStatus_DIRECTORY_SETTLING, nil
		}
		d.partition[registration.GetSession()] = &entry{registration: registration, key: key, seen: senderVersion}
		return protocol.DirectoryStatus_DIRECTORY_OK, nil
	}
	held.seen = max(held.seen, senderVersion)
	if held.registration.GetOwner() == registration.GetOwner() {
		if isNewer(registration, held.registration) {
			held.registration = registration
		}
		return protocol.DirectoryStatus_DIRECTORY_OK, nil
	}
	if d.outranks(registration, held.registration) {
		d.displace(displacement{registration: held.registration, seen: held.seen})
		held.registration = registration
		return protocol.DirectoryStatus_DIRECTORY_OK, nil
	}
	if d.policy.HigherViewVersion && registration.GetViewVersion() > held.registration.GetViewVersion() {
		d.displace(displacement{registration: held.registration, seen: held.seen})
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
func (d *Directory) ownerInBase(registration *protocol.Registration) bool {
	return d.base.Has(registration.GetOwner(), registration.GetOwnerIncarnation())
}

// displacement is a registration that lost a tie on the view version.
type displacement struct {
	registration *protocol.Registration
	seen         uint64
}

// displace tells an owner that it lost a tie on the view version. An owner that
// is ahead of this node's view is told once the view has it.
func (d *Directory) displace(lost displacement) {
	owner := lost.registration.GetOwner()
	switch {
	case owner == d.self.Name:
		d.displaced(lost.registration)
	case d.ownerInBase(lost.registration):
		peer := d.peer(d.base.byName[owner].Member)
		peer.displaced = append(peer.displaced, lost.registration)
		d.wake(peer)
	case lost.seen > d.view.Version:
		d.untold = append(d.untold, lost)
	}
}

// tellDisplaced tries again to tell owners that the view did not have.
func (d *Directory) tellDisplaced() {
	untold := d.untold
	d.untold = nil
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
	d.pump()
	return response, d.takeCommands()
}

func (d *Directory) unregister(registration *protocol.Registration) *protocol.RegistrationResult {
	result := &protocol.RegistrationResult{Session: registration.GetSession(), Status: protocol.DirectoryStatus_DIRECTORY_OK}
	if registration.GetOwner() == d.self.Name {
		d.displaced(registration)
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
func (d *Directory) dropGoneOwners() {
	for name, held := range d.partition {
		if held.seen <= d.view.Version && !d.ownerInBase(held.registration) {
			delete(d.partition, name)
		}
	}
}

// updateGains begins to settle what this node gained, and stops waiting for nodes that left.
func (d *Directory) updateGains(changes []ring.Change) {
	d.dropTrustedGains()
	for _, each := range d.gains {
		left := false
		for name, incarnation := range each.waiting {
			if !d.view.Has(name, incarnation) {
				delete(each.waiting, name)
				left = true
			}
		}
		if left {
			// A former holder may have gone before it handed everything off.
			d.waitForEveryone(each)
		}
	}
	var gained []ring.Change
	for _, change := range changes {
		if change.To.Name != "" && d.isSelf(change.To) {
			gained = append(gained, change)
		}
	}
	if len(gained) > 0 {
		d.gains = append(d.gains, d.newGain(gained))
	}
	d.dropCompleteGains()
}

// newGain waits for the former holders as long as they live, since each hands
// off all that it held; for a range whose holder was lost it waits for every owner.
func (d *Directory) newGain(gained []ring.Change) *gain {
	made := &gain{
		version: d.view.Version, since: d.at.Now, waiting: make(map[string]uint64), said: make(map[string]bool),
		askAt: d.at.Now.Add(d.options.ResendDelay), askWait: d.options.ResendDelay,
		bound: d.options.SettleBound, suspects: make(map[string]uint64),
	}
	onlySuspected := true
	for _, change := range gained {
		made.ranges = append(made.ranges, change.Range)
		if d.alive(change.From) {
			made.waiting[change.From.Name] = change.From.Incarnation
			continue
		}
		d.waitForEveryone(made)
		if d.isSuspect(change.From.Name, change.From.Incarnation) {
			made.suspects[change.From.Name] = change.From.Incarnation
			// The others may not know yet that the holder cannot be reached.
			made.askAt = d.at.Now
		} else {
			onlySuspected = false
		}
	}
	if onlySuspected && len(made.suspects) > 0 {
		made.bound = d.options.SuspicionBound
	}
	return made
}

// dropTrustedGains ends the gains from suspects that turned out to be there.
func (d *Directory) dropTrustedGains() {
	d.gains = slices.DeleteFunc(d.gains, func(each *gain) bool {
		trusted := false
		for name, incarnation := range each.suspects {
			if d.base.Has(name, incarnation) && !d.isSuspect(name, incarnation) {
				delete(each.suspects, name)
				trusted = true
			}
		}
		return trusted && len(each.suspects) == 0
	})
}

// covers reports whether a node that says complete knows that the suspects of a gain cannot be reached.
func (d *Directory) covers(request *protocol.RegisterSessionsRequest, each *gain) bool {
	for name, incarnation := range each.suspects {
		if d.base.Has(name, incarnation) && !names(request.GetSuspects(), name, incarnation) {
			return false
		}
	}
	return true
}

// waitForEveryone widens a gain to all front nodes of the view that have not said complete. Those that have owned
// nothing have nothing to say: when a whole fleet returns, no node waits for each other one.
func (d *Directory) waitForEveryone(each *gain) {
	if each.everyone {
		return
	}
	each.everyone = true
	for _, front := range d.view.fronts {
		if front.Name != d.self.Name && !front.OwnedNothing && !each.said[front.Name] {
			each.waiting[front.Name] = front.Incarnation
		}
	}
}

// completed notes that a node has nothing more to register for the view version.
func (d *Directory) completed(request *protocol.RegisterSessionsRequest) {
	for _, each := range d.gains {
		if each.version > request.GetViewVersion() || !d.covers(request, each) {
			continue
		}
		delete(each.waiting, request.GetFrom())
		each.said[request.GetFrom()] = true
		if request.GetPartialKnowledge() && !each.everyone {
			d.waitForEveryone(each)
			each.askAt = d.at.Now
		}
	}
	d.dropCompleteGains()
}

func (d *Directory) dropCompleteGains() {
	kept := d.gains[:0]
	for _, each := range d.gains {
		if len(each.waiting) > 0 {
			kept = append(kept, each)
			continue
		}
		d.emit(Settled{Took: d.at.Now.Sub(each.since)})
	}
	clear(d.gains[len(kept):])
	d.gains = kept
}

// askForCompletion asks the nodes that a gain still waits for to register again
// what they own here. It covers a node that saw no change of hands because it
// skipped a view, and goes on after the bound until each has answered or left.
func (d *Directory) askForCompletion() {
	for _, each := range d.gains {
		if d.at.Now.Before(each.askAt) {
			continue
		}
		each.askWait = min(2*each.askWait, longestResendDelay)
		each.askAt = d.at.Now.Add(d.jitter(each.askWait))
		for _, name := range sortedKeys(each.waiting) {
			if front, found := d.view.byName[name]; found {
				waitedFor := d.peer(front.Member)
				waitedFor.ask = true
				d.wake(waitedFor)
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
