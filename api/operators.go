package api

import (
	"context"
	"errors"
	"io"
	"math"
	"net/http"
	"time"

	"github.com/gullhaven/gullhaven/api/gen/operators"
	"github.com/gullhaven/gullhaven/coord/memory"
	"github.com/gullhaven/gullhaven/coord/verdict"
	"github.com/gullhaven/gullhaven/pipeline"
	"github.com/gullhaven/gullhaven/ports/serve"
)

// Codes of errors that an Operator returns.
const (
	// CodeBundleMalformed: the body is not a signed bundle.
	CodeBundleMalformed verdict.Code = "bundle_malformed"
	// CodeBundleInvalid: the bundle breaks a rule; the message names each field.
	CodeBundleInvalid verdict.Code = "bundle_invalid"
	// CodeBundleUnsigned: the bundle lacks sign-offs that the bundle in force requires.
	CodeBundleUnsigned verdict.Code = "bundle_unsigned"
	// CodeBundleConflict: another bundle was accepted under this version; the
	// message names its digest.
	CodeBundleConflict verdict.Code = "bundle_conflict"
	// CodeBundleTooLarge: the body is larger than MaxBundleBytes.
	CodeBundleTooLarge verdict.Code = "bundle_too_large"
	// CodeNoQuorum: the quorum can't be reached; the bundle may still be accepted.
	// Sending the same bytes again is safe.
	CodeNoQuorum verdict.Code = "no_quorum"
	// CodeNotReady: the instance takes no requests now.
	CodeNotReady verdict.Code = "not_ready"
)

// MaxBundleBytes bounds the body with a signed bundle.
const MaxBundleBytes = 64 << 20

const (
	// parsedFactor is how many times the bytes of a signed bundle are counted for its parsed form.
	parsedFactor = 4
	// unknownLength is the length of a body in chunks.
	unknownLength = -1
	// noMemoryRetryAfter is when the operator may return for whose bundle there is no memory.
	noMemoryRetryAfter = time.Second
)

// refusalNames maps codes to names of errors in api/design, which set the status.
var refusalNames = map[verdict.Code]string{
	CodeBundleMalformed: "bad_request",
	CodeBundleInvalid:   "invalid",
	CodeBundleUnsigned:  "unauthorized",
	CodeBundleConflict:  "conflict",
	CodeBundleTooLarge:  "too_large",
	CodeNoQuorum:        "unavailable",

	pipeline.CodeNoMemory: "unavailable",
}

// operatorsService implements the operators service of api/design.
type operatorsService struct{ d Deps }

// Roll reads the body, at most MaxBundleBytes, and passes it to the Operator.
func (s *operatorsService) Roll(ctx context.Context, body io.ReadCloser) (*operators.RollResult, error) {
	defer body.Close()
	share := memory.Of(ctx)
	signed, err := serve.ReadBody(body, share, unknownLength, MaxBundleBytes)
	if err == nil && !share.Take(time.Now(), parsedFactor*int64(len(signed))) {
		err = memory.ErrNoMemory
	}
	switch {
	case errors.Is(err, serve.ErrBodyTooLarge):
		return nil, refusalOf(verdict.New(verdict.NotRun, CodeBundleTooLarge, "the signed bundle is too large"))
	case errors.Is(err, memory.ErrNoMemory):
		refusal := verdict.New(verdict.NotRun, pipeline.CodeNoMemory, "the requests in progress take up the memory for the bundle")
		refusal.RetryAfter = noMemoryRetryAfter
		return nil, refusalOf(refusal)
	case err != nil:
		return nil, refusalOf(verdict.New(verdict.NotRun, CodeBundleMalformed, "the body ended early"))
	}
	res, err := s.d.Operator.Roll(ctx, signed)
	return res, refusalOf(err)
}

// Status returns what the instance knows about the whole system.
func (s *operatorsService) Status(ctx context.Context) (*operators.InstanceReport, error) {
	res, err := s.d.Operator.Status(ctx)
	return res, refusalOf(err)
}

// Burn returns the burn of the services' objectives.
func (s *operatorsService) Burn(ctx context.Context) (*operators.BurnReport, error) {
	res, err := s.d.Operator.Burn(ctx)
	return res, refusalOf(err)
}

// refusalOf converts an error to the type that goa encodes; nil stays nil. An error
// that is no *verdict.Error becomes CodeNoQuorum, as the bundle may be accepted.
func refusalOf(err error) error {
	if err == nil {
		return nil
	}
	var e *verdict.Error
	if !errors.As(err, &e) {
		e = &verdict.Error{Verdict: verdict.MayHaveRun, Code: CodeNoQuorum, Message: "internal error", Err: err}
	}
	name, ok := refusalNames[e.Code]
	if !ok {
		name = refusalNameOf(pipeline.StatusOf(e.Code))
	}
	r := &operators.Refusal{
		Name:    name,
		Verdict: e.Verdict.String(),
		Detail:  &operators.RefusalDetail{Code: string(e.Code), Verdict: e.Verdict.String(), Message: e.Message},
	}
	if e.RetryAfter > 0 {
		ms := e.RetryAfter.Milliseconds()
		seconds := int(math.Ceil(e.RetryAfter.Seconds()))
		r.Detail.RetryAfterMs, r.RetryAfter = &ms, &seconds
	}
	return r
}

// refusalNameOf returns the name of the error in api/design for a status, or
// "unavailable" if there is none.
func refusalNameOf(status int) string {
	switch status {
	case http.StatusBadRequest:
		return "bad_request"
	case http.StatusUnauthorized:
		return "unauthorized"
	case http.StatusNotFound:
		return "not_found"
	case http.StatusConflict:
		return "conflict"
	}
	return "unavailable"
}
