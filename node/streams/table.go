package streams

import (
	"crypto/sha256"
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
	// maxPerHalf bounds the memory to some megabytes, with keys of up to maxKeyBytes.
	maxPerHalf  = 1 << 15
	maxKeyBytes = 64
)

// shortKey returns a key, or the digest of a long one: callers choose them, up to the length of a head.
func shortKey(key string) string {
	if len(key) <= maxKeyBytes {
		return key
	}
	sum := sha256.Sum256([]byte(key))
	return string(sum[:])
}

// Put records what began the stream with a key, or that it still goes on.
func (t *Table) Put(now time.Time, key string, o exchange.Origin) {
	if t.newer == nil || len(t.newer) >= maxPerHalf || now.Sub(t.startedAt) >= lifetime {
		t.newer, t.older, t.startedAt = map[string]exchange.Origin{}, t.newer, now
	}
	t.newer[shortKey(key)] = o
}

// Get returns what began the stream with a key; false if that is not known.
func (t *Table) Get(key string) (exchange.Origin, bool) {
	key = shortKey(key)
	if o, ok := t.newer[key]; ok {
		return o, true
	}
	o, ok := t.older[key]
	return o, ok
}
