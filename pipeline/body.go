package pipeline

import (
	"errors"
	"fmt"
	"mime"
	"net/http"
	"os"
	"time"

	"github.com/gullhaven/gullhaven/coord/memory"
	"github.com/gullhaven/gullhaven/coord/verdict"
	"github.com/gullhaven/gullhaven/metrics"
	"github.com/gullhaven/gullhaven/ports/serve"
)

// noMemoryRetryAfter is when the caller of a request may return for whose body there is no memory.
const noMemoryRetryAfter = time.Second

// ReadBody reads the whole body, within the bounds of size and time.
type ReadBody struct {
	bounds  Bounds
	metrics *metrics.Set
}

// Serve fills x.Body.
func (f *ReadBody) Serve(x *Exchange, next Handler) error {
	if err := checkContentType(x.R); err != nil {
		return err
	}
	if err := f.read(x); err != nil {
		return err
	}
	return next(x)
}

// formType is the content type that curl sends by default.
const formType = "application/x-www-form-urlencoded"

// checkContentType accepts JSON, a missing content type, and curl's default.
func checkContentType(r *http.Request) error {
	given := r.Header.Get("Content-Type")
	if given == "" || given == "application/json" {
		return nil
	}
	kind, _, err := mime.ParseMediaType(given)
	if err != nil || (kind != "application/json" && kind != formType) {
		return refuse(CodeContentType, "the body must be application/json")
	}
	return nil
}

func (f *ReadBody) read(x *Exchange) error {
	limit := f.bounds.MaxBodyBytes
	if x.R.ContentLength > limit {
		x.W.Header().Set("Connection", "close")
		return f.tooLarge()
	}
	c := http.NewResponseController(x.W)
	if c.SetReadDeadline(x.Arrival.Add(f.bounds.BodyTimeout)) == nil {
		defer func() { _ = c.SetReadDeadline(noDeadline) }()
	}
	body, err := serve.ReadBody(x.R.Body, memory.Of(x.R.Context()), x.R.ContentLength, limit)
	if err != nil {
		x.W.Header().Set("Connection", "close")
		return f.readError(err)
	}
	// Only the body is sent to targets.
	x.R.Trailer = nil
	x.Body = body
	f.metrics.BodyBytes.Inc(int64(len(body)))
	return nil
}

func (f *ReadBody) tooLarge() *verdict.Error {
	return refuse(CodeBodyTooLarge, fmt.Sprintf("the body is larger than %d bytes", f.bounds.MaxBodyBytes))
}

func (f *ReadBody) readError(err error) *verdict.Error {
	switch {
	case errors.Is(err, serve.ErrBodyTooLarge):
		return f.tooLarge()
	case errors.Is(err, memory.ErrNoMemory):
		refusal := refuse(CodeNoMemory, "the requests in progress take up the memory for the body")
		refusal.RetryAfter = noMemoryRetryAfter
		return refusal
	case errors.Is(err, os.ErrDeadlineExceeded):
		return refuse(CodeBodyTruncated, fmt.Sprintf("the body did not come within %s", f.bounds.BodyTimeout))
	}
	return &verdict.Error{Code: CodeBodyTruncated, Message: "the body ended early", Err: err}
}

// ReadPlainBody reads the body of a plain request that runs at most once, so
// that a resend can be told from another request with the same key. Bodies of
// other plain requests are streamed.
type ReadPlainBody struct{ body ReadBody }

// Serve fills x.Digest, and x.Body where the request runs at most once.
func (f *ReadPlainBody) Serve(x *Exchange, next Handler) error {
	if x.Once {
		if err := f.body.read(x); err != nil {
			return err
		}
	}
	x.Digest = plainDigest(x)
	return next(x)
}
