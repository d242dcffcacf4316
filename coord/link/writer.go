package link

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"time"

	"github.com/coder/websocket"
	"github.com/juju/errors"

	"github.com/gullhaven/gullhaven/coord/httpconn"
)

// writer is the state of a peer's writing goroutine.
type writer struct {
	// partial is a bulk item of which some chunks were written to partialOn.
	partial   *item
	partialOn *conn
	// batch are the items that the current batch completes.
	batch []*item
}

// run is the writing goroutine of a peer.
func (p *peer) run() {
	for {
		it, ok := p.waitForItem()
		if !ok {
			p.flush()
			return
		}
		c := p.waitForConn(it)
		if c == nil {
			p.dropQueued(it)
			continue
		}
		p.writeBatch(c, it)
	}
}

// waitForItem waits for the next item and returns it. It returns nil and true if
// the partial item must be continued, and false once the peer or the Hub is
// closed.
func (p *peer) waitForItem() (*item, bool) {
	if p.ctx.Err() != nil {
		return nil, false
	}
	if p.out.partial != nil {
		return nil, true
	}
	select {
	case it := <-p.urgent.C():
		return it, true
	default:
	}
	select {
	case it := <-p.urgent.C():
		return it, true
	case it := <-p.bulk.C():
		return it, true
	case <-p.ctx.Done():
		return nil, false
	}
}

// waitForConn returns a connection for the item. It dials if there is none, after
// the backoff, and returns nil if that fails. It does not dial for an answer: its
// call ended with the old connection.
func (p *peer) waitForConn(it *item) *conn {
	for {
		if c := p.current(); c != nil {
			return c
		}
		if p.ctx.Err() != nil || it != nil && it.isAnswer() {
			return nil
		}
		wait := p.untilDial()
		if wait <= 0 {
			return p.dial()
		}
		timer := time.NewTimer(wait)
		select {
		case <-timer.C:
		case <-p.attached:
		case <-p.ctx.Done():
		}
		timer.Stop()
	}
}

// dropQueued drops an item and, unless it is an answer, all that wait: the peer
// can't be reached, and the waiting items would be stale by the next attempt.
func (p *peer) dropQueued(it *item) {
	p.dropPartial()
	if it != nil {
		it.drop(CodeUnreachable, "no connection to "+p.id)
		if it.isAnswer() {
			return
		}
	}
	for it := p.nextItem(); it != nil; it = p.nextItem() {
		it.drop(CodeUnreachable, "no connection to "+p.id)
	}
}

// flush writes the queued items when the peer is closed, if it is connected, and
// drops the rest.
func (p *peer) flush() {
	for c := p.current(); c != nil && !c.closed.Load(); {
		it := p.nextItem()
		if it == nil {
			return
		}
		p.writeBatch(c, it)
	}
	p.dropQueued(nil)
}

// nextItem returns the next item without waiting; nil if there is none.
func (p *peer) nextItem() *item {
	select {
	case it := <-p.urgent.C():
		return it
	default:
	}
	if p.out.partial != nil {
		return p.out.partial
	}
	select {
	case it := <-p.bulk.C():
		return it
	default:
		return nil
	}
}

// writeBatch writes one batch that begins with it, or with the next item if it
// is nil.
func (p *peer) writeBatch(c *conn, it *item) {
	batch := p.hub.buffer()
	defer p.hub.release(batch)
	p.fillBatch(batch, c, it)
	if batch.Len() == 0 {
		return
	}
	err := c.write(batch.Bytes())
	p.countBatch(err)
	if err != nil {
		c.close()
		// The reader may have detached the connection before these calls were
		// written.
		p.hub.calls.failConn(c)
	}
}

// fillBatch adds frames to a batch, of it first unless it is nil, until the batch has
// batchBytes or no item waits.
func (p *peer) fillBatch(batch *bytes.Buffer, c *conn, it *item) {
	if p.out.partialOn != c {
		p.dropPartial()
	}
	p.out.batch = p.out.batch[:0]
	if it == nil {
		it = p.nextItem()
	}
	for it != nil {
		p.appendItem(batch, c, it)
		if batch.Len() >= batchBytes {
			return
		}
		it = p.nextItem()
	}
}

