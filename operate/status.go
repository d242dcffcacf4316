// Package operate has the client of the operators' interface and the forms of its
// answers. The client rolls bundles and reads status and burn.
package operate

import (
	"fmt"
	"slices"

	"github.com/gullhaven/gullhaven/bundle"
)

// Paths of the operators' interface.
const (
	// BundlesPath answers POST of a signed bundle with RollAnswer.
	BundlesPath = "/operator/v1/bundles"
	// StatusPath answers GET with Status.
	StatusPath = "/operator/v1/status"
)

// Status is what one instance knows about the whole system, in the form of
// api/design. Parts that an instance doesn't report are absent.
type Status struct {
	// Instance, Region, Zone and Roles of the instance that answers.
	Instance string   `json:"instance"`
	Region   string   `json:"region"`
	Zone     string   `json:"zone"`
	Roles    []string `json:"roles"`
	// Version and Digest are in force at the instance that answers.
	Version uint64        `json:"version"`
	Digest  bundle.Digest `json:"digest"`
	// Leader of the global log; empty if unknown.
	Leader string `json:"leader"`
	// InFlight counts requests in flight at the instance that answers.
	InFlight int64 `json:"in_flight"`
	// UptimeMillis is the time since that instance started.
	UptimeMillis int64 `json:"uptime_ms"`
	// Regions of the bundle, with the version in force in each.
	Regions   []RegionStatus   `json:"regions"`
	Targets   []TargetStatus   `json:"targets"`
	Instances []InstanceStatus `json:"instances"`
	// Lease of the leader of the global log.
	Lease    *LeaseStatus    `json:"lease,omitempty"`
	Voters   []VoterStatus   `json:"voters,omitempty"`
	Services []ServiceStatus `json:"services,omitempty"`
}

// RegionStatus is the bundle in force in a region.
type RegionStatus struct {
	Region string `json:"region"`
	// Version that all reachable instances of the region have at least.
	Version uint64        `json:"version"`
	Digest  bundle.Digest `json:"digest"`
	// Reachable is false while the region is cut off from the instance that answers;
	// Version is then the last one reported.
	Reachable bool `json:"reachable"`
	// Behind is true if the region lacks the accepted version, or if that is
	// unknown.
	Behind bool `json:"behind"`
	// AgeMillis is the age of this information.
	AgeMillis int64 `json:"age_ms"`
	// Lagging lists the instances that lack the accepted version.
	Lagging []LaggingInstance `json:"lagging,omitempty"`
	// Lease of the leader that sends orders to the region's targets.
	Lease *LeaseStatus `json:"lease,omitempty"`
}

// LaggingInstance is an instance that lacks the accepted version.
type LaggingInstance struct {
	Instance string `json:"instance"`
	Version  uint64 `json:"version"`
	// ForMillis is how long it has been behind.
	ForMillis int64 `json:"for_ms"`
}

// LeaseStatus is a leader with its lease.
type LeaseStatus struct {
	Instance string `json:"instance"`
	// Term of the global leader, or the fencing number of a region's leader.
	Term uint64 `json:"term"`
	// RemainingMillis of the lease, by the clock of the instance that answers.
	RemainingMillis int64 `json:"left_ms"`
}

// VoterStatus is a voter of the global group.
type VoterStatus struct {
	Instance string `json:"instance"`
	Region   string `json:"region"`
	// State is leader, follower, learner, candidate or unreachable.
	State string `json:"state"`
	// Disk is ok, empty, readmitting, failed or unknown.
	Disk string `json:"disk"`
	// Index is the last log index known to be on its disk.
	Index uint64 `json:"index"`
}

// InstanceStatus is the membership state of an instance.
type InstanceStatus struct {
	ID     string `json:"id"`
	Region string `json:"region"`
	Zone   string `json:"zone"`
	// State is alive, suspect, leaving or dead.
	State string `json:"state"`
}

// TargetStatus is the state and load of a target.
type TargetStatus struct {
	ID      string `json:"id"`
	Service string `json:"service"`
	// State is warm, loading, leaving, suspect or down.
	State string `json:"state"`
	// Running and Waiting count requests, by the target's last load report.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// AgeMillis is the age of that report.
	AgeMillis int64 `json:"age_ms"`
}

// ServiceStatus are the figures of a service for a home region.
type ServiceStatus struct {
	Service string `json:"service"`
	Region  string `json:"region"`
	// WindowSeconds is the period that the figures cover.
	WindowSeconds float64 `json:"window_s"`
	Requests      uint64  `json:"requests"`
	// Refused requests were not run; Failed requests may have run.
	Refused uint64 `json:"refused"`
	Failed  uint64 `json:"failed"`
	// SpillShare of the requests was served outside of the home region, 0 to 1.
	SpillShare float64 `json:"sent_away"`
	// TargetSeconds is the time that requests held slots, divided by the number
	// of slots of their targets.
	TargetSeconds float64 `json:"target_seconds"`
	// Cost of serving, in the unit of the targets' cost_per_second.
	Cost float64 `json:"cost"`
	// FirstByte is the time to the first byte of an answer, in milliseconds.
	FirstByte Quantiles `json:"first_byte_ms"`
}

// Quantiles of a duration, in milliseconds.
type Quantiles struct {
	P50  float64 `json:"p50"`
	P90  float64 `json:"p90"`
	P99  float64 `json:"p99"`
	P999 float64 `json:"p99_9"`
}

// RegionsWithout lists the regions in which a version is not in force everywhere.
// A region that is cut off is listed: which version it runs is unknown.
func (s *Status) RegionsWithout(version uint64) []string {
	var lacking []string
	for _, region := range s.Regions {
		behind := func(i LaggingInstance) bool { return i.Version < version }
		if !region.Reachable || region.Version < version || slices.ContainsFunc(region.Lagging, behind) {
			lacking = append(lacking, region.Region)
		}
	}
	return lacking
}

// Problems returns one line for each known problem, or none.
func (s *Status) Problems() []string {
	var list []string
	add := func(format string, args ...any) { list = append(list, fmt.Sprintf(format, args...)) }
	if s.Leader == "" && s.Lease == nil && slices.Contains(s.Roles, "voter") {
		add("the global log has no leader that this instance knows of: no bundle can be accepted")
	}
	for _, r := range s.Regions {
		switch {
		case !r.Reachable:
			add("region %s is cut off from %s; it serves on under the bundle that it has", r.Region, s.Region)
		case r.Behind:
			add("region %s is behind at version %d", r.Region, r.Version)
		}
	}
	for _, v := range s.Voters {
		if v.Disk != "ok" || v.State == "unreachable" {
			add("voter %s is %s, its disk %s", v.Instance, v.State, v.Disk)
		}
	}
	for _, i := range s.Instances {
		if i.State == "suspect" || i.State == "dead" {
			add("instance %s is %s", i.ID, i.State)
		}
	}
	for _, t := range s.Targets {
		if t.State == "down" || t.State == "suspect" {
			add("target %s of %s is %s", t.ID, t.Service, t.State)
		}
	}
	return list
}
