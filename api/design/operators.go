package design

import (
	. "goa.design/goa/v3/dsl"
)

var rollResult = Type("RollResult", func() {
	Description("What became of a bundle.")
	Attribute("version", UInt64)
	Attribute("digest", String)
	Attribute("accepted", Boolean, "The majority committed it")
	Attribute("again", Boolean, "The same bytes were accepted before")
	Required("version", "digest", "accepted", "again")
})

var leaseStatus = Type("LeaseStatus", func() {
	Description("A leader and its lease, on the clock of the instance that answers.")
	Attribute("instance", String)
	Attribute("term", UInt64, "Term of the global leader, or the fencing number of a region's")
	Attribute("left_ms", Int64, "What is left of the lease, in milliseconds")
	Required("instance", "term", "left_ms")
})

var voterStatus = Type("VoterStatus", func() {
	Description("A voter of the group that accepts bundles.")
	Attribute("instance", String)
	Attribute("region", String)
	Attribute("state", String, "leader, follower, learner, candidate or unreachable")
	Attribute("disk", String, "ok, empty, readmitting, failed or unknown")
	Attribute("index", UInt64, "Last log index that is known to be on its disk")
	Required("instance", "region", "state", "disk", "index")
})

var laggingInstance = Type("LaggingInstance", func() {
	Description("An instance that lacks the accepted version.")
	Attribute("instance", String)
	Attribute("version", UInt64)
	Attribute("for_ms", Int64, "How long it has been behind, in milliseconds")
	Required("instance", "version", "for_ms")
})

var quantiles = Type("Quantiles", func() {
	Description("Quantiles of a time, in milliseconds.")
	Attribute("p50", Float64)
	Attribute("p90", Float64)
	Attribute("p99", Float64)
	Attribute("p99_9", Float64)
	Required("p50", "p90", "p99", "p99_9")
})

var serviceStatus = Type("ServiceStatus", func() {
	Description("How this instance served one service of late.")
	Attribute("service", String)
	Attribute("region", String, "Region of the instances that took the requests")
	Attribute("window_s", Float64, "Time that the figures cover, in seconds")
	Attribute("requests", UInt64)
	Attribute("refused", UInt64, "Requests that were not run")
	Attribute("failed", UInt64, "Requests without a whole answer that may have run")
	Attribute("sent_away", Float64, "Share of the requests passed on to another region, 0 to 1")
	Attribute("target_seconds", Float64, "Time that requests held slots, by the slots of their targets")
	Attribute("cost", Float64, "The same in the unit of the targets' cost_per_second")
	Attribute("first_byte_ms", quantiles)
	Required("service", "region", "window_s", "requests", "refused", "failed", "sent_away", "target_seconds", "cost", "first_byte_ms")
})

var regionStatus = Type("RegionStatus", func() {
	Description("What one region has in force.")
	Attribute("region", String)
	Attribute("version", UInt64)
	Attribute("digest", String)
	Attribute("reachable", Boolean)
	Attribute("behind", Boolean, "Not at the accepted version, or not known to be")
	Attribute("age_ms", Int64, "Age of what is told of it, in milliseconds")
	Attribute("lagging", ArrayOf(laggingInstance))
	Attribute("lease", leaseStatus, "Of the leader that gives the orders to the region's targets")
	Required("region", "version", "digest", "reachable", "behind", "age_ms")
})

var targetStatus = Type("TargetStatus", func() {
	Attribute("id", String)
	Attribute("service", String)
	Attribute("state", String, "warm, loading, leaving, suspect or down")
	Attribute("running", Int)
	Attribute("waiting", Int)
	Attribute("age_ms", Int64, "Age of its load report, in milliseconds")
	Required("id", "service", "state", "running", "waiting", "age_ms")
})

var instanceStatus = Type("InstanceStatus", func() {
	Attribute("id", String)
	Attribute("region", String)
	Attribute("zone", String)
	Attribute("state", String, "alive, suspect, leaving or dead")
	Required("id", "region", "zone", "state")
})

