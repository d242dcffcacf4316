// Package vtime holds the events of a run in virtual time.
package vtime

import (
	"container/heap"
	"time"
)

// Queue is what is still to be done, by its time; equal times go in the order of At. The
// zero value is empty.
type Queue struct {
	events events
	made   uint64
}

// At has a thing done at a time.
func (q *Queue) Schedule(t time.Time, do func()) {
	q.made++
	heap.Push(&q.events, event{at: t, seq: q.made, do: do})
}

// Next takes the first thing off; false if nothing is left.
func (q *Queue) Next() (at time.Time, do func(), ok bool) {
	if len(q.events) == 0 {
		return time.Time{}, nil, false
	}
	e := heap.Pop(&q.events).(event)
	return e.at, e.do, true
}

type event struct {
	at  time.Time
	seq uint64
	do  func()
}

type events []event

func (q events) Len() int { return len(q) }
func (q events) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].seq < q[j].seq
}
func (q events) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *events) Push(x any)   { *q = append(*q, x.(event)) }
func (q *events) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}
