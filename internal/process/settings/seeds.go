package settings

import (
	"net/netip"
	"strings"

	"github.com/rosestand/rosestand/internal/protocol"
)

// replaceSeedPorts puts node.seed_port in place of the port of each seed and
// founder, for a deployment that knows the machines of the core but is told
// another port of them. Addresses that cannot be read stay, so that the check names them.
func replaceSeedPorts(message Message) {
	node := message.GetNode()
	if node.GetSeedPort() == 0 {
		return
	}
	port := uint16(node.GetSeedPort())
	withPort(node.GetSeeds(), port)
	if core, isCore := any(message).(*protocol.CoreSettings); isCore {
		withPort(core.GetFounders(), port)
	}
}

func withPort(addresses []string, port uint16) {
	for index, text := range addresses {
		if address, err := netip.ParseAddrPort(text); err == nil {
			addresses[index] = netip.AddrPortFrom(address.Addr(), port).String()
		}
	}
}

// Region gives the region of a zone by the pairs of zone_regions, or nothing when no pair names the zone.
func Region(pairs []string, zone string) string {
	for _, pair := range pairs {
		if name, region, found := strings.Cut(pair, "="); found && name == zone {
			return region
		}
	}
	return ""
}
