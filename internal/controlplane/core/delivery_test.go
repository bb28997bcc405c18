package core_test

import (
	"bytes"
	"crypto/ed25519"
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"github.com/rosestand/rosestand/internal/controlplane/bundle"
	"github.com/rosestand/rosestand/internal/controlplane/controlstate"
	"github.com/rosestand/rosestand/internal/controlplane/core"
	"github.com/rosestand/rosestand/internal/controlplane/views"
	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/transport/packing"
)

// Sizes of the fleet that delivery is measured on.
const (
	fleetFronts   = 324
	fleetStores   = 6
	fleetBackEnds = 600
	fleetZones    = 6
	fleetRoutes   = 10_000
	fleetTenants  = 490
	// pollStep is the shortest time between two polls of a node.
	pollStep = 20 * time.Millisecond
)

// watcher is a node that holds views and applies the sections that it is sent, as a real node does.
type watcher struct {
	node       *protocol.Node
	absent     bool
	known      *protocol.ControlVersions
	membership *protocol.MembershipView
	backEnds   *protocol.BackEndView
	placement  *protocol.Placement
	bytes      int
	policies   int
	answers    int
}

// pollingFleet is a core that all nodes of the fleet poll in virtual time.
type pollingFleet struct {
	fleet    *fleet
	leader   *member
	watchers []*watcher
	deltas   bool
	private  ed25519.PrivateKey
	sizes    sizeCache
}

// sizeCache caches the number of bytes that a section takes in a response; the leader sends the same section to many
// nodes.
type sizeCache map[protoreflect.Message]int

func (s sizeCache) ofSection(section protoreflect.Message) int {
	size, known := s[section]
	if !known {
		size = protowire.SizeTag(1) + protowire.SizeBytes(proto.Size(section.Interface()))
		s[section] = size
	}
	return size
}

// ofAnswer returns the size of a response. The field numbers of its sections are below 16, so each tag takes one byte.
func (s sizeCache) ofAnswer(answer *protocol.PollControlResponse) int {
	total := 0
	answer.ProtoReflect().Range(func(field protoreflect.FieldDescriptor, value protoreflect.Value) bool {
		if field.Kind() == protoreflect.BytesKind {
			total += protowire.SizeTag(1) + protowire.SizeBytes(len(value.Bytes()))
			return true
		}
		total += s.ofSection(value.Message())
		return true
	})
	return total
}

func fleetNode(number int, incarnation uint64) *protocol.Node {
	node := &protocol.Node{
		Name: fmt.Sprintf("front-%03d", number), Kind: protocol.NodeKind_FRONT, Incarnation: 1_764_650_000_000 + incarnation,
		Address:     fmt.Sprintf("10.%d.0.%d:7100", number%fleetZones, number),
		HttpAddress: fmt.Sprintf("10.%d.0.%d:8100", number%fleetZones, number),
		Zone:        fmt.Sprintf("zone-%d", number%fleetZones), Region: fmt.Sprintf("region-%d", number%3),
	}
	if number >= fleetFronts {
		node.Name, node.Kind = fmt.Sprintf("store-%03d", number), protocol.NodeKind_STORE
		node.StorageId = fmt.Sprintf("5f0c7c6e-0000-4000-8000-%012d", number)
	}
	return node
}

func fleetBackEnd(number int, incarnation uint64) *protocol.BackEnd {
	return &protocol.BackEnd{
		Id:   fmt.Sprintf("model-server-%03d", number),
		Kind: protocol.BackEndKind_MODEL_SERVER, State: protocol.BackEndState_READY,
		Address: fmt.Sprintf("10.%d.1.%d:9000", number%fleetZones, number),
		Zone:    fmt.Sprintf("zone-%d", number%fleetZones), Region: fmt.Sprintf("region-%d", number%3),
		Group: "assistants", Models: []string{"booking-assistant", "climate-advisor"},
		Incarnation: 1_764_650_000_000 + incarnation, Capacity: 64,
	}
}

