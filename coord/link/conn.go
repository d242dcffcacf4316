package link

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
)

// duplicateIdle is when a connection that lost against its twin is closed.
const duplicateIdle = 10 * time.Second

// conn is one connection to a peer, read by one goroutine and written by the
// peer's writer.
type conn struct {
	p      *peer
	ws     *websocket.Conn
	dialed bool
	// lastRead is the last sign of the peer, lastWrite the last batch written
	// and lastBatch the last one either way; all in nanoseconds of Unix time.
	lastRead, lastWrite, lastBatch atomic.Int64
	heard                          atomic.Bool
	pinging                        atomic.Bool
	closed                         atomic.Bool
}

func newConn(p *peer, ws *websocket.Conn, dialed bool) *conn {
	c := &conn{p: p, ws: ws, dialed: dialed}
	ws.SetReadLimit(maxBatch)
	now := time.Now().UnixNano()
	c.lastRead.Store(now)
	c.lastBatch.Store(now)
	return c
}

// read takes in batches until the connection ends, and then detaches it.
func (c *conn) read() {
	defer c.p.detach(c)
	defer c.close()
	in := assembler{maxMessage: c.p.hub.o.MaxMessage}
	for c.readBatch(&in) {
	}
}

func (c *conn) readBatch(in *assembler) bool {
	h := c.p.hub
	// Not bound to a context: close ends the read.
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
	c.sign(now)
	if err := in.read(buf.Bytes(), c.deliver); err != nil {
		h.counters.badBatches.Add(1)
		return false
	}
	return true
}

func (c *conn) deliver(f *frame) {
	if !c.p.hub.o.AllowPeer(c.p.id) {
		c.p.hub.counters.cutIn.Add(1)
		return
	}
	c.p.hub.deliver(c.p.id, f)
}

// sign notes that the peer has said something.
func (c *conn) sign(now int64) {
	c.lastRead.Store(now)
	if !c.heard.Swap(true) {
		c.p.heard()
	}
}

// write sends one batch. A peer that does not read is found by the ping that
// waits behind the batch, whose timeout closes the connection.
func (c *conn) write(batch []byte) error {
	now := time.Now().UnixNano()
	c.lastWrite.Store(now)
	c.lastBatch.Store(now)
	return c.ws.Write(context.Background(), websocket.MessageBinary, batch)
}

// close ends the connection at once; the reader does the rest.
func (c *conn) close() {
	if c.closed.Swap(true) {
		return
	}
	// The error says only that it was closed before.
	_ = c.ws.CloseNow()
}

// watch pings when the peer was silent for too long after a write, or on an
// idle connection from time to time, and closes what is not needed. used tells
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
	case c.dialed && !used && idle > duplicateIdle:
		c.close()
	case unanswered || due:
		c.ping()
	}
}

// ping asks the peer for a sign, in a goroutine of its own.
//
// A network that swallows packets, or a frozen peer, leaves a connection that
// looks open for many minutes while all messages are lost. The timeout counts
// from the ping, not from the last sign: a process that was itself frozen gives
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
			c.sign(time.Now().UnixNano())
			c.pinging.Store(false)
			return
		}
		if ctx.Err() != nil {
			h.counters.pingTimeouts.Add(1)
		}
		c.close()
	}()
}