var instanceReport = Type("InstanceReport", func() {
	Description("What this instance knows.")
	Attribute("instance", String)
	Attribute("region", String)
	Attribute("zone", String)
	Attribute("roles", ArrayOf(String))
	Attribute("version", UInt64, "Bundle in force here")
	Attribute("digest", String)
	Attribute("leader", String, "Leader of the log, as far as is known; empty if not")
	Attribute("in_flight", Int64, "Requests under way here")
	Attribute("uptime_ms", Int64, "Time since its start, in milliseconds")
	Attribute("regions", ArrayOf(regionStatus))
	Attribute("targets", ArrayOf(targetStatus))
	Attribute("instances", ArrayOf(instanceStatus))
	Attribute("lease", leaseStatus, "Of the leader of the log")
	Attribute("voters", ArrayOf(voterStatus))
	Attribute("services", ArrayOf(serviceStatus))
	Required("instance", "region", "zone", "roles", "version", "digest", "leader", "in_flight", "uptime_ms", "regions", "targets", "instances")
})

var burnWindow = Type("BurnWindow", func() {
	Description("How fast the error budget of an objective is used up.")
	Attribute("window_ms", Int64, "Length of the window, in milliseconds")
	Attribute("requests", Int64)
	Attribute("missed", Int64, "Requests that didn't keep the objective")
	Attribute("rate", Float64, "Share missed by the share allowed; 1 uses the budget up exactly")
	Required("window_ms", "requests", "missed", "rate")
})

var burnCause = Type("BurnCause", func() {
	Attribute("cause", String, "refused, late, target_lost, sent_away or limit")
	Attribute("requests", Int64)
	Required("cause", "requests")
})

var serviceBurn = Type("ServiceBurn", func() {
	Attribute("service", String)
	Attribute("objective", Float64, "Share of requests that must keep the bounds")
	Attribute("first_token_ms", Float64, "Bound of the time to the first byte, in milliseconds")
	Attribute("verdict", String, "idle, ok, slow or fast")
	Attribute("windows", ArrayOf(burnWindow))
	Attribute("causes", ArrayOf(burnCause), "What burns it, over the longest window")
	Required("service", "objective", "first_token_ms", "verdict", "windows", "causes")
})

var burnReport = Type("BurnReport", func() {
	Description("Service-level burn as known to this instance.")
	Attribute("instance", String)
	Attribute("region", String)
	Attribute("version", UInt64, "Bundle that the objectives are of")
	Attribute("at_ms", Int64, "Clock of the instance, in Unix milliseconds")
	Attribute("services", ArrayOf(serviceBurn))
	Attribute("history", Bytes, "Snapshot of package metrics/burn, to be merged with those of others")
	Required("instance", "region", "version", "at_ms", "services", "history")
})

var _ = Service("operators", func() {
	Description("What operators ask.")
	HTTP(func() { Path("/operator/v1") })
	Method("roll", func() {
		Description("Roll a signed bundle. The body is read by package bundle, which reports each wrong field.")
		Result(rollResult)
		refusalErrors()
		HTTP(func() {
			refusalResponses()
			POST("/bundles")
			SkipRequestBodyEncodeDecode()
		})
	})
	Method("status", func() {
		Description("What this instance knows of bundle, regions, targets and instances.")
		Result(instanceReport)
		refusalErrors()
		HTTP(func() {
			GET("/status")
			refusalResponses()
		})
	})
	Method("burn", func() {
		Description("How fast each service uses up its error budget.")
		Result(burnReport)
		refusalErrors()
		HTTP(func() {
			GET("/burn")
			refusalResponses()
		})
	})
})

var readiness = Type("Readiness", func() {
	Attribute("ready", Boolean, "Always true; otherwise the answer is a refusal")
	Required("ready")
})

var _ = Service("health", func() {
	Description("What supervisors and scrapers ask.")
	Method("live", func() {
		Description("The process runs.")
		HTTP(func() {
			GET("/healthz")
			Response(StatusNoContent)
		})
	})
	Method("ready", func() {
		Description("The instance takes requests.")
		Result(readiness)
		refusalErrors()
		HTTP(func() {
			GET("/readyz")
			Response(StatusOK)
			refusalResponses()
		})
	})
	Method("metrics", func() {
		Description("Counters in the text exposition format.")
		Result(func() {
			Attribute("content_type", String)
			Required("content_type")
		})
		HTTP(func() {
			GET("/metrics")
			SkipResponseBodyEncodeDecode()
			Response(StatusOK, func() { Header("content_type:Content-Type") })
		})
	})
})
