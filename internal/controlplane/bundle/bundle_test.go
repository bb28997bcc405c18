package bundle_test

import (
	"crypto/ed25519"
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/rosestand/rosestand/internal/controlplane/bundle"
	"github.com/rosestand/rosestand/internal/process/settings/signoffkey"
	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/transport/strictjson"
)

func TestMarshalAndParseRoundTrip(t *testing.T) {
	encoded, err := strictjson.Marshal(bundle.Default(3))
	if err != nil {
		t.Fatal(err)
	}
	parsed, err := bundle.Parse(encoded)
	if err != nil || !proto.Equal(parsed, bundle.Default(3)) {
		t.Fatalf("got %v, error %v, want %v", parsed, err, bundle.Default(3))
	}
}

func TestDefaultBundleHasNoFaults(t *testing.T) {
	merged, faults := bundle.Check(nil, bundle.Default(1))
	if len(faults) > 0 {
		t.Fatalf("got faults %v, want none", faults)
	}
	index := bundle.NewIndex(merged)
	if route := index.Tool(bundle.TenantCaroni, bundle.ToolValvePlan); !route.GetNonRepeatable() {
		t.Fatalf("route of tool %s is repeatable or absent: %v", bundle.ToolValvePlan, route)
	}
	if index.Model(bundle.TenantMenon, bundle.ModelClimateAdvisor) != nil ||
		!index.KnownModel(bundle.ModelClimateAdvisor) {
		t.Fatalf("model %s must have a route, but not for tenant %s", bundle.ModelClimateAdvisor, bundle.TenantMenon)
	}
}

func TestCheckListsAllFaultsTogether(t *testing.T) {
	faulty := &protocol.Bundle{
		Routes: []*protocol.Route{
			{Name: "a", Model: "m", Tool: "t", Group: "g"},
			{Name: "a", Model: "m", Group: "absent"},
			{Name: "b", Group: "g", NonRepeatable: true},
			{Name: "c", Tenant: "nobody", Model: "m2", Group: "g"},
			{Name: "d", Model: "m2", Group: "g"},
			{Name: "e", Model: "m2", Group: "g"},
		},
		Groups: []*protocol.ServerGroup{
			{Name: "g", ZoneWeights: map[string]uint32{"z": bundle.MaxZoneWeight + 1}}, {},
		},
		Tenants:       []*protocol.TenantPolicy{{Name: "t", CredentialSha256: "XY", RequestsPerSecond: -1}},
		Scheduling:    &protocol.SchedulingPolicy{Algorithm: 77, LoadBound: 0.5},
		Limits:        &protocol.LimitPolicy{RetryPercent: 101},
		SignOffKeys:   []*protocol.SignOffKey{{Name: "k", PublicKey: "00"}},
		RemovedRoutes: []string{"x"},
	}
	merged, faults := bundle.Check(nil, faulty)
	if merged != nil {
		t.Fatalf("got merged bundle %v for one with faults, want none", merged)
	}
	faultByPath := map[string]string{}
	for _, fault := range faults {
		faultByPath[fault.GetPath()] = fault.GetMessage()
	}
	for _, path := range []string{
		"version", "routes[0]", "routes[1].name", "routes[1].group", "routes[2]", "routes[2].non_repeatable",
		"routes[3].tenant",
		"routes[5]", "groups[0].zone_weights[z]", "groups[1].name", "tenants[0].credential_sha256",
		"tenants[0].requests_per_second", "scheduling.algorithm", "scheduling.load_bound", "limits.retry_percent",
		"sign_off_keys[0].public_key", "removed_routes",
	} {
		if faultByPath[path] == "" {
			t.Errorf("no fault at %s; got faults %v", path, faultByPath)
		}
	}
}

func TestFaultsOfAPartialBundleNameEntriesOfTheBase(t *testing.T) {
	base, _ := bundle.Check(nil, bundle.Default(1))
	_, faults := bundle.Check(base, &protocol.Bundle{
		Version: 2, BaseVersion: 1, Partial: true,
		RemovedGroups: []string{bundle.GroupAdvisors, "absent"},
	})
	text := fmt.Sprint(faults)
	for _, expected := range []string{"routes[name=caroni-climate-advisor].group", "removed_groups[1]"} {
		if !strings.Contains(text, expected) {
			t.Errorf("path %s is missing in faults %s", expected, text)
		}
	}
}

