// Package bundletest makes bundles for tests and benchmarks: a small one in which
// hardly any field is zero, and large ones of any size. Only tests may import it.
package bundletest

import (
	"crypto/ed25519"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"fmt"

	"github.com/gullhaven/gullhaven/bundle"
)

// Operators are the ids of the sample's operators; Key returns their keys.
var Operators = []string{"ayu", "budi", "citra"}

// Key returns the key of an operator or of any other name, the same for each call.
func Key(name string) ed25519.PrivateKey {
	seed := sha256.Sum256([]byte("operator " + name))
	return ed25519.NewKeyFromSeed(seed[:])
}

// Operator returns the entry of an operator in a bundle.
func Operator(name string) bundle.Operator {
	public := Key(name).Public().(ed25519.PublicKey)
	return bundle.Operator{ID: name, PublicKey: base64.StdEncoding.EncodeToString(public)}
}

// Sign returns a bundle with sign-offs of the named operators.
func Sign(b *bundle.Bundle, names ...string) *bundle.Signed {
	id, err := b.Identity()
	if err != nil {
		panic(err) // All field types can be encoded.
	}
	signed := &bundle.Signed{Bundle: *b}
	for _, name := range names {
		signed.Signatures = append(signed.Signatures, bundle.Sign(id, name, Key(name)))
	}
	return signed
}

// KeyHash returns the hash of a workspace key as Workspace.KeyHashes has it.
func KeyHash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Sample returns a valid bundle in which hardly any field is zero. Each call makes
// a new copy.
func Sample() *bundle.Bundle {
	return &bundle.Bundle{
		Version:    1,
		Note:       "first",
		Operators:  []bundle.Operator{Operator("ayu"), Operator("budi"), Operator("citra")},
		SignOffs:   2,
		Regions:    sampleRegions(),
		Models:     []bundle.Model{sampleModel("scribe")},
		Services:   sampleServices(),
		Targets:    sampleTargets(),
		Workspaces: sampleWorkspaces(),
		Rules: bundle.Rules{
			MaxAttempts: 3, RetryBudget: 0.1, HedgeAfterMillis: 400, ClaimLifetimeSeconds: 86400,
			DrainSeconds: 60, WeightStoreBytesPerSecond: 1e9, MaxConcurrentLoads: 2,
		},
	}
}

func sampleRegions() []bundle.Region {
	link := func(to string) []bundle.Neighbour {
		return []bundle.Neighbour{{Region: to, OneWayMillis: 80, MaxShare: 0.2}}
	}
	return []bundle.Region{
		{ID: "bali", Zones: []string{"denpasar-hall"}, ClaimsHome: "jatim", Neighbours: link("jatim")},
		{ID: "jatim", Zones: []string{"malang-hall", "batu-hall"}, ClaimsHome: "jatim", Neighbours: link("bali")},
	}
}

func sampleModel(id string) bundle.Model {
	return bundle.Model{
		ID:            id,
		ContextTokens: 32768,
		Versions:      []bundle.ModelVersion{{ID: "v1", Weights: id + "/v1", SizeBytes: 16e9}},
		Adapters:      []bundle.Adapter{{ID: "id", Weights: id + "/id", SizeBytes: 2e8}},
	}
}

func sampleServices() []bundle.Service {
	return []bundle.Service{
		{
			ID: "booking-desk", Kind: bundle.KindPlain, NonIdempotent: true,
			Residency: []string{"bali", "jatim"}, DefaultDeadlineMillis: 5000,
			Objective: bundle.Objective{FirstTokenMillis: 300, Share: 0.999},
		},
		{
			ID: "briefing-llm", Kind: bundle.KindModel, Model: "scribe", Version: "v1", Adapters: []string{"id"},
			Residency: []string{"bali", "jatim"}, DefaultDeadlineMillis: 60000,
			Objective: bundle.Objective{FirstTokenMillis: 800, BetweenTokensMillis: 60, Share: 0.99},
		},
	}
}

func sampleTargets() []bundle.Target {
	return []bundle.Target{
		{
			ID: "briefing-1", Service: "briefing-llm", Region: "bali", Zone: "denpasar-hall",
			State: bundle.TargetActive, Role: bundle.RoleBoth, Address: "127.0.0.1:9001", Slots: 8,
			PrefillTokensPerSecond: 8000, DecodeTokensPerSecond: 1400, CostPerSecond: 1.5,
			ChecksFence: true, OrderExpiryMillis: 3000,
		},
		{
			ID: "desk-1", Service: "booking-desk", Region: "jatim", Zone: "malang-hall",
			State: bundle.TargetLeaving, Address: "127.0.0.1:9002", Slots: 32,
			CostPerSecond: 0.1, ChecksFence: true, OrderExpiryMillis: 3000,
		},
	}
}

func sampleWorkspaces() []bundle.Workspace {
	return []bundle.Workspace{{
		ID: "pilots", KeyHashes: []string{KeyHash("pilots-key")}, Home: "jatim",
		Residency: []string{"jatim", "bali"}, MaxPriority: 9, Weight: 2,
		Limits: bundle.Limits{RequestsPerSecond: 50, TokensPerSecond: 20000},
	}}
}

// Size is the size of a large bundle, in items of each kind.
type Size struct {
	Workspaces, Targets, Models, Regions, Zones int
}

// FullSize is the size that the system must support.
var FullSize = Size{Workspaces: 10_000, Targets: 690, Models: 36, Regions: 11, Zones: 40}

// Large returns a valid bundle of a size.
func Large(size Size) *bundle.Bundle {
	b := Sample()
	b.Regions, b.Models, b.Services, b.Targets, b.Workspaces = nil, nil, nil, nil, nil
	for i := range size.Regions {
		b.Regions = append(b.Regions, bundle.Region{ID: fmt.Sprintf("region-%02d", i)})
	}
	for i := range size.Zones {
		region := &b.Regions[i%size.Regions]
		region.Zones = append(region.Zones, fmt.Sprintf("zone-%02d", i))
	}
	for i := range size.Models {
		model := sampleModel(fmt.Sprintf("model-%02d", i))
		service := sampleServices()[1]
		service.ID, service.Model, service.Residency = "service-"+model.ID, model.ID, nil
		b.Models = append(b.Models, model)
		b.Services = append(b.Services, service)
	}
	for i := range size.Targets {
		b.Targets = append(b.Targets, largeTarget(b, i))
	}
	for i := range size.Workspaces {
		b.Workspaces = append(b.Workspaces, largeWorkspace(b, i))
	}
	return b
}

func largeTarget(b *bundle.Bundle, i int) bundle.Target {
	const targetsPerAddress = 250
	target := sampleTargets()[0]
	region := b.Regions[i%len(b.Regions)]
	target.ID = fmt.Sprintf("target-%04d", i)
	target.Service = b.Services[i%len(b.Services)].ID
	target.Region, target.Zone = region.ID, region.Zones[i%len(region.Zones)]
	target.Address = fmt.Sprintf("10.0.%d.%d:8000", i/targetsPerAddress, i%targetsPerAddress+1)
	return target
}

func largeWorkspace(b *bundle.Bundle, i int) bundle.Workspace {
	workspace := sampleWorkspaces()[0]
	workspace.ID = fmt.Sprintf("workspace-%05d", i)
	workspace.KeyHashes = []string{KeyHash(workspace.ID)}
	workspace.Home = b.Regions[i%len(b.Regions)].ID
	workspace.Residency = []string{workspace.Home}
	return workspace
}