func fleetBundle() *protocol.Bundle {
	large := &protocol.Bundle{Version: 1, Groups: []*protocol.ServerGroup{{Name: "assistants"}}}
	for i := range fleetTenants {
		large.Tenants = append(large.Tenants, &protocol.TenantPolicy{Name: fmt.Sprintf("tenant-%03d", i)})
	}
	for i := range fleetRoutes {
		tenant, model := fmt.Sprintf("tenant-%03d", i%fleetTenants), fmt.Sprintf("model-%02d", i/fleetTenants)
		large.Routes = append(large.Routes, &protocol.Route{
			Name: tenant + "-" + model, Tenant: tenant, Model: model,
			Group: "assistants",
		})
	}
	return large
}

func joinCommand(node *protocol.Node) *protocol.Command {
	return &protocol.Command{Body: &protocol.Command_JoinNode{JoinNode: &protocol.JoinNodeCommand{Node: node}}}
}

func removeCommand(node *protocol.Node) *protocol.Command {
	command := &protocol.RemoveNodeCommand{Name: node.GetName(), Incarnation: node.GetIncarnation()}
	return &protocol.Command{Body: &protocol.Command_RemoveNode{RemoveNode: command}}
}

func upsertCommand(backEnd *protocol.BackEnd) *protocol.Command {
	command := &protocol.UpsertBackEndCommand{BackEnd: backEnd}
	return &protocol.Command{Body: &protocol.Command_UpsertBackEnd{UpsertBackEnd: command}}
}

func (d *pollingFleet) propose(command *protocol.Command) {
	GinkgoHelper()
	encoded, err := proto.Marshal(command)
	Expect(err).NotTo(HaveOccurred())
	answer, _, err := d.leader.Propose(GinkgoT().Context(), encoded)
	Expect(err).NotTo(HaveOccurred())
	result := &protocol.CommandResult{}
	Expect(proto.Unmarshal(answer, result)).To(Succeed())
	Expect(result.GetAccepted()).To(BeTrue(), result.String())
}

// activateBundle submits a bundle and signs it.
func (d *pollingFleet) activateBundle(submitted *protocol.Bundle) {
	GinkgoHelper()
	put := &protocol.PutBundleCommand{Bundle: submitted}
	d.propose(&protocol.Command{Body: &protocol.Command_PutBundle{PutBundle: put}})
	digest := d.leader.machine.View().Bundle(submitted.GetVersion()).Status.GetMergedDigest()
	d.propose(&protocol.Command{Body: &protocol.Command_SignBundle{SignBundle: &protocol.SignBundleCommand{
		Version: submitted.GetVersion(), KeyName: "ann", Signature: bundle.Sign(d.private, digest),
	}}})
}

// newPollingFleet restores the snapshot, if any, and returns a fleet in which every watcher has the current views. With
// legacy set, nodes accept neither deltas nor packed sections, and the leader does not coalesce.
func newPollingFleet(snapshot []byte, private ed25519.PrivateKey, legacy bool) *pollingFleet {
	GinkgoHelper()
	d := &pollingFleet{deltas: !legacy, private: private, sizes: sizeCache{}}
	d.fleet = newFleet(1, func(options *core.Options) {
		options.Lease = 24 * time.Hour
		if legacy {
			options.CoalesceInterval = -1
		}
		if snapshot != nil {
			Expect(options.Machine.Restore(bytes.NewReader(snapshot))).To(Succeed())
		}
	})
	d.fleet.index = d.fleet.members[0].machine.View().Index
	d.leader = d.fleet.lead(d.fleet.members[0])
	view := d.leader.machine.View()
	for _, node := range view.Membership.GetNodes() {
		d.watchers = append(d.watchers, &watcher{
			node: node, known: view.Versions(), membership: view.Membership,
			backEnds: view.BackEnds, placement: view.Placement,
		})
	}
	return d
}

