package link

import (
	"context"
	"errors"
	"time"

	"github.com/gullhaven/gullhaven/coord/ring"
	"github.com/gullhaven/gullhaven/coord/verdict"
)

// inbound is a received message or request.
type inbound struct {
	from    string
	payload []byte
	// id of the call; 0 for messages.
	id uint64
	// deadline of the call; zero means none.
	deadline time.Time
}

// channel passes received messages or requests to a handler. Its queue prevents
// a slow handler from blocking the connection and with it all other channels.
type channel struct {
	queue *ring.Ring[inbound]
	// kind is what the handler accepts: frameMessage or frameCall.
	kind frameKind
	run  func(inbound)
}

// handlerKey identifies a handler: a channel name may be used for both messages
// and calls.
type handlerKey struct {
	name string
	kind frameKind
}

// Handle sets the handler of messages that peers send to a channel by Send. Each
// channel has its own bounded ring and goroutine.
func (h *Hub) Handle(name string, fn func(from string, payload []byte)) {
	h.register(name, frameMessage, 1, func(in inbound) { fn(in.from, in.payload) })
}

// Serve sets the handler of Calls of a channel, run by max(1, workers)
// goroutines. The handler's context ends with the caller's deadline or the Hub,
// but not if the caller cancels before its deadline. An error that is a
// *verdict.Error reaches the caller with its verdict, code and message; any
// other as MayHaveRun.
func (h *Hub) Serve(name string, workers int, fn func(ctx context.Context, from string, payload []byte) ([]byte, error)) {
	h.register(name, frameCall, workers, func(in inbound) {
		ctx, cancel := h.callContext(in)
		defer cancel()
		if ctx.Err() != nil {
			h.fail(in, verdict.New(verdict.NotRun, CodeExpired, "the deadline passed before the request was run"))
			return
		}
		answer, err := fn(ctx, in.from, in.payload)
		h.answer(name, in, answer, err)
	})
}

func (h *Hub) register(name string, kind frameKind, workers int, run func(inbound)) {
	c := &channel{queue: ring.New[inbound](h.o.RingSize), kind: kind, run: run}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.ctx.Err() != nil {
		return
	}
	h.channels[handlerKey{name, kind}] = c
	for range max(1, workers) {
		h.wg.Go(func() { c.loop(h.ctx) })
	}
}

func (c *channel) loop(ctx context.Context) {
	for {
		in, err := c.queue.Pop(ctx)
		if err != nil {
			return
		}
		c.run(in)
	}
}

func (h *Hub) callContext(in inbound) (context.Context, context.CancelFunc) {
	if in.deadline.IsZero() {
		return context.WithCancel(h.ctx)
	}
	return context.WithDeadline(h.ctx, in.deadline)
}

// deliver handles a whole frame from a peer.
func (h *Hub) deliver(from string, f *frame) {
	switch f.Kind {
	case frameAnswer, frameFailure:
		h.deliverAnswer(from, f)
	default:
		h.deliverRequest(from, f)
	}
}

func (h *Hub) deliverAnswer(from string, f *frame) {
	c := h.calls.resolve(f.ID, from)
	if c == nil {
		h.counters.lateAnswers.Add(1)
		return
	}
	if f.Kind == frameFailure {
		c.finish(nil, decodeFailure(f.Payload))
		return
	}
	c.finish(f.Payload, nil)
}

func (h *Hub) deliverRequest(from string, f *frame) {
	in := inbound{from: from, payload: f.Payload, id: f.ID}
	if f.Budget > 0 {
		in.deadline = time.Now().Add(time.Duration(f.Budget) * time.Millisecond)
	}
	h.mu.RLock()
	c := h.channels[handlerKey{f.Channel, f.Kind}]
	h.mu.RUnlock()
	if c == nil {
		h.counters.unhandled.Add(1)
		h.refuse(in, f.Kind, CodeNoHandler, "the channel is not served")
		return
	}
	n := h.channelCounters(f.Channel)
	n.received.Add(1)
	n.receivedBytes.Add(uint64(len(f.Payload)))
	if !c.queue.TryPush(in) {
		n.overflow.Add(1)
		h.refuse(in, f.Kind, CodeOverloaded, "too many requests wait on the channel")
	}
}

// refuse answers a call with NotRun; messages have no caller.
func (h *Hub) refuse(in inbound, kind frameKind, code verdict.Code, message string) {
	if kind == frameCall {
		h.fail(in, verdict.New(verdict.NotRun, code, message))
	}
}

func (h *Hub) answer(name string, in inbound, payload []byte, err error) {
	if err == nil && len(payload) > h.o.MaxMessage {
		err = verdict.New(verdict.Ran, CodeTooLong, "the answer is too long for a message")
	}
	if err != nil {
		h.fail(in, asVerdict(err))
		return
	}
	h.reply(in, h.newItem(frameAnswer, name, payload))
}

func (h *Hub) fail(in inbound, e *verdict.Error) {
	payload, err := encodeFailure(e)
	if err != nil {
		// Not expected, as every field has a fixed type. The caller times out.
		h.channelCounters(failuresChannel).dropped.Add(1)
		return
	}
	h.reply(in, h.newItem(frameFailure, failuresChannel, payload))
}

func (h *Hub) reply(in inbound, it *item) {
	it.frame.ID = in.id
	// The caller finds the channel by the id.
	it.frame.Channel = ""
	p := h.peer(in.from)
	if p == nil || !p.push(it) {
		it.counters.refused.Add(1)
	}
}

func asVerdict(err error) *verdict.Error {
	var e *verdict.Error
	if errors.As(err, &e) {
		return e
	}
	return verdict.New(verdict.MayHaveRun, CodeFailed, err.Error())
}
