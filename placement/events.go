package placement

import (
	"time"

	"github.com/gullhaven/gullhaven/ports"
)

// Event is something that happened: SetWanted, Observed, OrderEnded,
// WarmUpEnded, LeaseHeld, LeaseLost or Tick.
type Event interface{ event() }

// SetWanted replaces what the bundle in force wants.
type SetDesired struct{ Desired Desired }

// Observed is the end of a Poll.
type Observed struct {
	Target string
	// Asked is that of the Poll.
	PolledAt time.Time
	// Report is nil if the target was not reached.
	Report *ports.LoadReport
}

// Outcome is how the sending of an order ended.
type Outcome uint8

const (
	// OrderTaken: the engine answered; it obeys or has obeyed.
	OrderAccepted Outcome = iota
	// OrderNotSent: the order can't have reached the engine.
	OrderNotSent
	// OrderUnanswered: the order may have reached the engine.
	OrderUnanswered
	// OrderInvalid: the engine refused the order itself.
	OrderInvalid
	// OrderOldFence: the engine has seen a higher fencing number.
	OrderOldFence
	// OrderExpired: the order's expiry passed before it was sent.
	OrderExpired
)

// OrderEnded is the end of a Send. It may come late or twice.
type OrderEnded struct {
	Target  string
	ID      string
	Outcome Outcome
}

// WarmUpOutcome is how a warm-up ended.
type WarmUpOutcome uint8

const (
	// WarmUpAnswered: the engine gave a whole answer.
	WarmUpAnswered WarmUpOutcome = iota
	// WarmUpRefused: the engine runs nothing while it is drained, so that its
	// report has to do.
	WarmUpRefused
	// WarmUpFailed: no answer, or a broken one.
	WarmUpFailed
)

// WarmUpEnded is the end of a WarmUp.
type WarmUpEnded struct {
	Target  string
	Number  uint64
	Outcome WarmUpOutcome
}

// LeaseHeld says that this instance led the region under fencing number Fence at
// a time after At: no newer leader existed at At. The host repeats it all the
// time. When a Fence comes first, its own term must have been committed.
type LeaseHeld struct {
	Fence uint64
	// At is read from the host's clock before it asked for the leadership. A
	// time read afterwards would stretch the lease by whatever the process was
	// stopped for in between, beyond what a successor waits.
	At time.Time
}

// LeaseLost says that this instance does not lead now, as far as it knows.
type LeaseLost struct{}

// Tick lets time pass. The host sends it several times in a second.
type Tick struct{}

func (SetDesired) event()  {}
func (Observed) event()    {}
func (OrderEnded) event()  {}
func (WarmUpEnded) event() {}
func (LeaseHeld) event()   {}
func (LeaseLost) event()   {}
func (Tick) event()        {}

// Effect is something to do: Send, WarmUp or Poll.
type Effect interface{ effect() }

// Send gives an order to an engine, once, unless Order.Expires has passed. Its
// end is told as OrderEnded.
type Send struct {
	Target, Address string
	Order           ports.Order
}

// WarmUp has an engine answer one short request; its end is told as
// WarmUpEnded with the same Number. The host bounds it by Options.WarmUpTime.
type WarmUp struct {
	Target, Address string
	Service         string
	Number          uint64
}

// Poll asks an engine for its report; its end is told as Observed. The host has
// at most one under way for each target, unless that takes longer than
// Options.StaleAfter.
type Poll struct {
	Target, Address string
	// Asked is the time of the Step. The report counts as no younger: an answer
	// can lie in the buffers of a process that was stopped for any time.
	PolledAt time.Time
}

func (Send) effect()   {}
func (WarmUp) effect() {}
func (Poll) effect()   {}
