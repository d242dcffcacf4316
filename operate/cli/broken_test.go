package cli_test

import (
	"testing"

	"github.com/gullhaven/gullhaven/coord/broken"
)

// Guards against a command that takes an instance's answer for its status though it is not valid HTTP.
func TestBrokenAnswersOfInstances(t *testing.T) {
	for name, text := range broken.Answers("", "{}") {
		t.Run(name, func(t *testing.T) {
			s := broken.Serve(t, nil, text)
			if newHarness(t).run("status", "--to", s.Addr, "--timeout", "30") == 0 {
				t.Error("no error")
			}
			s.CheckClosed(t)
		})
	}
}
