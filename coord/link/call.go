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
	done chan callResult
	once sync.Once
}

type callResult struct {
	payload []byte
	err     *verdict.Error
}

// finish passes the result to the caller; only the first call has an effect.
func (c *call) finish(payload []byte, err *verdict.Error) {
	c.once.Do(func() { c.done <- callResult{payload, err} })
}

// calls are the pending calls of a Hub, by id.
//
// Ids begin at a random number of 64 bits. If they began at the same number in
// each process, an answer to a call from before a restart of this instance could
// be taken for the answer to a current one.
type calls struct {
	mu      sync.Mutex
	next    uint64
	pending map[uint64]*call
}

func newCalls(first uint64) *calls {
	return &calls{next: first, pending: map[uint64]*call{}}
}

func (cs *calls) add(c *call) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.next++
	c.item.frame.ID = cs.next
	cs.pending[cs.next] = c
}

func (cs *calls) remove(id uint64) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	delete(cs.pending, id)
}

// setConn records the connection on which a call will be written. It must be
// called before the write: so when the connection ends, either failConn finds
// the call or the write fails.
func (cs *calls) setConn(c *call, on *conn) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	c.conn = on
}

// resolve removes and returns the call that an answer is for. It returns nil if
// the answer is late, is a duplicate, comes from another instance than the
// called one, or is for a request that was not sent.
func (cs *calls) resolve(id uint64, from string) *call {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	c := cs.pending[id]
	if c == nil || c.to != from || itemState(c.item.state.Load()) != sent {
		return nil
	}
	delete(cs.pending, id)
	return c
}

// failConn fails the calls written on a connection that has ended, as no answer
// can arrive any more.
func (cs *calls) failConn(on *conn) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	for id, c := range cs.pending {
		if c.conn == on {
			delete(cs.pending, id)
			c.finish(nil, errLost())
		}
	}
}

func errLost() *verdict.Error {
	return verdict.New(verdict.MayHaveRun, CodeLost, "the connection ended before the answer came")
}

// Call sends a request and waits for the answer until ctx ends. The payload must
// not be changed afterwards. The error is a *verdict.Error: NotRun if the request
// was not sent, MayHaveRun if it was sent and no answer arrived, else the peer's.
func (h *Hub) Call(ctx context.Context, to, channel string, payload []byte) ([]byte, error) {
	it := h.newItem(frameCall, channel, payload)
	c := &call{to: to, item: it, done: make(chan callResult, 1)}
	it.call = c
	it.deadline, _ = ctx.Deadline()
	if err := h.startCall(c); err != nil {
		it.counters.refused.Add(1)
		return nil, err
	}
	defer h.calls.remove(it.frame.ID)
	select {
	case e := <-c.done:
		return e.values()
	case <-ctx.Done():
		return h.timedOut(ctx, c)
	}
}

// startCall queues a call, or returns why it can't be sent.
func (h *Hub) startCall(c *call) error {
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

// timedOut ends a call whose context has ended. The verdict depends on whether
// the writer has claimed the request.
func (h *Hub) timedOut(ctx context.Context, c *call) ([]byte, error) {
	v := verdict.MayHaveRun
	if c.item.claim(abandoned) {
		c.item.counters.dropped.Add(1)
		v = verdict.NotRun
	}
	err := verdict.New(v, CodeTimeout, "no answer from "+c.to+" in time")
	err.Err = context.Cause(ctx)
	c.finish(nil, err)
	return (<-c.done).values()
}

func (e callResult) values() ([]byte, error) {
	if e.err != nil {
		return nil, e.err
	}
	return e.payload, nil
}
