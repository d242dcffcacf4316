// Package burn measures how fast services use up their error budgets, per region and workspace,
// and through which causes.
//
// A History holds what one instance has observed in the last six hours. Its Snapshot can be
// written to a disk or sent to other instances, and is loaded by Restore after a restart. Merge
// joins snapshots of several instances and counts duplicates once. NewReport computes the burn
// of each service, region and workspace from a joined Snapshot.
//
// The package does no input or output; the host stores and sends snapshots.
package burn

// Cause is why a request did not meet the objective of its service.
type Cause uint8

// Causes. A request has at most one, the first that applies in this order: Limit, Spilled,
// Refused, Late, TargetLost.
const (
	// Met requests had a whole answer within the objective.
	Met Cause = iota
	// Refused requests were not run for lack of room, time or targets.
	Refused
	// Late requests were answered whole but missed the objective, or failed at their deadline
	// after a target may have started them.
	Late
	// TargetLost requests failed before their deadline, after a target may have started them.
	TargetLost
	// Spilled requests were spilled to another region, reached or not, and missed the
	// objective.
	Spilled
	// Limit requests exceeded the limit of their workspace.
	Limit

	// causeCount is the number of causes without Met.
	causeCount = int(Limit)
)

// Causes of missed requests in the order of Count.Missed.
var Causes = [causeCount]Cause{Refused, Late, TargetLost, Spilled, Limit}

var causeNames = [causeCount + 1]string{"kept", "refused", "late", "target_lost", "sent_away", "limit"}

// String returns the name in reports.
func (c Cause) String() string {
	if int(c) >= len(causeNames) {
		return "unknown"
	}
	return causeNames[c]
}
