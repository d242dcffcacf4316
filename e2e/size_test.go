package e2e

import (
	"fmt"
	"testing"
	"time"

	"github.com/gullhaven/gullhaven/bundle"
)

// Guards against bounds of messages and log entries that only fit small bundles: a
// bundle of 10,000 workspaces must roll, then a change of one workspace, and an
// instance without a disk must get it after a restart.
func TestFullSizeBundle(t *testing.T) {
	c := startCluster(t, 2)
	big := c.next(c.bundle, "full size")
	for i := range 10_000 {
		region := regionNames[i%len(regionNames)]
		id := fmt.Sprintf("workspace-%05d", i)
		big.Workspaces = append(big.Workspaces, bundle.Workspace{
			ID: id, Home: region, Weight: 1, MaxPriority: 5, KeyHashes: []string{keyHash(id)},
			Residency: []string{region}, Limits: bundle.Limits{RequestsPerSecond: 5, TokensPerSecond: 2000},
		})
	}
	c.mustRoll(big)
	changed := c.next(big, "one workspace")
	changed.Workspaces = append([]bundle.Workspace(nil), big.Workspaces...)
	changed.Workspaces[len(changed.Workspaces)-1].Limits.RequestsPerSecond = 6
	start := time.Now()
	c.mustRoll(changed)
	t.Logf("a change among 10,000 workspaces is in force everywhere after %v, with the looks at it", time.Since(start))
	c.instances[1].kill()
	c.instances[1].start()
	c.awaitInForce(changed)
	text, err := c.briefing(c.instances[1], regionNames[0], "after the restart", 4)
	if err != nil {
		t.Errorf("%q: %v", text, err)
	}
}
