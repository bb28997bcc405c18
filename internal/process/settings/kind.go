// Package settings loads and checks the settings of a process: one JSON file in
// the protobuf mapping, overridden by one command-line flag for each field.
// Defaults are set in one place, and all fields are checked before the process
// starts, so that all faults are reported together with their paths.
//
// The fields and their JSON names are those of settings.proto. The package has no
// state and reads no file but the settings file.
package settings

import (
	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/transport/strictjson"
)

// Message holds the settings of one kind of daemon.
type Message interface {
	proto.Message
	GetNode() *protocol.NodeSettings
}

// Kind describes one kind of daemon and creates and checks its settings.
type Kind[S Message] struct {
	// Program is the name of the daemon's binary.
	Program string
	// Summary describes the daemon in one line of its help.
	Summary string
	// Node is the kind of node that the daemon runs as.
	Node protocol.NodeKind

	newMessage func() S
	check      func(S, *checker)
}

// Front is the kind of front nodes.
var Front = Kind[*protocol.FrontSettings]{
	Program:    "rosestand-front",
	Summary:    "front node: accepts requests, owns sessions and issues their turns",
	Node:       protocol.NodeKind_FRONT,
	newMessage: func() *protocol.FrontSettings { return &protocol.FrontSettings{Node: &protocol.NodeSettings{}} },
	check:      checkFront,
}

// Core is the kind of core processes.
var Core = Kind[*protocol.CoreSettings]{
	Program:    "rosestand-core",
	Summary:    "core: stores the replicated control state and grants leases",
	Node:       protocol.NodeKind_CORE,
	newMessage: func() *protocol.CoreSettings { return &protocol.CoreSettings{Node: &protocol.NodeSettings{}} },
	check:      checkCore,
}

// Store is the kind of stores.
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

// ensureNode adds an empty common part if a document omits it or sets it to null.
func ensureNode(message Message) {
	if message.GetNode() != nil {
		return
	}
	reflection := message.ProtoReflect()
	field := reflection.Descriptor().Fields().ByName(commonField)
	reflection.Set(field, reflection.NewField(field))
}
