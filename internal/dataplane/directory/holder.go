package directory

import (
	"github.com/rosestand/rosestand/internal/dataplane/ring"
	"github.com/rosestand/rosestand/internal/protocol"
)

// entry is one registration of this node's partition.
type entry struct {
	registration *protocol.Registration
	key          uint64
	// viewVersion is the highest view version that was named with it; an older view cannot show that the owner was
	// removed.
	viewVersion uint64
}

// holds reports whether this node is the holder of the key in its view.
func (d *Directory) holds(key uint64) bool {
	holder, found := d.view.holder(key)
	return found && d.isSelf(holder)
}

// ServeRegister decides on registrations as holder. It must be called only with authority.
func (d *Directory) ServeRegister(
	at Moment, request *protocol.RegisterSessionsRequest,
) (*protocol.RegisterSessionsResponse, []Command) {
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

// register checks that this node may decide on a registration, and decides.
func (d *Directory) register(
	registration *protocol.Registration, cause protocol.RegistrationCause, senderVersion uint64,
) *protocol.RegistrationResult {
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

// removedOwnerStatus answers for an owner that was removed from the view: the former
// holder may drop the registration, and the owner itself must return under a new incarnation.
func removedOwnerStatus(cause protocol.RegistrationCause) protocol.DirectoryStatus {
	if cause == protocol.RegistrationCause_CAUSE_HAND_OFF {
		return protocol.DirectoryStatus_DIRECTORY_OK
	}
	return protocol.DirectoryStatus_INCORRECT_PARTITION
}

// decide accepts a registration, or answers DUPLICATE_ACTIVATION with the current one of another owner.
func (d *Directory) decide(
	registration *protocol.Registration, cause protocol.RegistrationCause, key, senderVersion uint64,
) (protocol.DirectoryStatus, *protocol.Registration) {
	current := d.partition[registration.GetSession()]
	if current == nil {
		first := cause == protocol.RegistrationCause_CAUSE_NEW
		if first && (d.isTransferring(key) || senderVersion > d.view.Version) {
			return protocol.DirectoryStatus_DIRECTORY_SETTLING, nil
		}
		d.partition[registration.GetSession()] = &entry{registration: registration, key: key, viewVersion: senderVersion}
		return protocol.DirectoryStatus_DIRECTORY_OK, nil
	}
	current.viewVersion = max(current.viewVersion, senderVersion)
	if current.registration.GetOwner() == registration.GetOwner() {
		if isNewer(registration, current.registration) {
			current.registration = registration
		}
		return protocol.DirectoryStatus_DIRECTORY_OK, nil
	}
	if d.outranks(registration, current.registration) {
		d.displace(displacement{registration: current.registration, viewVersion: current.viewVersion})
		current.registration = registration
		return protocol.DirectoryStatus_DIRECTORY_OK, nil
	}
	return protocol.DirectoryStatus_DUPLICATE_ACTIVATION, current.registration
}

// outranks reports whether a registration replaces the current one of another
// owner: because that owner is lost, because this one took the session over later, or by the policy's view versions.
func (d *Directory) outranks(registration, current *protocol.Registration) bool {
	if d.isClaimable(current, nil) || registration.GetClaim() > current.GetClaim() {
		return true
	}
	return d.policy.HigherViewVersion && registration.GetViewVersion() > current.GetViewVersion()
}

// isNewer orders registrations of one owner; an equal one counts as newer.
func isNewer(registration, current *protocol.Registration) bool {
	if registration.GetOwnerIncarnation() != current.GetOwnerIncarnation() {
		return registration.GetOwnerIncarnation() > current.GetOwnerIncarnation()
	}
	return registration.GetSequence() >= current.GetSequence()
}

func (d *Directory) ownerInView(registration *protocol.Registration) bool {
	return d.view.Has(registration.GetOwner(), registration.GetOwnerIncarnation())
}

// ownerIsMember reports whether the owner is in the membership, suspected or not.
func (d *Directory) ownerIsMember(registration *protocol.Registration) bool {
	return d.membership.Has(registration.GetOwner(), registration.GetOwnerIncarnation())
}

// displacement is a registration that lost a tie on the view version.
type displacement struct {
	registration *protocol.Registration
	viewVersion  uint64
}

// displace notifies an owner that it lost a tie on the view version. An owner that
// is ahead of this node's view is notified once the view has it.
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

// notifyDisplaced retries to notify owners that the membership did not have.
func (d *Directory) notifyDisplaced() {
	pending := d.pendingDisplacements
	d.pendingDisplacements = nil
	for _, lost := range pending {
		d.displace(lost)
	}
}

// ServeUnregister withdraws registrations as holder, and yields sessions whose registrations name this node as the
// owner.
func (d *Directory) ServeUnregister(
	at Moment, request *protocol.UnregisterSessionsRequest,
) (*protocol.UnregisterSessionsResponse, []Command) {
	d.at = at
	response := &protocol.UnregisterSessionsResponse{ViewVersion: d.view.Version, Incarnation: d.self.Incarnation}
	for _, registration := range request.GetRegistrations() {
		response.Results = append(response.Results, d.unregister(registration))
	}
	d.dispatch()
	return response, d.takeCommands()
}

func (d *Directory) unregister(registration *protocol.Registration) *protocol.RegistrationResult {
	result := &protocol.RegistrationResult{
		Session: registration.GetSession(), Status: protocol.DirectoryStatus_DIRECTORY_OK,
	}
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
	current := d.partition[registration.GetSession()]
	if current == nil || current.registration.GetOwner() != registration.GetOwner() {
		return
	}
	if isNewer(registration, current.registration) {
		delete(d.partition, registration.GetSession())
	}
}

// dropRemovedOwners removes registrations of nodes that the membership no longer has.
func (d *Directory) dropRemovedOwners() {
	for name, current := range d.partition {
		if current.viewVersion <= d.view.Version && !d.ownerIsMember(current.registration) {
			delete(d.partition, name)
		}
	}
}
