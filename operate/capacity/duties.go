package capacity

import (
	"math"

	"github.com/gullhaven/gullhaven/coord/replhost"
	"github.com/gullhaven/gullhaven/metrics/burn"
	"github.com/gullhaven/gullhaven/node/limits"
	"github.com/gullhaven/gullhaven/node/loads"
)

// Constants that follow other packages.
const (
	// eventsPerSecond is the rate of reads of an engine's cache events.
	eventsPerSecond = 1
	// batchesPerSecond bounds the messages with observations of one owner.
	batchesPerSecond = 10
	// demandSeconds is how long a limit stays in the reports after its last use.
	// The resourcesPerLimit are requests and tokens.
	demandSeconds     = 5
	resourcesPerLimit = 2
	// maxClaims is claim.MaxRecords.
	maxClaims = 1 << 18
	// commitsPerClaim: one for the claim, one for its end.
	commitsPerClaim = 2
	// globalHeartbeatScale: heartbeats of the global group are 200 ms apart; the
	// slope is for 100 ms.
	globalHeartbeatScale = 0.5
	// logEntries bounds the log entries that a group holds in memory: those since
	// the last snapshot and those kept before it.
	logEntries = replhost.DefaultSnapshotEntries + replhost.DefaultKeepEntries
	// spreadSlopeInterval is the time between changes that the slopes of spreading
	// are for, in seconds.
	spreadSlopeInterval = 60.0
)

// Assumptions without a slope.
const (
	// summaryBytes is the size of a region's roster or summary, summariesPerSec how
	// often relays send a summary to each other region.
	summaryBytes    = 1000
	summariesPerSec = 0.4
	// busiestOwnerFactor is the number of targets of the busiest owner divided by the
	// mean: rendezvous hashing is uneven.
	busiestOwnerFactor = 3
)

func (w estimator) links() Duty {
	peers := w.region.members - 1
	perLink := w.slopes.of("link_heap") + w.slopes.of("link_stack")
	return Duty{
		Name: "links", State: "a connection to each instance of the region", Mark: Derived,
		Cost:      Cost{Memory: peers * perLink},
		Mechanism: "coord/link: one connection for a pair, pings only where nothing else is heard",
		Slopes:    []string{"link_heap", "link_stack"},
	}
}

func (w estimator) membership() Duty {
	n := w.slopes.of("membership_messages")
	c := w.messageCost(n, w.slopes.of("membership_bytes")/n, n, w.slopes.of("membership_bytes")/n)
	c.CPU += w.slopes.of("membership_cpu") * 1e-6
	c.Memory = w.slopes.of("membership_memory") * w.region.members
	return Duty{
		Name: "membership", State: "the members of the region", Cost: c, Mark: Derived,
		Mechanism: "coord/membership: one probe a second whatever the size",
		Slopes:    []string{"membership_messages", "membership_bytes", "membership_cpu", "membership_memory", "link_message_cpu", "link_message_bytes"},
	}
}

// bundleSpread counts the traffic of a minute with one change once for each change
// in a minute. Traffic that doesn't depend on changes is then counted several
// times, so the cost is an upper bound.
func (w estimator) bundleSpread() Duty {
	minutes := max(w.size.changeRate()*spreadSlopeInterval, 1)
	n := w.slopes.of("spread_messages") * minutes
	payload := w.slopes.of("spread_bytes") / w.slopes.of("spread_messages")
	return Duty{
		Name: "bundle spreading", State: "the last changes", Mark: Derived,
		Cost:      w.messageCost(n, payload, n, payload),
		Mechanism: "bundle/spread: a tree of changes of 652 B, two comparisons a second",
		Slopes:    []string{"spread_messages", "spread_bytes", "link_message_cpu", "link_message_bytes"},
	}
}

// bundleInstall counts the memory of two bundles and views, as both are held while
// one replaces the other.
func (w estimator) bundleInstall() Duty {
	scale := w.size.bundleScale()
	return Duty{
		Name: "bundle in force", State: "the bundle, twice during a change", Mark: Derived,
		Cost: Cost{
			CPU:    w.size.changeRate() * w.slopes.of("install_cpu") * 1e-3 * scale,
			Memory: 2 * scale * (w.slopes.of("bundle_heap") + w.slopes.of("view_heap")),
		},
		Mechanism: "bundle: deltas; sections for one that lags",
		Slopes:    []string{"install_cpu", "bundle_heap", "view_heap"},
	}
}

