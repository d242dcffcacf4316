package limit

import "time"

// Limit bounds a workspace's use of one resource. A zero Rate means no bound.
type Limit struct {
	// Rate in units per second.
	Rate float64 `cbor:"1,keyasint"`
	// Burst in units: what may be spent at once after a pause.
	Burst float64 `cbor:"2,keyasint"`
}

// Scaled returns the limit times a factor from 0 to 1.
func (l Limit) Scaled(f float64) Limit { return Limit{Rate: l.Rate * f, Burst: l.Burst * f} }

// RegionFloor is the part of a limit that each region other than the
// workspace's home gets.
const RegionFloor = 0.02

// RegionLimit returns the part of a workspace's limit that one of regions
// regions grants: a small floor everywhere, and the rest at home. With more
// regions than floors fit, every region gets the same part.
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

// Resource is what is counted.
type Resource uint8

const (
	// Requests are counted one each.
	Requests Resource = iota
	// Tokens are prompt and output tokens together.
	Tokens
)

// ID names one limit of one workspace.
type ID struct {
	Workspace string   `cbor:"1,keyasint"`
	Resource  Resource `cbor:"2,keyasint"`
}

// Demand is what an instance asks for one limit.
type Demand struct {
	ID ID `cbor:"1,keyasint"`
	// Rate asked for in units per second; 0 returns the share.
	Rate float64 `cbor:"2,keyasint"`
	// Held is the Seq of the share in use, 0 for none.
	Held uint64 `cbor:"3,keyasint"`
	// Share is what is in use, for an Allocator that does not know it: see Resume.
	Share Limit `cbor:"4,keyasint"`
}

// Share is a leased part of one limit.
type Share struct {
	ID ID `cbor:"1,keyasint"`
	// Seq grows with each share of an Allocator.
	Seq uint64 `cbor:"2,keyasint"`
	// Rate and Burst of the share.
	Limit Limit `cbor:"3,keyasint"`
	// Lease is how long it holds, counted by the instance from the moment
	// that it SENT the report which this share answers: that is before the
	// owner granted it, so it ends at the instance first.
	Lease time.Duration `cbor:"4,keyasint"`
}

// Lookup returns the region's part of a limit; false if there is none.
type Lookup func(ID) (Limit, bool)
