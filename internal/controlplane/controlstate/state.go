// Package controlstate is the state machine of the control log: policy bundles and their roll-out, membership, back
// ends and the placement of shards. It is deterministic: the same commands in the same order result in the same state
// on every core process. It reads no clock, and only one goroutine may use a State.
package controlstate

import (
	"encoding/binary"
	"slices"

	iradix "github.com/hashicorp/go-immutable-radix/v2"

	"github.com/rosestand/rosestand/internal/controlplane/bundle"
	"github.com/rosestand/rosestand/internal/controlplane/views"
	"github.com/rosestand/rosestand/internal/protocol"
)

// State is the result of the commands applied so far. Every message that it returns is immutable: a change replaces
// the message by a new one.
type State struct {
	index         uint64
	clusterID     string
	configuration *protocol.Configuration
	membership    *protocol.MembershipView
	backEnds      *protocol.BackEndView
	placement     *protocol.Placement
	// nodeHistory and backEndHistory have the names that changed in each version, for deltas. They are not part of the
	// snapshot: after a restore, deltas reach back to the restored versions.
	nodeHistory    views.History
	backEndHistory views.History
	bundles        *iradix.Tree[*BundleRecord]
	newest         uint64
	// retainedVersions are the versions whose merged bundles are retained, oldest first.
	retainedVersions []uint64
	orders           map[string]*orderEntry
	steps            []*protocol.ConfigurationStep
	// firstKeys are valid while the active bundle has no sign-off keys: the keys of the settings, or the last active ones.
	firstKeys    []*protocol.SignOffKey
	drained      map[string]uint64
	memberOrders *memberOrders
	// announcements has the last numbered announcement or the departure of each back end, by id.
	announcements *announcements
}

// BundleRecord has the status of a bundle version and its merged bundle.
type BundleRecord struct {
	Status *protocol.BundleStatus
	// Merged is nil once the version is too old to be retained.
	Merged *protocol.Bundle
}

// New returns the state before the first command.
func New() *State {
	return &State{
		configuration: &protocol.Configuration{},
		membership:    &protocol.MembershipView{},
		backEnds:      &protocol.BackEndView{},
		placement:     &protocol.Placement{},
		bundles:       iradix.New[*BundleRecord](),
		orders:        map[string]*orderEntry{},
		drained:       map[string]uint64{},
		memberOrders:  &memberOrders{},
		announcements: newAnnouncements(),
	}
}

// Apply applies the command at its log index and returns the result. A repeated order, recognized by its id, changes
// nothing and gets the result of the first one; other content under the same id is rejected.
func (s *State) Apply(index uint64, command *protocol.Command) *protocol.CommandResult {
	s.index = index
	id := command.GetOrderId()
	if id == "" {
		return s.dispatch(index, command)
	}
	digest := digestContent(command)
	if first, known := s.orders[id]; known {
		if first.digest != digest {
			return reject(codeInvalidOrder, "this order id was used for another order",
				fault("order_id", "already used for an order with other content"))
		}
		return first.result
	}
	result := s.dispatch(index, command)
	s.orders[id] = &orderEntry{digest: digest, result: result}
	return result
}

func (s *State) dispatch(index uint64, command *protocol.Command) *protocol.CommandResult {
	switch body := command.GetBody().(type) {
	case *protocol.Command_PutBundle:
		return s.putBundle(index, body.PutBundle.GetBundle())
	case *protocol.Command_SignBundle:
		return s.signBundle(index, body.SignBundle)
	case *protocol.Command_ReleaseBundle:
		return s.releaseBundle(index, body.ReleaseBundle)
	case *protocol.Command_SetRollout:
		return s.setRollout(index, body.SetRollout)
	case *protocol.Command_SeedSignOffKeys:
		return s.seedKeys(index, body.SeedSignOffKeys)
	case *protocol.Command_JoinNode:
		return s.joinNode(index, body.JoinNode.GetNode())
	case *protocol.Command_RemoveNode:
		return s.removeNode(index, body.RemoveNode)
	case *protocol.Command_UpsertBackEnd:
		return s.upsertBackEnd(index, command.GetProposedAtMillis(), body.UpsertBackEnd)
	case *protocol.Command_RemoveBackEnd:
		return s.removeBackEnd(index, command.GetProposedAtMillis(), body.RemoveBackEnd)
	case *protocol.Command_DrainBackEnd:
		return s.drainBackEnd(index, body.DrainBackEnd)
	case *protocol.Command_InitializePlacement:
		return s.initializePlacement(index, body.InitializePlacement)
	case *protocol.Command_MoveShard:
		return s.moveShard(index, body.MoveShard)
	case *protocol.Command_ShardCopied:
		return s.shardCopied(index, body.ShardCopied)
	case *protocol.Command_EmptyStore:
		return s.emptyStore(index, body.EmptyStore)
	case *protocol.Command_ChangeMember:
		return s.changeMember(index, command.GetOrderId(), body.ChangeMember)
	case *protocol.Command_RetireStore:
		return s.retireStore(index, body.RetireStore.GetStore())
	default:
		return reject(codeInvalidOrder, "the command has no body that this version knows")
	}
}

