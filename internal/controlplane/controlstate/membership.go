package controlstate

import (
	"cmp"
	"fmt"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/protocol"
)

func compareNodes(node *protocol.Node, name string) int { return cmp.Compare(node.GetName(), name) }

// joinNode adds a node to the view, or updates its incarnation and attributes. A new incarnation replaces the node with
// the same name and any node at the same address.
func (s *State) joinNode(index uint64, node *protocol.Node) *protocol.CommandResult {
	if rejection := s.checkNode(node); rejection != nil {
		return rejection
	}
	position, found := slices.BinarySearchFunc(s.membership.GetNodes(), node.GetName(), compareNodes)
	if found && proto.Equal(s.membership.GetNodes()[position], node) {
		return accept(s.membership.GetVersion())
	}
	nodes := make([]*protocol.Node, 0, len(s.membership.GetNodes())+1)
	changed := []string{node.GetName()}
	for _, other := range s.membership.GetNodes() {
		switch {
		case other.GetName() == node.GetName():
		case other.GetAddress() == node.GetAddress():
			changed = append(changed, other.GetName())
		default:
			nodes = append(nodes, other)
		}
	}
	position, _ = slices.BinarySearchFunc(nodes, node.GetName(), compareNodes)
	s.membership = &protocol.MembershipView{Version: index, Nodes: slices.Insert(nodes, position, node)}
	s.nodeHistory.Add(index, changed...)
	if node.GetKind() == protocol.NodeKind_STORE {
		s.rebuildLostReplicas(index, node)
	}
	return accept(index)
}

func (s *State) checkNode(node *protocol.Node) *protocol.CommandResult {
	var faults []*protocol.Fault
	if node.GetName() == "" {
		faults = append(faults, fault("node.name", "must be set"))
	}
	if node.GetAddress() == "" {
		faults = append(faults, fault("node.address", "must be set"))
	}
	if kind := node.GetKind(); kind != protocol.NodeKind_FRONT && kind != protocol.NodeKind_STORE {
		faults = append(faults, fault("node.kind", "must be FRONT or STORE"))
	}
	if node.GetKind() == protocol.NodeKind_STORE && node.GetStorageId() == "" {
		faults = append(faults, fault("node.storage_id", "must be set for a store"))
	}
	if len(faults) > 0 {
		return reject(codeInvalidOrder, "the node has faults", faults...)
	}
	for _, other := range s.membership.GetNodes() {
		if rejection := checkConflict(node, other); rejection != nil {
			return rejection
		}
	}
	if node.GetKind() == protocol.NodeKind_STORE && s.isRetired(node) {
		return reject(codeLeaseRejected, fmt.Sprintf("store %q was retired", node.GetName()))
	}
	return nil
}

// checkConflict rejects a joining node that conflicts with another node of the view.
func checkConflict(node, other *protocol.Node) *protocol.CommandResult {
	sameName, sameAddress := other.GetName() == node.GetName(), other.GetAddress() == node.GetAddress()
	switch {
	case sameName && other.GetIncarnation() > node.GetIncarnation():
		return reject(codeLeaseRejected, fmt.Sprintf("a later incarnation of %q holds the lease", node.GetName()),
			fault("node.incarnation", fmt.Sprintf("is older than %d", other.GetIncarnation())))
	case !sameName && sameAddress && other.GetIncarnation() >= node.GetIncarnation():
		return reject(codeLeaseRejected, fmt.Sprintf("%q holds the lease at this address", other.GetName()),
			fault("node.address", "belongs to a later incarnation of another node"))
	default:
		return nil
	}
}

func (s *State) removeNode(index uint64, command *protocol.RemoveNodeCommand) *protocol.CommandResult {
	position, found := slices.BinarySearchFunc(s.membership.GetNodes(), command.GetName(), compareNodes)
	if !found || s.membership.GetNodes()[position].GetIncarnation() != command.GetIncarnation() {
		return accept(s.membership.GetVersion())
	}
	nodes := slices.Delete(slices.Clone(s.membership.GetNodes()), position, position+1)
	s.membership = &protocol.MembershipView{Version: index, Nodes: nodes}
	s.nodeHistory.Add(index, command.GetName())
	return accept(index)
}

// Node returns the node of the view with a name; nil when it has no lease.
func (v *View) Node(name string) *protocol.Node { return findNode(v.Membership, name) }

func findNode(membership *protocol.MembershipView, name string) *protocol.Node {
	position, found := slices.BinarySearchFunc(membership.GetNodes(), name, compareNodes)
	if !found {
		return nil
	}
	return membership.GetNodes()[position]
}
