package consensus

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/protocol"
)

// Voters returns the ids of the voters, sorted.
func Voters(configuration *protocol.CoreConfiguration) []uint64 {
	var voters []uint64
	for _, member := range configuration.GetMembers() {
		if member.GetVoter() {
			voters = append(voters, member.GetId())
		}
	}
	slices.Sort(voters)
	return voters
}

// Member returns the member with the given id, or nil.
func Member(configuration *protocol.CoreConfiguration, id uint64) *protocol.CoreMember {
	for _, member := range configuration.GetMembers() {
		if member.GetId() == id {
			return member
		}
	}
	return nil
}

// checkChange rejects a change that does not change exactly one member, adds a voter directly, has an
// invalid id or leaves no voter.
func checkChange(before, after *protocol.CoreConfiguration) error {
	if len(Voters(after)) == 0 {
		return &InvalidChangeError{Reason: "no voter is left"}
	}
	seen := map[uint64]bool{}
	changed := 0
	for _, member := range after.GetMembers() {
		if member.GetId() == 0 || seen[member.GetId()] {
			return &InvalidChangeError{Reason: "a member id is zero or a duplicate"}
		}
		seen[member.GetId()] = true
		former := Member(before, member.GetId())
		if former == nil && member.GetVoter() {
			return &InvalidChangeError{Reason: "a new member must begin as a learner"}
		}
		if former == nil || !proto.Equal(former, member) {
			changed++
		}
	}
	for _, member := range before.GetMembers() {
		if !seen[member.GetId()] {
			changed++
		}
	}
	if changed != 1 {
		return &InvalidChangeError{Reason: "exactly one member must change"}
	}
	return nil
}

// configurationHistory holds the configuration of the snapshot, followed by those in the log after it.
// The newest one is active as soon as it is appended, committed or not. The history is never empty.
type configurationHistory struct {
	configurations []indexedConfiguration
}

type indexedConfiguration struct {
	index         uint64
	configuration *protocol.CoreConfiguration
}

func (h *configurationHistory) restore(snapshot *protocol.SnapshotMetadata) {
	configuration := snapshot.GetConfiguration()
	if configuration == nil {
		configuration = &protocol.CoreConfiguration{}
	}
	h.configurations = []indexedConfiguration{{index: snapshot.GetIndex(), configuration: configuration}}
}

// appendIfConfiguration appends the configuration that an entry holds, if it is a configuration
// entry. The error is a *StateError.
func (h *configurationHistory) appendIfConfiguration(entry *protocol.Entry) error {
	if entry.GetKind() != protocol.EntryKind_ENTRY_CONFIGURATION {
		return nil
	}
	configuration := &protocol.CoreConfiguration{}
	if err := proto.Unmarshal(entry.GetData(), configuration); err != nil {
		return &StateError{Reason: "a configuration entry cannot be parsed: " + err.Error(), Index: entry.GetIndex()}
	}
	h.configurations = append(h.configurations,
		indexedConfiguration{index: entry.GetIndex(), configuration: configuration})
	return nil
}

// truncate drops the configurations from index on, like entryLog.truncate.
func (h *configurationHistory) truncate(index uint64) {
	for len(h.configurations) > 1 && h.configurations[len(h.configurations)-1].index >= index {
		h.configurations = h.configurations[:len(h.configurations)-1]
	}
}

// compact drops the configurations that are superseded by a later one at or below index.
func (h *configurationHistory) compact(index uint64) {
	for len(h.configurations) > 1 && h.configurations[1].index <= index {
		h.configurations = h.configurations[1:]
	}
}

func (h *configurationHistory) latest() indexedConfiguration {
	return h.configurations[len(h.configurations)-1]
}

// at returns the configuration that is active at index.
func (h *configurationHistory) at(index uint64) *protocol.CoreConfiguration {
	for position := len(h.configurations) - 1; position > 0; position-- {
		if h.configurations[position].index <= index {
			return h.configurations[position].configuration
		}
	}
	return h.configurations[0].configuration
}

func (n *Node) configuration() *protocol.CoreConfiguration {
	return n.configurations.latest().configuration
}

func (n *Node) isVoter() bool {
	return Member(n.configuration(), n.config.ID).GetVoter()
}

// ProposeConfiguration appends a configuration that changes one member. It is rejected while an
// earlier change is uncommitted, and until an entry of the leader's own term is committed. Errors:
// *NotLeaderError, *TransferringError, *ChangePendingError, *InvalidChangeError.
func (n *Node) ProposeConfiguration(next *protocol.CoreConfiguration, now time.Time) (index uint64, err error) {
	if err := n.checkCanPropose(); err != nil {
		return 0, err
	}
	if pending := max(n.termStart, n.configurations.latest().index); pending > n.log.commit {
		return 0, &ChangePendingError{Index: pending}
	}
	if err := checkChange(n.configuration(), next); err != nil {
		return 0, err
	}
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(next)
	if err != nil {
		return 0, &InvalidChangeError{Reason: err.Error()}
	}
	index = n.appendEntry(protocol.EntryKind_ENTRY_CONFIGURATION, data)
	n.syncPeers(now)
	n.broadcastAppend(now)
	return index, nil
}