// targetsPerOwner is the mean number of targets of an owner.
func (w estimator) targetsPerOwner() float64 { return w.region.targets / w.region.members }

// shareTiming returns the timing of polls and of sharing loads in the region.
func (w estimator) shareTiming() loads.Timing {
	return loads.TimingOf(int(w.region.members), int(w.region.targets), int(math.Ceil(busiestOwnerFactor*w.targetsPerOwner())))
}

// observationRates returns upper bounds, in a second, of the messages, observations and
// bytes that an instance receives. loads.TimingOf keeps them: one message of each
// other member and one row of each target in an interval, and both within
// SteadyBytesPerSecond.
func (w estimator) observationRates() (messages, rows, bytes float64) {
	messages = min((w.region.members-1)*batchesPerSecond, loads.SteadyBytesPerSecond/(w.slopes.of("loads_message_bytes")+w.slopes.of("link_message_bytes")))
	rows = min(w.region.targets*batchesPerSecond, loads.SteadyBytesPerSecond/w.slopes.of("observation_bytes"))
	bytes = messages*loads.MessageBytes + rows*loads.LoadBytes
	return messages, rows, min(bytes, loads.SteadyBytesPerSecond) + loads.ExtraBytesPerSecond
}

func (w estimator) loadsIn() Duty {
	messages, rows, bytes := w.observationRates()
	return Duty{
		Name: "load reports in", State: "the last observation of each target of the region", Mark: Derived,
		Cost: Cost{
			CPU:      messages*w.slopes.of("link_message_cpu")/2*1e-9 + rows*w.slopes.of("observation_cpu")*1e-9,
			Received: bytes, Messages: messages,
		},
		Mechanism: "node/loads: every owner tells every member, at an interval that keeps to 2.5 KB/s",
		Slopes:    []string{"loads_message_bytes", "observation_bytes", "observation_cpu", "link_message_cpu", "link_message_bytes"},
	}
}

// loadsOut is the mean over all owners, which equals what one instance receives.
func (w estimator) loadsOut() Duty {
	messages, _, bytes := w.observationRates()
	return Duty{
		Name: "load reports out", State: "what the others know of each owned target", Mark: Derived,
		Cost:      Cost{CPU: messages * w.slopes.of("link_message_cpu") / 2 * 1e-9, Sent: bytes, Messages: messages},
		Mechanism: "node/loads: every owner tells every member, at an interval that keeps to 2.5 KB/s",
		Slopes:    []string{"loads_message_bytes", "observation_bytes", "link_message_cpu", "link_message_bytes"},
	}
}

func (w estimator) polls() Duty {
	n := w.targetsPerOwner() * (1/w.shareTiming().PollInterval.Seconds() + eventsPerSecond)
	bytes := n * w.slopes.of("poll_bytes")
	return Duty{
		Name: "polls of targets", State: "when each was polled", Mark: Derived,
		Cost: Cost{
			CPU: n * w.slopes.of("poll_cpu") * 1e-9,
			// The slope is for both directions and both ends.
			Sent: bytes / 2, Received: bytes / 2, Messages: 2 * n,
		},
		Mechanism: "node/loads: one owner for each target by rendezvous hashing, a deputy when it is silent",
		Slopes:    []string{"poll_bytes", "poll_cpu"},
	}
}

// demands returns the number of demands in a report of one instance. It assumes the
// worst case: each request of the last demandSeconds is of another workspace.
func (w estimator) demands() float64 {
	used := w.region.requestsPerSecond / w.region.members * demandSeconds
	return resourcesPerLimit * min(used, float64(w.size.Workspaces))
}

// limitOwners is the mean number of instances that own a partition of the limits.
func (w estimator) limitOwners() float64 {
	n := w.region.members
	return n * (1 - math.Pow(1-1/n, limits.Partitions))
}

// limitCost returns the bytes in a second of reports and answers, for calls,
// partitions and demands in a second.
func (w estimator) limitCost(calls, parts, demands float64) (reports, answers float64) {
	head := w.slopes.of("limit_part_bytes")
	frame := w.slopes.of("link_message_bytes") + w.slopes.of("limit_report_bytes")
	reports = calls*frame + parts*head + demands*w.slopes.of("demand_bytes")
	answers = calls*frame + parts*head + demands*w.slopes.of("share_bytes")
	return reports, answers
}

