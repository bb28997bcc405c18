package settings_test

import (
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/rosestand/rosestand/internal/process/settings"
	"github.com/rosestand/rosestand/internal/protocol"
)

// siteLayout holds the example settings of one site.
type siteLayout struct {
	cores  []*protocol.CoreSettings
	stores []*protocol.StoreSettings
	fronts []*protocol.FrontSettings
}

func (l *siteLayout) nodes() []*protocol.NodeSettings {
	var nodes []*protocol.NodeSettings
	for _, core := range l.cores {
		nodes = append(nodes, core.GetNode())
	}
	for _, store := range l.stores {
		nodes = append(nodes, store.GetNode())
	}
	for _, front := range l.fronts {
		nodes = append(nodes, front.GetNode())
	}
	return nodes
}

// readSite loads every example of a site and checks it as --check-config does, except for the files that it names.
func readSite(t *testing.T, site string) *siteLayout {
	t.Helper()
	paths, err := filepath.Glob(filepath.Join("../../../deploy", site, "*.json"))
	if err != nil {
		t.Fatal(err)
	}
	layout := &siteLayout{}
	for _, path := range paths {
		name := filepath.Base(path)
		switch {
		case strings.HasPrefix(name, "core-"):
			layout.cores = append(layout.cores, readExample(t, settings.Core, path))
		case strings.HasPrefix(name, "store-"):
			layout.stores = append(layout.stores, readExample(t, settings.Store, path))
		case strings.HasPrefix(name, "front-"):
			layout.fronts = append(layout.fronts, readExample(t, settings.Front, path))
		default:
			t.Errorf("%s: file name has no prefix core-, store- or front-", path)
		}
	}
	return layout
}

func readExample[S settings.Message](t *testing.T, kind settings.Kind[S], path string) S {
	t.Helper()
	document, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	loaded, err := kind.Parse(document)
	if err == nil {
		err = kind.Complete(loaded)
	}
	if err != nil {
		t.Fatalf("%s: %v", path, err)
	}
	if name := strings.TrimSuffix(filepath.Base(path), ".json"); loaded.GetNode().GetName() != name {
		t.Errorf("%s: node.name is %q, want %q", path, loaded.GetNode().GetName(), name)
	}
	return loaded
}

func machineOf(t *testing.T, node *protocol.NodeSettings) netip.Addr {
	t.Helper()
	address, err := netip.ParseAddrPort(node.GetInternalAddress())
	if err != nil {
		t.Fatal(err)
	}
	return address.Addr()
}

func TestExampleSettingsOfTheSites(t *testing.T) {
	for site, fronts := range map[string]int{"caroni": 10, "menon": 11} {
		t.Run(site, func(t *testing.T) {
			layout := readSite(t, site)
			if len(layout.cores) != 4 || len(layout.stores) != 4 || len(layout.fronts) != fronts {
				t.Fatalf("got %d cores, %d stores and %d front nodes, want 4, 4 and %d",
					len(layout.cores), len(layout.stores), len(layout.fronts), fronts)
			}
			checkAddresses(t, layout)
			checkReplicaSpread(t, layout)
			checkFounders(t, layout)
		})
	}
}

// checkAddresses checks that names and addresses are unique and that seeds are other processes of the site.
func checkAddresses(t *testing.T, layout *siteLayout) {
	t.Helper()
	seen := map[string]bool{}
	internal := map[string]bool{}
	for _, node := range layout.nodes() {
		for _, value := range []string{node.GetName(), node.GetInternalAddress(), node.GetHttpAddress()} {
			if seen[value] {
				t.Errorf("%s is used twice", value)
			}
			seen[value] = true
		}
		internal[node.GetInternalAddress()] = true
	}
	for _, node := range layout.nodes() {
		if len(node.GetSeeds()) != 3 {
			t.Errorf("%s has %d seeds, want 3", node.GetName(), len(node.GetSeeds()))
		}
		for _, seed := range node.GetSeeds() {
			if !internal[seed] || seed == node.GetInternalAddress() {
				t.Errorf("%s: seed %s is not the internal address of another process of the site", node.GetName(), seed)
			}
		}
	}
}

// checkReplicaSpread checks that no machine has two core processes or two stores,
// that cores and stores are on different machines, and that each zone has one of each.
func checkReplicaSpread(t *testing.T, layout *siteLayout) {
	t.Helper()
	machines := map[netip.Addr]string{}
	zones := map[string]int{}
	place := func(node *protocol.NodeSettings, kind string) {
		machine := machineOf(t, node)
		if other := machines[machine]; other != "" {
			t.Errorf("%s shares machine %s with %s", node.GetName(), machine, other)
		}
		machines[machine] = node.GetName()
		zones[kind+node.GetZone()]++
	}
	for _, core := range layout.cores {
		place(core.GetNode(), "core ")
	}
	for _, store := range layout.stores {
		place(store.GetNode(), "store ")
	}
	if len(zones) != 8 {
		t.Errorf("cores and stores by zone: %v, want one of each in 4 zones", zones)
	}
	colocated := 0
	for _, front := range layout.fronts {
		if machines[machineOf(t, front.GetNode())] != "" {
			colocated++
		}
	}
	if colocated != 4 {
		t.Errorf("%d front nodes share a machine with a core or a store, want 4", colocated)
	}
}

// checkFounders checks that three core processes list the same founders, themselves included, and that the fourth
// lists none and joins.
func checkFounders(t *testing.T, layout *siteLayout) {
	t.Helper()
	founding := 0
	for _, core := range layout.cores {
		own := core.GetNode().GetInternalAddress()
		if len(core.GetFounders()) == 0 {
			continue
		}
		founding++
		if !slices.Contains(core.GetFounders(), own) || !slices.Equal(core.GetFounders(), layout.cores[0].GetFounders()) {
			t.Errorf("%s: founders %v, want %v including %s",
				core.GetNode().GetName(), core.GetFounders(), layout.cores[0].GetFounders(), own)
		}
	}
	if founding != 3 {
		t.Errorf("%d core processes have founders, want 3", founding)
	}
}
