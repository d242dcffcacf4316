package link

import (
	"sync/atomic"
	"time"

	"github.com/gullhaven/gullhaven/coord/verdict"
)

// Codes of the errors that Call returns.
const (
	// CodeUnreachable: no connection to the peer could be made.
	CodeUnreachable verdict.Code = "link_unreachable"
	// CodeRingFull: the ring to the peer is full.
	CodeRingFull verdict.Code = "link_ring_full"
	// CodeTooLong: the payload is longer than Options.MaxMessage, or the channel
	// name is not valid UTF-8 of at most 64 bytes.
	CodeTooLong verdict.Code = "link_too_long"
	// CodeStale: the request waited longer than Options.MaxAge to be sent.
	CodeStale verdict.Code = "link_stale"
	// CodeTimeout: the caller's context ended first.
	CodeTimeout verdict.Code = "link_timeout"
	// CodeLost: the connection ended after the request was sent.
	CodeLost verdict.Code = "link_lost"
	// CodeClosed: the Hub is closed.
	CodeClosed verdict.Code = "link_closed"
	// CodeNoHandler: the peer does not serve the channel.
	CodeNoHandler verdict.Code = "link_no_handler"
	// CodeOverloaded: the ring of the peer's handler is full.
	CodeOverloaded verdict.Code = "link_overloaded"
	// CodeExpired: the deadline passed before the peer's handler started.
	CodeExpired verdict.Code = "link_expired"
	// CodeFailed: the handler returned an error without a verdict.
	CodeFailed verdict.Code = "link_handler_failed"
	// CodeBadAnswer: the peer's answer can't be decoded.
	CodeBadAnswer verdict.Code = "link_bad_answer"
)

// itemState is the state of an item. An item is claimed exactly once, either by
// the writer that sends it or by the goroutine that drops it, so that a request
// whose caller got NotRun is never sent afterwards.
type itemState int32

const (
	queued itemState = iota
	sent
	abandoned
)

// item is a frame that waits to be sent to a peer.
type item struct {
	frame    frame
	urgent   bool
	counters *channelCounters
	// queuedAt is when Options.MaxAge begins.
	queuedAt time.Time
	// deadline of a call; zero means none.
	deadline time.Time
	state    atomic.Int32
	// call waits for the answer; nil for other kinds than calls.
	call *call
	// offset is how much of the payload has been written, in bytes.
	offset int
}

func (i *item) isAnswer() bool {
	return i.frame.Kind == frameAnswer || i.frame.Kind == frameFailure
}

// claim moves the item from queued to s and reports whether it was queued.
func (i *item) claim(s itemState) bool {
	return i.state.CompareAndSwap(int32(queued), int32(s))
}

// drop drops the item unless it was claimed, and ends its call with NotRun.
func (i *item) drop(code verdict.Code, message string) {
	if !i.claim(abandoned) {
		return
	}
	i.counters.dropped.Add(1)
	if i.call != nil {
		i.call.finish(nil, verdict.New(verdict.NotRun, code, message))
	}
}

// nextFrame returns the frame to write now: the whole item or its next chunk.
func (i *item) nextFrame(now time.Time) frame {
	rest := i.frame.Payload[i.offset:]
	f := frame{Kind: frameChunk}
	if i.offset == 0 {
		f = i.frame
		f.Budget = budget(i.deadline, now)
	}
	f.Payload = rest[:min(len(rest), chunkBytes)]
	f.More = len(rest) > chunkBytes
	return f
}

// budget returns the time from now to the deadline in whole milliseconds, at
// least 1; 0 means no deadline. It rounds up, so that a deadline is never sent
// as none.
func budget(deadline, now time.Time) uint32 {
	if deadline.IsZero() {
		return 0
	}
	ms := deadline.Sub(now).Milliseconds() + 1
	return uint32(min(max(ms, 1), 1<<32-1))
}
