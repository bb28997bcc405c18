package bundle_test

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/controlplane/bundle"
	"github.com/rosestand/rosestand/internal/transport/strictjson"
)

// FuzzParse checks that any document is either rejected or has the same digest and size after a round trip.
func FuzzParse(f *testing.F) {
	seed, err := strictjson.Marshal(bundle.Default(1))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(seed)
	f.Add([]byte(`{"version":1,"routes":[{"name":"a"}],"groups":[{"zone_weights":{"z":1}}]}`))
	f.Add([]byte(`{"base_version":"2","partial":true,"removedRoutes":["x"],"limits":null}`))
	f.Fuzz(func(t *testing.T, document []byte) {
		parsed, err := bundle.Parse(document)
		if err != nil {
			return
		}
		bundle.Check(nil, parsed)
		encoded, err := strictjson.Marshal(parsed)
		if err != nil {
			t.Fatal(err)
		}
		again, err := bundle.Parse(encoded)
		if err != nil {
			t.Fatalf("parsing the encoded bundle: %v\n%s", err, encoded)
		}
		if bundle.Digest(parsed) != bundle.Digest(again) || proto.Size(parsed) != proto.Size(again) {
			t.Fatalf("encoding and parsing changed %v to %v", parsed, again)
		}
	})
}