// appendItem appends an item, or its next chunk, to the batch.
func (p *peer) appendItem(batch *bytes.Buffer, c *conn, it *item) {
	now := time.Now()
	if it.offset == 0 && !p.claimForWrite(c, it, now) {
		return
	}
	f := it.nextFrame(now)
	if err := appendFrame(batch, &f); err != nil {
		// Not expected, as every field has a fixed type.
		it.counters.dropped.Add(1)
		return
	}
	it.offset += len(f.Payload)
	if f.More {
		p.out.partial, p.out.partialOn = it, c
		return
	}
	if it == p.out.partial {
		p.out.partial, p.out.partialOn = nil, nil
	}
	p.out.batch = append(p.out.batch, it)
}

// claimForWrite claims an item for writing and reports whether to write it. From
// here on a call may have run.
func (p *peer) claimForWrite(c *conn, it *item, now time.Time) bool {
	if now.Sub(it.queuedAt) > p.hub.o.MaxAge {
		it.drop(CodeStale, "the request waited too long to be sent to "+p.id)
		return false
	}
	if it.call != nil {
		p.hub.calls.setConn(it.call, c)
	}
	if !it.claim(sent) {
		return false
	}
	if !p.hub.o.AllowPeer(p.id) {
		// As in a network that drops the message, the caller gets no error
		// before its timeout.
		it.counters.dropped.Add(1)
		return false
	}
	return true
}

// countBatch counts the items of a batch as sent or, after a failed write, as
// dropped.
func (p *peer) countBatch(err error) {
	for i, it := range p.out.batch {
		p.out.batch[i] = nil
		if err != nil {
			it.counters.dropped.Add(1)
			continue
		}
		it.counters.sent.Add(1)
		it.counters.sentBytes.Add(uint64(len(it.frame.Payload)))
	}
}

// dropPartial drops an item whose connection ended before its last chunk. Its
// call, if any, was failed with the connection.
func (p *peer) dropPartial() {
	if p.out.partial == nil {
		return
	}
	p.out.partial.counters.dropped.Add(1)
	p.out.partial, p.out.partialOn = nil, nil
}

// dial makes one connection attempt and returns nil if it failed.
func (p *peer) dial() *conn {
	p.hub.counters.dials.Add(1)
	ws, err := p.dialWebSocket()
	if err != nil {
		p.hub.counters.dialFailures.Add(1)
		p.mu.Lock()
		p.delayDial()
		p.mu.Unlock()
		return nil
	}
	c := newConn(p, ws, true)
	if !p.hub.addReader() {
		c.close()
		return nil
	}
	if !p.attach(c) {
		p.hub.wg.Done()
		return nil
	}
	go func() {
		defer p.hub.wg.Done()
		c.read()
	}()
	return c
}

// maxAnswerHeadBytes bounds the head of the answer that opens a connection; usual ones have under 1 KiB.
const maxAnswerHeadBytes = 64 << 10

func (p *peer) dialWebSocket() (*websocket.Conn, error) {
	o := &p.hub.o
	addr, ok := o.Address(p.id)
	if !ok {
		return nil, errors.NotFoundf("address of %s", p.id)
	}
	if !o.AllowPeer(p.id) {
		return nil, errors.Forbiddenf("link to %s", p.id)
	}
	ctx, cancel := context.WithTimeout(p.ctx, o.DialTimeout)
	defer cancel()
	base := &http.Transport{DialContext: dialFunc(p.connectTimeout()), MaxResponseHeaderBytes: maxAnswerHeadBytes}
	scheme, header := "ws", http.Header{plaintextHeader: {o.PlaintextID}}
	if o.PlaintextID == "" {
		base.TLSClientConfig = o.Key.ClientConfig(p.id)
		scheme, header = "wss", nil
	}
	transport := httpconn.NewTransport(base)
	// Otherwise a refused upgrade would leave its connection open.
	defer transport.CloseIdleConnections()
	ws, _, err := websocket.Dial(ctx, scheme+"://"+addr+o.Path, &websocket.DialOptions{
		HTTPHeader: header,
		HTTPClient: &http.Client{Transport: transport},
	})
	return ws, errors.Annotatef(err, "link to %s", p.id)
}

// dialFunc returns a dial function with a timeout, whose connections have a
// limited send buffer.
func dialFunc(timeout time.Duration) func(ctx context.Context, network, addr string) (net.Conn, error) {
	d := net.Dialer{Timeout: timeout}
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := d.DialContext(ctx, network, addr)
		if err == nil {
			limitSendBuffer(c)
		}
		return c, err
	}
}
