package route

// memoryEnough is the mean KV use from which the size of the memory is judged.
const memoryEnough = 0.02

// memory is what is learned of the KV cache memory of a service's targets. A
// long request waits for memory while slots are free, and what stands behind it
// waits as well; one notices first tokens that come seconds after the queue of
// prompt tokens was gone.
type memory struct {
	// used, running and ownTokens are means over reports: share in use, running
	// requests, tokens (prompt and answer) of own attempts at the target.
	used, running, ownTokens, own float64
	// weighted and tokens give the mean time that a token stays in memory, in
	// seconds: their quotient.
	weighted, tokens float64
}

// sawReport takes a report of a target at which this instance has own attempts
// of ownTokens tokens in flight. A report of an idle target says nothing of
// what a request takes, and would only drag the mean number of requests down.
func (m *memory) sawReport(rep *Report, own int, ownTokens float64) {
	if rep.Running == 0 {
		return
	}
	m.used += meanWeight * (rep.KVUsed - m.used)
	m.running += meanWeight * (float64(rep.Running) - m.running)
	m.own += meanWeight * (float64(own) - m.own)
	m.ownTokens += meanWeight * (ownTokens - m.ownTokens)
}

// sawHold takes the time in seconds that a request of so many tokens was held.
func (m *memory) sawHold(tokens, seconds float64) {
	m.weighted += meanWeight * (tokens*seconds - m.weighted)
	m.tokens += meanWeight * (tokens - m.tokens)
}

// perToken is the share of a target's memory that one token takes, 0 while
// nothing is known.
func (m *memory) perToken() float64 {
	if m.used < memoryEnough || m.ownTokens <= 0 || m.running <= 0 {
		return 0
	}
	mean := m.ownTokens / m.own
	return m.used / (m.running * mean)
}

// perRequest is the share of a target's memory that an average request in
// flight takes.
func (m *memory) perRequest() float64 {
	if m.running <= 0 {
		return 0
	}
	return m.used / m.running
}

// holdTime is the mean time in seconds that memory is held.
func (m *memory) holdTime() float64 {
	if m.tokens <= 0 {
		return 0
	}
	return m.weighted / m.tokens
}
