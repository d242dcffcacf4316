// Package link carries messages between instances over WebSocket with CBOR and
// mutual TLS.
//
// A Hub uses one connection per peer, opened on demand by whoever has something
// to send and used in both directions. Messages wait in two bounded rings per
// peer, urgent before bulk; bulk ones travel in chunks, so that a heartbeat
// does not wait behind a snapshot. Delivery is at most once and without a
// promise: a message may be lost with its connection, and two messages may
// overtake each other when the connection changes.
//
// Goroutines: one writer per peer, one reader per connection, one or more per
// handled channel, and one that looks for silent connections.
package link

import (
	"bytes"
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
	"unicode/utf8"

	"github.com/coder/websocket"
	"github.com/juju/errors"

	"github.com/gullhaven/gullhaven/coord/keys"
)

// sendBuffer bounds what the kernel holds of a connection's unsent bytes.
const sendBuffer = 256 << 10

// maxPooled bounds the buffers kept for reuse, in bytes.
const maxPooled = 64 << 10

// Hub sends messages to peers and hands received ones to handlers.
type Hub struct {
	o      Options
	self   string
	urgent map[string]bool
	// ctx ends the writers and handlers; readers end with their connections.
	ctx    context.Context
	cancel context.CancelFunc
	// wg counts all goroutines but the writers, which end first.
	wg, writers sync.WaitGroup

	mu       sync.RWMutex
	peers    map[string]*peer
	channels map[handlerKey]*channel

	randMu  sync.Mutex
	calls   *calls
	buffers sync.Pool

	counters  hubCounters
	byChannel sync.Map
}

// New makes a Hub. Register handlers before its Handler is served.
func New(o Options) (*Hub, error) {
	o, err := o.withDefaults()
	if err != nil {
		return nil, err
	}
	h := &Hub{
		o:        o,
		self:     o.self(),
		urgent:   map[string]bool{},
		peers:    map[string]*peer{},
		channels: map[handlerKey]*channel{},
		calls:    newCalls(o.Rand.Uint64()),
		buffers:  sync.Pool{New: func() any { return new(bytes.Buffer) }},
	}
	for _, name := range o.UrgentChannels {
		h.urgent[name] = true
	}
	h.ctx, h.cancel = context.WithCancel(context.Background())
	h.wg.Go(h.watch)
	return h, nil
}

// Handler accepts the connections of peers; mount it at Options.Path on a
// listener with the Key's ServerConfig.
func (h *Hub) Handler() http.Handler { return http.HandlerFunc(h.accept) }

// TuneConn bounds the kernel's send buffer of an accepted connection, which
// keeps urgent messages from waiting behind many bulk ones there. Set it as
// http.Server.ConnState; connections that the Hub dials have it already.
func TuneConn(c net.Conn, s http.ConnState) {
	if s == http.StateNew {
		tune(c)
	}
}

func tune(c net.Conn) {
	if wrapped, ok := c.(interface{ NetConn() net.Conn }); ok {
		c = wrapped.NetConn()
	}
	if tcp, ok := c.(*net.TCPConn); ok {
		// Without the bound the link works as well, only less promptly.
		_ = tcp.SetWriteBuffer(sendBuffer)
	}
}

// Send queues a message and reports whether it was taken. It never blocks. The
// payload must not be changed afterwards. Channel names are valid UTF-8 of at
// most 64 bytes.
func (h *Hub) Send(to, channel string, payload []byte) bool {
	it := h.newItem(frameMessage, channel, payload)
	p := h.peer(to)
	ok := p != nil && len(payload) <= h.o.MaxMessage && validChannel(channel) && p.push(it)
	if !ok {
		it.counters.refused.Add(1)
	}
	return ok
}

// Forget drops a peer that will not come back, with its connections and what
// waits for it. A later Send makes it anew.
func (h *Hub) RemovePeer(id string) {
	h.mu.Lock()
	p := h.peers[id]
	delete(h.peers, id)
	h.mu.Unlock()
	if p != nil {
		p.cancel()
		p.closeAll()
	}
}

