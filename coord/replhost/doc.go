// Package replhost runs the core of coord/replog on a disk and a transport.
//
// A Node has one goroutine for each duty, joined by bounded rings:
//
//	Receive ─ inbox ──┐         ┌─ jobs ─ disk:  one sync for each Ready
//	Propose ─ requests ─ core ──┤
//	Read      events ──┘        └─ jobs ─ apply: the state machine
//
// The core goroutine alone steps the core. It gives what a Ready wants written
// to the disk goroutine and sends the messages that rest on it only after that
// has reported the sync; while a sync is under way, proposals and messages
// gather for the next one, which makes the batches. Committed entries go to the
// apply goroutine after the sync. Advance is called when they are handed over
// and not when they are applied: the core uses its applied index only to check
// snapshots, for which this package passes an index that the state machine has
// reached, and to see that a configuration is committed.
//
// # Failure of the disk
//
// The first failed operation ends the node: it sends nothing more, so that the
// others elect a new leader when its lease has ended, answers no call, and says
// Failed and why in its Status. It doesn't try again; see coord/wal.
//
// # Clock
//
// The lease holds only if Clock goes on while the process is stopped. SystemClock
// does so for a stopped process, but not while the operating system as a whole is
// suspended.
package replhost
