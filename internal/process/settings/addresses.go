package settings

import (
	"net/netip"
	"strings"

	"github.com/rosestand/rosestand/internal/protocol"
)

// replaceSeedPorts replaces the port of each seed and founder by node.seed_port,
// for a deployment that knows the machines of the core, but not their internal
// port. Malformed addresses stay as they are, for the check to name them.
func replaceSeedPorts(message Message) {
	node := message.GetNode()
	if node.GetSeedPort() == 0 {
		return
	}
	port := uint16(node.GetSeedPort())
	replacePorts(node.GetSeeds(), port)
	if core, isCore := any(message).(*protocol.CoreSettings); isCore {
		replacePorts(core.GetFounders(), port)
	}
}

func replacePorts(addresses []string, port uint16) {
	for index, text := range addresses {
		if address, err := netip.ParseAddrPort(text); err == nil {
			addresses[index] = netip.AddrPortFrom(address.Addr(), port).String()
		}
	}
}

// Region returns the region of a zone by the pairs of zone_regions; empty if none names the zone.
func Region(pairs []string, zone string) string {
	for _, pair := range pairs {
		if name, region, isPair := strings.Cut(pair, "="); isPair && name == zone {
			return region
		}
	}
	return ""
}
