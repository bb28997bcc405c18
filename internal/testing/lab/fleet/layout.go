package fleet

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"path/filepath"
)

// Kind is the kind of a process of the fleet.
type Kind string

// Kinds of processes.
const (
	KindCore    Kind = "core"
	KindStore   Kind = "store"
	KindFront   Kind = "front"
	KindBackEnd Kind = "backend"
)

// Member is the place of one process in the fleet; it outlives restarts.
type Member struct {
	Name string
	Kind Kind
	// Zone counts from 0.
	Zone int
	// Internal and HTTP are the addresses it listens on; a back end has HTTP only.
	Internal string
	HTTP     string
	// Relay is the address that other processes use in place of Internal, empty without relays.
	Relay string
	// Founder is true for the core processes that found the cluster.
	Founder bool
	// Tool is true for a tool server.
	Tool bool
}

// layout places the processes of a fleet of the sizes.
func layout(ctx context.Context, options Options, random *rand.Rand) ([]*Member, error) {
	sizes := options.Sizes
	var members []*Member
	add := func(kind Kind, prefix string, count int, change func(*Member, int)) {
		for i := range count {
			member := &Member{Name: fmt.Sprintf("%s-%d", prefix, i+1), Kind: kind, Zone: sizes.ZoneOf(i)}
			change(member, i)
			members = append(members, member)
		}
	}
	plain := func(*Member, int) {}
	add(KindCore, "core", sizes.Voters+sizes.Standbys, func(m *Member, i int) { m.Founder = i < sizes.Voters })
	add(KindStore, "store", sizes.Stores, plain)
	add(KindFront, "front", sizes.Fronts, plain)
	add(KindBackEnd, "model", sizes.ModelServers, plain)
	add(KindBackEnd, "tool", sizes.ToolServers, func(m *Member, _ int) { m.Tool = true })
	return members, addresses(ctx, members, options, random)
}

// addresses assigns free ports; the first front node and the first core member get the requested ones.
func addresses(ctx context.Context, members []*Member, options Options, random *rand.Rand) error {
	free, err := freePorts(ctx, 2*len(members), random)
	if err != nil {
		return err
	}
	for i, member := range members {
		if member.Kind != KindBackEnd {
			member.Internal = free[2*i]
		}
		member.HTTP = free[2*i+1]
	}
	if options.FirstFrontHTTP != "" {
		first(members, KindFront).HTTP = options.FirstFrontHTTP
	}
	if options.FirstCoreHTTP != "" {
		first(members, KindCore).HTTP = options.FirstCoreHTTP
	}
	return nil
}

// PeerAddress is where other processes reach the member.
func (m *Member) PeerAddress() string { return cmp.Or(m.Relay, m.Internal) }

func first(members []*Member, kind Kind) *Member {
	for _, member := range members {
		if member.Kind == kind {
			return member
		}
	}
	return &Member{}
}

func (f *Fleet) dataFolder(member *Member) string {
	return filepath.Join(f.options.Folder, "data", member.Name)
}

func (f *Fleet) settingsFile(member *Member) string {
	return filepath.Join(f.options.Folder, "settings", member.Name+".json")
}

// LogFile is where a member's output goes.
func (f *Fleet) LogFile(member *Member) string {
	return filepath.Join(f.options.Folder, "logs", member.Name+".log")
}

// JournalFolder holds the journals of the stand-ins.
func (f *Fleet) JournalFolder() string { return filepath.Join(f.options.Folder, "journals") }
