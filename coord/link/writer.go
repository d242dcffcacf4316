package link

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"time"

	"github.com/coder/websocket"
	"github.com/juju/errors"
)

// writer is the state of a peer's writing goroutine.
type writer struct {
	// partial is a bulk item of which some chunks are written, on partialOn.
	partial   *item
	partialOn *conn
	// batch are the items that the batch in hand completes.
	batch []*item
}

// run is the writing goroutine of a peer.
func (p *peer) run() {
	for {
		it, ok := p.wait()
		if !ok {
			p.flush()
			return
		}
		c := p.connection(it)
		if c == nil {
			p.drain(it)
			continue
		}
		p.send(c, it)
	}
}

// wait returns the next item; nil when the partial one is to be continued;
// false when the peer or the Hub is closed.
func (p *peer) wait() (*item, bool) {
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

// connection returns a connection for the item, after the back-off if there
// must be one; nil when the attempt failed. An answer is worth no new
// connection: its caller gave up when the old one ended.
func (p *peer) connection(it *item) *conn {
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

// drain gives up an item and, unless it is an answer, all that wait: the peer
// can't be reached, and what waits now would be stale by the next attempt.
func (p *peer) drain(it *item) {
	p.dropPartial()
	if it != nil {
		it.giveUp(CodeUnreachable, "no connection to "+p.id)
		if it.isAnswer() {
			return
		}
	}
	for it := p.pick(); it != nil; it = p.pick() {
		it.giveUp(CodeUnreachable, "no connection to "+p.id)
	}
}

// flush writes what is queued when the peer is closed, if it is connected.
func (p *peer) flush() {
	for c := p.current(); c != nil && !c.closed.Load(); {
		it := p.pick()
		if it == nil {
			return
		}
		p.send(c, it)
	}
	p.drain(nil)
}

// pick takes the next item without waiting; nil when there is none.
func (p *peer) pick() *item {
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

// send writes one batch that begins with it, or with what pick gives.
func (p *peer) send(c *conn, it *item) {
	batch := p.hub.buffer()
	defer p.hub.release(batch)
	p.fill(batch, c, it)
	if batch.Len() == 0 {
		return
	}
	err := c.write(batch.Bytes())
	p.account(err)
	if err != nil {
		c.close()
		// The reader may have detached the connection before these calls were
		// written.
		p.hub.calls.lose(c)
	}
}

// fill puts frames into a batch until it is long enough or nothing waits.
func (p *peer) fill(batch *bytes.Buffer, c *conn, it *item) {
	if p.out.partialOn != c {
		p.dropPartial()
	}
	p.out.batch = p.out.batch[:0]
	if it == nil {
		it = p.pick()
	}
	for it != nil {
		p.add(batch, c, it)
		if batch.Len() >= batchBytes {
			return
		}
		it = p.pick()
	}
}

// add appends an item, or its next chunk, to the batch.
func (p *peer) add(batch *bytes.Buffer, c *conn, it *item) {
	now := time.Now()
	if it.offset == 0 && !p.admit(c, it, now) {
		return
	}
	f := it.next(now)
	if err := appendFrame(batch, &f); err != nil {
		// Not expected: every field has a fixed type.
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

// admit claims an item for writing. From here on a call may have run.
func (p *peer) admit(c *conn, it *item, now time.Time) bool {
	if now.Sub(it.queuedAt) > p.hub.o.MaxAge {
		it.giveUp(CodeStale, "the request waited too long to be sent to "+p.id)
		return false
	}
	if it.call != nil {
		p.hub.calls.written(it.call, c)
	}
	if !it.claim(sent) {
		return false
	}
	if !p.hub.o.AllowPeer(p.id) {
		// A cut looks like a network that swallows the message: a caller is
		// not told.
		it.counters.dropped.Add(1)
		return false
	}
	return true
}

// account counts the items of a batch after its write.
func (p *peer) account(err error) {
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

// dropPartial gives up an item whose connection has ended in the middle of it.
// Its call, if it is one, was ended with the connection.
func (p *peer) dropPartial() {
	if p.out.partial == nil {
		return
	}
	p.out.partial.counters.dropped.Add(1)
	p.out.partial, p.out.partialOn = nil, nil
}

// dial makes one attempt to connect; nil when it failed.
func (p *peer) dial() *conn {
	p.hub.counters.dials.Add(1)
	ws, err := p.open()
	if err != nil {
		p.hub.counters.dialFailures.Add(1)
		p.mu.Lock()
		p.delayDial()
		p.mu.Unlock()
		return nil
	}
	c := newConn(p, ws, true)
	if !p.hub.enter() {
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

func (p *peer) open() (*websocket.Conn, error) {
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
	transport := &http.Transport{DialContext: dialTuned(p.connectTimeout())}
	scheme, header := "ws", http.Header{plainHeader: {o.PlaintextID}}
	if o.PlaintextID == "" {
		transport.TLSClientConfig = o.Key.ClientConfig(p.id)
		scheme, header = "wss", nil
	}
	// Without this a refused upgrade would leave its connection open.
	defer transport.CloseIdleConnections()
	ws, _, err := websocket.Dial(ctx, scheme+"://"+addr+o.Path, &websocket.DialOptions{
		HTTPHeader: header,
		HTTPClient: &http.Client{Transport: transport},
	})
	return ws, errors.Annotatef(err, "link to %s", p.id)
}

// dialTuned makes connections, each within a time.
func dialTuned(within time.Duration) func(ctx context.Context, network, addr string) (net.Conn, error) {
	d := net.Dialer{Timeout: within}
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := d.DialContext(ctx, network, addr)
		if err == nil {
			tune(c)
		}
		return c, err
	}
}
