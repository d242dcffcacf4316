package replhost

import (
	"sync"
	"sync/atomic"

	"github.com/gullhaven/gullhaven/coord/replog"
	"github.com/gullhaven/gullhaven/coord/verdict"
)

// outcome ends a call.
type outcome struct {
	result []byte
	err    *verdict.Error
}

const (
	callQueued uint32 = iota
	callTaken
	callAbandoned
)

// call is a proposal or a read whose caller waits.
type call struct {
	// state decides between the caller who gives up and the core that takes
	// the call: a proposal that was abandoned while queued has not run.
	state atomic.Uint32
	done  chan outcome // holds one

	// The rest is guarded by calls.mu.
	place   replog.Position
	readID  uint64
	dropped bool
}

func newCall() *call { return &call{done: make(chan outcome, 1)} }

// take reports whether the caller still waits.
func (c *call) take() bool { return c.state.CompareAndSwap(callQueued, callTaken) }

// abandon reports whether the core had not taken the call.
func (c *call) abandon() bool { return c.state.CompareAndSwap(callQueued, callAbandoned) }

// end wakes the caller. Only the first outcome counts.
func (c *call) end(o outcome) {
	select {
	case c.done <- o:
	default:
	}
}

// calls holds the calls that the core has taken. Two proposals can wait at one
// index, if this node led in two terms.
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
	if !c.dropped {
		c.place = p
		cs.proposals[p.Index] = append(cs.proposals[p.Index], c)
	}
}

func (cs *calls) addRead(c *call, id uint64) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	if !c.dropped {
		c.readID = id
		cs.reads[id] = c
	}
}

// drop forgets a call whose caller has given up.
func (cs *calls) drop(c *call) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	c.dropped = true
	delete(cs.reads, c.readID)
	waiting := cs.proposals[c.place.Index]
	for i, other := range waiting {
		if other == c {
			cs.setProposals(c.place.Index, append(waiting[:i:i], waiting[i+1:]...))
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

// applied ends the proposals at an index, of which at most one is the entry
// that was committed there. The others can't be committed any more.
func (cs *calls) applied(e replog.Entry, result []byte) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	for _, c := range cs.proposals[e.Index] {
		if c.place.Term == e.Term {
			c.end(outcome{result: result})
			continue
		}
		c.end(outcome{err: failure(verdict.NotRun, CodeSuperseded, "another entry took its place", nil)})
	}
	delete(cs.proposals, e.Index)
}

// skipped ends the proposals that a snapshot from elsewhere covers.
func (cs *calls) skipped(index uint64) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	for at, waiting := range cs.proposals {
		if at > index {
			continue
		}
		for _, c := range waiting {
			c.end(outcome{err: failure(verdict.MayHaveRun, CodeUnknownResult, "its place was skipped by a snapshot", nil)})
		}
		delete(cs.proposals, at)
	}
}

func (cs *calls) readDone(id uint64) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	if c := cs.reads[id]; c != nil {
		c.end(outcome{})
		delete(cs.reads, id)
	}
}
