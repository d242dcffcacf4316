// Package ports holds the narrow interfaces to everything outside an instance:
// engines, plain services, the weight store, the list of instances, and the
// parts of other instances that the request path asks.
//
// Errors of a sending are *verdict.Error, so that each says whether the request
// may have run.
package ports

import (
	"context"
	"io"
	"time"

	"github.com/gullhaven/gullhaven/coord/verdict"
)

// AttemptID names one sending of one request, unique over instances and restarts.
type AttemptID string

// Codes of errors that a sending to a target ends with.
const (
	// CodeUnreached: no connection; the target saw nothing.
	CodeUnreached verdict.Code = "target_unreached"
	// CodeRejected: the target refused the request before running it.
	CodeRejected verdict.Code = "target_rejected"
	// CodeInvalid: the target found the request itself at fault.
	CodeInvalid verdict.Code = "target_invalid"
	// CodeTarget: the target answered with an error of its own.
	CodeTargetError verdict.Code = "target_error"
	// CodeCut: the answer ended before its end mark.
	CodeStreamCut verdict.Code = "stream_cut"
	// CodeGap: chunks of the answer are missing.
	CodeStreamGap verdict.Code = "stream_gap"
	// CodeWrongAnswer: the answer belongs to another attempt.
	CodeWrongAnswer verdict.Code = "wrong_answer"
	// CodeOldFence: an order carried a fencing number that was overtaken.
	CodeOldFence verdict.Code = "old_fence"
	// CodeExpired: an order's expiry passed before it was sent.
	CodeOrderExpired verdict.Code = "order_expired"
	// CodeUnknown: the target does not know the attempt.
	CodeUnknownAttempt verdict.Code = "unknown_attempt"
)

// Completion is one sending of a completion request.
type Completion struct {
	Attempt AttemptID
	// Chat selects the chat form; otherwise the plain prompt form.
	Chat bool
	// Stream asks for the answer in chunks; otherwise it comes as one chunk.
	Stream bool
	// Body is the OpenAI-form JSON object as the caller sent it.
	Body []byte
	// Priority is 0 (lowest) to 9.
	Priority int
	// Deadline is when the whole answer is worthless; zero means none.
	Deadline time.Time
	// Once forbids any second sending by layers below, see enginehttp.
	Once bool
}

// Chunk is one part of an answer.
type Chunk struct {
	// Seq counts from 1 within an attempt.
	Seq uint64
	// Data is one JSON object of the OpenAI form. It is valid until the next
	// call of Next.
	Data []byte
}

// Stream is an answer under way. It is for one goroutine.
type Stream interface {
	// Next returns the next chunk in order. It ends with io.EOF only after the
	// engine's end mark; any other end is a *verdict.Error.
	Next() (Chunk, error)
	// Buffered reports whether more of the answer has come already, so that a
	// relay can put off a flush.
	Buffered() bool
	// Counts returns what was dropped so far.
	Counts() SequenceCounts
	// Close ends the stream; before its end this cancels the request.
	Close() error
}

// LoadReport is what an engine tells of itself, true at its At.
type LoadReport struct {
	At time.Time `json:"at"`
	// Started is when the engine's process started; zero if it doesn't tell.
	Started       time.Time `json:"started,omitzero"`
	Running       int       `json:"running"`
	Waiting       int       `json:"waiting"`
	WaitingTokens int       `json:"waiting_tokens"`
	// KVUsed is the share of KV cache memory in use, 0 to 1.
	KVUsed float64 `json:"kv_used"`
	// Model, Version, Adapters and Role are what is loaded now.
	Model    string   `json:"model,omitempty"`
	Version  string   `json:"version,omitempty"`
	Adapters []string `json:"adapters,omitempty"`
	Role     string   `json:"role,omitempty"`
	Draining bool     `json:"draining,omitempty"`
	// DrainedBy is the id of the order that drained the engine; empty if it
	// doesn't tell, or was drained without an order.
	DrainedBy string `json:"drained_by,omitempty"`
	Loading   bool   `json:"loading,omitempty"`
}

// CacheEvent tells of prefix blocks stored or evicted. Events come late and
// with gaps in Seq.
type CacheEvent struct {
	Seq     uint64   `json:"seq"`
	Stored  []uint64 `json:"stored,omitempty"`
	Evicted []uint64 `json:"evicted,omitempty"`
}

// OrderKind says what an order asks of an engine.
type OrderKind string

// Kinds of orders.
const (
	OrderLoadVersion OrderKind = "load_version"
	OrderLoadAdapter OrderKind = "load_adapter"
	OrderRole        OrderKind = "role"
	OrderDrain       OrderKind = "drain"
	OrderResume      OrderKind = "resume"
)

// Order changes what an engine holds or does.
type Order struct {
	ID   string    `json:"id"`
	Kind OrderKind `json:"kind"`
	// Model, Version, Adapter, Weights and Role are the operands of Kind.
	Model   string `json:"model,omitempty"`
	Version string `json:"version,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	Weights string `json:"weights,omitempty"`
	Role    string `json:"role,omitempty"`
	// Fence is the sender's fencing number. Some engines refuse one below the
	// highest that they have seen, others ignore it.
	Fence uint64 `json:"fence"`
	// Expires is when the order must no longer be sent nor obeyed. The client
	// enforces it on this side also for engines that ignore it.
	Expires time.Time `json:"expires"`
}

// OrderResult is the answer to an order.
type OrderResult struct {
	// Done is false while the order is still under way (a load).
	Done bool `json:"done"`
	// Fence is the highest fencing number that the engine has seen.
	Fence uint64 `json:"fence"`
}

// Engine is one model engine.
type Engine interface {
	// Complete sends a completion and returns its answer under way.
	Complete(ctx context.Context, c Completion) (Stream, error)
	// Resume takes up the answer of an attempt after chunk after.
	Resume(ctx context.Context, c Completion, after uint64) (Stream, error)
	// Cancel ends an attempt; one that is not known is no error.
	Cancel(ctx context.Context, a AttemptID) error
	// Load returns the newest load report, which lags.
	Load(ctx context.Context) (LoadReport, error)
	// CacheEvents returns events with Seq above after, oldest first.
	CacheEvents(ctx context.Context, after uint64) ([]CacheEvent, error)
	// Order gives an order.
	Order(ctx context.Context, o Order) (OrderResult, error)
	// ExportKV returns the KV cache of an attempt, for ImportKV elsewhere.
	ExportKV(ctx context.Context, a AttemptID) (io.ReadCloser, error)
	// ImportKV takes a KV cache in, so that the attempt can be resumed here.
	ImportKV(ctx context.Context, a AttemptID, kv io.Reader) error
}

// Engines finds the engine at an address (IP:port).
type Engines interface {
	Engine(address string) Engine
}