// fleetSnapshot returns the state that every measurement starts from.
func fleetSnapshot() ([]byte, ed25519.PrivateKey) {
	GinkgoHelper()
	public, private, err := ed25519.GenerateKey(rand.NewChaCha8([32]byte{5}))
	Expect(err).NotTo(HaveOccurred())
	d := newPollingFleet(nil, private, false)
	d.propose(&protocol.Command{Body: &protocol.Command_SeedSignOffKeys{SeedSignOffKeys: &protocol.SeedSignOffKeysCommand{
		Keys: []*protocol.SignOffKey{{Name: "ann", PublicKey: hex.EncodeToString(public)}},
	}}})
	d.activateBundle(fleetBundle())
	for i := range fleetFronts + fleetStores {
		d.propose(joinCommand(fleetNode(i, 1)))
	}
	for i := range fleetBackEnds {
		d.propose(upsertCommand(fleetBackEnd(i, 1)))
	}
	placement := &protocol.InitializePlacementCommand{ShardCount: 64, ReplicaCount: 3}
	d.propose(&protocol.Command{Body: &protocol.Command_InitializePlacement{InitializePlacement: placement}})
	var snapshot bytes.Buffer
	Expect(d.leader.machine.Snapshot(&snapshot)).To(Succeed())
	return snapshot.Bytes(), private
}

// step lets every node poll once and advances the clock by one poll step.
func (d *pollingFleet) step() {
	GinkgoHelper()
	view := d.leader.machine.View()
	for _, w := range d.watchers {
		// A poll with the newest versions would block and be sent nothing.
		if w.absent || w.isCurrent(view) {
			continue
		}
		answer, err := d.leader.call(pollRequest(&protocol.PollControlRequest{
			Node: w.node.GetName(), Incarnation: w.node.GetIncarnation(), Known: w.known, AcceptsDeltas: d.deltas,
			AcceptsPackedConfiguration: d.deltas,
			AcceptsPackedViews:         d.deltas,
		}))
		Expect(err).NotTo(HaveOccurred())
		w.apply(answer.GetPollControl(), d.sizes)
	}
	d.fleet.clock.step(pollStep)
}

// run makes as many steps as fit into the duration; each step calls act first.
func (d *pollingFleet) run(duration time.Duration, act func(step int)) {
	GinkgoHelper()
	for step := range int(duration / pollStep) {
		act(step)
		d.step()
	}
}

func (w *watcher) isCurrent(view *controlstate.View) bool {
	return w.known.GetConfiguration() == view.Configuration.GetVersion() &&
		w.known.GetMembership() == view.Membership.GetVersion() &&
		w.known.GetBackEnds() == view.BackEnds.GetVersion() && w.known.GetPlacement() == view.Placement.GetEpoch()
}

func (w *watcher) apply(answer *protocol.PollControlResponse, sizes sizeCache) {
	GinkgoHelper()
	size := sizes.ofAnswer(answer)
	if size == 0 {
		return
	}
	w.answers++
	w.bytes += size
	w.policies += proto.Size(answer.GetConfiguration()) + proto.Size(answer.GetConfigurationDelta())
	w.policies += len(answer.GetPackedConfiguration())
	configuration, err := answer.GetConfiguration(), error(nil)
	if packed := answer.GetPackedConfiguration(); packed != nil {
		Expect(configuration).To(BeNil())
		configuration = &protocol.Configuration{}
		Expect(packing.Unpack(packed, configuration)).To(Succeed())
		Expect(bundle.Digest(configuration.GetActive())).To(Equal(configuration.GetActiveDigest()))
	}
	switch delta := answer.GetMembershipDelta(); {
	case delta != nil:
		w.membership, err = views.ApplyMembership(w.membership, delta)
	case answer.GetMembership() != nil:
		w.membership = answer.GetMembership()
	case answer.GetPackedMembership() != nil:
		w.membership = &protocol.MembershipView{}
		err = packing.Unpack(answer.GetPackedMembership(), w.membership)
	}
	Expect(err).NotTo(HaveOccurred())
	switch delta := answer.GetBackEndsDelta(); {
	case delta != nil:
		w.backEnds, err = views.ApplyBackEnds(w.backEnds, delta)
	case answer.GetBackEnds() != nil:
		w.backEnds = answer.GetBackEnds()
	case answer.GetPackedBackEnds() != nil:
		w.backEnds = &protocol.BackEndView{}
		err = packing.Unpack(answer.GetPackedBackEnds(), w.backEnds)
	}
	Expect(err).NotTo(HaveOccurred())
	switch delta := answer.GetPlacementDelta(); {
	case delta != nil:
		w.placement, err = views.ApplyPlacement(w.placement, delta)
	case answer.GetPlacement() != nil:
		w.placement = answer.GetPlacement()
	case answer.GetPackedPlacement() != nil:
		w.placement = &protocol.Placement{}
		err = packing.Unpack(answer.GetPackedPlacement(), w.placement)
	}
	Expect(err).NotTo(HaveOccurred())
	w.known = &protocol.ControlVersions{
		Configuration: max(w.known.GetConfiguration(), configuration.GetVersion(),
			answer.GetConfigurationDelta().GetVersion()),
		Membership: w.membership.GetVersion(), BackEnds: w.backEnds.GetVersion(), Placement: w.placement.GetEpoch(),
	}
}

