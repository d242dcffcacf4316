package pipeline

import (
	"net/http"

	"github.com/gullhaven/gullhaven/coord/claim"
	"github.com/gullhaven/gullhaven/coord/verdict"
	"github.com/gullhaven/gullhaven/ports"
	"github.com/gullhaven/gullhaven/route"
)

// Codes of refusals and failures on the request path.
const (
	CodeOverloaded                      = verdict.Code(route.ReasonOverload)
	CodeHopNotAllowed      verdict.Code = "hop_not_allowed"
	CodeLoop               verdict.Code = "loop"
	CodeUnknownKey         verdict.Code = "wrong_key"
	CodeWrongHeader        verdict.Code = "wrong_header"
	CodePriorityNotAllowed verdict.Code = "priority_not_allowed"
	CodeWrongRegion        verdict.Code = "wrong_region"
	CodeServiceHeader      verdict.Code = "service_header_required"
	CodeOverLimit          verdict.Code = "workspace_limit"
	CodeBodyTooLarge       verdict.Code = "body_too_large"
	// CodeNoMemory: the requests in progress take up the memory for the body.
	CodeNoMemory               verdict.Code = "no_memory"
	CodeBodyTruncated          verdict.Code = "body_truncated"
	CodeBodyMalformed          verdict.Code = "body_malformed"
	CodeContentType            verdict.Code = "wrong_content_type"
	CodeUnknownModel           verdict.Code = "unknown_model"
	CodeUnknownService                      = verdict.Code(route.ReasonUnknownService)
	CodeSuspected              verdict.Code = "request_suspected"
	CodeIdempotencyKeyRequired verdict.Code = "idempotency_key_required"
	CodeDeadline               verdict.Code = "deadline_exceeded"
	CodeCallerGone             verdict.Code = "caller_gone"
	CodeAlreadyRunning         verdict.Code = "already_running"
	CodeAlreadyRan             verdict.Code = "already_ran"
	CodeNoTarget                            = verdict.Code(route.ReasonNoTarget)
	CodeNoBundle               verdict.Code = "no_bundle"
	CodeRegionUnreached        verdict.Code = "region_unreached"
	CodeInternal               verdict.Code = "internal"
	CodeUnknownPath            verdict.Code = "unknown_path"
	CodeUnknownMethod          verdict.Code = "unknown_method"
)

// statuses maps codes to HTTP statuses; other codes are answered with 502.
var statuses = map[verdict.Code]int{
	CodeHopNotAllowed:          http.StatusBadRequest,
	CodeLoop:                   http.StatusLoopDetected,
	CodeUnknownKey:             http.StatusUnauthorized,
	CodeWrongHeader:            http.StatusBadRequest,
	CodePriorityNotAllowed:     http.StatusForbidden,
	CodeWrongRegion:            http.StatusMisdirectedRequest,
	CodeServiceHeader:          http.StatusPreconditionRequired,
	CodeOverLimit:              http.StatusTooManyRequests,
	CodeBodyTooLarge:           http.StatusRequestEntityTooLarge,
	CodeNoMemory:               http.StatusServiceUnavailable,
	CodeBodyTruncated:          http.StatusBadRequest,
	CodeBodyMalformed:          http.StatusBadRequest,
	CodeContentType:            http.StatusUnsupportedMediaType,
	CodeUnknownModel:           http.StatusNotFound,
	CodeSuspected:              http.StatusForbidden,
	CodeIdempotencyKeyRequired: http.StatusBadRequest,
	CodeDeadline:               http.StatusGatewayTimeout,
	CodeCallerGone:             statusCallerGone,
	CodeAlreadyRunning:         http.StatusConflict,
	CodeAlreadyRan:             http.StatusConflict,
	CodeNoBundle:               http.StatusServiceUnavailable,
	CodeRegionUnreached:        http.StatusBadGateway,
	CodeInternal:               http.StatusInternalServerError,
	CodeUnknownPath:            http.StatusNotFound,
	CodeUnknownMethod:          http.StatusMethodNotAllowed,

	claim.CodeUnavailable: http.StatusServiceUnavailable,
	claim.CodeConflict:    http.StatusUnprocessableEntity,
	claim.CodeMayHaveRun:  http.StatusConflict,
	claim.CodeHeld:        http.StatusServiceUnavailable,
	claim.CodeGivenUp:     http.StatusServiceUnavailable,

	ports.CodeUnreached: http.StatusServiceUnavailable,
	ports.CodeRejected:  http.StatusServiceUnavailable,
	ports.CodeResting:   http.StatusServiceUnavailable,
	ports.CodeInvalid:   http.StatusBadRequest,

	verdict.Code(route.ReasonUnknownService): http.StatusNotFound,
	verdict.Code(route.ReasonNoTarget):       http.StatusServiceUnavailable,
	verdict.Code(route.ReasonDeadline):       http.StatusServiceUnavailable,
	verdict.Code(route.ReasonOverload):       http.StatusServiceUnavailable,
	verdict.Code(route.ReasonResidency):      http.StatusMisdirectedRequest,
}

// statusCallerGone is for counters only, as the caller has left.
const statusCallerGone = 499

// StatusOf returns the HTTP status of a code.
func StatusOf(c verdict.Code) int {
	if s, ok := statuses[c]; ok {
		return s
	}
	return http.StatusBadGateway
}

// refuse returns the refusal of a request that was not run.
func refuse(c verdict.Code, message string) *verdict.Error {
	return verdict.New(verdict.NotRun, c, message)
}
