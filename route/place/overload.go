package place

import "time"

// maxQueueShare is the share of the route's aim that the queue before a request may take: beyond
// it, the first event is late for certain. Without this limit, whenever more requests arrive than
// the engines can prefill, all of them queue and all are late.
const maxQueueShare = 1.0

// Overloaded reports whether a request that has not run must be refused at once, with a time to
// retry, because even the best target or region would answer it late. queueWait is the wait behind queued
// requests there, in milliseconds, and aim the time within which the answer is to begin, 0 for
// none. The request's own length is not included, or long requests would never be served.
func Overloaded(queueWait float64, aim time.Duration) bool {
	return aim > 0 && queueWait > maxQueueShare*float64(aim.Milliseconds())
}