// rejoin lets a node join under a new incarnation; a restarted node has no views.
func (d *pollingFleet) rejoin(w *watcher, restarted bool) {
	GinkgoHelper()
	w.node = proto.CloneOf(w.node)
	w.node.Incarnation += 1000
	w.absent = false
	if restarted {
		w.known, w.membership, w.backEnds, w.placement = &protocol.ControlVersions{}, nil, nil, nil
	}
	d.propose(joinCommand(w.node))
}

// removeNodes removes nodes as one tick of the leader does when their leases expire.
func (d *pollingFleet) removeNodes(lost []*watcher) {
	GinkgoHelper()
	for _, w := range lost {
		w.absent = true
		d.propose(removeCommand(w.node))
	}
}

func (d *pollingFleet) inZone(zone string) []*watcher {
	var watchers []*watcher
	for _, w := range d.watchers {
		if w.node.GetZone() == zone {
			watchers = append(watchers, w)
		}
	}
	return watchers
}

// spreadRejoins returns an action for run that lets nodes rejoin evenly over one second.
func (d *pollingFleet) spreadRejoins(lost []*watcher, restarted bool) func(step int) {
	const steps = int(time.Second / pollStep)
	return func(step int) {
		for i, w := range lost {
			if i*steps/len(lost) == step {
				d.rejoin(w, restarted)
			}
		}
	}
}

func noAction(int) {}

// expectConverged checks that the views of every node equal those of the leader.
func (d *pollingFleet) expectConverged() {
	GinkgoHelper()
	view := d.leader.machine.View()
	membership := views.MembershipChecksum(view.Membership.GetNodes())
	backEnds := views.BackEndsChecksum(view.BackEnds.GetBackEnds())
	placement := views.PlacementChecksum(view.Placement)
	for i, w := range d.watchers {
		Expect(proto.Equal(w.known, view.Versions())).To(BeTrue(), "%s has versions %v, want %v", w.node.GetName(), w.known,
			view.Versions())
		// The checksums cover every field. A complete comparison would take too long for each of 330 nodes, so it is made
		// for every hundredth node only.
		Expect(views.MembershipChecksum(w.membership.GetNodes())).To(Equal(membership), w.node.GetName())
		Expect(views.BackEndsChecksum(w.backEnds.GetBackEnds())).To(Equal(backEnds), w.node.GetName())
		Expect(views.PlacementChecksum(w.placement)).To(Equal(placement), w.node.GetName())
		if i%100 != 0 {
			continue
		}
		Expect(proto.Equal(w.membership, view.Membership)).To(BeTrue(), w.node.GetName())
		Expect(proto.Equal(w.backEnds, view.BackEnds)).To(BeTrue(), w.node.GetName())
		Expect(proto.Equal(w.placement, view.Placement)).To(BeTrue(), w.node.GetName())
	}
}

