package limit

import "time"

// Limit bounds a workspace's use of one resource. A zero Rate means no bound.
type Limit struct {
	// Rate in units per second.
	Rate float64 `cbor:"1,keyasint"`
	// Burst in units: the most that can be spent at once.
	Burst float64 `cbor:"2,keyasint"`
}

// Scaled returns the limit with rate and burst multiplied by f, from 0 to 1.
func (l Limit) Scaled(f float64) Limit { return Limit{Rate: l.Rate * f, Burst: l.Burst * f} }

// RegionFloor is the share of a limit, from 0 to 1, that each region other than
// the workspace's home region gets.
const RegionFloor = 0.02

// RegionLimit returns the share of a workspace's limit for one region, where
// regions is their number: RegionFloor everywhere and the rest in the home region
// (home is true). With too many regions for RegionFloor all get equal shares.
func RegionLimit(l Limit, home bool, regions int) Limit {
	if regions <= 1 {
		return l
	}
	floor := min(RegionFloor, 1/float64(regions))
	if home {
		return l.Scaled(1 - floor*float64(regions-1))
	}
	return l.Scaled(floor)
}

// Resource is the unit that a limit counts.
type Resource uint8

const (
	// Requests counts each request as one.
	Requests Resource = iota
	// Tokens counts prompt and output tokens together.
	Tokens
)

// ID identifies one limit of one workspace.
type ID struct {
	Workspace string   `cbor:"1,keyasint"`
	Resource  Resource `cbor:"2,keyasint"`
}

// Demand is an instance's request for a share of one limit.
type Demand struct {
	ID ID `cbor:"1,keyasint"`
	// Rate wanted in units per second; 0 returns the share.
	Rate float64 `cbor:"2,keyasint"`
	// Held is the Seq of the share in use, 0 for none.
	Held uint64 `cbor:"3,keyasint"`
	// Share in use, for an Allocator that does not know it: see Resume.
	Share Limit `cbor:"4,keyasint"`
}

// Share is a leased share of one limit.
type Share struct {
	ID ID `cbor:"1,keyasint"`
	// Seq increases with each share that an Allocator grants.
	Seq uint64 `cbor:"2,keyasint"`
	// Limit is the rate and burst of the share.
	Limit Limit `cbor:"3,keyasint"`
	// Lease is how long the share is valid, counted by the instance from when it
	// SENT the report that this share answers. That is before the Allocator
	// granted it, so the lease ends at the instance first.
	Lease time.Duration `cbor:"4,keyasint"`
}

// Lookup returns the region's share of a limit; false if there is no limit.
type Lookup func(ID) (Limit, bool)
