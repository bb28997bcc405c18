package core

import (
	"io"
	"sync/atomic"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/controlplane/controlstate"
	"github.com/rosestand/rosestand/internal/controlplane/core/delivery"
	"github.com/rosestand/rosestand/internal/failure"
	"github.com/rosestand/rosestand/internal/protocol"
)

// Machine applies the control log to the control state and publishes an
// immutable view after each command. Only the replica's owner goroutine calls
// Apply, Snapshot and Restore; View is safe for concurrent use.
type Machine struct {
	state     *controlstate.State
	publisher *delivery.Publisher
	// leading is true while this process leads; only the leader logs changes.
	leading atomic.Bool
	logger  *log.Logger
}

// NewMachine returns a machine with an empty state; logger may be nil.
func NewMachine(logger *log.Logger) *Machine {
	state := controlstate.New()
	return &Machine{state: state, publisher: delivery.NewPublisher(state.View()), logger: orDiscard(logger)}
}

// Apply applies one committed command and returns its encoded CommandResult.
func (m *Machine) Apply(index uint64, command []byte) []byte {
	decoded := &protocol.Command{}
	var result *protocol.CommandResult
	if err := proto.Unmarshal(command, decoded); err != nil {
		result = &protocol.CommandResult{Refusal: &protocol.Refusal{
			Code: string(failure.InvalidOrder), Message: "the command cannot be decoded",
		}}
	} else {
		result = m.state.Apply(index, decoded)
		m.publisher.Publish(m.state.View())
		if m.leading.Load() {
			m.logChange(decoded, result)
		}
	}
	encoded, err := proto.Marshal(result)
	if err != nil {
		m.logger.Error("result encoding failed", "index", index, "error", err)
	}
	return encoded
}

// View returns the newest view.
func (m *Machine) View() *controlstate.View { return m.publisher.View() }

// Snapshot writes the complete state to the writer.
func (m *Machine) Snapshot(writer io.Writer) error {
	encoded, err := proto.Marshal(m.state.Snapshot())
	if err != nil {
		return errors.Wrap(err, "encode control state")
	}
	_, err = writer.Write(encoded)
	return errors.Wrap(err, "write control state")
}

// Restore replaces the state with a snapshot written by Snapshot.
func (m *Machine) Restore(reader io.Reader) error {
	encoded, err := io.ReadAll(reader)
	if err != nil {
		return errors.Wrap(err, "read control state")
	}
	snapshot := &protocol.ControlState{}
	if err := proto.Unmarshal(encoded, snapshot); err != nil {
		return errors.Wrap(err, "decode control state")
	}
	state, err := controlstate.Restore(snapshot)
	if err != nil {
		return err
	}
	m.state = state
	m.publisher.Publish(m.state.View())
	return nil
}

// logChange logs an accepted command that is relevant to operators, or, at debug level, a rejected one.
func (m *Machine) logChange(command *protocol.Command, result *protocol.CommandResult) {
	if !result.GetAccepted() {
		m.logger.Debug("order rejected", "code", result.GetRefusal().GetCode(), "message", result.GetRefusal().GetMessage())
		return
	}
	switch body := command.GetBody().(type) {
	case *protocol.Command_PutBundle:
		m.logger.Info("bundle accepted", "version", result.GetBundle().GetVersion())
	case *protocol.Command_SignBundle:
		m.logger.Info("bundle signed off", "version", result.GetBundle().GetVersion(), "key", body.SignBundle.GetKeyName())
	case *protocol.Command_ReleaseBundle:
		m.logger.Info("bundle released", "version", result.GetBundle().GetVersion(),
			"base", body.ReleaseBundle.GetExpectedVersion())
	case *protocol.Command_SetRollout:
		m.logger.Info("roll-out changed", "action", body.SetRollout.GetAction(),
			"version", result.GetBundle().GetVersion(), "reason", body.SetRollout.GetReason())
	case *protocol.Command_JoinNode:
		m.logger.Info("node joined", "name", body.JoinNode.GetNode().GetName(),
			"incarnation", body.JoinNode.GetNode().GetIncarnation())
	case *protocol.Command_RemoveNode:
		m.logger.Info("node removed", "name", body.RemoveNode.GetName(), "reason", body.RemoveNode.GetReason())
	case *protocol.Command_RemoveBackEnd:
		m.logger.Info("back end removed", "id", body.RemoveBackEnd.GetId())
	case *protocol.Command_DrainBackEnd:
		m.logger.Info("back end drain began", "id", body.DrainBackEnd.GetId())
	case *protocol.Command_InitializePlacement:
		m.logger.Info("placement initialized", "shards", body.InitializePlacement.GetShardCount())
	case *protocol.Command_EmptyStore:
		m.logger.Info("store emptying began", "store", body.EmptyStore.GetStore())
	case *protocol.Command_RetireStore:
		m.logger.Info("store retired", "store", body.RetireStore.GetStore())
	}
}

func orDiscard(logger *log.Logger) *log.Logger {
	if logger != nil {
		return logger
	}
	return log.New(io.Discard)
}