// totals sums up the traffic that the leader sent, and returns the largest total of a node.
func (d *pollingFleet) totals() (bytes, policies, answers, largest int) {
	for _, w := range d.watchers {
		bytes, policies, answers, largest = bytes+w.bytes, policies+w.policies, answers+w.answers, max(largest, w.bytes)
	}
	return bytes, policies, answers, largest
}

var _ = Describe("delivery to 330 nodes with 600 back ends and 10,000 routes", Ordered, func() {
	var snapshot []byte
	var private ed25519.PrivateKey
	const oneRouteChanges = 20
	BeforeAll(func() {
		snapshot, private = fleetSnapshot()
		GinkgoWriter.Println("event | mode | bytes sent by the leader | of these configuration |",
			"mean bytes per node | largest node | responses")
	})

	DescribeTable("costs little and leaves every node with current views after",
		func(name string, factor int, event func(d *pollingFleet)) {
			sent := map[string]int{}
			for _, mode := range []string{"snapshots", "deltas"} {
				d := newPollingFleet(snapshot, private, mode == "snapshots")
				Expect(d.watchers).To(HaveLen(fleetFronts + fleetStores))
				event(d)
				d.run(400*time.Millisecond, noAction)
				d.expectConverged()
				total, policies, answers, largest := d.totals()
				sent[mode] = total - policies
				GinkgoWriter.Printf("%s | %s | %d | %d | %d | %d | %d\n", name, mode, total, policies, total/len(d.watchers),
					largest, answers)
			}
			Expect(sent["deltas"]*factor).To(BeNumerically("<=", sent["snapshots"]), "bytes of views, without the configuration")
		},
		Entry("(a) a restart", "(a) one node restarts", 20, func(d *pollingFleet) {
			lost := d.watchers[:1]
			d.removeNodes(lost)
			d.run(500*time.Millisecond, noAction)
			d.rejoin(lost[0], true)
		}),
		Entry("(b) the loss of a zone", "(b) a zone of 55 lost, 55 processes rejoin with the views they had", 20,
			func(d *pollingFleet) {
				lost := d.inZone("zone-1")
				Expect(lost).To(HaveLen(55))
				d.removeNodes(lost)
				d.run(time.Second, noAction)
				d.run(time.Second, d.spreadRejoins(lost, false))
			}),
		Entry("(b) the restart of a zone", "(b) a zone of 55 lost, 55 processes restarted", 8, func(d *pollingFleet) {
			lost := d.inZone("zone-1")
			d.removeNodes(lost)
			d.run(time.Second, noAction)
			d.run(time.Second, d.spreadRejoins(lost, true))
		}),
		Entry("(c) the return of all", "(c) all 330 rejoin at once with the views they had", 4, func(d *pollingFleet) {
			d.removeNodes(d.watchers)
			d.run(time.Second, noAction)
			d.run(time.Second, d.spreadRejoins(d.watchers, false))
		}),
		Entry("(c) the restart of all", "(c) all 330 restarted at once", 2, func(d *pollingFleet) {
			d.removeNodes(d.watchers)
			d.run(time.Second, noAction)
			d.run(time.Second, d.spreadRejoins(d.watchers, true))
		}),
		Entry("(d) a change of a back end", "(d) one back end of 600 changes", 100, func(d *pollingFleet) {
			d.propose(upsertCommand(fleetBackEnd(17, 2)))
		}),
		Entry("(e) changes of one route", "(e) 20 changes of one route of 10,000", 1, func(d *pollingFleet) {
			for version := uint64(2); version < 2+oneRouteChanges; version++ {
				name := fmt.Sprintf("extra-%d", version)
				d.activateBundle(&protocol.Bundle{
					Version: version, BaseVersion: version - 1, Partial: true,
					Routes: []*protocol.Route{{Name: name, Model: name, Group: "assistants"}},
				})
				d.run(120*time.Millisecond, noAction)
			}
		}),
	)
})
