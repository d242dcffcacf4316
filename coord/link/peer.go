package link

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/gullhaven/gullhaven/coord/ring"
)

// peer is another instance with its connections and queued messages.
type peer struct {
	hub    *Hub
	id     string
	ctx    context.Context
	cancel context.CancelFunc
	// urgent and bulk hold the items that wait to be written.
	urgent, bulk *ring.Ring[*item]
	// attached wakes the writer when the peer itself has connected.
	attached chan struct{}
	// out is used by the writer only.
	out writer

	// linkMu keeps the calls of Options.OnLink in the order of the changes.
	linkMu sync.Mutex
	mu     sync.Mutex
	// conns holds at most one connection per direction.
	conns      []*conn
	connects   uint64
	failures   int
	nextDialAt time.Time
}

func newPeer(h *Hub, id string) *peer {
	p := &peer{
		hub:      h,
		id:       id,
		urgent:   ring.New[*item](h.o.RingSize),
		bulk:     ring.New[*item](h.o.RingSize),
		attached: make(chan struct{}, 1),
	}
	p.ctx, p.cancel = context.WithCancel(h.ctx)
	return p
}

// push queues an item and reports whether there was room.
func (p *peer) push(it *item) bool {
	if it.urgent {
		return p.urgent.TryPush(it)
	}
	return p.bulk.TryPush(it)
}

// current returns the connection to write to, or nil. If both ends dialled at
// the same time, both write to the connection dialled by the lower id, and the
// other one becomes idle, so that closing it loses nothing.
func (p *peer) current() *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.preferred()
}

func (p *peer) preferred() *conn {
	var best *conn
	for _, c := range p.conns {
		if best == nil || c.dialed == (p.hub.self < p.id) {
			best = c
		}
	}
	return best
}

// attach adds a new connection and reports whether it may be used. It replaces
// an older one of the same direction: the side that dialled again no longer uses
// that one, for example after a restart.
func (p *peer) attach(c *conn) bool {
	p.linkMu.Lock()
	defer p.linkMu.Unlock()
	old, wasUp, ok := p.insert(c)
	if old != nil {
		old.close()
	}
	if !ok {
		c.close()
		return false
	}
	if !wasUp {
		p.hub.o.OnLink(p.id, true)
	}
	select {
	case p.attached <- struct{}{}:
	default:
	}
	return true
}

func (p *peer) insert(c *conn) (old *conn, wasUp, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ctx.Err() != nil {
		return nil, false, false
	}
	wasUp = len(p.conns) > 0
	kept := p.conns[:0]
	for _, o := range p.conns {
		if o.dialed == c.dialed {
			old = o
			continue
		}
		kept = append(kept, o)
	}
	p.conns = append(kept, c)
	p.connects++
	p.nextDialAt = time.Time{}
	return old, wasUp, true
}

// detach removes a connection that has ended and fails the calls on it.
func (p *peer) detach(c *conn) {
	p.linkMu.Lock()
	defer p.linkMu.Unlock()
	p.mu.Lock()
	before := len(p.conns)
	kept := p.conns[:0]
	for _, o := range p.conns {
		if o != c {
			kept = append(kept, o)
		}
	}
	clear(p.conns[len(kept):])
	p.conns = kept
	if !c.received.Load() {
		p.delayDial()
	}
	down := before > 0 && len(kept) == 0
	p.mu.Unlock()
	p.hub.calls.failConn(c)
	if down {
		p.hub.o.OnLink(p.id, false)
	}
}

// closeAll ends the peer's connections; their readers detach them.
func (p *peer) closeAll() {
	p.mu.Lock()
	conns := append([]*conn(nil), p.conns...)
	p.mu.Unlock()
	for _, c := range conns {
		c.close()
	}
}

// delayDial sets the time of the next attempt after a failed one or after a
// connection that ended before anything was read. p.mu must be held.
func (p *peer) delayDial() {
	p.hub.withRand(func(r *rand.Rand) {
		p.nextDialAt = time.Now().Add(p.hub.o.backoff(p.failures, r))
	})
	p.failures++
}

// connectTimeout returns the bound of the next attempt's TCP connect.
func (p *peer) connectTimeout() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.hub.o.connectTimeout(p.failures)
}

// resetBackoff is called when the first batch or pong of a connection was read.
func (p *peer) resetBackoff() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.failures = 0
}

// untilDial returns how long the next connection attempt must wait; 0 or less if
// it need not.
func (p *peer) untilDial() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.nextDialAt.IsZero() {
		return 0
	}
	return time.Until(p.nextDialAt)
}

// backingOff reports whether there is no connection and the next attempt must
// wait.
func (p *peer) backingOff() bool {
	return p.current() == nil && p.untilDial() > 0
}

func (p *peer) stats() (PeerStats, int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return PeerStats{
		Connected:  len(p.conns) > 0,
		Reconnects: max(p.connects, 1) - 1,
		Refused:    p.urgent.Stats().Refused + p.bulk.Stats().Refused,
	}, len(p.conns)
}

// watch pings silent connections and closes idle ones.
func (p *peer) watch(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	best := p.preferred()
	for _, c := range p.conns {
		c.watch(now, c == best)
	}
}
