package directory

import (
	"github.com/rosestand/rosestand/internal/dataplane/ring"
	"github.com/rosestand/rosestand/internal/protocol"
)

// entry is one registration in this node's partition.
type entry struct {
	registration *protocol.Registration
	key          uint64
	// viewVersion is the highest view version sent with the registration. An older view may lack the owner without the
	// owner having been removed.
	viewVersion uint64
}

// holds reports whether this node holds the key in its view.
func (d *Directory) holds(key uint64) bool {
	holder, found := d.view.holder(key)
	return found && d.isSelf(holder)
}

// ServeRegister accepts or rejects registrations as holder. It must be called only with authority.
func (d *Directory) ServeRegister(
	moment Moment, request *protocol.RegisterSessionsRequest,
) (*protocol.RegisterSessionsResponse, []Command) {
	d.moment = moment
	response := &protocol.RegisterSessionsResponse{ViewVersion: d.view.Version, Incarnation: d.self.Incarnation}
	d.applyIndirectSuspicions(request.GetSuspects())
	d.handleContact(request.GetFrom())
	for _, registration := range request.GetRegistrations() {
		result := d.register(registration, request.GetCause(), request.GetViewVersion())
		response.Results = append(response.Results, result)
	}
	if request.GetComplete() {
		d.handleCompletion(request)
	}
	if request.GetResend() {
		d.reregister(request.GetFrom(), request.GetViewVersion(), request.GetSuspects())
	}
	d.dispatch()
	return response, d.takeCommands()
}

// register accepts or rejects a registration, after checking that this node holds the key and that the owner is a
// member.
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
		result.Status, result.Current = d.admitRegistration(registration, cause, key, senderVersion)
	}
	return result
}

// removedOwnerStatus returns the status for a registration whose owner was removed from the view: OK for a former
// holder, which may then drop the registration, and a rejection for the owner, which must return under a new
// incarnation.
func removedOwnerStatus(cause protocol.RegistrationCause) protocol.DirectoryStatus {
	if cause == protocol.RegistrationCause_CAUSE_HAND_OFF {
		return protocol.DirectoryStatus_DIRECTORY_OK
	}
	return protocol.DirectoryStatus_INCORRECT_PARTITION
}

// admitRegistration accepts a registration, or rejects it: with DIRECTORY_SETTLING while an earlier owner may still
// register, or with DUPLICATE_ACTIVATION and the current registration of another owner.
func (d *Directory) admitRegistration(
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

// outranks reports whether a registration replaces the current one of another owner: because that owner is suspected,
// because the new owner took the session over later, or, by policy, because of a higher view version.
func (d *Directory) outranks(registration, current *protocol.Registration) bool {
	if d.isClaimable(current, nil) || registration.GetClaim() > current.GetClaim() {
		return true
	}
	return d.policy.HigherViewVersion && registration.GetViewVersion() > current.GetViewVersion()
}

// isNewer reports whether a registration is at least as new as the current one of the same owner.
func isNewer(registration, current *protocol.Registration) bool {
	if registration.GetOwnerIncarnation() != current.GetOwnerIncarnation() {
		return registration.GetOwnerIncarnation() > current.GetOwnerIncarnation()
	}
	return registration.GetSequence() >= current.GetSequence()
}

func (d *Directory) ownerInView(registration *protocol.Registration) bool {
	return d.view.Has(registration.GetOwner(), registration.GetOwnerIncarnation())
}

// ownerIsMember reports whether the owner is in the membership, even if suspected.
func (d *Directory) ownerIsMember(registration *protocol.Registration) bool {
	return d.membership.Has(registration.GetOwner(), registration.GetOwnerIncarnation())
}

// displacement is a registration that another owner's has replaced, and whose owner is to be notified.
type displacement struct {
	registration *protocol.Registration
	viewVersion  uint64
}

// displace notifies the owner of a replaced registration. An owner that is missing from this node's older view is
// notified once a view includes it.
func (d *Directory) displace(displaced displacement) {
	owner := displaced.registration.GetOwner()
	switch {
	case owner == d.self.Name:
		d.handleDisplacement(displaced.registration)
	case d.ownerIsMember(displaced.registration):
		peer := d.peer(d.membership.byName[owner].Member)
		peer.displaced = append(peer.displaced, displaced.registration)
		d.schedule(peer)
	case displaced.viewVersion > d.view.Version:
		d.pendingDisplacements = append(d.pendingDisplacements, displaced)
	}
}

// notifyDisplaced retries the notifications of owners that were missing from the membership.
func (d *Directory) notifyDisplaced() {
	pending := d.pendingDisplacements
	d.pendingDisplacements = nil
	for _, displaced := range pending {
		d.displace(displaced)
	}
}

// ServeUnregister withdraws registrations as holder, and yields the sessions whose registrations name this node as the
// owner.
func (d *Directory) ServeUnregister(
	moment Moment, request *protocol.UnregisterSessionsRequest,
) (*protocol.UnregisterSessionsResponse, []Command) {
	d.moment = moment
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
		d.handleDisplacement(registration)
		return result
	}
	if !d.holds(ring.Key(registration.GetSession())) {
		result.Status = protocol.DirectoryStatus_INCORRECT_PARTITION
		return result
	}
	d.withdraw(registration)
	return result
}

// withdraw removes the registration of the same owner unless it is newer than the withdrawal.
func (d *Directory) withdraw(registration *protocol.Registration) {
	current := d.partition[registration.GetSession()]
	if current == nil || current.registration.GetOwner() != registration.GetOwner() {
		return
	}
	if isNewer(registration, current.registration) {
		delete(d.partition, registration.GetSession())
	}
}

// dropRemovedOwners removes the registrations of nodes that are no longer in the membership.
func (d *Directory) dropRemovedOwners() {
	for name, current := range d.partition {
		if current.viewVersion <= d.view.Version && !d.ownerIsMember(current.registration) {
			delete(d.partition, name)
		}
	}
}
