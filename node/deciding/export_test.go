package deciding

import "time"

// Sweep drops the groups that nothing is decided for.
func (a *Admission) Sweep(now time.Time) { a.sweep(now) }
