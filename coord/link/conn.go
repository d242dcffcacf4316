package link

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
)

// duplicateIdleTimeout is how long the connection that is not written to, of two
// with the same peer, may be idle before it is closed.
const duplicateIdleTimeout = 10 * time.Second

// conn is one connection to a peer, read by one goroutine and written by the
// peer's writer.
type conn struct {
	p      *peer
	ws     *websocket.Conn
	dialed bool
	// lastRead is when the last batch or pong was read, lastWrite when the last
	// batch was written and lastBatch when the last batch was read or written;
	// all in nanoseconds of Unix time.
	lastRead, lastWrite, lastBatch atomic.Int64
	// received is set once a batch or pong was read.
	received atomic.Bool
	pinging  atomic.Bool
	closed   atomic.Bool
}

func newConn(p *peer, ws *websocket.Conn, dialed bool) *conn {
	c := &conn{p: p, ws: ws, dialed: dialed}
	ws.SetReadLimit(maxBatchBytes)
	now := time.Now().UnixNano()
	c.lastRead.Store(now)
	c.lastBatch.Store(now)
	return c
}

// read reads batches until the connection ends, and then detaches it.
func (c *conn) read() {
	defer c.p.detach(c)
	defer c.close()
	in := assembler{maxMessage: c.p.hub.o.MaxMessage}
	for c.readBatch(&in) {
	}
}

func (c *conn) readBatch(in *assembler) bool {
	h := c.p.hub
	// Needs no context: close ends the read.
	_, r, err := c.ws.Reader(context.Background())
	if err != nil {
		return false
	}
	buf := h.buffer()
	defer h.release(buf)
	if err := readAll(buf, r); err != nil {
		if errors.Is(err, websocket.ErrMessageTooBig) {
			h.counters.badBatches.Add(1)
		}
		return false
	}
	now := time.Now().UnixNano()
	c.lastBatch.Store(now)
	c.recordActivity(now)
	if err := in.read(buf.Bytes(), c.deliver); err != nil {
		h.counters.badBatches.Add(1)
		return false
	}
	return true
}

func (c *conn) deliver(f *frame) {
	if !c.p.hub.o.AllowPeer(c.p.id) {
		c.p.hub.counters.blockedReceived.Add(1)
		return
	}
	c.p.hub.deliver(c.p.id, f)
}

// recordActivity records that a batch or pong was read at now (Unix time in
// nanoseconds).
func (c *conn) recordActivity(now int64) {
	c.lastRead.Store(now)
	if !c.received.Swap(true) {
		c.p.resetBackoff()
	}
}

// write sends one batch. A peer that does not read is detected by the ping that
// waits behind the batch, whose timeout closes the connection.
func (c *conn) write(batch []byte) error {
	now := time.Now().UnixNano()
	c.lastWrite.Store(now)
	c.lastBatch.Store(now)
	return c.ws.Write(context.Background(), websocket.MessageBinary, batch)
}

// close ends the connection at once; the reader then detaches it.
func (c *conn) close() {
	if c.closed.Swap(true) {
		return
	}
	// An error means only that the connection was closed before.
	_ = c.ws.CloseNow()
}

// watch pings a peer that sent nothing for PingAfter after a write or for
// IdlePingInterval, and closes a connection that is not needed. used reports
// whether the connection is the one that is written to.
func (c *conn) watch(now time.Time, used bool) {
	o := &c.p.hub.o
	silent := time.Duration(now.UnixNano() - c.lastRead.Load())
	idle := time.Duration(now.UnixNano() - c.lastBatch.Load())
	unanswered := c.lastWrite.Load() > c.lastRead.Load() && silent > o.PingAfter
	due := o.IdlePingInterval > 0 && silent > o.IdlePingInterval
	switch {
	case c.dialed && o.IdleTimeout > 0 && idle > o.IdleTimeout:
		c.close()
	case c.dialed && !used && idle > duplicateIdleTimeout:
		c.close()
	case unanswered || due:
		c.ping()
	}
}

// ping pings the peer in a goroutine of its own and closes the connection if no
// pong arrives in time.
//
// A network that drops all packets, or a frozen peer, leaves a connection that
// looks open for many minutes while all messages are lost. The timeout counts
// from the ping, not from the last read: a process that was itself frozen gives
// its peers the whole time to answer.
func (c *conn) ping() {
	if c.pinging.Swap(true) {
		return
	}
	h := c.p.hub
	h.counters.pings.Add(1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), h.o.PingTimeout)
		defer cancel()
		err := c.ws.Ping(ctx)
		if err == nil {
			c.recordActivity(time.Now().UnixNano())
			c.pinging.Store(false)
			return
		}
		if ctx.Err() != nil {
			h.counters.pingTimeouts.Add(1)
		}
		c.close()
	}()
}
