package fleet_test

import (
	"math/rand/v2"
	"path/filepath"
	"testing"

	"github.com/spf13/pflag"

	"github.com/rosestand/rosestand/internal/controlplane/bundle"
	"github.com/rosestand/rosestand/internal/process/settings"
	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/testing/lab/backends"
	"github.com/rosestand/rosestand/internal/testing/lab/fleet"
	"github.com/rosestand/rosestand/internal/testing/lab/site"
)

func newFleet(t *testing.T, relays bool) *fleet.Fleet {
	t.Helper()
	sizes, err := site.SizesOf(site.Menon)
	if err != nil {
		t.Fatal(err)
	}
	f, err := fleet.New(t.Context(), fleet.Options{Sizes: sizes, Folder: t.TempDir(), Relays: relays})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if _, err := f.Stop(); err != nil {
			t.Error(err)
		}
	})
	return f
}

// load reads the settings of a member the way its daemon does.
func load(t *testing.T, f *fleet.Fleet, member *fleet.Member) *protocol.NodeSettings {
	t.Helper()
	file := filepath.Join(f.Folder(), "settings", member.Name+".json")
	none := pflag.NewFlagSet("", pflag.ContinueOnError)
	var loaded settings.Message
	var err error
	switch member.Kind {
	case fleet.KindCore:
		loaded, err = settings.Core.Load(file, none)
	case fleet.KindStore:
		loaded, err = settings.Store.Load(file, none)
	case fleet.KindFront:
		loaded, err = settings.Front.Load(file, none)
	default:
		_, err = backends.Load(file)
		loaded = &protocol.FrontSettings{Node: &protocol.NodeSettings{Name: member.Name}}
	}
	if err != nil {
		t.Fatalf("%s: %v", member.Name, err)
	}
	return loaded.GetNode()
}

func TestSettingsOfEveryMemberAreSound(t *testing.T) {
	for _, relays := range []bool{false, true} {
		f := newFleet(t, relays)
		if len(f.Members()) != 4+4+11+26 {
			t.Fatalf("%d members", len(f.Members()))
		}
		addresses := map[string]string{}
		for _, member := range f.Members() {
			node := load(t, f, member)
			if node.GetName() != member.Name {
				t.Errorf("%s calls itself %s", member.Name, node.GetName())
			}
			for _, address := range []string{member.Internal, member.HTTP, member.Relay} {
				if other, taken := addresses[address]; address != "" && taken {
					t.Errorf("%s and %s both have %s", other, member.Name, address)
				}
				addresses[address] = member.Name
			}
			if advertised := node.GetAdvertisedAddress(); advertised != member.Relay {
				t.Errorf("%s advertises %q, its relay is %q", member.Name, advertised, member.Relay)
			}
		}
	}
}

func TestVotersAreInDistinctZones(t *testing.T) {
	zones := map[int]bool{}
	for _, member := range newFleet(t, false).Members(fleet.KindCore) {
		if member.Founder {
			zones[member.Zone] = true
		}
	}
	if len(zones) != 3 {
		t.Fatalf("three voters in %d zones", len(zones))
	}
}

func TestReplacedCoreMemberIsNewAndJoins(t *testing.T) {
	f := newFleet(t, true)
	former := f.Members(fleet.KindCore)[0]
	const stream = 1
	fresh, err := f.Replace(t.Context(), former, rand.New(rand.NewPCG(1, stream)))
	if err != nil {
		t.Fatal(err)
	}
	if fresh.Name == former.Name || fresh.Internal == former.Internal || fresh.Founder {
		t.Fatalf("replaced %+v by %+v", former, fresh)
	}
	seeds := load(t, f, fresh).GetSeeds()
	if len(seeds) != 3 {
		t.Fatalf("seeds %v", seeds)
	}
	for _, seed := range seeds {
		if seed == former.PeerAddress() || seed == fresh.PeerAddress() {
			t.Errorf("seed %s is of no other living process", seed)
		}
	}
}

func TestBundleIsSound(t *testing.T) {
	made := newFleet(t, false).Bundle(1)
	if _, faults := bundle.Check(&protocol.Bundle{}, made); len(faults) > 0 {
		t.Fatalf("faults %v", faults)
	}
	groups := map[string]bool{}
	for _, route := range made.GetRoutes() {
		groups[route.GetGroup()] = true
		if route.GetNonRepeatable() != site.NonRepeatable(route.GetTool()) {
			t.Errorf("route %s", route.GetName())
		}
	}
	if len(groups) != 2 || !groups[site.GroupModels] || !groups[site.GroupTools] {
		t.Fatalf("groups %v", groups)
	}
}
