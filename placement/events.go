package placement

import (
	"time"

	"github.com/gullhaven/gullhaven/ports"
)

// Event is an input of Step: SetDesired, Observed, OrderEnded, WarmUpEnded,
// LeaseHeld, LeaseLost or Tick.
type Event interface{ event() }

// SetDesired replaces the desired state, which comes from the bundle in force.
type SetDesired struct{ Desired Desired }

// Observed is the end of a Poll.
type Observed struct {
	Target string
	// PolledAt is that of the Poll.
	PolledAt time.Time
	// Report is nil if the target could not be reached.
	Report *ports.LoadReport
}

// Outcome is how a Send ended.
type Outcome uint8

const (
	// OrderAccepted: the engine answered; it executes or has executed the
	// order.
	OrderAccepted Outcome = iota
	// OrderNotSent: the order cannot have reached the engine.
	OrderNotSent
	// OrderUnanswered: the order may have reached the engine.
	OrderUnanswered
	// OrderInvalid: the engine refused the order as invalid.
	OrderInvalid
	// OrderOldFence: the engine has seen a higher fencing number.
	OrderOldFence
	// OrderExpired: the order expired before it was sent.
	OrderExpired
)

// OrderEnded is the end of a Send. It may arrive late or twice.
type OrderEnded struct {
	Target  string
	ID      string
	Outcome Outcome
}

// WarmUpOutcome is how a warm-up ended.
type WarmUpOutcome uint8

const (
	// WarmUpAnswered: the engine returned a complete response.
	WarmUpAnswered WarmUpOutcome = iota
	// WarmUpRefused: the engine runs no requests while it is drained. The
	// warm-up counts as done: the engine's report must suffice.
	WarmUpRefused
	// WarmUpFailed: no response, or an incomplete one.
	WarmUpFailed
)

// WarmUpEnded is the end of a WarmUp.
type WarmUpEnded struct {
	Target  string
	Number  uint64
	Outcome WarmUpOutcome
}

// LeaseHeld reports that this instance led the region with fencing number Fence
// at a time after At: no newer leader existed at At. The host repeats it
// continuously. It must not report a Fence before that term has been committed.
type LeaseHeld struct {
	Fence uint64
	// At must be read from the host's clock before the host asks for the
	// leadership. A time read afterwards would extend the lease by any pause of
	// the process in between, beyond the time that a successor waits.
	At time.Time
}

// LeaseLost reports that this instance is not the leader, as far as it knows.
type LeaseLost struct{}

// Tick lets time pass. The host sends it several times per second.
type Tick struct{}

func (SetDesired) event()  {}
func (Observed) event()    {}
func (OrderEnded) event()  {}
func (WarmUpEnded) event() {}
func (LeaseHeld) event()   {}
func (LeaseLost) event()   {}
func (Tick) event()        {}

// Effect is an action for the host: Send, WarmUp or Poll.
type Effect interface{ effect() }

// Send sends an order to an engine once, unless Order.Expires has passed. The
// host reports its end as OrderEnded.
type Send struct {
	Target, Address string
	Order           ports.Order
}

// WarmUp sends one short request to an engine. The host reports its end as
// WarmUpEnded with the same Number, and bounds it by Options.WarmUpTime.
type WarmUp struct {
	Target, Address string
	Service         string
	Number          uint64
}

// Poll requests a load report from an engine. The host reports its end as
// Observed. It runs at most one Poll per target, unless one takes longer than
// Options.StaleAfter.
type Poll struct {
	Target, Address string
	// PolledAt is the time of the Step. The report is assumed to be that old: a
	// response can stay in the buffers of a paused process for any time.
	PolledAt time.Time
}

func (Send) effect()   {}
func (WarmUp) effect() {}
func (Poll) effect()   {}
