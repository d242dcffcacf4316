package streams

import (
	"time"

	"github.com/gullhaven/gullhaven/pipeline/exchange"
)

// Table remembers the origins of streams for lifetime at least, in two halves: after lifetime, or
// when the newer one is full, the older one is dropped. It is not safe for concurrent use.
type Table struct {
	newer, older map[string]exchange.Origin
	// startedAt is when the newer half was started.
	startedAt time.Time
}

const (
	// lifetime is well over the time for which callers wait for a stream.
	lifetime = 2 * time.Minute
	// maxPerHalf bounds the memory to some megabytes.
	maxPerHalf = 1 << 15
)

// Put records what began the stream with a key, or that it still goes on.
func (t *Table) Put(now time.Time, key string, o exchange.Origin) {
	if t.newer == nil || len(t.newer) >= maxPerHalf || now.Sub(t.startedAt) >= lifetime {
		t.newer, t.older, t.startedAt = map[string]exchange.Origin{}, t.newer, now
	}
	t.newer[key] = o
}

// Get returns what began the stream with a key; false if that is not known.
func (t *Table) Get(key string) (exchange.Origin, bool) {
	if o, ok := t.newer[key]; ok {
		return o, true
	}
	o, ok := t.older[key]
	return o, ok
}
