// Package link sends messages between instances over WebSocket with CBOR and
// mutual TLS.
//
// A Hub uses one connection per peer, opened on demand by the side that has
// something to send and used in both directions. Messages wait in two bounded
// rings per peer, urgent before bulk. Bulk messages are sent in chunks, so that
// a heartbeat does not wait behind a snapshot. Delivery is at most once and not
// guaranteed: a message may be lost with its connection, and messages may be
// reordered when the connection changes.
//
// Goroutines: one writer per peer, one reader per connection, one or more per
// handled channel, and one that detects silent connections.
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

// sendBufferBytes is the size of the kernel's send buffer of a connection.
const sendBufferBytes = 256 << 10

// maxPooledBytes is the capacity up to which a buffer is reused.
const maxPooledBytes = 64 << 10

// Hub sends messages to peers and passes received ones to handlers. It is safe
// for concurrent use.
type Hub struct {
	o      Options
	self   string
	urgent map[string]bool
	// ctx ends the writers and handlers; readers end with their connections.
	ctx    context.Context
	cancel context.CancelFunc
	// wg counts all goroutines except the writers, which end first.
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

// New returns a Hub, or an error if o lacks a required field. Register handlers
// before Handler is served.
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

// Handler returns the HTTP handler that accepts connections of peers. Mount it
// at Options.Path on a listener with the Key's ServerConfig.
func (h *Hub) Handler() http.Handler { return http.HandlerFunc(h.accept) }

// TuneConn limits the kernel's send buffer of an accepted connection, so that
// urgent messages do not wait there behind many bulk ones. Set it as
// http.Server.ConnState; connections that the Hub dials are limited already.
func TuneConn(c net.Conn, s http.ConnState) {
	if s == http.StateNew {
		limitSendBuffer(c)
	}
}

func limitSendBuffer(c net.Conn) {
	if wrapped, ok := c.(interface{ NetConn() net.Conn }); ok {
		c = wrapped.NetConn()
	}
	if tcp, ok := c.(*net.TCPConn); ok {
		// Without the limit the link works too, with higher latency.
		_ = tcp.SetWriteBuffer(sendBufferBytes)
	}
}

// Send queues a message and reports whether it was queued. It never blocks. The
// payload must not be changed afterwards. Channel names must be valid UTF-8 of
// at most 64 bytes.
func (h *Hub) Send(to, channel string, payload []byte) bool {
	it := h.newItem(frameMessage, channel, payload)
	p := h.peer(to)
	ok := p != nil && len(payload) <= h.o.MaxMessage && validChannel(channel) && p.push(it)
	if !ok {
		it.counters.refused.Add(1)
	}
	return ok
}

// RemovePeer drops a peer that will not come back, its connections and the
// messages that wait for it. A later Send creates it again.
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

// Close writes the messages queued for connected peers, closes all connections
// and waits for the Hub's goroutines. Handlers must return when their context
// ends.
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
	return len(name) <= maxChannelNameBytes && utf8.ValidString(name)
}

func (h *Hub) newItem(kind frameKind, channel string, payload []byte) *item {
	return &item{
		frame:    frame{Kind: kind, Channel: channel, Payload: payload},
		urgent:   (h.urgent[channel] || kind == frameFailure) && len(payload) <= chunkBytes,
		counters: h.channelCounters(channel),
		queuedAt: time.Now(),
	}
}

// peer returns the peer with the given id, created on demand. It returns nil for
// this instance itself, for an empty id, and once the Hub is closed.
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

// accept upgrades the request of a peer to a connection and reads it until it
// ends.
func (h *Hub) accept(w http.ResponseWriter, r *http.Request) {
	id, err := h.peerID(r)
	if err != nil || id == h.self || !h.o.AllowPeer(id) {
		h.counters.acceptRefusals.Add(1)
		http.Error(w, "no link for this peer", http.StatusForbidden)
		return
	}
	p := h.peer(id)
	if p == nil || !h.addReader() {
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

// peerID returns the id of the peer that dialled: the one in its certificate or,
// on a link without TLS, the one that it states.
func (h *Hub) peerID(r *http.Request) (string, error) {
	if h.o.PlaintextID != "" {
		id := r.Header.Get(plaintextHeader)
		if id == "" {
			return "", errors.NotValidf("link request without the id of its peer")
		}
		return id, nil
	}
	id, err := keys.PeerIdentity(r.TLS)
	return id.Instance, err
}

// addReader adds a reader to wg and returns true, unless the Hub is closing.
func (h *Hub) addReader() bool {
	h.mu.RLock()
	defer h.mu.RUnlock()
	if h.ctx.Err() != nil {
		return false
	}
	h.wg.Add(1)
	return true
}

// watch checks all connections periodically until the Hub is closed.
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

// withRand calls f with Options.Rand while its lock is held.
func (h *Hub) withRand(f func(*rand.Rand)) {
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
	if b.Cap() <= maxPooledBytes {
		h.buffers.Put(b)
	}
}
