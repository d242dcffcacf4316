package capacity

import (
	"fmt"
	"math"
)

// Size is the load that the system has to carry.
type Size struct {
	Instances    int     `json:"instances"`
	Targets      int     `json:"targets"`
	Accelerators int     `json:"accelerators"`
	Requests     float64 `json:"requests_per_second"`
	Tokens       float64 `json:"tokens_per_second"`
	Workspaces   int     `json:"workspaces"`
	Models       int     `json:"models"`
	Regions      int     `json:"regions"`
	Zones        int     `json:"zones"`
	Changes      float64 `json:"changes_per_day"`
	// Skew is the capacity of the largest region divided by that of the smallest.
	// The sizes between are assumed to be evenly spaced.
	Skew float64 `json:"skew"`
	// AtMostOnceShare is the share of requests that may run at most once, 0 to 1.
	AtMostOnceShare float64 `json:"once_share"`
	// ClaimLifetime is the lifetime of their claims, in seconds.
	ClaimLifetime float64 `json:"claim_lifetime_s"`
	// Voters of the global group.
	Voters int `json:"voters"`
}

// Planned returns the size to design for. AtMostOnceShare, ClaimLifetime and Voters
// are assumptions; the plan does not give them.
func Planned() Size {
	return Size{
		Instances: 360, Targets: 690, Accelerators: 5500, Requests: 3800, Tokens: 980_000, Workspaces: 10_000,
		Models: 36, Regions: 11, Zones: 40, Changes: 2500, Skew: 10, AtMostOnceShare: 0.01, ClaimLifetime: 86_400, Voters: 5,
	}
}

// Times returns the size with instances, targets, accelerators, workspaces, models,
// requests, tokens and changes multiplied by a factor.
func (s Size) Times(factor float64) Size {
	grow := func(n int) int { return int(math.Round(float64(n) * factor)) }
	s.Instances, s.Targets, s.Accelerators = grow(s.Instances), grow(s.Targets), grow(s.Accelerators)
	s.Workspaces, s.Models = grow(s.Workspaces), grow(s.Models)
	s.Requests, s.Tokens, s.Changes = s.Requests*factor, s.Tokens*factor, s.Changes*factor
	return s
}

// Check returns an error for a size that New can't compute.
func (s Size) Check() error {
	switch {
	case s.Instances < 1 || s.Targets < 1 || s.Regions < 1 || s.Voters < 1:
		return fmt.Errorf("instances, targets, regions and voters must be at least 1")
	case s.Instances < s.Regions:
		return fmt.Errorf("%d instances can't serve %d regions", s.Instances, s.Regions)
	case s.Accelerators < 0 || s.Workspaces < 0 || s.Models < 0 || s.Zones < 0:
		return fmt.Errorf("counts must not be negative")
	case s.Skew < 1:
		return fmt.Errorf("skew is %g, but must be at least 1", s.Skew)
	case s.AtMostOnceShare < 0 || s.AtMostOnceShare > 1:
		return fmt.Errorf("the share that runs at most once is %g, but must be from 0 to 1", s.AtMostOnceShare)
	case s.Requests < 0 || s.Tokens < 0 || s.Changes < 0 || s.ClaimLifetime < 0:
		return fmt.Errorf("rates and times must not be negative")
	}
	return nil
}

// largestShare returns the share of the largest region in all capacity, of regions
// evenly spaced from 1 to Skew.
func (s Size) largestShare() float64 {
	return 2 * s.Skew / (float64(s.Regions) * (1 + s.Skew))
}

// region is the largest region, whose instances have the highest cost.
type region struct {
	members, targets  float64
	requestsPerSecond float64
}

func (s Size) region() region {
	share := min(s.largestShare(), 1)
	return region{
		members:           math.Ceil(float64(s.Instances) * share),
		targets:           math.Ceil(float64(s.Targets) * share),
		requestsPerSecond: s.Requests * share,
	}
}

// changeRate returns the changes in a second.
func (s Size) changeRate() float64 { return s.Changes / 86_400 }

// bundleScale returns the size of the bundle divided by that of the bundle that the
// slopes are for. Workspaces and targets are nearly all of a bundle.
func (s Size) bundleScale() float64 {
	p := Planned()
	return float64(s.Workspaces+s.Targets) / float64(p.Workspaces+p.Targets)
}
