// Package promise reserves capacity for requests that are refused because of a queue, so that the
// callers return when there is room and are not refused again.
//
// A Book belongs to one group of targets of a service, at the instance that decides admission. It
// spaces the announced retry times as fast as the targets work: a millisecond of work per
// millisecond at each target. A caller that returns at its announced time is admitted, and new
// requests count the promised work as if it were queued.
//
// The package does no input or output, reads no clock and draws no random numbers.
package promise