// Close writes what is queued for connected peers, ends all connections and
// waits for the Hub's goroutines. Handlers must return when their context ends.
func (h *Hub) Close() {
	h.mu.Lock()
	h.cancel()
	h.mu.Unlock()
	h.writers.Wait()
	h.mu.RLock()
	for _, p := range h.peers {
		p.closeAll()
	}
	h.mu.RUnlock()
	h.wg.Wait()
}

func validChannel(name string) bool {
	return len(name) <= maxChannelName && utf8.ValidString(name)
}

func (h *Hub) newItem(kind frameKind, channel string, payload []byte) *item {
	return &item{
		frame:    frame{Kind: kind, Channel: channel, Payload: payload},
		urgent:   (h.urgent[channel] || kind == frameFailure) && len(payload) <= chunkBytes,
		counters: h.channelCounters(channel),
		queuedAt: time.Now(),
	}
}

// peer returns the peer of that id, made on demand; nil for this instance
// itself, for no id, and once the Hub is closed.
func (h *Hub) peer(id string) *peer {
	h.mu.RLock()
	p := h.peers[id]
	h.mu.RUnlock()
	if p != nil {
		return p
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if p := h.peers[id]; p != nil {
		return p
	}
	if h.ctx.Err() != nil || id == h.self || id == "" {
		return nil
	}
	p = newPeer(h, id)
	h.peers[id] = p
	h.writers.Go(p.run)
	return p
}

// accept turns a request of a peer into a connection and reads it to its end.
func (h *Hub) accept(w http.ResponseWriter, r *http.Request) {
	id, err := h.peerOf(r)
	if err != nil || id == h.self || !h.o.AllowPeer(id) {
		h.counters.acceptRefusals.Add(1)
		http.Error(w, "no link for this peer", http.StatusForbidden)
		return
	}
	p := h.peer(id)
	if p == nil || !h.enter() {
		http.Error(w, "closing", http.StatusServiceUnavailable)
		return
	}
	defer h.wg.Done()
	ws, err := websocket.Accept(w, r, nil)
	if err != nil {
		h.counters.acceptRefusals.Add(1)
		return
	}
	h.counters.accepts.Add(1)
	c := newConn(p, ws, false)
	if p.attach(c) {
		c.read()
	}
}

// peerOf is the id of the peer that dialled, as its certificate proves it or, on
// a link without TLS, as it states it.
func (h *Hub) peerOf(r *http.Request) (string, error) {
	if h.o.PlaintextID != "" {
		id := r.Header.Get(plainHeader)
		if id == "" {
			return "", errors.NotValidf("link without the id of its peer")
		}
		return id, nil
	}
	id, err := keys.PeerIdentity(r.TLS)
	return id.Instance, err
}

// enter counts a goroutine in, unless the Hub is closing.
func (h *Hub) enter() bool {
	h.mu.RLock()
	defer h.mu.RUnlock()
	if h.ctx.Err() != nil {
		return false
	}
	h.wg.Add(1)
	return true
}

// watch looks for connections that went silent until the Hub is closed.
func (h *Hub) watch() {
	every := time.NewTicker(max(time.Millisecond, min(h.o.PingAfter, h.o.PingTimeout)/2))
	defer every.Stop()
	for {
		select {
		case now := <-every.C:
			h.watchOnce(now)
		case <-h.ctx.Done():
			return
		}
	}
}

func (h *Hub) watchOnce(now time.Time) {
	h.mu.RLock()
	defer h.mu.RUnlock()
	for _, p := range h.peers {
		p.watch(now)
	}
}

// random runs f on the Options' source of randomness.
func (h *Hub) random(f func(*rand.Rand)) {
	h.randMu.Lock()
	defer h.randMu.Unlock()
	f(h.o.Rand)
}

func (h *Hub) buffer() *bytes.Buffer {
	b := h.buffers.Get().(*bytes.Buffer)
	b.Reset()
	return b
}

func (h *Hub) release(b *bytes.Buffer) {
	if b.Cap() <= maxPooled {
		h.buffers.Put(b)
	}
}
