package fleet

import (
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"github.com/cockroachdb/errors"

	"github.com/rosestand/rosestand/internal/controlplane/bundle"
	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/testing/lab/site"
)

// Bundle makes a whole bundle for the stand-ins of the laboratory: the default
// one with one group of model servers, one of tool servers and the credentials
// of the fleet.
func (f *Fleet) Bundle(version uint64) *protocol.Bundle {
	made := bundle.Default(version)
	for _, route := range made.GetRoutes() {
		route.Group = site.GroupModels
		if route.GetTool() != "" {
			route.Group = site.GroupTools
		}
	}
	made.Groups = []*protocol.ServerGroup{
		{Name: site.GroupModels, ZoneLocalFirst: true},
		{Name: site.GroupTools},
	}
	for _, tenant := range made.GetTenants() {
		tenant.CredentialSha256 = digestOf(f.secrets.credentials[tenant.GetName()])
	}
	addExampleTenant(made)
	return made
}

func encodeBundle(made *protocol.Bundle) ([]byte, error) {
	content, err := protojson.MarshalOptions{Multiline: true}.Marshal(made)
	return content, errors.Wrap(err, "encode bundle")
}

// CloneBundle copies a bundle so that it can be changed into the next one.
func CloneBundle(made *protocol.Bundle) *protocol.Bundle {
	return proto.Clone(made).(*protocol.Bundle)
}
