package fleet

import (
	"encoding/json"
	"os"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/testing/lab/backends"
	"github.com/rosestand/rosestand/internal/testing/lab/site"
	"github.com/rosestand/rosestand/internal/testing/lab/standin"
)

const (
	region          = "lab"
	seedCount       = 3
	stopGraceMillis = 10_000
)

// writeSettings writes the settings file of a member.
func (f *Fleet) writeSettings(member *Member) error {
	if member.Kind == KindBackEnd {
		return f.writeBackEndSettings(member)
	}
	content, err := protojson.MarshalOptions{Multiline: true}.Marshal(f.daemonSettings(member))
	if err != nil {
		return errors.Wrap(err, "encode settings")
	}
	return errors.Wrap(os.WriteFile(f.settingsFile(member), content, 0o644), "write settings")
}

func (f *Fleet) daemonSettings(member *Member) proto.Message {
	node := f.nodeSettings(member)
	switch member.Kind {
	case KindCore:
		settings := &protocol.CoreSettings{
			Node:              node,
			TargetVoters:      uint32(f.options.Sizes.Voters),
			OperatorTokenFile: f.secrets.operatorTokenFile,
			SignOffKeys:       []string{signKeyName + ":" + f.secrets.signOffPublic},
		}
		if member.Founder {
			settings.Founders = f.foundersAtStart
		}
		return settings
	case KindStore:
		return &protocol.StoreSettings{Node: node}
	default:
		return &protocol.FrontSettings{Node: node}
	}
}

func (f *Fleet) nodeSettings(member *Member) *protocol.NodeSettings {
	node := &protocol.NodeSettings{
		Name: member.Name, Zone: f.options.Sizes.ZoneName(member.Zone), Region: region,
		InternalAddress: member.Internal, HttpAddress: member.HTTP,
		Seeds: f.seeds(member), ClusterKeyFile: f.secrets.clusterKeyFile,
		LogLevel: f.options.LogLevel, StopGraceMillis: stopGraceMillis, AdvertisedAddress: member.Relay,
	}
	if member.Kind != KindFront {
		node.DataFolder = f.dataFolder(member)
	}
	return node
}

func (f *Fleet) founders() []string {
	var addresses []string
	for _, member := range f.Members(KindCore) {
		if member.Founder {
			addresses = append(addresses, member.PeerAddress())
		}
	}
	return addresses
}

// seeds are core processes as of now; any process would do.
func (f *Fleet) seeds(of *Member) []string {
	var others []string
	for _, member := range f.Members(KindCore) {
		if member != of {
			others = append(others, member.PeerAddress())
		}
	}
	return others[:min(seedCount, len(others))]
}

func (f *Fleet) writeBackEndSettings(member *Member) error {
	settings := backends.Settings{
		Fronts: f.FrontAddresses(), JournalFolder: f.JournalFolder(), Servers: []backends.Server{f.backEnd(member)},
	}
	content, err := json.MarshalIndent(&settings, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode settings")
	}
	return errors.Wrap(os.WriteFile(f.settingsFile(member), content, 0o644), "write settings")
}

func (f *Fleet) backEnd(member *Member) backends.Server {
	server := backends.Server{
		ID: member.Name, Address: member.HTTP, Zone: f.options.Sizes.ZoneName(member.Zone), Region: region,
		Faults: f.options.Faults,
	}
	if member.Tool {
		server.Kind = standin.KindToolServer
		server.Group = site.GroupTools
		server.Tools = site.Tools()
		return server
	}
	server.Kind = standin.KindModelServer
	server.Group = site.GroupModels
	server.Models = site.Models()
	server.Rates = f.options.Rates
	return server
}
