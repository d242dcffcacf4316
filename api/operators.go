package api

import (
	"context"
	"errors"
	"io"
	"math"
	"net/http"

	"github.com/gullhaven/gullhaven/api/gen/operators"
	"github.com/gullhaven/gullhaven/coord/verdict"
	"github.com/gullhaven/gullhaven/pipeline"
)

// Codes of errors that an Operator returns.
const (
	// CodeBundleMalformed: the body is no signed bundle.
	CodeBundleMalformed verdict.Code = "bundle_malformed"
	// CodeBundleInvalid: the bundle breaks a rule; the message names each field.
	CodeBundleInvalid verdict.Code = "bundle_invalid"
	// CodeBundleUnsigned: the sign-offs in force are not met.
	CodeBundleUnsigned verdict.Code = "bundle_unsigned"
	// CodeBundleConflict: another bundle was accepted under this version; the
	// message names its digest.
	CodeBundleConflict verdict.Code = "bundle_conflict"
	// CodeBundleTooLarge: the body is larger than MaxBundleBytes.
	CodeBundleTooLarge verdict.Code = "bundle_too_large"
	// CodeNoQuorum: the majority can't be reached; the bundle may or may not be
	// accepted later. Sending the same bytes again is safe.
	CodeNoQuorum verdict.Code = "no_quorum"
	// CodeNotReady: the instance takes no requests now.
	CodeNotReady verdict.Code = "not_ready"
)

// MaxBundleBytes bounds a signed bundle.
const MaxBundleBytes = 64 << 20

// refusalNames are the names of goa's errors by code, and with them the status.
var refusalNames = map[verdict.Code]string{
	CodeBundleMalformed: "bad_request",
	CodeBundleInvalid:   "invalid",
	CodeBundleUnsigned:  "unauthorized",
	CodeBundleConflict:  "conflict",
	CodeBundleTooLarge:  "too_large",
	CodeNoQuorum:        "unavailable",
}

// operatorsService answers operators.
type operatorsService struct{ d Deps }

// Roll reads the body within its bound and hands it on.
func (s *operatorsService) Roll(ctx context.Context, body io.ReadCloser) (*operators.RollResult, error) {
	defer body.Close()
	signed, err := io.ReadAll(io.LimitReader(body, MaxBundleBytes+1))
	if err != nil {
		return nil, refusalOf(verdict.New(verdict.NotRun, CodeBundleMalformed, "the body ended early"))
	}
	if len(signed) > MaxBundleBytes {
		return nil, refusalOf(verdict.New(verdict.NotRun, CodeBundleTooLarge, "the signed bundle is too large"))
	}
	res, err := s.d.Operator.Roll(ctx, signed)
	return res, refusalOf(err)
}

// Status reports what the instance knows.
func (s *operatorsService) Status(ctx context.Context) (*operators.InstanceReport, error) {
	res, err := s.d.Operator.Status(ctx)
	return res, refusalOf(err)
}

// Burn reports service-level burn.
func (s *operatorsService) Burn(ctx context.Context) (*operators.BurnReport, error) {
	res, err := s.d.Operator.Burn(ctx)
	return res, refusalOf(err)
}

// refusalOf is the error as goa encodes it; nil stays nil.
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
		name = nameByStatus(pipeline.StatusOf(e.Code))
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

// nameByStatus is goa's error for a status; one that has none is "unavailable".
func nameByStatus(status int) string {
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
