package bundle

import (
	"encoding/hex"
	"fmt"
	"slices"
	"time"

	"github.com/gullhaven/gullhaven/bundle/strict"
	"github.com/gullhaven/gullhaven/coord/claim"
)

// Bounds that Check applies.
const (
	maxShare         = 1.0
	maxPriority      = 9
	maxAttempts      = 10
	dayMillis        = 24 * 60 * 60 * 1000
	maxClaimSeconds  = float64(claim.MaxLifetime / time.Second)
	maxDrainSeconds  = 24 * 60 * 60
	maxRate          = 1e12
	maxOneWayMillis  = 10_000
	maxNoteBytes     = 1000
	digestCharacters = 64
)

// Check returns all problems of a bundle with the path of each invalid field, such
// as `targets[3].service: no such service "x"`. Every instance can apply a bundle
// without problems.
func Check(b *Bundle) Problems {
	c := newChecker(b)
	c.head()
	c.operators()
	c.regions()
	c.models()
	c.services()
	c.targets()
	c.workspaces()
	c.rules()
	return c.problems
}

// checker collects the problems of a bundle; its maps resolve references.
type checker struct {
	*Bundle
	problems      Problems
	regionByID    map[string]*Region
	modelByID     map[string]*Model
	serviceByID   map[string]*Service
	keyHashOwners map[string]string
}

func newChecker(b *Bundle) *checker {
	return &checker{
		Bundle:        b,
		regionByID:    byID(b.Regions, regionID),
		modelByID:     byID(b.Models, modelID),
		serviceByID:   byID(b.Services, serviceID),
		keyHashOwners: map[string]string{},
	}
}

// byID indexes a list by id.
func byID[T any](list []T, id func(T) string) map[string]*T {
	index := make(map[string]*T, len(list))
	for i := range list {
		index[id(list[i])] = &list[i]
	}
	return index
}

// require adds a problem at path unless ok.
func (c *checker) require(ok bool, path, format string, args ...any) {
	if !ok {
		c.problems.Add(path, format, args...)
	}
}

// number requires low <= value <= high; NaN fails too.
func (c *checker) number(path string, value, low, high float64) {
	c.require(value >= low && value <= high, path, "is %v, but must be from %v to %v", value, low, high)
}

// id requires a valid id that isn't in seen, and adds it to seen.
func (c *checker) id(path, id string, seen map[string]bool) {
	if err := strict.CheckID(id); err != nil {
		c.problems.Add(path, "%v", err)
		return
	}
	c.require(!seen[id], path, "%q stands twice", id)
	seen[id] = true
}

// head checks version, parent and note.
func (c *checker) head() {
	switch {
	case c.Version == 0:
		c.problems.Add("version", "is 0, but the first version is 1")
	case c.Version == 1:
		c.require(c.Parent == "", "parent", "version 1 has no parent")
	case c.Parent == "":
		c.problems.Add("parent", "is missing; give the digest of version %d", c.Version-1)
	default:
		c.require(isDigest(string(c.Parent)), "parent", "%q is no digest: 64 digits of lower-case hex", c.Parent)
	}
	c.require(len(c.Note) <= maxNoteBytes, "note", "is %d bytes long, but at most %d are allowed", len(c.Note), maxNoteBytes)
}

// isDigest reports whether text has the form of a SHA-256 in lower-case hex.
func isDigest(text string) bool {
	raw, err := hex.DecodeString(text)
	return err == nil && len(text) == digestCharacters && hex.EncodeToString(raw) == text
}

// operators checks who may sign the next bundle. If that needed more sign-offs than
// there are operators, no bundle could ever be accepted again.
func (c *checker) operators() {
	c.require(len(c.Operators) > 0, "operators", "is empty; nobody could sign the next bundle")
	c.require(c.SignOffs >= 1 && c.SignOffs <= len(c.Operators), "sign_offs",
		"is %d, but must be from 1 to the number of operators, %d", c.SignOffs, len(c.Operators))
	c.problems = append(c.problems, CheckOperators("operators", c.Operators)...)
}

// CheckOperators returns all problems of the list of operators at path.
func CheckOperators(path string, operators []Operator) Problems {
	c := &checker{}
	seen := map[string]bool{}
	owners := map[string]string{}
	for i, operator := range operators {
		at := strict.Index(path, i)
		c.id(at+".id", operator.ID, seen)
		key, err := ParsePublicKey(operator.PublicKey)
		if err != nil {
			c.problems.Add(at+".public_key", "%v", err)
			continue
		}
		owner, taken := owners[string(key)]
		c.require(!taken, at+".public_key", "is the key of %q too; one person can't sign for two", owner)
		owners[string(key)] = operator.ID
	}
	return c.problems
}

