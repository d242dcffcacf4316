package design

import (
	. "goa.design/goa/v3/dsl"
)

var model = Type("Model", func() {
	Description("What a request may name as its model, in the OpenAI form.")
	Attribute("id", String, "service, or service:adapter")
	Attribute("object", String, "Always model")
	Attribute("owned_by", String, "Always gullhaven")
	Required("id", "object", "owned_by")
})

var modelList = Type("ModelList", func() {
	Attribute("object", String, "Always list")
	Attribute("data", ArrayOf(model))
	Required("object", "data")
})

var directoryEntry = Type("DirectoryEntry", func() {
	Description("One instance to use.")
	Attribute("instance", String)
	Attribute("url", String)
	Attribute("region", String)
	Attribute("zone", String)
	Attribute("weight", Float64, "Share of this caller's requests to send there")
	Required("instance", "url", "region", "zone", "weight")
})

var directoryAnswer = Type("DirectoryAnswer", func() {
	Description("The instances to use now, best first.")
	Attribute("instances", ArrayOf(directoryEntry))
	Attribute("ttl_ms", Int64, "How long the answer holds, in milliseconds")
	Attribute("cache_control", String)
	Required("instances", "ttl_ms", "cache_control")
})

// terms describes the headers that requests may have, see docs/API.md.
func terms() {
	Attribute("authorization", String, "Bearer and the workspace key")
	Attribute("deadline_ms", Int64, "When the whole answer must have been given, from now, in milliseconds")
	Attribute("first_token_ms", Int64, "When the first token must have been given, from now, in milliseconds")
	Attribute("priority", Int, "0 (lowest) to 9")
	Attribute("residency", String, "Regions that may serve it, comma-separated")
	Attribute("service", String, "Service, where the region requires it before the body")
	Attribute("idempotency_key", String, "Names the request over its resends")
	Attribute("idempotent", String, "false marks a request that runs at most once")
	Attribute("resend", String, "true: sent before; false: certainly not sent before")
}

func termHeaders() {
	Header("authorization:Authorization")
	Header("deadline_ms:Gullhaven-Deadline-Ms")
	Header("first_token_ms:Gullhaven-First-Token-Ms")
	Header("priority:Gullhaven-Priority")
	Header("residency:Gullhaven-Residency")
	Header("service:Gullhaven-Service")
	Header("idempotency_key:Idempotency-Key")
	Header("idempotent:Gullhaven-Idempotent")
	Header("resend:Gullhaven-Resend")
}

var answer = Type("CompletionAnswer", func() {
	Attribute("content_type", String, "text/event-stream or application/json")
	Attribute("request_id", String)
	Attribute("verdict", String)
	Required("content_type", "request_id", "verdict")
})

// completion describes a method whose request and response bodies are streamed
// unparsed. Its handler is that of the pipeline, see package api.
func completion(path string) {
	Payload(terms)
	Result(answer)
	refusalErrors()
	HTTP(func() {
		POST(path)
		refusalResponses()
		termHeaders()
		SkipRequestBodyEncodeDecode()
		SkipResponseBodyEncodeDecode()
		Response(StatusOK, func() {
			Header("content_type:Content-Type")
			Header("request_id:Gullhaven-Request-Id")
			Header("verdict:Gullhaven-Verdict")
		})
	})
}

var _ = Service("callers", func() {
	Description("What callers ask.")
	Method("chat_completions", func() {
		Description("Chat completion in the OpenAI form, streamed or whole.")
		completion("/v1/chat/completions")
	})
	Method("completions", func() {
		Description("Text completion in the OpenAI form, streamed or whole.")
		completion("/v1/completions")
	})
	Method("models", func() {
		Description("What a request may name as its model.")
		Result(modelList)
		refusalErrors()
		HTTP(func() {
			GET("/v1/models")
			refusalResponses()
		})
	})
	Method("directory", func() {
		Description("Which instances to use now.")
		Payload(func() {
			Attribute("region", String, "Region of the caller")
			Attribute("zone", String, "Availability zone of the caller")
			Attribute("caller", String, "Any name of the caller; spreads callers over instances")
		})
		Result(directoryAnswer)
		refusalErrors()
		HTTP(func() {
			GET("/v1/directory")
			refusalResponses()
			Param("region")
			Param("zone")
			Param("caller")
			Response(StatusOK, func() {
				Header("cache_control:Cache-Control")
			})
		})
	})
})