func TestDigestDependsOnContentNotOrder(t *testing.T) {
	first, second := bundle.Default(1), bundle.Default(1)
	second.Routes[0], second.Routes[1] = second.Routes[1], second.Routes[0]
	if bundle.Digest(first) != bundle.Digest(second) {
		t.Fatal("the order of routes changed the digest")
	}
	second.Limits.MaxQueued++
	if bundle.Digest(first) == bundle.Digest(second) {
		t.Fatal("another limit did not change the digest")
	}
}

// TestCanonicalEncodingIsValidProtobuf checks that the protobuf library decodes the canonical encoding without loss.
func TestCanonicalEncodingIsValidProtobuf(t *testing.T) {
	original := bundle.Default(9)
	original.Groups[0].ZoneWeights = map[string]uint32{"z2": 2, "z1": 0, "z3": 9}
	decoded := &protocol.Bundle{}
	if err := proto.Unmarshal(bundle.Encode(original), decoded); err != nil {
		t.Fatal(err)
	}
	if bundle.Digest(decoded) != bundle.Digest(original) || len(decoded.GetRoutes()) != len(original.GetRoutes()) ||
		decoded.GetGroups()[0].GetZoneWeights()["z3"] != 9 {
		t.Fatalf("decoded bundle differs: got %v, want %v", decoded, original)
	}
}

func TestVerifyAcceptsOnlySignaturesOfTheNamedKey(t *testing.T) {
	public, private, err := ed25519.GenerateKey(rand.NewChaCha8([32]byte{1}))
	if err != nil {
		t.Fatal(err)
	}
	keys, err := signoffkey.Parse([]string{"ann:" + hex.EncodeToString(public)})
	if err != nil {
		t.Fatal(err)
	}
	digest := bundle.Digest(bundle.Default(1))
	signature := bundle.Sign(private, digest)
	if err := bundle.Verify(keys, "ann", digest, signature); err != nil {
		t.Fatal(err)
	}
	for name, err := range map[string]error{
		"other key":    bundle.Verify(keys, "bob", digest, signature),
		"other digest": bundle.Verify(keys, "ann", bundle.Digest(bundle.Default(2)), signature),
		"malformed":    bundle.Verify(keys, "ann", digest, "zz"),
	} {
		var signatureError *bundle.SignatureError
		if !errors.As(err, &signatureError) {
			t.Errorf("%s: got error %v, want a SignatureError", name, err)
		}
	}
}

// drawBundle returns a merged bundle with few possible names, so that two bundles often have entries of the same name.
func drawBundle(t *rapid.T, version uint64, label string) *protocol.Bundle {
	complete := &protocol.Bundle{
		Version: version, Limits: &protocol.LimitPolicy{MaxQueued: rapid.Uint32Range(0, 2).Draw(t, label+"queued")},
	}
	for i := range 3 {
		name := fmt.Sprintf("g%d", i)
		weight := rapid.Uint32Range(0, 2).Draw(t, label+name)
		complete.Groups = append(
			complete.Groups, &protocol.ServerGroup{Name: name, ZoneWeights: map[string]uint32{"z": weight}},
		)
	}
	for i := range rapid.IntRange(0, 6).Draw(t, label+"routes") {
		group := fmt.Sprintf("g%d", rapid.IntRange(0, 2).Draw(t, label+"group"))
		name := fmt.Sprintf("r%d", i+rapid.IntRange(0, 2).Draw(t, label+"shift")*10)
		complete.Routes = append(complete.Routes, &protocol.Route{Name: name, Model: name, Group: group})
	}
	for i := range rapid.IntRange(0, 4).Draw(t, label+"http routes") {
		route := httpRoute(
			fmt.Sprintf("h%d", i+rapid.IntRange(0, 2).Draw(t, label+"http shift")*10), "host", fmt.Sprintf("/%d/", i),
		)
		route.Targets[0].Weight = rapid.Uint32Range(1, 2).Draw(t, label+"http weight")
		complete.HttpRoutes = append(complete.HttpRoutes, route)
	}
	merged, faults := bundle.Check(nil, complete)
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	return merged
}

