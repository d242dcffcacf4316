package capacity

import (
	"math"

	"github.com/gullhaven/gullhaven/coord/replhost"
	"github.com/gullhaven/gullhaven/metrics/burn"
	"github.com/gullhaven/gullhaven/node/limits"
	"github.com/gullhaven/gullhaven/node/loads"
)

// Numbers of the code that the duties follow.
const (
	// eventsPerSecond are reads of an engine's cache events.
	eventsPerSecond = 1
	// batchesPerSecond bounds the batches of observations of one owner.
	batchesPerSecond = 10
	// demandTime is how long a limit stays in the reports after its last use,
	// in seconds; resourcesPerLimit are requests and tokens.
	demandTime        = 5
	resourcesPerLimit = 2
	// maxClaims is claim.MaxRecords.
	maxClaims = 1 << 18
	// commitsPerClaim: the claim and its end.
	commitsPerClaim = 2
	// globalHeartbeatScale: the global group beats at 200 ms and not at 100 ms.
	globalHeartbeatScale = 0.5
	// logEntries that a group holds in memory: until a snapshot, and those kept
	// before it.
	logEntries = replhost.DefaultSnapshotEntries + replhost.DefaultKeepEntries
	// measuredInterval is the time between changes when spreading was measured.
	measuredInterval = 60.0
)

// Numbers that nobody measured.
const (
	// summaryBytes of a region's roster and summary, and how often relays send
	// them to each other region in a second.
	summaryBytes    = 1000
	summariesPerSec = 0.4
	// busiest owner of targets by the mean one: rendezvous hashing is uneven.
	busiest = 3
)

func (w worker) links() Duty {
	peers := w.region.members - 1
	perLink := w.slopes.of("link_heap") + w.slopes.of("link_stack")
	return Duty{
		Name: "links", State: "a connection to each instance of the region", Mark: Derived,
		Cost:      Cost{Memory: peers * perLink},
		Mechanism: "coord/link: one connection for a pair, pings only where nothing else is heard",
		Slopes:    []string{"link_heap", "link_stack"},
	}
}

func (w worker) membership() Duty {
	n := w.slopes.of("membership_messages")
	c := w.messages(n, w.slopes.of("membership_bytes")/n, n, w.slopes.of("membership_bytes")/n)
	c.CPU += w.slopes.of("membership_cpu") * 1e-6
	c.Memory = w.slopes.of("membership_memory") * w.region.members
	return Duty{
		Name: "membership", State: "the members of the region", Cost: c, Mark: Derived,
		Mechanism: "coord/membership: one probe a second whatever the size",
		Slopes:    []string{"membership_messages", "membership_bytes", "membership_cpu", "membership_memory", "link_message_cpu", "link_message_bytes"},
	}
}

// spread takes the measured minute with one change for each minute's changes:
// what does not come of changes is counted several times, so it is a bound.
func (w worker) spread() Duty {
	minutes := max(w.size.changeRate()*measuredInterval, 1)
	n := w.slopes.of("spread_messages") * minutes
	payload := w.slopes.of("spread_bytes") / w.slopes.of("spread_messages")
	return Duty{
		Name: "bundle spreading", State: "the last changes", Mark: Derived,
		Cost:      w.messages(n, payload, n, payload),
		Mechanism: "bundle/spread: a tree of changes of 652 B, two comparisons a second",
		Slopes:    []string{"spread_messages", "spread_bytes", "link_message_cpu", "link_message_bytes"},
	}
}

