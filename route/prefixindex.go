package route

// maxHolders bounds the targets remembered for one block. A block that more
// targets hold is held nearly everywhere: who holds it says little.
const maxHolders = 32

// prefixIndex knows approximately which targets of one service hold which
// prefix blocks. It is inverted: looking a prompt up costs as many steps as it
// has blocks, not that times the number of targets.
type prefixIndex struct {
	holders map[uint64][]int32
	// blocks is how many blocks each target holds of the last prompt looked up;
	// valid where mark equals stamp.
	blocks []int32
	mark   []uint32
	stamp  uint32
	// found are the targets that hold some of it.
	found []int32
}

func newPrefixIndex() *prefixIndex {
	return &prefixIndex{holders: make(map[uint64][]int32)}
}

// grow makes room for target number n.
func (x *prefixIndex) grow(n int) {
	for len(x.blocks) <= n {
		x.blocks = append(x.blocks, 0)
		x.mark = append(x.mark, 0)
	}
}

// lookup finds for each target the deepest block of prefix that it holds, and
// the number of outermost blocks that somebody holds.
func (x *prefixIndex) lookup(prefix []uint64) (known int) {
	x.stamp++
	if x.stamp == 0 {
		clear(x.mark)
		x.stamp = 1
	}
	x.found = x.found[:0]
	most := min(maxHolders, len(x.blocks))
	for i := len(prefix) - 1; i >= 0 && len(x.found) < most; i-- {
		for _, n := range x.holders[prefix[i]] {
			if x.mark[n] == x.stamp {
				continue
			}
			x.mark[n] = x.stamp
			x.blocks[n] = int32(i + 1)
			known = max(known, i+1)
			x.found = append(x.found, n)
		}
	}
	return known
}

// held returns the blocks that target n holds of the last prompt looked up.
func (x *prefixIndex) held(n int32) int32 {
	if x.mark[n] != x.stamp {
		return 0
	}
	return x.blocks[n]
}

func (x *prefixIndex) add(digest uint64, n int32) {
	h := x.holders[digest]
	if len(h) >= maxHolders {
		copy(h, h[1:])
		h[len(h)-1] = n
		return
	}
	x.holders[digest] = append(h, n)
}

func (x *prefixIndex) drop(digest uint64, n int32) {
	h := x.holders[digest]
	for i := range h {
		if h[i] != n {
			continue
		}
		h[i] = h[len(h)-1]
		x.holders[digest] = h[:len(h)-1]
		break
	}
	if len(x.holders[digest]) == 0 {
		delete(x.holders, digest)
	}
}

// noBlock ends the list of a blockLRU.
const noBlock = int32(-1)

type blockNode struct {
	digest     uint64
	prev, next int32
}

// blockLRU is the bounded memory of the blocks that one target is believed to
// hold, least recently used first out, as the engines do.
type blockLRU struct {
	index *prefixIndex
	self  int32
	cap   int
	at    map[uint64]int32
	nodes []blockNode
	free  []int32
	head  int32
	tail  int32
}

func newBlockLRU(index *prefixIndex, self int32, capacity int) *blockLRU {
	index.grow(int(self))
	return &blockLRU{
		index: index, self: self, cap: capacity,
		at: make(map[uint64]int32), head: noBlock, tail: noBlock,
	}
}

// touch makes the blocks of a prefix the most recently used ones, the outermost
// last: an engine drops the innermost first.
func (c *blockLRU) touch(prefix []uint64) {
	for i := len(prefix) - 1; i >= 0; i-- {
		c.store(prefix[i])
	}
}

func (c *blockLRU) store(digest uint64) {
	if n, ok := c.at[digest]; ok {
		c.unlink(n)
		c.pushFront(n)
		return
	}
	if len(c.at) >= c.cap {
		c.evict(c.nodes[c.tail].digest)
	}
	n := c.alloc()
	c.nodes[n].digest = digest
	c.at[digest] = n
	c.pushFront(n)
	c.index.add(digest, c.self)
}

func (c *blockLRU) evict(digest uint64) {
	n, ok := c.at[digest]
	if !ok {
		return
	}
	c.unlink(n)
	c.free = append(c.free, n)
	delete(c.at, digest)
	c.index.drop(digest, c.self)
}

// clear forgets all blocks.
func (c *blockLRU) clear() {
	for c.tail != noBlock {
		c.evict(c.nodes[c.tail].digest)
	}
}

func (c *blockLRU) alloc() int32 {
	if k := len(c.free); k > 0 {
		n := c.free[k-1]
		c.free = c.free[:k-1]
		return n
	}
	c.nodes = append(c.nodes, blockNode{})
	return int32(len(c.nodes) - 1)
}

func (c *blockLRU) pushFront(n int32) {
	c.nodes[n].prev = noBlock
	c.nodes[n].next = c.head
	if c.head != noBlock {
		c.nodes[c.head].prev = n
	}
	c.head = n
	if c.tail == noBlock {
		c.tail = n
	}
}

func (c *blockLRU) unlink(n int32) {
	b := c.nodes[n]
	if b.prev == noBlock {
		c.head = b.next
	} else {
		c.nodes[b.prev].next = b.next
	}
	if b.next == noBlock {
		c.tail = b.prev
	} else {
		c.nodes[b.next].prev = b.prev
	}
}
