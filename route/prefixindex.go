package route

// maxHolders bounds the targets tracked per block. A block with more holders is
// held nearly everywhere, so its holders say little.
const maxHolders = 32

// prefixIndex tracks approximately which targets of one service hold which
// prefix blocks. It is an inverted index: a lookup takes one step per block of
// the prompt, independently of the number of targets.
type prefixIndex struct {
	// holders lists the indexes of the targets that hold a block, by its digest.
	holders map[uint64][]int32
	// blocks is the number of blocks of the last looked-up prompt that each
	// target holds; valid where generations equals generation.
	blocks      []int32
	generations []uint32
	generation  uint32
	// found lists the targets that hold at least one block of that prompt.
	found []int32
}

func newPrefixIndex() *prefixIndex {
	return &prefixIndex{holders: make(map[uint64][]int32)}
}

// grow makes room for target index n.
func (x *prefixIndex) grow(n int) {
	for len(x.blocks) <= n {
		x.blocks = append(x.blocks, 0)
		x.generations = append(x.generations, 0)
	}
}

// lookup finds the deepest block of prefix that each target holds, and returns
// the depth of the deepest block that any target holds; 0 if none. A target
// counts as holding all blocks before its deepest. The search stops once
// maxHolders targets are found.
func (x *prefixIndex) lookup(prefix []uint64) (known int) {
	x.generation++
	if x.generation == 0 {
		clear(x.generations)
		x.generation = 1
	}
	x.found = x.found[:0]
	most := min(maxHolders, len(x.blocks))
	for i := len(prefix) - 1; i >= 0 && len(x.found) < most; i-- {
		for _, n := range x.holders[prefix[i]] {
			if x.generations[n] == x.generation {
				continue
			}
			x.generations[n] = x.generation
			x.blocks[n] = int32(i + 1)
			known = max(known, i+1)
			x.found = append(x.found, n)
		}
	}
	return known
}

// held returns the number of blocks of the last looked-up prompt that target n
// holds.
func (x *prefixIndex) held(n int32) int32 {
	if x.generations[n] != x.generation {
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

// noBlock marks the end of a blockLRU's list.
const noBlock = int32(-1)

type blockNode struct {
	digest     uint64
	prev, next int32
}

// blockLRU is a bounded LRU set of the blocks that one target is believed to
// hold. It evicts the least recently used block first, as the engines do.
type blockLRU struct {
	index       *prefixIndex
	targetIndex int32
	cap         int
	nodeOf      map[uint64]int32
	nodes       []blockNode
	free        []int32
	head        int32
	tail        int32
}

func newBlockLRU(index *prefixIndex, targetIndex int32, capacity int) *blockLRU {
	index.grow(int(targetIndex))
	return &blockLRU{
		index: index, targetIndex: targetIndex, cap: capacity,
		nodeOf: make(map[uint64]int32), head: noBlock, tail: noBlock,
	}
}

// touch makes the blocks of a prefix the most recently used, the outermost
// last, since an engine evicts the innermost first.
func (c *blockLRU) touch(prefix []uint64) {
	for i := len(prefix) - 1; i >= 0; i-- {
		c.store(prefix[i])
	}
}

func (c *blockLRU) store(digest uint64) {
	if n, ok := c.nodeOf[digest]; ok {
		c.unlink(n)
		c.pushFront(n)
		return
	}
	if len(c.nodeOf) >= c.cap {
		c.evict(c.nodes[c.tail].digest)
	}
	n := c.alloc()
	c.nodes[n].digest = digest
	c.nodeOf[digest] = n
	c.pushFront(n)
	c.index.add(digest, c.targetIndex)
}

func (c *blockLRU) evict(digest uint64) {
	n, ok := c.nodeOf[digest]
	if !ok {
		return
	}
	c.unlink(n)
	c.free = append(c.free, n)
	delete(c.nodeOf, digest)
	c.index.drop(digest, c.targetIndex)
}

// clear removes all blocks.
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
