// Package settings reads what a process is told at its start: one JSON file in
// the protobuf mapping, with one command-line flag a field over it. Defaults
// are filled in one place and everything is checked as a whole before anything
// starts, so that all faults are listed at once with their paths.
package settings

import (
	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/protocol"
)

// Message is the settings of one kind of daemon.
type Message interface {
	proto.Message
	GetNode() *protocol.NodeSettings
}

// Kind tells how the settings of one kind of daemon are made and checked.
type Kind[S Message] struct {
	// Program is the name of the daemon's binary.
	Program string
	// Summary says in one line what the daemon does.
	Summary string
	// Node is the kind of node the daemon is.
	Node protocol.NodeKind

	newMessage func() S
	check      func(S, *checker)
}

// Front is the settings of front nodes.
var Front = Kind[*protocol.FrontSettings]{
	Program:    "rosestand-front",
	Summary:    "front node: takes requests in, owns sessions and issues their turns",
	Node:       protocol.NodeKind_FRONT,
	newMessage: func() *protocol.FrontSettings { return &protocol.FrontSettings{Node: &protocol.NodeSettings{}} },
	check:      checkFront,
}

// Core is the settings of core processes.
var Core = Kind[*protocol.CoreSettings]{
	Program:    "rosestand-core",
	Summary:    "core: keeps the replicated control state and grants leases",
	Node:       protocol.NodeKind_CORE,
	newMessage: func() *protocol.CoreSettings { return &protocol.CoreSettings{Node: &protocol.NodeSettings{}} },
	check:      checkCore,
}

// Store is the settings of stores.
var Store = Kind[*protocol.StoreSettings]{
	Program:    "rosestand-store",
	Summary:    "store: keeps replicas of the program ledger and of kept turns",
	Node:       protocol.NodeKind_STORE,
	newMessage: func() *protocol.StoreSettings { return &protocol.StoreSettings{Node: &protocol.NodeSettings{}} },
	check:      checkStore,
}

// Parse reads settings from JSON without filling defaults. The error is an *InvalidError.
func (k Kind[S]) Parse(document []byte) (S, error) {
	message := k.newMessage()
	if len(document) > 0 {
		if faults := Decode(document, message); len(faults) > 0 {
			return message, &InvalidError{Faults: faults}
		}
	}
	ensureNode(message)
	return message, nil
}

// Complete fills the defaults in and checks the whole. The error is an *InvalidError.
func (k Kind[S]) Complete(message S) error {
	fillDefaults(message)
	replaceSeedPorts(message)
	faults := &checker{}
	k.check(message, faults)
	if len(faults.faults) > 0 {
		return &InvalidError{Faults: faults.faults}
	}
	return nil
}

// ensureNode sets the common part when a document leaves it out or gives null.
func ensureNode(message Message) {
	if message.GetNode() != nil {
		return
	}
	reflection := message.ProtoReflect()
	field := reflection.Descriptor().Fields().ByName(nodeField)
	reflection.Set(field, reflection.NewField(field))
}
