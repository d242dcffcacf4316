package pick

// The load pattern: long prompts come for some seconds faster than their answers end.
//
// What goes wrong without this score: an engine is given long prompts because it reads
// them soon, until what runs there needs more memory than it has. It then takes the
// newest of the least urgent answers out in the middle and reads their prompts anew:
// their callers see a pause, and the reading delays all others there.

const (
	// memoryFull is the share of an engine's memory beyond which more requests cost: kept
	// prompt parts need some, and answers may be longer than expected.
	memoryFull = 0.9
	// memoryCost is the cost in milliseconds of needing a whole memory more than there is.
	// A prompt of 12,000 tokens at a full engine of 460,000 costs 260 ms, as much as
	// reading it once more.
	memoryCost = 10000.0
	// usualAnswer is the share of the longest answer that one has as a rule.
	usualAnswer = 0.35
)

// answer is the length in tokens that the answer is expected to have. Callers' own
// estimates, which are often far off, made choices worse (11 paired days: 0.006 +- 0.002).
func (c *Call) answer() int {
	return int(usualAnswer * float64(c.OutputTokens))
}

// held is the memory in tokens that the request takes in the end.
func (c *Call) held() int { return c.PromptTokens + c.answer() }

// crowded is the cost of a call at a target of whose memory so many tokens are held.
func crowded(c *Call, held, memory float64) float64 {
	if memory <= 0 {
		return 0
	}
	over := held + float64(c.held()) - memoryFull*memory
	return memoryCost * max(0, over) / memory
}
