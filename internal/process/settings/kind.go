// Package settings loads and checks the settings of a process: one JSON file in
// the protobuf mapping, overridden by one command-line flag for each field.
// Defaults are set in one place, and all fields are checked before anything
// starts, so that all faults are listed together with their paths.
//
// The fields and their JSON names are those of settings.proto. The package has no
// state; it reads the settings file, and nothing else.
package settings

import (
	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/transport/strictjson"
)

// Message is the settings of one kind of daemon.
type Message interface {
	proto.Message
	GetNode() *protocol.NodeSettings
}

// Kind is how the settings of one kind of daemon are created and checked.
type Kind[S Message] struct {
	// Program is the name of the daemon's binary.
	Program string
	// Summary is what the daemon does, in one line of its help.
	Summary string
	// Node is the kind of node the daemon is.
	Node protocol.NodeKind

	newMessage func() S
	check      func(S, *checker)
}

// Front is the settings of front nodes.
var Front = Kind[*protocol.FrontSettings]{
	Program:    "rosestand-front",
	Summary:    "front node: accepts requests, owns sessions and issues their turns",
	Node:       protocol.NodeKind_FRONT,
	newMessage: func() *protocol.FrontSettings { return &protocol.FrontSettings{Node: &protocol.NodeSettings{}} },
	check:      checkFront,
}

// Core is the settings of core processes.
var Core = Kind[*protocol.CoreSettings]{
	Program:    "rosestand-core",
	Summary:    "core: stores the replicated control state and grants leases",
	Node:       protocol.NodeKind_CORE,
	newMessage: func() *protocol.CoreSettings { return &protocol.CoreSettings{Node: &protocol.NodeSettings{}} },
	check:      checkCore,
}

// Store is the settings of stores.
var Store = Kind[*protocol.StoreSettings]{
	Program:    "rosestand-store",
	Summary:    "store: stores replicas of the program ledger and of retained turns",
	Node:       protocol.NodeKind_STORE,
	newMessage: func() *protocol.StoreSettings { return &protocol.StoreSettings{Node: &protocol.NodeSettings{}} },
	check:      checkStore,
}

// Parse parses settings from JSON without setting defaults. The error is an *InvalidError.
func (k Kind[S]) Parse(document []byte) (S, error) {
	message := k.newMessage()
	if len(document) > 0 {
		if faults := strictjson.Decode(document, message); len(faults) > 0 {
			return message, &InvalidError{Faults: faults}
		}
	}
	ensureNode(message)
	return message, nil
}

// Complete sets the defaults and checks all fields. The error is an *InvalidError.
func (k Kind[S]) Complete(message S) error {
	fillDefaults(message)
	replaceSeedPorts(message)
	check := &checker{}
	k.check(message, check)
	if len(check.faults) > 0 {
		return &InvalidError{Faults: check.faults}
	}
	return nil
}

// ensureNode sets the common part if a document omits it or has null.
func ensureNode(message Message) {
	if message.GetNode() != nil {
		return
	}
	reflection := message.ProtoReflect()
	field := reflection.Descriptor().Fields().ByName(commonField)
	reflection.Set(field, reflection.NewField(field))
}
