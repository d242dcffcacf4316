package pick

// Ranks is how many ranks of requests are told apart, from 0; later ones count as the last.
const Ranks = 10

// Queue is what waits at a target, in tokens by the rank of its requests.
//
// The load pattern: long prompts of low rank arrive among short ones of high rank, faster
// than they are read, as when all callers come back together. An engine reads what is of
// the first rank first, so what stands behind a request is not in front of it. Counted
// together, urgent requests were refused as they would be late: 500 in the 2 s after a loss
// of power of all, when those that were sent had their first event within 0.2 s.
type Queue [Ranks]int

// QueueOf is the queue of requests of one rank.
func QueueOf(rank, tokens int) Queue {
	var q Queue
	q[clampRank(rank)] = tokens
	return q
}

// Ahead is what an engine reads before, or together with, a request of a rank.
func (q *Queue) Ahead(rank int) int {
	sum := 0
	for _, tokens := range q[:clampRank(rank)+1] {
		sum += tokens
	}
	return sum
}

// ByRank lists the tokens of each rank, without the ranks of nothing at the end.
func (q *Queue) ByRank() []int {
	last := Ranks
	for last > 0 && q[last-1] == 0 {
		last--
	}
	return q[:last]
}

func clampRank(rank int) int { return min(max(0, rank), Ranks-1) }

// add counts more in.
func (l *Load) add(more Load) {
	l.Running += more.Running
	l.PrefillMillis += more.PrefillMillis
	for rank, tokens := range more.PendingPrefill {
		l.PendingPrefill[rank] += tokens
	}
}

// subtract takes a part out.
func (l *Load) subtract(part Load) {
	l.Running -= part.Running
	l.PrefillMillis -= part.PrefillMillis
	for rank, tokens := range part.PendingPrefill {
		l.PendingPrefill[rank] -= tokens
	}
}

// load is what is under way at the target as far as is known.
func (t *target) load() Load {
	sum := t.own
	sum.add(t.others)
	return sum
}
