// Package burn keeps how fast services use up their error budgets, per region
// and workspace, and what uses them up.
//
// A History is what one instance has seen in the last six hours. Its Snapshot
// can be written to a disk or handed to other instances, and comes back by
// Restore after a restart. Snapshots of several instances are joined by Merge,
// which takes the same one twice without counting it twice. NewReport reads
// the burn of each service, region and workspace from a joined Snapshot.
//
// The package has no input or output; the host stores and sends snapshots.
package burn

// Cause says why a request did not keep the objective of its service.
type Cause uint8

// Causes; a request has at most one, the first that holds in this order:
// Limit, SentAway, Refused, TargetLost, Late.
const (
	// Kept requests had a whole answer within the objective.
	Met Cause = iota
	// Refused requests were not run for lack of room, time or targets.
	Refused
	// Late requests were answered whole after the deadline or the objective.
	Late
	// TargetLost requests failed after a target may have begun them.
	TargetLost
	// SentAway requests were passed on to another region and missed there.
	Spilled
	// Limit requests exceeded the limit of their workspace.
	Limit

	// misses is the number of causes but Kept.
	misses = int(Limit)
)

// Causes of missed requests in the order of Count.Missed.
var Causes = [misses]Cause{Refused, Late, TargetLost, Spilled, Limit}

var causeNames = [misses + 1]string{"kept", "refused", "late", "target_lost", "sent_away", "limit"}

// String is the name in reports.
func (c Cause) String() string {
	if int(c) >= len(causeNames) {
		return "unknown"
	}
	return causeNames[c]
}