func TestPartialBundlesAndDeltasProduceTheActiveConfiguration(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		from, to := drawBundle(t, 1, "from"), drawBundle(t, 2, "to")
		candidate := drawBundle(t, 3, "candidate")
		step, possible := bundle.MakePartial(from, to)
		if !possible {
			t.Fatalf("no partial bundle from %v to %v", from, to)
		}
		if merged := bundle.Merge(from, step); !proto.Equal(merged, to) {
			t.Fatalf("partial bundle results in %v, want %v", merged, to)
		}
		configuration := &protocol.Configuration{
			Version: 20, Active: to, ActiveDigest: bundle.Digest(to), Candidate: candidate,
			CandidateDigest: bundle.Digest(candidate),
			Rollout:         &protocol.Rollout{CandidateVersion: 3},
		}
		delta, _ := bundle.MakeDelta(10, []*protocol.Bundle{step}, configuration)
		applied, err := bundle.ApplyDelta(
			&protocol.Configuration{Version: 10, Active: from, ActiveDigest: bundle.Digest(from)}, delta,
		)
		if err != nil || !proto.Equal(applied, configuration) {
			t.Fatalf("delta results in %v, error %v, want %v", applied, err, configuration)
		}
		if difference := bundle.Compare(from, to); difference.Empty() != (bundle.Digest(
			bundle.Merge(from, &protocol.Bundle{Partial: true, Version: 2}),
		) == bundle.Digest(to)) {
			t.Fatalf("difference is empty: %v, want the opposite: %v", difference.Empty(), difference)
		}
	})
}

func TestDeltaWithAnotherBaseOrDigestIsRejected(t *testing.T) {
	active, _ := bundle.Check(nil, bundle.Default(1))
	current := &protocol.Configuration{Version: 10, Active: active, ActiveDigest: bundle.Digest(active)}
	step := &protocol.Bundle{Version: 2, BaseVersion: 1, Partial: true, Limits: &protocol.LimitPolicy{MaxQueued: 1}}
	wrongBase := proto.CloneOf(step)
	wrongBase.BaseVersion = 7
	for name, delta := range map[string]*protocol.ConfigurationDelta{
		"other base":   {BaseVersion: 9, Version: 20},
		"other bundle": {BaseVersion: 10, Version: 20, ActiveSteps: []*protocol.Bundle{wrongBase}},
		"other digest": {BaseVersion: 10, Version: 20, ActiveSteps: []*protocol.Bundle{step}, ActiveDigest: "00"},
	} {
		var deltaError *bundle.DeltaError
		if _, err := bundle.ApplyDelta(current, delta); !errors.As(err, &deltaError) {
			t.Errorf("%s: got error %v, want a DeltaError", name, err)
		}
	}
}

// manyRoutes returns a merged bundle with a given number of routes over 490 tenants, like that of the Menon site.
func manyRoutes(count int) *protocol.Bundle {
	complete := &protocol.Bundle{Version: 1, Groups: []*protocol.ServerGroup{{Name: "assistants"}}}
	for i := range count {
		tenant := fmt.Sprintf("tenant-%03d", i%490)
		if i < 490 {
			complete.Tenants = append(complete.Tenants, &protocol.TenantPolicy{Name: tenant})
		}
		model := fmt.Sprintf("model-%02d", i/490)
		complete.Routes = append(
			complete.Routes,
			&protocol.Route{Name: fmt.Sprintf("%s-%s", tenant, model), Tenant: tenant, Model: model, Group: "assistants"},
		)
	}
	merged, faults := bundle.Check(nil, complete)
	if len(faults) > 0 {
		panic(faults)
	}
	return merged
}

func BenchmarkTenThousandRoutes(b *testing.B) {
	complete := manyRoutes(10_000)
	partial := &protocol.Bundle{
		Version: 2, BaseVersion: 1, Partial: true,
		Routes: []*protocol.Route{{Name: "extra", Model: "extra", Group: "assistants"}},
	}
	b.Run("digest", func(b *testing.B) {
		for b.Loop() {
			bundle.Digest(complete)
		}
	})
	b.Run("check partial", func(b *testing.B) {
		for b.Loop() {
			bundle.Check(complete, partial)
		}
	})
	b.Run("index", func(b *testing.B) {
		for b.Loop() {
			bundle.NewIndex(complete)
		}
	})
	index := bundle.NewIndex(complete)
	b.Run("lookup", func(b *testing.B) {
		for b.Loop() {
			index.Model("tenant-007", "model-11")
		}
	})
}
