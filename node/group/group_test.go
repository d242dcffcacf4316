package group

import (
	"context"
	"errors"
	"testing"

	"github.com/gullhaven/gullhaven/coord/verdict"
)

// Symptom: no bundle is accepted and no claim is taken, yet the metrics show no
// failed proposal. Cause: a proposal that finds no member is not counted.
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
