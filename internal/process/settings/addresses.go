package settings

import (
	"net/netip"
	"strings"

	"github.com/rosestand/rosestand/internal/protocol"
)

// replaceSeedPorts replaces the port of each seed and founder by node.seed_port, for
// deployments that configure the addresses of the core's machines without their
// internal port. Malformed addresses are left unchanged, and the check reports them.
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

// Region returns the region that the pairs of zone_regions assign to a zone, or "" if no pair has the zone.
func Region(pairs []string, zone string) string {
	for _, pair := range pairs {
		if name, region, isPair := strings.Cut(pair, "="); isPair && name == zone {
			return region
		}
	}
	return ""
}
