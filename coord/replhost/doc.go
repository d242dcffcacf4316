// Package replhost runs the core of coord/replog on a disk and a transport.
//
// A Node has one goroutine per duty, joined by bounded queues:
//
//	Receive ─ inbox ──┐         ┌─ jobs ─ disk:  one sync for each Ready
//	Propose ─ requests ─ core ──┤
//	Read      events ──┘        └─ jobs ─ apply: the state machine
//
// Only the core goroutine calls the core. It passes what a Ready has to write
// to the disk goroutine, and sends the messages that depend on it only after
// the sync is reported; while a sync is in progress, proposals and messages
// collect for the next one, which forms the batches. Committed entries go to
// the apply goroutine after the sync. Advance is called when they are handed
// over, not when they are applied: the core uses its applied index only to
// check snapshots, for which this package passes an index that the state
// machine has reached, and to see that a configuration is committed.
//
// # Disk failure
//
// The first failed operation ends the node: it sends nothing more, so that the
// others elect a new leader when its lease has ended, answers no call, and
// reports Failed and the cause in its Status. It does not retry; see coord/wal.
//
// # Clock
//
// Leases hold only if Clock keeps running while the process is stopped.
// SystemClock does so for a stopped process, but not while the operating system
// as a whole is suspended; BootClock does so for both.
package replhost
