package transport

import (
	"net/http"
	"sync"
	"time"

	"github.com/gullhaven/gullhaven/coord/httpconn"
	"github.com/gullhaven/gullhaven/ports/rawhttp"
)

// Clients has one client for each address. It is safe for concurrent use.
type Clients[T any] struct {
	transports *Transports
	make       func(address string, t *Transports) T
	byAddress  sync.Map
}

// NewClients returns an empty set of clients that make creates on their first use.
func NewClients[T any](t *Transports, make func(address string, t *Transports) T) *Clients[T] {
	return &Clients[T]{transports: t, make: make}
}

// At returns the client for an address (IP:port), created on the first call.
func (c *Clients[T]) At(address string) T {
	if client, ok := c.byAddress.Load(address); ok {
		return client.(T)
	}
	client, _ := c.byAddress.LoadOrStore(address, c.make(address, c.transports))
	return client.(T)
}

// NewHTTPClient returns a client for calls to servers other than targets: timeout bounds a whole call, and
// rawhttp.MaxHeadBytes the head of its answer, which must be valid.
func NewHTTPClient(timeout time.Duration) *http.Client {
	t := http.DefaultTransport.(*http.Transport).Clone()
	t.MaxResponseHeaderBytes = rawhttp.MaxHeadBytes
	return &http.Client{Transport: httpconn.NewTransport(t), Timeout: timeout}
}
