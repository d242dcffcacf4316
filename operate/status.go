// Package operate is the operators' side of an instance's interface: the form
// of the status and a client that rolls bundles and reads it.
package operate

import (
	"slices"
	"time"

	"github.com/gullhaven/gullhaven/bundle"
)

// Paths of the operators' interface.
const (
	// BundlesPath takes a signed bundle by POST and answers with bundle.Result.
	BundlesPath = "/operator/v1/bundles"
	// StatusPath answers GET with Status.
	StatusPath = "/operator/v1/status"
)

// Status is what one instance knows about the whole system.
type Status struct {
	// Instance and Region that answer.
	Instance string    `json:"instance"`
	Region   string    `json:"region"`
	Time     time.Time `json:"time"`
	// Bundle in force at the instance that answers.
	Bundle bundle.Identity `json:"bundle"`
	// Regions of the bundle, with what is in force in each.
	Regions []RegionStatus `json:"regions"`
	// Leader of the global group; absent while none is known.
	Leader    *LeaderStatus    `json:"leader,omitempty"`
	Voters    []VoterStatus    `json:"voters"`
	Instances []InstanceStatus `json:"instances"`
	Targets   []TargetStatus   `json:"targets"`
	Services  []ServiceStatus  `json:"services"`
}

// RegionStatus is what is in force in a region.
type RegionStatus struct {
	Region string `json:"region"`
	// Version that all reachable instances of the region have at least.
	Version uint64 `json:"version"`
	// Reachable is false while the region is cut off from the one that answers;
	// Version is then the last that was heard.
	Reachable bool `json:"reachable"`
	// Behind lists instances that lack the bundle in force.
	Behind []BehindStatus `json:"behind,omitempty"`
	// Leader gives the orders to the region's targets; absent while there is none.
	Leader *LeaderStatus `json:"leader,omitempty"`
}

// BehindStatus is an instance that lacks the bundle in force.
type BehindStatus struct {
	Instance string    `json:"instance"`
	Version  uint64    `json:"version"`
	Since    time.Time `json:"since"`
}

// LeaderStatus is a leader with its lease.
type LeaderStatus struct {
	Instance string `json:"instance"`
	// Term of the global leader, or the fencing number of a region's.
	Term uint64 `json:"term"`
	// LeaseMillis is what is left of the lease, on the clock of the instance
	// that answers.
	LeaseMillis int64 `json:"lease_ms"`
}

// VoterStatus is a voter of the global group.
type VoterStatus struct {
	Instance string `json:"instance"`
	Region   string `json:"region"`
	// State is leader, follower, learner, candidate or unreachable.
	State string `json:"state"`
	// Disk is ok, empty, readmitting, failed or unknown.
	Disk string `json:"disk"`
	// Index is the last log index that is known to be on its disk.
	Index uint64 `json:"index"`
}

// InstanceStatus is one instance.
type InstanceStatus struct {
	Instance string `json:"instance"`
	Region   string `json:"region"`
	Zone     string `json:"zone"`
	// State is alive, suspect, leaving or dead.
	State   string `json:"state"`
	Version uint64 `json:"version"`
}

// TargetStatus is one target.
type TargetStatus struct {
	Target  string `json:"target"`
	Service string `json:"service"`
	Region  string `json:"region"`
	Zone    string `json:"zone"`
	// State is loading, warm, leaving, suspect or lost.
	State string `json:"state"`
	// Running and Waiting count requests, by the target's last report.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
}

// ServiceStatus is how one service is served for one home region.
type ServiceStatus struct {
	Service string `json:"service"`
	Region  string `json:"region"`
	// WindowSeconds is the time that the figures cover.
	WindowSeconds float64 `json:"window_s"`
	Requests      uint64  `json:"requests"`
	Refused       uint64  `json:"refused"`
	// SentAway is the share of requests served outside of the home region, 0 to 1.
	SentAway float64 `json:"sent_away"`
	// Cost of serving, in the unit of the targets' cost_per_second.
	Cost float64 `json:"cost"`
	// FirstByte is the time to the first byte of an answer.
	FirstByte Quantiles `json:"first_byte_ms"`
}

// Quantiles of a time, in milliseconds.
type Quantiles struct {
	P50  float64 `json:"p50"`
	P90  float64 `json:"p90"`
	P99  float64 `json:"p99"`
	P999 float64 `json:"p99_9"`
}

// Lagging lists the regions in which a version is not in force yet. A region
// that is cut off counts: nobody knows what it runs.
func (s *Status) Lagging(version uint64) []string {
	var lagging []string
	for _, region := range s.Regions {
		behind := func(b BehindStatus) bool { return b.Version < version }
		if !region.Reachable || region.Version < version || slices.ContainsFunc(region.Behind, behind) {
			lagging = append(lagging, region.Region)
		}
	}
	return lagging
}
