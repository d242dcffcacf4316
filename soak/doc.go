// Package soak runs a site as separate processes, injects faults from outside by a seed,
// and checks what callers and runners observe against the site's guarantees.
//
// DrawFaults draws the faults: signals that kill, pause, stop and restart processes, lost
// disks and interrupted writes, and forwarders in front of each process and runner that
// delay, hold back one or both directions, and reset. World injects them. Ledger records
// what was requested, answered and run, and finds violations.
//
// The faults of a seed are always the same, but the interleaving of processes is not. So a
// violation in one of a hundred interleavings needs many seeds:
//
//	go test ./soak -run TestSeeds -soak.seeds 1-50 -timeout 1h
//
// DrawWideFaults draws faults of all entry instances or of all runners, so that most requests are
// retried; -soak.wide plays them.
package soak
