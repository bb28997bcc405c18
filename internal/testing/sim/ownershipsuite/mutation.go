package ownershipsuite

// Mutation names a fault of the code that a run puts in on purpose.
type Mutation string

// Mutations, each made to break one rule.
const (
	MutationNone Mutation = ""
	// MutationKeepDuplicates takes a refusal as a duplicate for a success.
	MutationKeepDuplicates Mutation = "keep-duplicates"
	// MutationDropRegistrations takes registrations of the salvage list for sent.
	MutationDropRegistrations Mutation = "drop-registrations"
	// MutationKeepPartition keeps registrations that belong to another partition, by ignoring new views.
	MutationKeepPartition Mutation = "keep-partition"
	// MutationKeepAuthority never lets authority end.
	MutationKeepAuthority Mutation = "keep-authority"
	// MutationSilentAuthority keeps authority as well, and has the core keep the lease of a node that is silent.
	MutationSilentAuthority Mutation = "silent-authority"
	// MutationNoEpoch lets the ledger take operations of an older epoch.
	MutationNoEpoch Mutation = "no-epoch"
	// MutationNoFence lets the back end take an older epoch.
	MutationNoFence Mutation = "no-fence"
	// MutationReissueCalls issues a call again that is under way.
	MutationReissueCalls Mutation = "reissue-calls"
	// MutationNoContact asks for a lease without having had an answer of the core.
	MutationNoContact Mutation = "no-contact"
	// MutationAwaitLeases takes no call that failed for a sign that its peer is lost.
	MutationAwaitLeases Mutation = "await-leases"
	// MutationKeepDisplaced ignores notices that another node took a session over.
	MutationKeepDisplaced Mutation = "keep-displaced"
	// MutationStayOut never renews again after authority was lost.
	MutationStayOut Mutation = "stay-out"
)

// Mutations lists all of them.
var Mutations = []Mutation{
	MutationKeepDuplicates, MutationDropRegistrations, MutationKeepPartition, MutationKeepAuthority, MutationSilentAuthority,
	MutationNoEpoch, MutationNoFence, MutationReissueCalls, MutationNoContact, MutationStayOut,
	MutationAwaitLeases, MutationKeepDisplaced,
}
