package pick

// startedAgain reports whether a listed target is another start than the one known under
// its id: what is known of the old one, its load, kept prompt parts, failures and that it
// was draining, says nothing of the new one.
//
// Where the list tells when a target started, that decides. Elsewhere a new address does,
// or a target that was draining and is listed as ready and newly cold: a draining target
// ends, and only a start makes one cold that was not. Without either sign a drained target
// stays out until it has been off the list, which is the safe side: a start that is taken
// for none costs work, a draining target that is taken for started gets requests that it
// must not get.
func (t *target) startedAgain(listed Target) bool {
	switch {
	case t.StartMillis != 0 && listed.StartMillis != 0:
		return listed.StartMillis > t.StartMillis
	case listed.Address != t.Address:
		return true
	}
	newlyCold := !listed.ColdUntil.IsZero() && listed.ColdEpoch != t.ColdEpoch
	return t.Draining && !listed.Draining && newlyCold
}
