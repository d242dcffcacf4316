package spread

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/gullhaven/gullhaven/bundle"
)

// Guards against a region whose relay reports an older version for longer than it takes to fetch
// the one that a member has.
func TestRelayFetchesWhatAMemberHasBeforeItReportsIt(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	c := New(Peer{ID: "relay", Region: "r", Relay: true}, rand.New(rand.NewPCG(1, 1)))
	c.SetPeers([]Peer{{ID: "relay", Region: "r", Relay: true}, {ID: "member", Region: "r"}})
	out := c.Step(now, "member", Message{Kind: KindApplied, Head: bundle.Identity{Version: 3}})
	asks := func(o Out) bool {
		return o.To == "member" && (o.Message.Kind == KindStepsRequest || o.Message.Kind == KindSectionsRequest)
	}
	if !slices.ContainsFunc(out, asks) {
		t.Errorf("the relay does not ask for the version: %+v", out)
	}
	if state := c.regionState(now); state.Newest.Version != 0 || state.InForce != 2 || len(state.Behind) != 0 {
		t.Errorf("the relay reports a version that it does not have: %+v", state)
	}
}
