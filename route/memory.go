package route

// minMeanKVUse is the mean KV cache share below which the memory size is not
// estimated.
const minMeanKVUse = 0.02

// memory is what is learned about the KV cache memory of a service's targets. A
// long request can wait for memory while slots are free and block the requests
// queued behind it; their first tokens then come seconds after the queue of
// prompt tokens is empty.
type memory struct {
	// used, running, ownTokens and own are means over reports: memory share in
	// use, running requests, prompt and output tokens of own attempts at the
	// target, and the number of those attempts.
	used, running, ownTokens, own float64
	// tokenSeconds / tokens is the mean time that a token stays in memory, in
	// seconds.
	tokenSeconds, tokens float64
}

// observeReport records a report of a target with own attempts of ownTokens
// tokens in flight. Reports of idle targets are ignored: they say nothing about
// the memory per request and would lower the mean number of running requests.
func (m *memory) observeReport(rep *Report, own int, ownTokens float64) {
	if rep.Running == 0 {
		return
	}
	m.used += meanWeight * (rep.KVUsed - m.used)
	m.running += meanWeight * (float64(rep.Running) - m.running)
	m.own += meanWeight * (float64(own) - m.own)
	m.ownTokens += meanWeight * (ownTokens - m.ownTokens)
}

// observeHold records that a request with the given number of tokens held
// memory for the given time in seconds.
func (m *memory) observeHold(tokens, seconds float64) {
	m.tokenSeconds += meanWeight * (tokens*seconds - m.tokenSeconds)
	m.tokens += meanWeight * (tokens - m.tokens)
}

// perToken returns the share of a target's memory that one token takes, or 0 if
// unknown.
func (m *memory) perToken() float64 {
	if m.used < minMeanKVUse || m.ownTokens <= 0 || m.running <= 0 {
		return 0
	}
	mean := m.ownTokens / m.own
	return m.used / (m.running * mean)
}

// perRequest returns the share of a target's memory that an average running
// request takes, or 0 if unknown.
func (m *memory) perRequest() float64 {
	if m.running <= 0 {
		return 0
	}
	return m.used / m.running
}

// holdTime returns the mean time in seconds that a token holds memory, or 0 if
// unknown.
func (m *memory) holdTime() float64 {
	if m.tokens <= 0 {
		return 0
	}
	return m.tokenSeconds / m.tokens
}
