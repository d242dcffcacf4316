package pick

// Ranks is the number of ranks distinguished, from 0; higher ranks count as the last one.
const Ranks = 10

// Queue is the number of tokens waiting at a target, by the rank of their requests.
//
// An engine prefills lower rank numbers first, so what is ranked behind a request does not delay
// it. This matters when long prompts of late rank arrive among short ones of early rank faster than
// they are prefilled, as when all callers reconnect together. Counted as one sum, urgent requests
// were refused as late: 500 in the 2 s after a power loss of all instances, when those that were
// sent had their first event within 0.2 s.
type Queue [Ranks]int

// QueueOf returns a queue with the given tokens at one rank.
func QueueOf(rank, tokens int) Queue {
	var q Queue
	q[clampRank(rank)] = tokens
	return q
}

// Ahead returns the tokens that an engine prefills before, or together with, a request of the rank.
func (q *Queue) Ahead(rank int) int {
	sum := 0
	for _, tokens := range q[:clampRank(rank)+1] {
		sum += tokens
	}
	return sum
}

// ByRank returns the tokens of each rank, without trailing zeros. The result shares the queue's
// memory.
func (q *Queue) ByRank() []int {
	last := Ranks
	for last > 0 && q[last-1] == 0 {
		last--
	}
	return q[:last]
}

func clampRank(rank int) int { return min(max(0, rank), Ranks-1) }

func (l *Load) add(more Load) {
	l.Running += more.Running
	l.PrefillMillis += more.PrefillMillis
	for rank, tokens := range more.PendingPrefill {
		l.PendingPrefill[rank] += tokens
	}
}

func (l *Load) subtract(part Load) {
	l.Running -= part.Running
	l.PrefillMillis -= part.PrefillMillis
	for rank, tokens := range part.PendingPrefill {
		l.PendingPrefill[rank] -= tokens
	}
}

// load is the known work in flight at the target, of this instance and others.
func (t *target) load() Load {
	sum := t.own
	sum.add(t.others)
	return sum
}
