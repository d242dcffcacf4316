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

var regionStatus = Type("RegionStatus", func() {
	Description("What one region has in force.")
	Attribute("region", String)
	Attribute("version", UInt64)
	Attribute("digest", String)
	Attribute("reachable", Boolean)
	Attribute("behind", Boolean, "Not at the accepted version, or not known to be")
	Attribute("age_ms", Int64, "Age of what is told of it, in milliseconds")
	Required("region", "version", "digest", "reachable", "behind", "age_ms")
})

var targetStatus = Type("TargetStatus", func() {
	Attribute("id", String)
	Attribute("service", String)
	Attribute("state", String, "warm, loading, leaving or down")
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

var serviceBurn = Type("ServiceBurn", func() {
	Attribute("service", String)
	Attribute("objective", Float64, "Share of requests that must keep the bounds")
	Attribute("first_token_ms", Float64, "Bound of the time to the first byte, in milliseconds")
	Attribute("windows", ArrayOf(burnWindow))
	Required("service", "objective", "first_token_ms", "windows")
})

var burnReport = Type("BurnReport", func() {
	Description("Service-level burn as seen by this instance.")
	Attribute("instance", String)
	Attribute("services", ArrayOf(serviceBurn))
	Required("instance", "services")
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
