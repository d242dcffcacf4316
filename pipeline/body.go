package pipeline

import (
	"errors"
	"fmt"
	"io"
	"mime"
	"net/http"
	"os"

	"github.com/gullhaven/gullhaven/coord/verdict"
	"github.com/gullhaven/gullhaven/metrics"
)

// initialReadBytes is the first buffer size for a body of unknown length.
const initialReadBytes = 4 << 10

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
	body, err := readBounded(x.R.Body, x.R.ContentLength, limit)
	if err != nil {
		x.W.Header().Set("Connection", "close")
		return f.readError(err)
	}
	x.Body = body
	f.metrics.BodyBytes.Inc(int64(len(body)))
	return nil
}

var errTooLarge = errors.New("body too large")

func readBounded(r io.Reader, length, limit int64) ([]byte, error) {
	room := int64(initialReadBytes)
	if length >= 0 {
		room = length + 1
	}
	body := make([]byte, 0, room)
	for {
		if len(body) == cap(body) {
			body = append(body, 0)[:len(body)]
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if int64(len(body)) > limit {
			return nil, errTooLarge
		}
		if err == io.EOF {
			return body, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

func (f *ReadBody) tooLarge() *verdict.Error {
	return refuse(CodeBodyTooLarge, fmt.Sprintf("the body is larger than %d bytes", f.bounds.MaxBodyBytes))
}

func (f *ReadBody) readError(err error) *verdict.Error {
	switch {
	case errors.Is(err, errTooLarge):
		return f.tooLarge()
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
