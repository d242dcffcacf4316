package entry

import (
	"context"
	"time"

	"github.com/gullhaven/gullhaven/node/duty"
)

// tidyInterval is the time between two looks for what is over.
const tidyInterval = 5 * time.Second

// tidy forgets prompt parts that were not used lately, and closes idle connections to
// targets that are listed no more: their addresses are given to others.
func (i *Instance) tidy(ctx context.Context) {
	before := map[string]bool{}
	duty.Every(ctx, tidyInterval, func(now time.Time) {
		i.pool.ExpirePrefixes(now)
		listed := i.pool.Addresses()
		for address := range before {
			if !listed[address] {
				i.targets.Forget(address)
			}
		}
		before = listed
	})
}