// install holds two bundles and views while one replaces the other.
func (w worker) install() Duty {
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

// owned are the targets of a mean owner.
func (w worker) owned() float64 { return w.region.targets / w.region.members }

// pace of sharing loads in the region.
func (w worker) pace() loads.Timing {
	return loads.TimingOf(int(w.region.members), int(w.region.targets), int(math.Ceil(busiest*w.owned())))
}

// observations are the bounds that loads.TimingOf keeps: a message of each other
// member and a row of each target in an interval, and both within
// SteadyBytesPerSecond.
func (w worker) observations() (messages, rows, bytes float64) {
	messages = min((w.region.members-1)*batchesPerSecond, loads.SteadyBytesPerSecond/(w.slopes.of("loads_message_bytes")+w.slopes.of("link_message_bytes")))
	rows = min(w.region.targets*batchesPerSecond, loads.SteadyBytesPerSecond/w.slopes.of("observation_bytes"))
	bytes = messages*loads.MessageBytes + rows*loads.LoadBytes
	return messages, rows, min(bytes, loads.SteadyBytesPerSecond) + loads.ExtraBytesPerSecond
}

func (w worker) loadsIn() Duty {
	messages, rows, bytes := w.observations()
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

// loadsOut is the mean of all owners: what one receives, others have sent.
func (w worker) loadsOut() Duty {
	messages, _, bytes := w.observations()
	return Duty{
		Name: "load reports out", State: "what the others know of each owned target", Mark: Derived,
		Cost:      Cost{CPU: messages * w.slopes.of("link_message_cpu") / 2 * 1e-9, Sent: bytes, Messages: messages},
		Mechanism: "node/loads: every owner tells every member, at an interval that keeps to 2.5 KB/s",
		Slopes:    []string{"loads_message_bytes", "observation_bytes", "link_message_cpu", "link_message_bytes"},
	}
}

func (w worker) polls() Duty {
	n := w.owned() * (1/w.pace().PollInterval.Seconds() + eventsPerSecond)
	bytes := n * w.slopes.of("poll_bytes")
	return Duty{
		Name: "polls of targets", State: "when each was polled", Mark: Derived,
		Cost: Cost{
			CPU: n * w.slopes.of("poll_cpu") * 1e-9,
			// The slope is that of both ways and both ends.
			Sent: bytes / 2, Received: bytes / 2, Messages: 2 * n,
		},
		Mechanism: "node/loads: one owner for each target by rendezvous hashing, a deputy when it is silent",
		Slopes:    []string{"poll_bytes", "poll_cpu"},
	}
}

// demands that one instance reports each second. That each request of a few
// seconds is of another workspace is assumed: it is the worst case.
func (w worker) demands() float64 {
	used := w.region.requests / w.region.members * demandTime
	return resourcesPerLimit * min(used, float64(w.size.Workspaces))
}

// limitOwners are the instances that own a part of the limits, on average.
func (w worker) limitOwners() float64 {
	n := w.region.members
	return n * (1 - math.Pow(1-1/n, limits.Partitions))
}

// limitCost of one side: calls in a second, with the demands in them, of which
// the rows of each part add.
func (w worker) limitCost(calls, parts, demands float64) (reports, answers float64) {
	head := w.slopes.of("limit_part_bytes")
	frame := w.slopes.of("link_message_bytes") + w.slopes.of("limit_report_bytes")
	reports = calls*frame + parts*head + demands*w.slopes.of("demand_bytes")
	answers = calls*frame + parts*head + demands*w.slopes.of("share_bytes")
	return reports, answers
}

func (w worker) limits() Duty {
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
func (w worker) allocator() Duty {
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

func (w worker) burn() Duty {
	perSecond := w.region.requests / w.region.members
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

// historyBytes are what a burn.History holds for a service: its slots and those
// of sixteen workspaces, 32 bytes each.
const historyBytes = (120 + 72 + 16*72) * 32

func (w worker) roster() Duty {
	n := w.slopes.of("roster_messages")
	return Duty{
		Name: "rosters of regions", State: "up to eight instances of each other region", Mark: Assumed,
		Cost:      w.messages(n, summaryBytes, n, summaryBytes),
		Mechanism: "coord/roster: relays tell relays, and their own members",
		Slopes:    []string{"roster_messages", "link_message_cpu", "link_message_bytes"},
	}
}

func (w worker) summaries() Duty {
	n := float64(w.size.Regions-1) * summariesPerSec
	perLink := w.slopes.of("link_heap") + w.slopes.of("link_stack")
	c := w.messages(n, summaryBytes, n, summaryBytes)
	c.Memory = 2 * float64(w.size.Regions-1) * perLink
	return Duty{
		Name: "summaries of regions", State: "connections to two relays of each region", Cost: c, Mark: Assumed,
		Mechanism: "node/regions: grants and reachability by the relays, two in a region",
		Slopes:    []string{"link_heap", "link_stack", "link_message_cpu", "link_message_bytes"},
	}
}

// half of a group's messages are sent by the leader, the other half are answers.
func (w worker) leader(messages, bytes float64) Cost {
	payload := bytes / messages
	return w.messages(messages/2, payload, messages/2, payload)
}

func (w worker) groupHeartbeats() Duty {
	return Duty{
		Name: "heartbeats of the region's group", State: "term, vote, log", Mark: Derived,
		Cost:      w.leader(w.slopes.of("group3_messages"), w.slopes.of("group3_bytes")),
		Mechanism: "coord/replog: three disks of the region",
		Slopes:    []string{"group3_messages", "group3_bytes", "link_message_cpu", "link_message_bytes"},
	}
}

// claimRate is claims in a second in the largest region.
func (w worker) claimRate() float64 { return w.region.requests * w.size.Once }

func (w worker) claims() Duty {
	commits := commitsPerClaim * w.claimRate()
	n := commits * w.slopes.of("commit3_messages")
	c := w.leader(max(n, 1e-9), commits*w.slopes.of("commit3_bytes"))
	c.CPU += commits * (w.slopes.of("propose_cpu") + w.slopes.of("claim_cpu")) * 1e-9
	c.Memory = min(maxClaims, w.claimRate()*w.size.ClaimLifetime) * w.slopes.of("claim_memory")
	return Duty{
		Name: "claims", State: "a record for each request that runs at most once", Cost: c, Mark: Assumed,
		Mechanism: "coord/claim on coord/replog: a commit before the sending, one after the end",
		Slopes:    []string{"commit3_messages", "commit3_bytes", "propose_cpu", "claim_cpu", "claim_memory", "link_message_cpu", "link_message_bytes"},
	}
}

// orders are those of a drain and a load for each changed target, and cost
// nothing beside the rest.
func (w worker) orders() Duty {
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

func (w worker) globalHeartbeats() Duty {
	scale := globalHeartbeatScale * float64(w.size.Voters-1) / 4
	return Duty{
		Name: "heartbeats of the global group", State: "term, vote, log", Mark: Derived,
		Cost:      w.leader(max(scale*w.slopes.of("group5_messages"), 1e-9), scale*w.slopes.of("group5_bytes")),
		Mechanism: "coord/replog: a few disks in several regions",
		Slopes:    []string{"group5_messages", "group5_bytes", "link_message_cpu", "link_message_bytes"},
	}
}

func (w worker) acceptance() Duty {
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

func (w worker) globalLog() Duty {
	rate := w.size.changeRate()
	n := rate * w.slopes.of("commit5_messages")
	others := float64(w.size.Voters - 1)
	c := w.leader(max(n, 1e-9), rate*others*w.slopes.of("accept_log"))
	c.Memory = w.slopes.of("bundle_encoded")*w.size.bundleScale() + logEntries*w.slopes.of("accept_log")
	return Duty{
		Name: "log of bundles", State: "entries since the last snapshot, and that", Cost: c, Mark: Derived,
		Mechanism: "coord/replog, coord/wal: an entry of 1 KB a change, one sync for a batch",
		Slopes:    []string{"commit5_messages", "accept_log", "bundle_encoded", "link_message_cpu", "link_message_bytes"},
	}
}
