// Package link carries messages between instances over WebSocket with CBOR and
// mutual TLS.
//
// A Hub holds at most one connection in use per peer, opened on demand by
// whoever has something to send and used in both directions. Messages wait in
// two bounded rings per peer, urgent before bulk; bulk ones travel in chunks,
// so that a heartbeat does not wait behind a snapshot. Delivery is at most
// once and without a promise: a message may be lost with its connection.
package link

import (
	"context"
	"net/http"
)

// Hub sends messages to peers and hands received ones to handlers.
type Hub struct{}

// New makes a Hub. Register handlers before its Handler is served.
func New(o Options) (*Hub, error) { panic("unwritten") }

// Handler accepts the connections of peers; mount it at Options.Path on a
// listener with the Key's ServerConfig.
func (h *Hub) Handler() http.Handler { panic("unwritten") }

// Handle sets who gets messages of a channel that are sent by Send. Each
// channel has a bounded ring and a goroutine of its own.
func (h *Hub) Handle(channel string, fn func(from string, payload []byte)) { panic("unwritten") }

// Serve sets who answers Calls of a channel, in up to workers goroutines. The
// context ends with the caller's deadline. An error that is a *verdict.Error
// reaches the caller with its verdict, code and message; any other as
// MayHaveRun.
func (h *Hub) Serve(channel string, workers int, fn func(ctx context.Context, from string, payload []byte) ([]byte, error)) {
	panic("unwritten")
}

// Send queues a message and reports whether it was taken. It never blocks. The
// payload must not be changed afterwards.
func (h *Hub) Send(to, channel string, payload []byte) bool { panic("unwritten") }

// Call sends a request and waits for its answer until ctx ends. The error is a
// *verdict.Error: NotRun when the request was not sent, MayHaveRun when it was
// sent and no answer came, else what the handler said.
func (h *Hub) Call(ctx context.Context, to, channel string, payload []byte) ([]byte, error) {
	panic("unwritten")
}

// Stats returns the counters now.
func (h *Hub) Stats() Stats { panic("unwritten") }

// Close ends all connections and waits for the Hub's goroutines.
func (h *Hub) Close() { panic("unwritten") }
