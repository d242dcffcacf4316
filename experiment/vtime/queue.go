// Package vtime provides the event queue of a simulation in virtual time.
package vtime

import (
	"container/heap"
	"time"
)

// Queue holds scheduled events by time; equal times keep the order of the calls to Schedule.
// The zero value is empty. It is not safe for concurrent use.
type Queue struct {
	events events
	count  uint64
}

// Schedule adds an event that runs do at time t.
func (q *Queue) Schedule(t time.Time, do func()) {
	q.count++
	heap.Push(&q.events, event{at: t, seq: q.count, do: do})
}

// Next removes and returns the first event; ok is false if the queue is empty. The caller
// runs do.
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
