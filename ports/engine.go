// Package ports holds the interfaces to everything outside an instance: engines,
// plain services, the weight store, the list of instances, and the parts of other
// instances that the request path uses.
//
// Errors of an attempt are *verdict.Error, so that each says whether the request
// may have run.
package ports

import (
	"context"
	"io"
	"time"

	"github.com/gullhaven/gullhaven/coord/verdict"
)

// AttemptID identifies one attempt of a request. It is unique over instances and restarts.
type AttemptID string

// Error codes of attempts at a target.
const (
	// CodeUnreached: no connection; the target received nothing.
	CodeUnreached verdict.Code = "target_unreached"
	// CodeRejected: the target refused the request before running it.
	CodeRejected verdict.Code = "target_rejected"
	// CodeResting: the target turned the request away and wants no requests for
	// the error's RetryAfter.
	CodeResting verdict.Code = "target_resting"
	// CodeInvalid: the target found the request itself at fault.
	CodeInvalid verdict.Code = "target_invalid"
	// CodeTargetError: the target answered with an error.
	CodeTargetError verdict.Code = "target_error"
	// CodeStreamCut: the answer ended before its end mark.
	CodeStreamCut verdict.Code = "stream_cut"
	// CodeStreamGap: chunks of the answer are missing.
	CodeStreamGap verdict.Code = "stream_gap"
	// CodeWrongAnswer: the answer belongs to another attempt.
	CodeWrongAnswer verdict.Code = "wrong_answer"
	// CodeOldFence: an order had a lower fencing number than one before.
	CodeOldFence verdict.Code = "old_fence"
	// CodeOrderExpired: an order's expiry passed before it was sent.
	CodeOrderExpired verdict.Code = "order_expired"
	// CodeUnknownAttempt: the target does not know the attempt.
	CodeUnknownAttempt verdict.Code = "unknown_attempt"
)

// Completion is one attempt of a completion request.
type Completion struct {
	Attempt AttemptID
	// Chat selects the chat form instead of the plain prompt form.
	Chat bool
	// Stream requests the answer in chunks instead of as one.
	Stream bool
	// Body is the JSON object in OpenAI form as the caller sent it.
	Body []byte
	// Priority is 0 (lowest) to 9.
	Priority int
	// Deadline for the whole answer; zero means none.
	Deadline time.Time
	// Once forbids retries by lower layers, see transport.Transports.Do.
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

// Stream is an answer in progress. It is for one goroutine.
type Stream interface {
	// Next returns the next chunk in order. It ends with io.EOF only after the
	// engine's end mark; any other end is a *verdict.Error.
	Next() (Chunk, error)
	// Buffered reports whether more of the answer has been received already, so
	// that a relay can delay a flush.
	Buffered() bool
	// Counts returns the counts of chunks that did not come in order so far.
	Counts() SequenceCounts
	// Close releases the stream. Before the end of the answer it cancels the request.
	Close() error
}

// LoadReport is an engine's report on itself, as of At.
type LoadReport struct {
	At time.Time `json:"at"`
	// Started is when the engine's process started; zero if not reported.
	Started       time.Time `json:"started,omitzero"`
	Running       int       `json:"running"`
	Waiting       int       `json:"waiting"`
	WaitingTokens int       `json:"waiting_tokens"`
	// KVUsed is the share of KV cache memory in use, 0 to 1.
	KVUsed float64 `json:"kv_used"`
	// Model, Version, Adapters and Role are those loaded now.
	Model    string   `json:"model,omitempty"`
	Version  string   `json:"version,omitempty"`
	Adapters []string `json:"adapters,omitempty"`
	Role     string   `json:"role,omitempty"`
	Draining bool     `json:"draining,omitempty"`
	// DrainedBy is the id of the order that drained the engine; empty if not
	// reported, or drained without an order.
	DrainedBy string `json:"drained_by,omitempty"`
	Loading   bool   `json:"loading,omitempty"`
}

// CacheEvent reports prefix blocks stored or evicted. Events come late and with
// gaps in Seq.
type CacheEvent struct {
	Seq     uint64   `json:"seq"`
	Stored  []uint64 `json:"stored,omitempty"`
	Evicted []uint64 `json:"evicted,omitempty"`
}

// OrderKind is the kind of an order to an engine.
type OrderKind string

// Kinds of orders.
const (
	OrderLoadVersion OrderKind = "load_version"
	OrderLoadAdapter OrderKind = "load_adapter"
	OrderRole        OrderKind = "role"
	OrderDrain       OrderKind = "drain"
	OrderResume      OrderKind = "resume"
)

// Order changes what an engine has loaded or its state.
type Order struct {
	ID   string    `json:"id"`
	Kind OrderKind `json:"kind"`
	// Model, Version, Adapter, Weights and Role are the operands of Kind.
	Model   string `json:"model,omitempty"`
	Version string `json:"version,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	Weights string `json:"weights,omitempty"`
	Role    string `json:"role,omitempty"`
	// Fence is the sender's fencing number. Some engines reject one below the
	// highest that they have seen, others ignore it.
	Fence uint64 `json:"fence"`
	// Expires is when the order may no longer be sent or executed. The client
	// enforces it on its side, also for engines that ignore it.
	Expires time.Time `json:"expires"`
}

// OrderResult is an engine's answer to an order.
type OrderResult struct {
	// Done is false while the order is in progress (a load).
	Done bool `json:"done"`
	// Fence is the highest fencing number that the engine has seen.
	Fence uint64 `json:"fence"`
}

// Engine is one model engine.
type Engine interface {
	// Complete sends a completion and returns its answer in progress.
	Complete(ctx context.Context, c Completion) (Stream, error)
	// Resume continues the answer of an attempt after chunk after.
	Resume(ctx context.Context, c Completion, after uint64) (Stream, error)
	// Cancel ends an attempt; an unknown one is no error.
	Cancel(ctx context.Context, a AttemptID) error
	// Load returns the newest load report, which lags.
	Load(ctx context.Context) (LoadReport, error)
	// CacheEvents returns events with Seq above after, oldest first.
	CacheEvents(ctx context.Context, after uint64) ([]CacheEvent, error)
	// Order sends an order.
	Order(ctx context.Context, o Order) (OrderResult, error)
	// ExportKV returns the KV cache of an attempt, for ImportKV at another
	// engine. The caller must close it.
	ExportKV(ctx context.Context, a AttemptID) (io.ReadCloser, error)
	// ImportKV loads a KV cache, so that the attempt can be resumed here.
	ImportKV(ctx context.Context, a AttemptID, kv io.Reader) error
}

// Engines returns the engine at an address (IP:port).
type Engines interface {
	Engine(address string) Engine
}
