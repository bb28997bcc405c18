package ownershipsuite

// Mutation names a defect that a run puts into the code on purpose.
type Mutation string

// Mutations, each made to violate one rule.
const (
	MutationNone Mutation = ""
	// MutationAcceptDuplicates treats DuplicateActivation as a success.
	MutationAcceptDuplicates Mutation = "keep-duplicates"
	// MutationDropRegistrations treats registrations of the salvage list as done without sending them.
	MutationDropRegistrations Mutation = "drop-registrations"
	// MutationIgnoreViews ignores new views and so retains registrations that belong to another partition.
	MutationIgnoreViews Mutation = "keep-partition"
	// MutationNeverExpireAuthority never ends a front node's authority.
	MutationNeverExpireAuthority Mutation = "keep-authority"
	// MutationNeverExpireLease does so too, and the core never expires a lease.
	MutationNeverExpireLease Mutation = "silent-authority"
	// MutationLedgerIgnoresEpoch lets the ledger accept operations of an older epoch.
	MutationLedgerIgnoresEpoch Mutation = "no-epoch"
	// MutationBackEndIgnoresEpoch lets the back end accept an older epoch.
	MutationBackEndIgnoresEpoch Mutation = "no-fence"
	// MutationReissueCalls issues a call again that is in flight.
	MutationReissueCalls Mutation = "reissue-calls"
	// MutationRenewWithoutContact requests a lease without a prior answer of the core.
	MutationRenewWithoutContact Mutation = "no-contact"
	// MutationIgnoreCallFailures does not suspect a peer whose call failed, and so waits for its lease to end.
	MutationIgnoreCallFailures Mutation = "await-leases"
	// MutationIgnoreDisplacement ignores notices that another node became the owner of a session.
	MutationIgnoreDisplacement Mutation = "keep-displaced"
	// MutationNeverRenew never renews again after authority was lost.
	MutationNeverRenew Mutation = "stay-out"
)

// Mutations lists all mutations.
var Mutations = []Mutation{
	MutationAcceptDuplicates, MutationDropRegistrations, MutationIgnoreViews, MutationNeverExpireAuthority,
	MutationNeverExpireLease,
	MutationLedgerIgnoresEpoch, MutationBackEndIgnoresEpoch, MutationReissueCalls, MutationRenewWithoutContact,
	MutationNeverRenew,
	MutationIgnoreCallFailures, MutationIgnoreDisplacement,
}