func (w estimator) limits() Duty {
	interval := limits.ReportInterval.Seconds()
	calls, demands := w.limitOwners()/interval, w.demands()/interval
	reports, answers := w.limitCost(calls, limits.Partitions/interval, demands)
	return Duty{
		Name: "limits of workspaces", State: "a bucket for each workspace in use", Mark: Assumed,
		Cost: Cost{
			CPU:  2*calls*w.slopes.of("link_message_cpu")/2*1e-9 + demands*w.slopes.of("allocate_cpu")*1e-9,
			Sent: reports, Received: answers, Messages: 2 * calls,
		},
		Mechanism: "coord/limit: leased shares, reported every two seconds, no call for a request",
		Slopes:    []string{"demand_bytes", "share_bytes", "limit_part_bytes", "limit_report_bytes", "allocate_cpu", "link_message_cpu", "link_message_bytes"},
	}
}

// allocator is the cost of an instance that owns as many parts as the mean of
// those that own any.
func (w estimator) allocator() Duty {
	interval := limits.ReportInterval.Seconds()
	share := 1 / w.limitOwners()
	calls := w.region.members / interval
	demands := w.demands() * w.region.members / interval * share
	reports, answers := w.limitCost(calls, w.region.members*limits.Partitions/interval*share, demands)
	return Duty{
		Name: "owner of limits", State: "the shares of a part of the region's workspaces", Mark: Assumed,
		Cost: Cost{
			CPU:  2*calls*w.slopes.of("link_message_cpu")/2*1e-9 + demands*w.slopes.of("allocate_cpu")*1e-9,
			Sent: answers, Received: reports, Messages: 2 * calls,
		},
		Mechanism: "node/limits: 64 parts, owners by rendezvous hashing",
		Slopes:    []string{"demand_bytes", "share_bytes", "limit_part_bytes", "limit_report_bytes", "allocate_cpu", "link_message_cpu", "link_message_bytes"},
	}
}

func (w estimator) burn() Duty {
	perSecond := w.region.requestsPerSecond / w.region.members
	handover := burn.HandoverPeers * burn.HandoverBytes / burn.HandoverInterval.Seconds()
	return Duty{
		Name: "burn and figures of services", State: "six hours of counts, histograms of some minutes", Mark: Assumed,
		Cost: Cost{
			CPU:    perSecond * w.slopes.of("burn_cpu") * 1e-9,
			Memory: float64(w.size.Models) * (w.slopes.of("served_memory") + historyBytes),
			Sent:   handover, Received: handover,
		},
		Mechanism: "metrics/burn, metrics/served; 64 KB to two neighbours every five minutes",
		Slopes:    []string{"burn_cpu", "served_memory"},
	}
}

// historyBytes is the memory of a burn.History for a service: its slots and those of
// sixteen workspaces, 32 bytes each.
const historyBytes = (120 + 72 + 16*72) * 32

func (w estimator) roster() Duty {
	n := w.slopes.of("roster_messages")
	return Duty{
		Name: "rosters of regions", State: "up to eight instances of each other region", Mark: Assumed,
		Cost:      w.messageCost(n, summaryBytes, n, summaryBytes),
		Mechanism: "coord/roster: relays tell relays, and their own members",
		Slopes:    []string{"roster_messages", "link_message_cpu", "link_message_bytes"},
	}
}

func (w estimator) summaries() Duty {
	n := float64(w.size.Regions-1) * summariesPerSec
	perLink := w.slopes.of("link_heap") + w.slopes.of("link_stack")
	c := w.messageCost(n, summaryBytes, n, summaryBytes)
	c.Memory = 2 * float64(w.size.Regions-1) * perLink
	return Duty{
		Name: "summaries of regions", State: "connections to two relays of each region", Cost: c, Mark: Assumed,
		Mechanism: "node/regions: grants and reachability by the relays, two in a region",
		Slopes:    []string{"link_heap", "link_stack", "link_message_cpu", "link_message_bytes"},
	}
}

