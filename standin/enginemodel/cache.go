package enginemodel

// BlockTokens is the number of tokens that one prefix digest covers.
const BlockTokens = 64

// none marks the end of the list.
const none = -1

// entry is one cached block in the list from most to least recently used.
type entry struct {
	digest     uint64
	prev, next int
}

// cache is a prefix cache with least-recently-used replacement over chained
// block digests. Of one chain the outer blocks are kept longest, because an
// inner block is of no use without them.
type cache struct {
	capacity    int
	at          map[uint64]int
	entries     []entry
	free        []int
	first, last int
	// stored and evicted are the changes not yet taken by Engine.CacheChange.
	stored, evicted []uint64
}

func newCache(capacity int) cache {
	return cache{capacity: capacity, at: make(map[uint64]int), first: none, last: none}
}

// hit returns the number of leading blocks held, and marks them used.
func (c *cache) hit(prefix []uint64) int {
	n := 0
	for n < len(prefix) {
		if _, ok := c.at[prefix[n]]; !ok {
			break
		}
		n++
	}
	for i := n - 1; i >= 0; i-- {
		c.touch(c.at[prefix[i]])
	}
	return n
}

// store keeps the blocks of a prefix, as many of the outer ones as fit.
func (c *cache) store(prefix []uint64) {
	prefix = prefix[:min(len(prefix), c.capacity)]
	for i := len(prefix) - 1; i >= 0; i-- {
		if at, ok := c.at[prefix[i]]; ok {
			c.touch(at)
			continue
		}
		if len(c.at) == c.capacity {
			c.evict()
		}
		c.insert(prefix[i])
	}
}

func (c *cache) insert(digest uint64) {
	at := len(c.entries)
	if n := len(c.free); n > 0 {
		at = c.free[n-1]
		c.free = c.free[:n-1]
	} else {
		c.entries = append(c.entries, entry{})
	}
	c.entries[at].digest = digest
	c.at[digest] = at
	c.pushFront(at)
	c.stored = append(c.stored, digest)
}

func (c *cache) evict() {
	at := c.last
	digest := c.entries[at].digest
	c.unlink(at)
	delete(c.at, digest)
	c.free = append(c.free, at)
	c.evicted = append(c.evicted, digest)
}

func (c *cache) touch(at int) {
	if at == c.first {
		return
	}
	c.unlink(at)
	c.pushFront(at)
}

func (c *cache) pushFront(at int) {
	c.entries[at].prev, c.entries[at].next = none, c.first
	if c.first != none {
		c.entries[c.first].prev = at
	}
	c.first = at
	if c.last == none {
		c.last = at
	}
}

func (c *cache) unlink(at int) {
	en := c.entries[at]
	if en.prev != none {
		c.entries[en.prev].next = en.next
	} else {
		c.first = en.next
	}
	if en.next != none {
		c.entries[en.next].prev = en.prev
	} else {
		c.last = en.prev
	}
}

// CacheChange is what the prefix cache took in and dropped since the last call.
// A block may stand in both: it was stored and dropped, or the other way round.
type CacheChange struct {
	Stored, Evicted []uint64
}

// CacheChange takes the changes since the last call. After a crash or restart
// nothing is told of what was lost, as real engines do not tell it either.
func (e *Engine) CacheChange() CacheChange {
	ch := CacheChange{Stored: e.cache.stored, Evicted: e.cache.evicted}
	e.cache.stored, e.cache.evicted = nil, nil
	return ch
}

// CachedTokens is the size of the prefix cache now.
func (e *Engine) CachedTokens() int { return len(e.cache.at) * BlockTokens }
