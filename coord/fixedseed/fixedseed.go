// Package fixedseed makes property tests draw the same cases in every run.
//
// The rapid library draws a new seed for each run, so that a test can pass in
// one run of CI and fail in the next without a change. Test files import this
// package for its effect. A search for new cases gives another seed and more
// checks on the command line: -rapid.seed=0 -rapid.checks=10000.
package fixedseed

import (
	"flag"

	_ "pgregory.net/rapid" // Registers the flags before they are set here.
)

// seed is any number but 0, which stands for a random one.
const seed = "20261202"

func init() {
	for name, value := range map[string]string{"rapid.seed": seed, "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err) // The flags are part of rapid's interface.
		}
	}
}
