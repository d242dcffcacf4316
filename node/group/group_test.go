package group

import (
	"context"
	"errors"
	"testing"

	"github.com/gullhaven/gullhaven/coord/verdict"
)

// Guards against proposals that find no member and are not counted: no bundle is accepted and
// no claim is taken, yet the metrics show no failure.
func TestProposalWithoutMemberCounts(t *testing.T) {
	c := NewClient("g", nil, nil, nil)
	_, err := c.Propose(context.Background(), []byte("x"))
	var e *verdict.Error
	if !errors.As(err, &e) || e.Verdict != verdict.NotRun {
		t.Errorf("%v, want not run", err)
	}
	if got, want := c.Counters(), (Counters{Proposals: 1, Failures: 1}); got != want {
		t.Errorf("%+v, want %+v", got, want)
	}
}
