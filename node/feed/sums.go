package feed

// plus adds a load of the same target.
func (l Load) plus(o Load) Load { return l.sum(o, 1) }

// minus subtracts a part of the load.
func (l Load) minus(part Load) Load { return l.sum(part, -1) }

func (l Load) sum(o Load, sign int) Load {
	l.Running += sign * o.Running
	l.PrefillMillis += sign * o.PrefillMillis
	l.PendingPrefill = sumRanks(l.PendingPrefill, o.PendingPrefill, sign)
	return l
}

// sumRanks adds or subtracts by rank, into a new slice, as loads are shared between answers. Zeros
// at the end are removed.
func sumRanks(a, b []int, sign int) []int {
	out := make([]int, max(len(a), len(b)))
	copy(out, a)
	for rank, n := range b {
		out[rank] += sign * n
	}
	for len(out) > 0 && out[len(out)-1] == 0 {
		out = out[:len(out)-1]
	}
	if len(out) == 0 {
		return nil
	}
	return out
}

// plus adds the load of a target.
func (s Summary) plus(l Load) Summary {
	sum := s.load().plus(l)
	s.Running, s.PendingPrefill, s.PrefillMillis = sum.Running, sum.PendingPrefill, sum.PrefillMillis
	return s
}

func (s Summary) load() Load {
	return Load{Running: s.Running, PendingPrefill: s.PendingPrefill, PrefillMillis: s.PrefillMillis}
}
