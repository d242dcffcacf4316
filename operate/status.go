// Package operate is the operators' side of an instance's interface: the form
// of the status and a client that rolls bundles and reads it.
package operate

import (
	"fmt"
	"slices"

	"github.com/gullhaven/gullhaven/bundle"
)

// Paths of the operators' interface.
const (
	// BundlesPath takes a signed bundle by POST and answers with RollAnswer.
	BundlesPath = "/operator/v1/bundles"
	// StatusPath answers GET with Status.
	StatusPath = "/operator/v1/status"
)

// Status is what one instance knows about the whole system, as api/design
// describes it. Parts that an instance doesn't report are absent.
type Status struct {
	// Instance, Region and Zone that answer, and the roles of that instance.
	Instance string   `json:"instance"`
	Region   string   `json:"region"`
	Zone     string   `json:"zone"`
	Roles    []string `json:"roles"`
	// Version and Digest are in force at the instance that answers.
	Version uint64        `json:"version"`
	Digest  bundle.Digest `json:"digest"`
	// Leader of the log, as far as is known; empty if not.
	Leader string `json:"leader"`
	// InFlight counts requests under way at the instance that answers.
	InFlight int64 `json:"in_flight"`
	// UptimeMillis is the time since its start.
	UptimeMillis int64 `json:"uptime_ms"`
	// Regions of the bundle, with what is in force in each.
	Regions   []RegionStatus   `json:"regions"`
	Targets   []TargetStatus   `json:"targets"`
	Instances []InstanceStatus `json:"instances"`
	// Lease of the leader of the log.
	Lease    *LeaseStatus    `json:"lease,omitempty"`
	Voters   []VoterStatus   `json:"voters,omitempty"`
	Services []ServiceStatus `json:"services,omitempty"`
}

// RegionStatus is what is in force in a region.
type RegionStatus struct {
	Region string `json:"region"`
	// Version that all its reachable instances have at least.
	Version uint64        `json:"version"`
	Digest  bundle.Digest `json:"digest"`
	// Reachable is false while the region is cut off from the one that answers;
	// Version is then the last that was heard.
	Reachable bool `json:"reachable"`
	// Behind is true where the region lacks the accepted version, or where
	// nobody knows.
	Behind bool `json:"behind"`
	// AgeMillis is the age of what is told of the region.
	AgeMillis int64 `json:"age_ms"`
	// Lagging lists instances that lack the accepted version.
	Lagging []LaggingInstance `json:"lagging,omitempty"`
	// Lease of the leader that gives the orders to the region's targets.
	Lease *LeaseStatus `json:"lease,omitempty"`
}

// LaggingInstance lacks the accepted version.
type LaggingInstance struct {
	Instance string `json:"instance"`
	Version  uint64 `json:"version"`
	// ForMillis is how long it has been behind.
	ForMillis int64 `json:"for_ms"`
}

// LeaseStatus is a leader with its lease.
type LeaseStatus struct {
	Instance string `json:"instance"`
	// Term of the global leader, or the fencing number of a region's.
	Term uint64 `json:"term"`
	// LeftMillis is what is left of the lease, on the clock of the instance
	// that answers.
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
	// Index is the last log index that is known to be on its disk.
	Index uint64 `json:"index"`
}

// InstanceStatus is one instance.
type InstanceStatus struct {
	ID     string `json:"id"`
	Region string `json:"region"`
	Zone   string `json:"zone"`
	// State is alive, suspect, leaving or dead.
	State string `json:"state"`
}

// TargetStatus is one target.
type TargetStatus struct {
	ID      string `json:"id"`
	Service string `json:"service"`
	// State is warm, loading, leaving, suspect or down.
	State string `json:"state"`
	// Running and Waiting count requests, by the target's last report.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// AgeMillis is the age of that report.
	AgeMillis int64 `json:"age_ms"`
}

// ServiceStatus is how one service is served for one home region.
type ServiceStatus struct {
	Service string `json:"service"`
	Region  string `json:"region"`
	// WindowSeconds is the time that the figures cover.
	WindowSeconds float64 `json:"window_s"`
	Requests      uint64  `json:"requests"`
	// Refused requests were not run; Failed ones may have run.
	Refused uint64 `json:"refused"`
	Failed  uint64 `json:"failed"`
	// SentAway is the share of requests served outside of the home region, 0 to 1.
	SpillShare float64 `json:"sent_away"`
	// TargetSeconds is the time that requests held slots, by the slots of their
	// targets.
	TargetSeconds float64 `json:"target_seconds"`
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

// Lacking lists the regions in which a version is not in force yet. A region
// that is cut off counts: nobody knows what it runs.
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

// Trouble lists in a line each what an operator should look at first; empty if
// nothing is known to be wrong.
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
