package limit

import (
	"container/heap"
	"errors"
)

const (
	// Priorities are 0 (lowest) to Priorities-1.
	Priorities = 10
	// FloorShare is the part of the work that each waiting priority below the
	// highest is sure of, so that none starves. Nine floors leave more than
	// half to the highest.
	FloorShare = 0.05
)

// Errors of Push.
var (
	// ErrFull: the queue holds as many items as it may.
	ErrFull = errors.New("fair queue is full")
	// ErrInvalidItem: weight or cost is not above 0, or the request waits already.
	ErrInvalidItem = errors.New("fair queue can't order this item")
)

// Item is one waiting request.
type Item struct {
	// Request is the host's number of it, unique among those waiting.
	Request   uint64
	Workspace string
	// Weight of the workspace, above 0.
	Weight float64
	// Priority from 0 to Priorities-1; others are brought into the range.
	Priority int
	// Cost is the work, in any one unit for all; above 0.
	Cost float64
}

// FairQueue orders requests that wait for a saturated pool of targets. Higher
// priorities go first but for the floors of lower ones. Within a priority
// workspaces share by weight: start-time fair queueing, where an item's start
// tag is the later of the virtual time and its workspace's last finish tag.
// It has a single owner.
type FairQueue struct {
	capacity int
	classes  [Priorities]class
	waiting  map[uint64]*queued
	arrivals uint64
}

// class is one priority.
type class struct {
	queue queue
	// virtual is the start tag of the item last served.
	virtual float64
	// finish tags by workspace, kept while ahead of virtual.
	finish map[string]float64
	// credit is the work owed to the class by its floor.
	credit float64
}

type queued struct {
	item  Item
	start float64
	// arrival breaks ties: first come, first served.
	arrival uint64
	index   int
}

// NewFairQueue makes a queue for at most capacity items.
func NewFairQueue(capacity int) *FairQueue {
	f := &FairQueue{capacity: capacity, waiting: make(map[uint64]*queued)}
	for i := range f.classes {
		f.classes[i].finish = make(map[string]float64)
	}
	return f
}

// Len is the number of items waiting.
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
	q := &queued{item: it, arrival: f.arrivals, start: max(c.virtual, c.finish[it.Workspace])}
	c.finish[it.Workspace] = q.start + it.Cost/it.Weight
	heap.Push(&c.queue, q)
	f.waiting[it.Request] = q
	return nil
}

// Remove takes out an item that no longer waits (its deadline passed, its
// caller left) and reports whether it was there. Its place isn't given back to
// the workspace.
func (f *FairQueue) Remove(request uint64) bool {
	q := f.waiting[request]
	if q == nil {
		return false
	}
	delete(f.waiting, request)
	heap.Remove(&f.classes[q.item.Priority].queue, q.index)
	return true
}

// Pop takes the next item; ok is false if none waits.
func (f *FairQueue) Pop() (it Item, ok bool) {
	p := f.choose()
	if p < 0 {
		return Item{}, false
	}
	c := &f.classes[p]
	q := heap.Pop(&c.queue).(*queued)
	delete(f.waiting, q.item.Request)
	c.virtual = q.start
	c.forget()
	f.charge(p, q.item.Cost)
	return q.item, true
}

// choose returns the class to serve: one whose credit covers its first item,
// the most owed first, else the highest that waits.
func (f *FairQueue) choose() int {
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

// charge credits the floors of the other waiting classes with a part of the
// work served. A class that has nothing waiting saves nothing.
func (f *FairQueue) charge(served int, cost float64) {
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

// forget drops finish tags that no longer hold anybody back. It works through
// the map only when it has grown past what waits.
func (c *class) forget() {
	if len(c.finish) <= 2*len(c.queue)+16 {
		return
	}
	for w, tag := range c.finish {
		if tag <= c.virtual || len(c.queue) == 0 {
			delete(c.finish, w)
		}
	}
}

// queue is a heap by start tag, then arrival.
type queue []*queued

func (q queue) Len() int { return len(q) }

func (q queue) Less(i, j int) bool {
	if q[i].start != q[j].start {
		return q[i].start < q[j].start
	}
	return q[i].arrival < q[j].arrival
}

func (q queue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}

// Push is for container/heap.
func (q *queue) Push(x any) {
	it := x.(*queued)
	it.index = len(*q)
	*q = append(*q, it)
}

// Pop is for container/heap.
func (q *queue) Pop() any {
	old := *q
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	return last
}
