package fleet

import (
	"context"
	"net"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/rosestand/rosestand/internal/testing/lab/relay"
)

// addRelays puts relays before the daemons among the members, when the options ask for them.
func (f *Fleet) addRelays(ctx context.Context, members ...*Member) error {
	if !f.options.Relays {
		return nil
	}
	if f.network == nil {
		f.network = relay.NewNetwork(f.nameOf)
	}
	for _, member := range members {
		if member.Kind == KindBackEnd {
			continue
		}
		listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", loopback+":0")
		if err != nil {
			return errors.Wrap(err, "listen for a relay")
		}
		member.Relay = listener.Addr().String()
		//nolint:contextcheck // The relays end with the network, not with the call.
		f.network.Relay(listener, member.Name, member.Internal)
	}
	return nil
}

// nameOf finds the member behind a connection; the rig itself has no name.
func (f *Fleet) nameOf(source net.Addr) string {
	names := f.names.Load()
	if names == nil {
		return ""
	}
	var ids []int
	for id := range *names {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return (*names)[relay.ProcessOf(source, ids)]
}

// publishNames passes the current processes to the relays.
func (f *Fleet) publishNames() {
	names := make(map[int]string, len(f.processes))
	for name, p := range f.processes {
		if p.Running() {
			names[p.ID()] = name
		}
	}
	f.names.Store(&names)
}

// SetPartition partitions the internal links from and to a member, or heals them. When inboundOnly is set, only what
// others send to it is delayed.
func (f *Fleet) SetPartition(member *Member, partitioned, inboundOnly bool) {
	links := []relay.Link{{To: member.Name}}
	if !inboundOnly {
		links = append(links, relay.Link{From: member.Name})
	}
	f.network.SetPartition(partitioned, links...)
}

// SetPartitionBetween partitions the links between two sides, or heals them.
func (f *Fleet) SetPartitionBetween(partitioned bool, left, right []*Member) {
	var links []relay.Link
	for _, a := range left {
		for _, b := range right {
			links = append(links, relay.Link{From: a.Name, To: b.Name}, relay.Link{From: b.Name, To: a.Name})
		}
	}
	f.network.SetPartition(partitioned, links...)
}
