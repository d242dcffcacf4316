package transport

import "sync"

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
