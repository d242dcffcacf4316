package standin

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/gullhaven/gullhaven/pipeline/prefix"
	"github.com/gullhaven/gullhaven/ports"
)

// maxEvents bounds the retained cache events.
const maxEvents = 4096

// cache is the prefix cache of an engine and its event log.
type cache struct {
	cfg    EngineConfig
	mu     sync.Mutex
	blocks map[uint64]struct{}
	order  []uint64
	seq    uint64
	events []timedEvent
}

type timedEvent struct {
	at    time.Time
	event ports.CacheEvent
}

func newCache(cfg EngineConfig) *cache {
	return &cache{cfg: cfg, blocks: map[uint64]struct{}{}}
}

// prefill stores the blocks of a prompt and evicts the oldest blocks beyond
// CacheBlocks.
func (c *cache) prefill(model string, prompt []byte) {
	digests := prefix.Digests(model, prompt)
	c.mu.Lock()
	defer c.mu.Unlock()
	var e ports.CacheEvent
	for _, d := range digests {
		if _, ok := c.blocks[d]; ok {
			continue
		}
		c.blocks[d] = struct{}{}
		c.order = append(c.order, d)
		e.Stored = append(e.Stored, d)
	}
	for len(c.order) > c.cfg.CacheBlocks {
		old := c.order[0]
		c.order = c.order[1:]
		delete(c.blocks, old)
		e.Evicted = append(e.Evicted, old)
	}
	if len(e.Stored)+len(e.Evicted) > 0 {
		c.publish(e)
	}
}

// clear removes all blocks without an event.
func (c *cache) clear() {
	c.mu.Lock()
	defer c.mu.Unlock()
	clear(c.blocks)
	c.order = nil
}

func (c *cache) publish(e ports.CacheEvent) {
	c.seq++
	e.Seq = c.seq
	if n := c.cfg.CacheGapEvery; n > 0 && c.seq%uint64(n) == 0 {
		return
	}
	c.events = append(c.events, timedEvent{at: time.Now().Add(c.cfg.CacheDelay), event: e})
	if len(c.events) > maxEvents {
		c.events = c.events[1:]
	}
}

// usedShare returns the fraction of CacheBlocks in use.
func (c *cache) usedShare() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return float64(len(c.order)) / float64(c.cfg.CacheBlocks)
}

func (c *cache) serve(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "malformed after", http.StatusBadRequest)
		return
	}
	now := time.Now()
	out := []ports.CacheEvent{}
	c.mu.Lock()
	for _, e := range c.events {
		if e.event.Seq > after && !e.at.After(now) {
			out = append(out, e.event)
		}
	}
	c.mu.Unlock()
	writeJSON(w, out)
}
