package ports

import (
	"context"
	"io"
	"net/http"
)

// PlainRequest is one attempt at a plain service.
type PlainRequest struct {
	Attempt AttemptID
	Method  string
	// Path starts with a slash and is relative to the service; RawQuery has no "?".
	Path     string
	RawQuery string
	Header   http.Header
	// Body may be nil; Length is its size in bytes, -1 if unknown.
	Body   io.Reader
	Length int64
	// Once forbids retries by lower layers.
	Once bool
}

// PlainAnswer is the answer of a plain service. Body must be closed.
type PlainAnswer struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
}

// Plain is one target of a plain service.
type Plain interface {
	// Do sends a request. An answer of any status is no error.
	Do(ctx context.Context, r PlainRequest) (*PlainAnswer, error)
}

// Plains returns the plain target at an address (IP:port).
type Plains interface {
	Plain(address string) Plain
}
