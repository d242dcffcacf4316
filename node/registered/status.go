package registered

import (
	"fmt"
	"time"

	"github.com/gullhaven/gullhaven/coord/verdict"
)

// State says whether a region's group takes claims.
type State uint8

const (
	// Unregistered: the global group has not answered yet.
	Unregistered State = iota
	// Waiting: an earlier group was lost; claims are refused for Status.Remaining.
	Waiting
	// Open: claims are taken.
	Open
)

// Status is the state of the claims at this replica.
type Status struct {
	State State
	// Remaining is how long claims are still refused in state Waiting, provided that the region
	// has a leader all the time.
	Remaining time.Duration
	// Group is the registered number; 0 in state Unregistered.
	Group uint64
	// Losses counts how often the region's claims were lost; LostGroup is the number of the
	// group lost last.
	Losses    uint32
	LostGroup uint64
	// Records is the number of claims held.
	Records int
}

// Status returns the current state.
func (t *Table) Status() Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	a := t.gate.Admission
	s := Status{State: Open, Group: a.Group, Losses: a.Losses, LostGroup: a.Lost, Records: t.records}
	switch {
	case a.Group == 0:
		s.State = Unregistered
	case !t.gate.open():
		s.State = Waiting
		s.Remaining = time.Duration(t.gate.RemainingSeconds) * time.Second
	}
	return s
}

// String returns one line for operators.
func (s Status) String() string {
	switch s.State {
	case Unregistered:
		return "claims are refused: the region's group is not registered at the global group yet"
	case Waiting:
		return fmt.Sprintf("claims are refused for %v: the claims of group %016x were lost", s.Remaining, s.LostGroup)
	}
	return "claims are taken"
}

// refusal returns the error for a claim; nil if claims are taken.
func (s Status) refusal() error {
	e := verdict.New(verdict.NotRun, CodeUnregistered, s.String())
	switch s.State {
	case Open:
		return nil
	case Waiting:
		e.Code, e.RetryAfter = CodeBlocked, s.Remaining
	default:
		e.RetryAfter = retryUnregistered
	}
	return e
}
