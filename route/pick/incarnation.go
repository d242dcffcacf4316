package pick

// startedAgain reports whether a listed target is a restart of the known one with its ID. The load,
// cached prompt parts, failures and draining state of the old one then no longer apply.
//
// If the list has start times, they decide. Otherwise a new address or software version does, or a draining target that
// is listed as ready and newly cold: a draining target ends, and only a restart makes a warm target
// cold. Without either sign a drained target stays excluded until it has been off the list. That is
// the safe side: a missed restart costs capacity, but a draining target taken for restarted gets
// requests that it must not get.
func (t *target) startedAgain(listed Target) bool {
	switch {
	case t.StartMillis != 0 && listed.StartMillis != 0:
		return listed.StartMillis > t.StartMillis
	case listed.Address != t.Address, t.Software != "" && listed.Software != "" && listed.Software != t.Software:
		return true
	}
	newlyCold := !listed.ColdUntil.IsZero() && listed.ColdEpoch != t.ColdEpoch
	return t.Draining && !listed.Draining && newlyCold
}