// View is an immutable copy of the state after one command. It is safe for concurrent use.
type View struct {
	Index         uint64
	Configuration *protocol.Configuration
	Membership    *protocol.MembershipView
	BackEnds      *protocol.BackEndView
	Placement     *protocol.Placement
	Newest        uint64
	// ActiveKeys are the sign-off keys that are currently valid.
	ActiveKeys []*protocol.SignOffKey
	FirstKeys  []*protocol.SignOffKey
	Orders     int

	bundles        *iradix.Tree[*BundleRecord]
	steps          []*protocol.ConfigurationStep
	nodeHistory    views.History
	backEndHistory views.History
	memberOrders   *memberOrders
	announcements  *announcements
}

// View returns a view of the current state.
func (s *State) View() *View {
	return &View{
		Index:         s.index,
		Configuration: s.configuration,
		Membership:    s.membership,
		BackEnds:      s.backEnds,
		Placement:     s.placement,
		Newest:        s.newest,
		ActiveKeys:    s.activeKeys(),
		FirstKeys:     s.firstKeys,
		Orders:        len(s.orders),
		bundles:       s.bundles,
		steps:         slices.Clip(s.steps),

		nodeHistory:    s.nodeHistory.Copy(),
		backEndHistory: s.backEndHistory.Copy(),
		memberOrders:   s.memberOrders,
		announcements:  s.announcements,
	}
}

// Versions returns the version of each section.
func (v *View) Versions() *protocol.ControlVersions {
	return &protocol.ControlVersions{
		Configuration: v.Configuration.GetVersion(),
		Membership:    v.Membership.GetVersion(),
		BackEnds:      v.BackEnds.GetVersion(),
		Placement:     v.Placement.GetEpoch(),
	}
}

// Bundle returns the record of a version; nil when there is none.
func (v *View) Bundle(version uint64) *BundleRecord {
	record, _ := v.bundles.Get(versionKey(version))
	return record
}

// BundleStatuses returns up to limit statuses, newest first, of the versions below before, or of all versions if before
// is zero.
func (v *View) BundleStatuses(before uint64, limit int) []*protocol.BundleStatus {
	var statuses []*protocol.BundleStatus
	records := v.bundles.Root().ReverseIterator()
	if before != 0 {
		records.SeekReverseLowerBound(versionKey(before - 1))
	}
	for len(statuses) < limit {
		_, record, found := records.Previous()
		if !found {
			break
		}
		statuses = append(statuses, record.Status)
	}
	return statuses
}

// ConfigurationSince returns the update for a node with a known configuration version: a delta if there is one that is
// smaller than the configuration, otherwise the full configuration. Both are nil when the known version is current.
func (v *View) ConfigurationSince(known uint64) (*protocol.Configuration, *protocol.ConfigurationDelta) {
	if known >= v.Configuration.GetVersion() {
		return nil, nil
	}
	for i, step := range v.steps {
		if step.GetFromVersion() != known {
			continue
		}
		var active []*protocol.Bundle
		for _, later := range v.steps[i:] {
			if later.GetStep() != nil {
				active = append(active, later.GetStep())
			}
		}
		if delta, smaller := bundle.MakeDelta(known, active, v.Configuration); smaller {
			return nil, delta
		}
		break
	}
	return v.Configuration, nil
}

func versionKey(version uint64) []byte {
	return binary.BigEndian.AppendUint64(nil, version)
}
