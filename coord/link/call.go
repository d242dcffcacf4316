package link

import (
	"context"
	"sync"

	"github.com/gullhaven/gullhaven/coord/verdict"
)

// call is a request that waits for its answer.
type call struct {
	to   string
	item *item
	// conn is where the request was written; guarded by calls.mu.
	conn *conn
	done chan callEnd
	once sync.Once
}

type callEnd struct {
	payload []byte
	err     *verdict.Error
}

// end gives the caller its answer; only the first one counts.
func (c *call) end(payload []byte, err *verdict.Error) {
	c.once.Do(func() { c.done <- callEnd{payload, err} })
}

// calls are the requests of a Hub that wait, by id.
//
// An answer that was meant for a call of this instance's process before a
// restart could be taken for one of now, if ids began at the same number. They
// begin at a random one of 64 bits instead.
type calls struct {
	mu   sync.Mutex
	next uint64
	open map[uint64]*call
}

func newCalls(first uint64) *calls {
	return &calls{next: first, open: map[uint64]*call{}}
}

func (cs *calls) add(c *call) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.next++
	c.item.frame.ID = cs.next
	cs.open[cs.next] = c
}

func (cs *calls) remove(id uint64) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	delete(cs.open, id)
}

// written notes the connection on which a call is about to be written, before
// it is: so when the connection ends, either lose finds the call or the write
// fails.
func (cs *calls) written(c *call, on *conn) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	c.conn = on
}

// take returns the call that an answer is for, or nil when it comes late,
// twice, from an instance that was not asked, or for a request not sent.
func (cs *calls) take(id uint64, from string) *call {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	c := cs.open[id]
	if c == nil || c.to != from || itemState(c.item.state.Load()) != sent {
		return nil
	}
	delete(cs.open, id)
	return c
}

// lose ends the calls written on a connection that has ended: no answer can
// come any more.
func (cs *calls) lose(on *conn) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	for id, c := range cs.open {
		if c.conn == on {
			delete(cs.open, id)
			c.end(nil, errLost())
		}
	}
}

func errLost() *verdict.Error {
	return verdict.New(verdict.MayHaveRun, CodeLost, "the connection ended before the answer came")
}

// Call sends a request and waits for its answer until ctx ends. The error is a
// *verdict.Error: NotRun when the request was not sent, MayHaveRun when it was
// sent and no answer came, else what the handler said.
func (h *Hub) Call(ctx context.Context, to, channel string, payload []byte) ([]byte, error) {
	it := h.newItem(frameCall, channel, payload)
	c := &call{to: to, item: it, done: make(chan callEnd, 1)}
	it.call = c
	it.deadline, _ = ctx.Deadline()
	if err := h.begin(c); err != nil {
		it.counters.refused.Add(1)
		return nil, err
	}
	defer h.calls.remove(it.frame.ID)
	select {
	case e := <-c.done:
		return e.result()
	case <-ctx.Done():
		return h.timedOut(ctx, c)
	}
}

// begin queues a call, or says why it can't be sent.
func (h *Hub) begin(c *call) error {
	if ctxErr := h.ctx.Err(); ctxErr != nil {
		return verdict.New(verdict.NotRun, CodeClosed, "the links of this instance are closed")
	}
	if len(c.item.frame.Payload) > h.o.MaxMessage || !validChannel(c.item.frame.Channel) {
		return verdict.New(verdict.NotRun, CodeTooLong, "the request or its channel name does not fit a message")
	}
	p := h.peer(c.to)
	if p == nil || p.backingOff() {
		return verdict.New(verdict.NotRun, CodeUnreachable, "no connection to "+c.to)
	}
	h.calls.add(c)
	if !p.push(c.item) {
		h.calls.remove(c.item.frame.ID)
		return verdict.New(verdict.NotRun, CodeRingFull, "too many messages wait for "+c.to)
	}
	return nil
}

// timedOut ends a call whose context has ended. What decides is whether the
// writer has claimed the request.
func (h *Hub) timedOut(ctx context.Context, c *call) ([]byte, error) {
	v := verdict.MayHaveRun
	if c.item.claim(abandoned) {
		c.item.counters.dropped.Add(1)
		v = verdict.NotRun
	}
	err := verdict.New(v, CodeTimeout, "no answer from "+c.to+" in time")
	err.Err = context.Cause(ctx)
	c.end(nil, err)
	return (<-c.done).result()
}

func (e callEnd) result() ([]byte, error) {
	if e.err != nil {
		return nil, e.err
	}
	return e.payload, nil
}