// regions checks zones and links.
func (c *checker) regions() {
	c.require(len(c.Regions) > 0, "regions", "is empty")
	seen := map[string]bool{}
	for i, region := range c.Regions {
		path := strict.Index("regions", i)
		c.id(path+".id", region.ID, seen)
		c.require(len(region.Zones) > 0, path+".zones", "is empty")
		zones := map[string]bool{}
		for z, zone := range region.Zones {
			c.id(strict.Index(path+".zones", z), zone, zones)
		}
		c.claimsHome(path+".claims_home", region)
		c.neighbours(path+".neighbours", region)
	}
}

// claimsHome checks that a region's claims are kept by a region that keeps its own
// claims, so that there is no chain.
func (c *checker) claimsHome(path string, region Region) {
	if region.ClaimsHome == "" {
		return
	}
	home, known := c.regionByID[region.ClaimsHome]
	c.require(known, path, "no such region %q", region.ClaimsHome)
	if known && home.ID != region.ID && home.ClaimsHome != "" {
		c.require(home.ClaimsHome == home.ID, path, "%q keeps its own claims in %q; name a region that keeps its own", home.ID, home.ClaimsHome)
	}
}

// neighbours checks links to other regions.
func (c *checker) neighbours(path string, region Region) {
	seen := map[string]bool{}
	for i, neighbour := range region.Neighbours {
		at := strict.Index(path, i)
		c.region(at+".region", neighbour.Region)
		c.require(neighbour.Region != region.ID, at+".region", "is the region itself")
		c.require(!seen[neighbour.Region], at+".region", "%q stands twice", neighbour.Region)
		seen[neighbour.Region] = true
		c.number(at+".one_way_ms", neighbour.OneWayMillis, 0, maxOneWayMillis)
		c.number(at+".max_share", neighbour.MaxShare, 0, maxShare)
	}
}

// region requires the id of a known region.
func (c *checker) region(path, id string) {
	c.require(c.regionByID[id] != nil, path, "no such region %q", id)
}

// residency requires distinct ids of known regions.
func (c *checker) residency(path string, regions []string) {
	for i, region := range regions {
		at := strict.Index(path, i)
		c.region(at, region)
		c.require(!slices.Contains(regions[:i], region), at, "%q stands twice", region)
	}
}

// models checks versions and adapters.
func (c *checker) models() {
	seen := map[string]bool{}
	for i, model := range c.Models {
		path := strict.Index("models", i)
		c.id(path+".id", model.ID, seen)
		c.require(model.ContextTokens > 0, path+".context_tokens", "is %d, but must be above 0", model.ContextTokens)
		c.require(len(model.Versions) > 0, path+".versions", "is empty")
		versions := map[string]bool{}
		for v, version := range model.Versions {
			c.weights(strict.Index(path+".versions", v), version.ID, version.Weights, version.SizeBytes, versions)
		}
		adapters := map[string]bool{}
		for a, adapter := range model.Adapters {
			c.weights(strict.Index(path+".adapters", a), adapter.ID, adapter.Weights, adapter.SizeBytes, adapters)
		}
	}
}

// weights checks the fields that versions and adapters have in common.
func (c *checker) weights(path, id, weights string, size int64, seen map[string]bool) {
	c.id(path+".id", id, seen)
	c.require(weights != "", path+".weights", "is missing; give the key in the weight store")
	c.require(size > 0, path+".size_bytes", "is %d, but must be above 0", size)
}

// rules checks the bounds of all rules.
func (c *checker) rules() {
	r := c.Rules
	c.number("rules.max_attempts", float64(r.MaxAttempts), 1, maxAttempts)
	c.number("rules.retry_budget", r.RetryBudget, 0, maxShare)
	c.number("rules.hedge_after_ms", float64(r.HedgeAfterMillis), 0, dayMillis)
	c.number("rules.claim_lifetime_s", float64(r.ClaimLifetimeSeconds), 1, maxClaimSeconds)
	c.number("rules.drain_s", float64(r.DrainSeconds), 1, maxDrainSeconds)
	c.number("rules.weight_store_bytes_per_second", float64(r.WeightStoreBytesPerSecond), 1, maxRate)
	c.require(r.MaxConcurrentLoads >= 1, "rules.max_concurrent_loads", "is %d, but must be 1 or more", r.MaxConcurrentLoads)
}

// quote formats a list of names for a message.
func quote(names []string) string {
	return fmt.Sprintf("%q", names)
}
