// Package controlstate is the state machine of the control log: policy bundles
// and their roll-out, membership, back ends and the placement of shards. It is
// pure: the same commands in the same order give the same state on every core
// process. It reads no clock and has one owner.
package controlstate

import (
	"encoding/binary"
	"slices"

	iradix "github.com/hashicorp/go-immutable-radix/v2"

	"github.com/rosestand/rosestand/internal/controlplane/bundle"
	"github.com/rosestand/rosestand/internal/controlplane/views"
	"github.com/rosestand/rosestand/internal/protocol"
)

// State is what the commands applied so far have made. Every message that it gives
// away is immutable: a change replaces it by a new one.
type State struct {
	index         uint64
	clusterID     string
	configuration *protocol.Configuration
	membership    *protocol.MembershipView
	backEnds      *protocol.BackEndView
	placement     *protocol.Placement
	// Histories of names that changed, for deltas. They are no part of the
	// snapshot: after a restore deltas reach back to the versions restored.
	nodeHistory    views.History
	backEndHistory views.History
	bundles        *iradix.Tree[*BundleRecord]
	newest         uint64
	// retainedVersions are those whose merged bundle is retained, oldest first.
	retainedVersions []uint64
	orders           map[string]*orderEntry
	steps            []*protocol.ConfigurationStep
	// firstKeys are valid while the bundle in force names no keys: those of the settings, or the last ones in force.
	firstKeys    []*protocol.SignOffKey
	drained      map[string]uint64
	memberOrders *memberOrders
	// announcements holds the last numbered announcement of each back end, and those that left, by id.
	announcements *announcements
}

// BundleRecord is what is known of one bundle version.
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

// Apply carries out the command at its log index and returns the result. An
// order whose id was seen before changes nothing and gets its first result.
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

// View is an immutable copy of the state after one command; it may be read from any goroutine.
type View struct {
	Index         uint64
	Configuration *protocol.Configuration
	Membership    *protocol.MembershipView
	BackEnds      *protocol.BackEndView
	Placement     *protocol.Placement
	Newest        uint64
	// ActiveKeys are the sign-off keys that are valid at present.
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

// View returns a view of the state as it is now.
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

// Versions gives the version of each section.
func (v *View) Versions() *protocol.ControlVersions {
	return &protocol.ControlVersions{
		Configuration: v.Configuration.GetVersion(),
		Membership:    v.Membership.GetVersion(),
		BackEnds:      v.BackEnds.GetVersion(),
		Placement:     v.Placement.GetEpoch(),
	}
}

// Bundle finds the record of a version; nil when there is none.
func (v *View) Bundle(version uint64) *BundleRecord {
	record, _ := v.bundles.Get(versionKey(version))
	return record
}

// BundleStatuses lists up to limit statuses of versions below before (zero: from the newest), newest first.
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

// ConfigurationSince gives what a node with the known configuration version
// lacks: a delta where one is possible and smaller, else the full snapshot. Both are
// nil when nothing is newer.
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
