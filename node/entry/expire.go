package entry

import (
	"context"
	"time"

	"github.com/gullhaven/gullhaven/node/duty"
)

// expireInterval is the time between two searches for unused entries.
const expireInterval = 5 * time.Second

// expireUnused removes unused prompt prefixes, and closes idle connections to targets that are no
// longer listed: their addresses are reassigned.
func (i *Instance) expireUnused(ctx context.Context) {
	previous := map[string]bool{}
	duty.Every(ctx, expireInterval, func(now time.Time) {
		i.pool.ExpirePrefixes(now)
		listed := i.pool.Addresses()
		for address := range previous {
			if !listed[address] {
				i.targets.CloseIdle(address)
			}
		}
		previous = listed
	})
}
