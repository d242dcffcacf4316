package limit

import (
	"container/heap"
	"errors"
)

const (
	// Priorities is the number of priorities, from 0 (lowest) to Priorities-1.
	Priorities = 10
	// FloorShare is the share of the work guaranteed to each waiting priority below the
	// highest, so that none starves. Nine floors leave more than half to the highest.
	FloorShare = 0.05
)

// Errors of Push.
var (
	// ErrFull: the queue holds as many items as it may.
	ErrFull = errors.New("fair queue is full")
	// ErrInvalidItem: weight or cost is not above 0, or the request is already waiting.
	ErrInvalidItem = errors.New("fair queue item needs weight and cost above 0 and a request that isn't waiting yet")
)

// Item is one waiting request.
type Item struct {
	// Request is the host's number for the request, unique among those waiting.
	Request   uint64
	Workspace string
	// Weight of the workspace, above 0.
	Weight float64
	// Priority from 0 to Priorities-1, the most urgent; others are clamped. A rank, in other
	// packages, counts the other way round: 0 is the most urgent.
	Priority int
	// Cost is the work, above 0, in the same unit for all items.
	Cost float64
}

// FairQueue orders requests that wait for a saturated pool of targets. Higher
// priorities go first except for the floors of lower ones. Within a priority
// workspaces share by weight with start-time fair queueing: an item's start tag
// is the later of the virtual time and its workspace's last finish tag.
// It is not safe for concurrent use.
type FairQueue struct {
	capacity int
	classes  [Priorities]priorityClass
	waiting  map[uint64]*queuedItem
	arrivals uint64
}

// priorityClass is the queue of one priority.
type priorityClass struct {
	queue queue
	// virtualTime is the start tag of the item last served.
	virtualTime float64
	// finishTags by workspace, kept while ahead of virtualTime.
	finishTags map[string]float64
	// credit is the work owed to the class by its floor.
	credit float64
}

type queuedItem struct {
	item     Item
	startTag float64
	// arrival breaks ties: first come, first served.
	arrival uint64
	index   int
}

// NewFairQueue returns a queue for at most capacity items.
func NewFairQueue(capacity int) *FairQueue {
	f := &FairQueue{capacity: capacity, waiting: make(map[uint64]*queuedItem)}
	for i := range f.classes {
		f.classes[i].finishTags = make(map[string]float64)
	}
	return f
}

// Len returns the number of waiting items.
func (f *FairQueue) Len() int { return len(f.waiting) }

// Push adds an item. The error is ErrFull or ErrInvalidItem.
func (f *FairQueue) Push(it Item) error {
	if !(it.Weight > 0 && it.Cost > 0) || f.waiting[it.Request] != nil {
		return ErrInvalidItem
	}
	if len(f.waiting) >= f.capacity {
		return ErrFull
	}
	it.Priority = max(0, min(it.Priority, Priorities-1))
	c := &f.classes[it.Priority]
	f.arrivals++
	q := &queuedItem{item: it, arrival: f.arrivals, startTag: max(c.virtualTime, c.finishTags[it.Workspace])}
	c.finishTags[it.Workspace] = q.startTag + it.Cost/it.Weight
	heap.Push(&c.queue, q)
	f.waiting[it.Request] = q
	return nil
}

// Remove removes an item that no longer waits (its deadline passed or its caller
// left) and reports whether it was present. Its workspace isn't credited for it.
func (f *FairQueue) Remove(request uint64) bool {
	q := f.waiting[request]
	if q == nil {
		return false
	}
	delete(f.waiting, request)
	heap.Remove(&f.classes[q.item.Priority].queue, q.index)
	return true
}

// Pop removes and returns the next item; ok is false if none waits.
func (f *FairQueue) Pop() (it Item, ok bool) {
	p := f.selectClass()
	if p < 0 {
		return Item{}, false
	}
	c := &f.classes[p]
	q := heap.Pop(&c.queue).(*queuedItem)
	delete(f.waiting, q.item.Request)
	c.virtualTime = q.startTag
	c.pruneTags()
	f.updateCredits(p, q.item.Cost)
	return q.item, true
}

// selectClass returns the class to serve, or -1: the class with the most credit among
// those whose credit covers their first item, else the highest with waiting items.
func (f *FairQueue) selectClass() int {
	highest, owed := -1, -1
	for p := range f.classes {
		c := &f.classes[p]
		if len(c.queue) == 0 {
			continue
		}
		highest = p
		if c.credit >= c.queue[0].item.Cost && (owed < 0 || c.credit > f.classes[owed].credit) {
			owed = p
		}
	}
	if owed >= 0 {
		return owed
	}
	return highest
}

// updateCredits credits the floors of the other waiting classes with a share of the
// work served. A class with nothing waiting keeps no credit.
func (f *FairQueue) updateCredits(served int, cost float64) {
	for p := range f.classes {
		c := &f.classes[p]
		switch {
		case len(c.queue) == 0:
			c.credit = 0
		case p == served:
			c.credit = max(0, c.credit-cost)
		default:
			c.credit += FloorShare * cost
		}
	}
}

// pruneTags drops finish tags that no longer delay anybody. It scans the map only
// when that has grown well past what waits.
func (c *priorityClass) pruneTags() {
	if len(c.finishTags) <= 2*len(c.queue)+16 {
		return
	}
	for w, tag := range c.finishTags {
		if tag <= c.virtualTime || len(c.queue) == 0 {
			delete(c.finishTags, w)
		}
	}
}

// queue is a heap by start tag, then arrival.
type queue []*queuedItem

func (q queue) Len() int { return len(q) }

func (q queue) Less(i, j int) bool {
	if q[i].startTag != q[j].startTag {
		return q[i].startTag < q[j].startTag
	}
	return q[i].arrival < q[j].arrival
}

func (q queue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}

// Push implements heap.Interface.
func (q *queue) Push(x any) {
	it := x.(*queuedItem)
	it.index = len(*q)
	*q = append(*q, it)
}

// Pop implements heap.Interface.
func (q *queue) Pop() any {
	old := *q
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	return last
}
