package replhost

import (
	"sync"
	"sync/atomic"

	"github.com/gullhaven/gullhaven/coord/replog"
	"github.com/gullhaven/gullhaven/coord/verdict"
)

// outcome is the result of a call.
type outcome struct {
	result []byte
	err    *verdict.Error
}

const (
	callQueued uint32 = iota
	callAccepted
	callAbandoned
)

// call is a request whose caller waits.
type call struct {
	// state settles the race between a caller that gives up and the core that accepts
	// the call: a proposal that was abandoned while queued has not run.
	state atomic.Uint32
	done  chan outcome // capacity 1

	// The fields below are guarded by calls.mu.
	position replog.Position
	readID   uint64
	removed  bool
}

func newCall() *call { return &call{done: make(chan outcome, 1)} }

// accept marks the call as accepted by the core and reports whether the caller still
// waits.
func (c *call) accept() bool { return c.state.CompareAndSwap(callQueued, callAccepted) }

// abandon marks the call as abandoned by its caller and reports whether the core had
// not accepted it.
func (c *call) abandon() bool { return c.state.CompareAndSwap(callQueued, callAbandoned) }

// end wakes the caller. Only the first outcome takes effect.
func (c *call) end(o outcome) {
	select {
	case c.done <- o:
	default:
	}
}

// calls holds the calls that the core has accepted. Two proposals can wait at one index
// if this node led in two terms.
type calls struct {
	mu        sync.Mutex
	proposals map[uint64][]*call
	reads     map[uint64]*call
}

func newCalls() *calls {
	return &calls{proposals: map[uint64][]*call{}, reads: map[uint64]*call{}}
}

func (cs *calls) addProposal(c *call, p replog.Position) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	if !c.removed {
		c.position = p
		cs.proposals[p.Index] = append(cs.proposals[p.Index], c)
	}
}

func (cs *calls) addRead(c *call, id uint64) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	if !c.removed {
		c.readID = id
		cs.reads[id] = c
	}
}

// remove removes a call that has failed or whose caller has given up. The call cannot be
// added afterwards.
func (cs *calls) remove(c *call) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	c.removed = true
	delete(cs.reads, c.readID)
	waiting := cs.proposals[c.position.Index]
	for i, other := range waiting {
		if other == c {
			cs.setProposals(c.position.Index, append(waiting[:i:i], waiting[i+1:]...))
			return
		}
	}
}

func (cs *calls) setProposals(index uint64, waiting []*call) {
	if len(waiting) == 0 {
		delete(cs.proposals, index)
		return
	}
	cs.proposals[index] = waiting
}

// endApplied ends the proposals at an index, of which at most one is the entry that was
// committed there. The others can no longer be committed.
func (cs *calls) endApplied(e replog.Entry, result []byte) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	for _, c := range cs.proposals[e.Index] {
		if c.position.Term == e.Term {
			c.end(outcome{result: result})
			continue
		}
		c.end(outcome{err: newError(verdict.NotRun, CodeSuperseded, "another entry took its place", nil)})
	}
	delete(cs.proposals, e.Index)
}

// endCovered ends the proposals up to index, which another node's snapshot covers. This
// node cannot tell whether they were committed.
func (cs *calls) endCovered(index uint64) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	for at, waiting := range cs.proposals {
		if at > index {
			continue
		}
		for _, c := range waiting {
			c.end(outcome{err: newError(verdict.MayHaveRun, CodeUnknownResult, "its place was skipped by a snapshot", nil)})
		}
		delete(cs.proposals, at)
	}
}

func (cs *calls) endRead(id uint64) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	if c := cs.reads[id]; c != nil {
		c.end(outcome{})
		delete(cs.reads, id)
	}
}
