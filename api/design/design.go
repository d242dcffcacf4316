// Package design describes the interface for callers and operators in goa. The code
// generated from it is in api/gen. After a change run
//
//	go tool goa gen github.com/gullhaven/gullhaven/api/design -o api
package design

import (
	. "goa.design/goa/v3/dsl"
)

var _ = API("gullhaven", func() {
	Title("gullhaven")
	Description("Gateway for language models and plain services in several regions.")
	Version("1")
	Server("gullhavend", func() {
		Services("callers", "operators", "health")
		Host("local", func() { URI("http://127.0.0.1:8080") })
	})
})

// refusalDetail has the form of pipeline.RefusalDetail.
var refusalDetail = Type("RefusalDetail", func() {
	Description("What happened, and whether to come back.")
	Attribute("code", String, "Cause, stable across releases", func() { Example("deadline_unmeetable") })
	Attribute("verdict", String, "Whether the request may have run", func() { Enum("not_run", "may_have_run", "ran") })
	Attribute("message", String, "Text for people")
	Attribute("retry_after_ms", Int64, "When to come back, in milliseconds")
	Required("code", "verdict", "message")
})

var refusal = Type("Refusal", func() {
	Description("A refusal or failure.")
	ErrorName("name", String, "Which of the method's errors this is", func() { Meta("struct:tag:json", "-") })
	Attribute("error", refusalDetail, func() { Meta("struct:field:name", "Detail") })
	Attribute("verdict", String, "Verdict of the refusal")
	Attribute("retry_after", Int, "Seconds until coming back helps")
	Required("name", "error", "verdict")
})

// refusalErrors declares the errors of refusalNames.
func refusalErrors() {
	for _, e := range refusalNames {
		Error(e.name, refusal)
	}
}

type refusalName struct {
	name   string
	status int
}

var refusalNames = []refusalName{
	{"bad_request", StatusBadRequest},
	{"unauthorized", StatusUnauthorized},
	{"not_found", StatusNotFound},
	{"conflict", StatusConflict},
	{"too_large", StatusRequestEntityTooLarge},
	{"invalid", StatusUnprocessableEntity},
	{"unavailable", StatusServiceUnavailable},
}

// refusalResponses maps refusals to statuses and headers.
func refusalResponses() {
	for _, e := range refusalNames {
		Response(e.name, e.status, func() {
			ContentType("application/json")
			Header("verdict:Gullhaven-Verdict")
			Header("retry_after:Retry-After")
			Body(func() {
				Attribute("error", refusalDetail, func() { Meta("struct:field:name", "Detail") })
				Required("error")
			})
		})
	}
}
