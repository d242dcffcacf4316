package enginemodel

// BlockTokens is the number of tokens that one prefix digest covers.
const BlockTokens = 64

// noEntry marks the end of the list.
const noEntry = -1

// entry is one cached block in a list from most to least recently used.
type entry struct {
	digest     uint64
	prev, next int
}

// cache is an LRU prefix cache over chained block digests. The outer blocks of
// a chain are kept longest, because an inner block is useless without them.
type cache struct {
	capacity    int
	index       map[uint64]int
	entries     []entry
	free        []int
	first, last int
	// stored and evicted are the changes since the last Engine.CacheChange.
	stored, evicted []uint64
}

func newCache(capacity int) cache {
	return cache{capacity: capacity, index: make(map[uint64]int), first: noEntry, last: noEntry}
}

// hit returns the number of leading blocks that are cached, and marks them as
// used.
func (c *cache) hit(prefix []uint64) int {
	n := 0
	for n < len(prefix) {
		if _, ok := c.index[prefix[n]]; !ok {
			break
		}
		n++
	}
	for i := n - 1; i >= 0; i-- {
		c.touch(c.index[prefix[i]])
	}
	return n
}

// store caches the blocks of a prefix, outer ones first, as many as fit.
func (c *cache) store(prefix []uint64) {
	prefix = prefix[:min(len(prefix), c.capacity)]
	for i := len(prefix) - 1; i >= 0; i-- {
		if at, ok := c.index[prefix[i]]; ok {
			c.touch(at)
			continue
		}
		if len(c.index) == c.capacity {
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
	c.index[digest] = at
	c.pushFront(at)
	c.stored = append(c.stored, digest)
}

func (c *cache) evict() {
	at := c.last
	digest := c.entries[at].digest
	c.unlink(at)
	delete(c.index, digest)
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
	c.entries[at].prev, c.entries[at].next = noEntry, c.first
	if c.first != noEntry {
		c.entries[c.first].prev = at
	}
	c.first = at
	if c.last == noEntry {
		c.last = at
	}
}

func (c *cache) unlink(at int) {
	en := c.entries[at]
	if en.prev != noEntry {
		c.entries[en.prev].next = en.next
	} else {
		c.first = en.next
	}
	if en.next != noEntry {
		c.entries[en.next].prev = en.prev
	} else {
		c.last = en.prev
	}
}

// CacheChange lists the blocks that the prefix cache stored and evicted. A block
// may be in both: stored and then evicted, or the other way round.
type CacheChange struct {
	Stored, Evicted []uint64
}

// CacheChange returns the changes since the last call. Blocks lost by a crash or
// restart aren't reported, as real engines don't report them either.
func (e *Engine) CacheChange() CacheChange {
	ch := CacheChange{Stored: e.cache.stored, Evicted: e.cache.evicted}
	e.cache.stored, e.cache.evicted = nil, nil
	return ch
}

// CachedTokens returns the number of tokens in the prefix cache.
func (e *Engine) CachedTokens() int { return len(e.cache.index) * BlockTokens }