// leaderCost is the cost of a group's messages for its leader, which sends half of
// them and receives the answers.
func (w estimator) leaderCost(messages, bytes float64) Cost {
	payload := bytes / messages
	return w.messageCost(messages/2, payload, messages/2, payload)
}

func (w estimator) groupHeartbeats() Duty {
	return Duty{
		Name: "heartbeats of the region's group", State: "term, vote, log", Mark: Derived,
		Cost:      w.leaderCost(w.slopes.of("group3_messages"), w.slopes.of("group3_bytes")),
		Mechanism: "coord/replog: three disks of the region",
		Slopes:    []string{"group3_messages", "group3_bytes", "link_message_cpu", "link_message_bytes"},
	}
}

// claimRate returns the claims in a second in the largest region.
func (w estimator) claimRate() float64 { return w.region.requestsPerSecond * w.size.AtMostOnceShare }

func (w estimator) claims() Duty {
	commits := commitsPerClaim * w.claimRate()
	n := commits * w.slopes.of("commit3_messages")
	c := w.leaderCost(max(n, 1e-9), commits*w.slopes.of("commit3_bytes"))
	c.CPU += commits * (w.slopes.of("propose_cpu") + w.slopes.of("claim_cpu")) * 1e-9
	c.Memory = min(maxClaims, w.claimRate()*w.size.ClaimLifetime) * w.slopes.of("claim_memory")
	return Duty{
		Name: "claims", State: "a record for each request that runs at most once", Cost: c, Mark: Assumed,
		Mechanism: "coord/claim on coord/replog: a commit before the sending, one after the end",
		Slopes:    []string{"commit3_messages", "commit3_bytes", "propose_cpu", "claim_cpu", "claim_memory", "link_message_cpu", "link_message_bytes"},
	}
}

// orders counts a drain and a load for each changed target. Their cost is negligible
// beside the rest.
func (w estimator) orders() Duty {
	const ordersPerChange = 4
	n := w.size.changeRate() * ordersPerChange
	bytes := n * w.slopes.of("poll_bytes")
	return Duty{
		Name: "orders to targets", State: "the plan of the region", Mark: Assumed,
		Cost:      Cost{CPU: n * w.slopes.of("poll_cpu") * 1e-9, Sent: bytes / 2, Received: bytes / 2, Messages: 2 * n},
		Mechanism: "placement, coord/lease: one holder of a fenced lease in the region",
		Slopes:    []string{"poll_bytes", "poll_cpu"},
	}
}

func (w estimator) globalHeartbeats() Duty {
	scale := globalHeartbeatScale * float64(w.size.Voters-1) / 4
	return Duty{
		Name: "heartbeats of the global group", State: "term, vote, log", Mark: Derived,
		Cost:      w.leaderCost(max(scale*w.slopes.of("group5_messages"), 1e-9), scale*w.slopes.of("group5_bytes")),
		Mechanism: "coord/replog: a few disks in several regions",
		Slopes:    []string{"group5_messages", "group5_bytes", "link_message_cpu", "link_message_bytes"},
	}
}

func (w estimator) acceptance() Duty {
	scale := w.size.bundleScale()
	return Duty{
		Name: "acceptance of bundles", State: "the accepted bundle", Mark: Derived,
		Cost: Cost{
			CPU:    w.size.changeRate() * w.slopes.of("accept_cpu") * 1e-3 * scale,
			Memory: scale * w.slopes.of("bundle_heap"),
		},
		Mechanism: "bundle/acceptance: compare-and-set on version and parent",
		Slopes:    []string{"accept_cpu", "bundle_heap"},
	}
}

func (w estimator) globalLog() Duty {
	rate := w.size.changeRate()
	n := rate * w.slopes.of("commit5_messages")
	others := float64(w.size.Voters - 1)
	c := w.leaderCost(max(n, 1e-9), rate*others*w.slopes.of("accept_log"))
	c.Memory = w.slopes.of("bundle_encoded")*w.size.bundleScale() + logEntries*w.slopes.of("accept_log")
	return Duty{
		Name: "log of bundles", State: "entries since the last snapshot, and that", Cost: c, Mark: Derived,
		Mechanism: "coord/replog, coord/wal: an entry of 1 KB a change, one sync for a batch",
		Slopes:    []string{"commit5_messages", "accept_log", "bundle_encoded", "link_message_cpu", "link_message_bytes"},
	}
}
