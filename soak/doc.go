// Package soak runs a site as separate processes, makes faults from outside them by a
// seed, and checks what callers and runners see against what the site promises.
//
// Plan draws the faults: signals that kill, pause, stop and restart processes, lost and
// torn disks, and forwarders before each process and runner that delay, hold back one
// way or both, and reset. World carries them out. Ledger keeps what was asked, answered
// and run, and finds what must not be.
//
// The faults of a seed are always the same; how processes interleave is not. A promise
// that is broken by one interleaving in a hundred so needs many seeds:
//
//	go test ./soak -run TestSeeds -soak.seeds 1-50 -timeout 1h
package soak
