package route

// queueScorer adds the predicted time to first token with a cold cache, in
// seconds: prefill of the queued and the request's own prompt tokens at the
// learned rate, or the wait for a slot if that is longer, plus the time for
// which the target has stalled, as the stall may last as long again. It also
// sets Wait, FirstToken and Finish.
type queueScorer struct{}

func (queueScorer) Score(s *Snapshot, in []Candidate) {
	q := s.Request
	for i := range in {
		c := &in[i]
		if !s.Model || c.PrefillTime == 0 {
			c.Wait = slotWait(c, c.PlainTime) + c.StalledFor
			c.FirstToken = c.Wait + c.PlainTime
			c.Finish = c.FirstToken
			c.Score += c.FirstToken
			continue
		}
		c.Wait = max(c.PendingTokens*c.PrefillTime, slotWait(c, s.HoldTime)) * s.WaitFactor
		c.Wait += c.StalledFor
		c.FirstToken = c.Wait + float64(q.PromptTokens)*c.PrefillTime
		c.Finish = c.FirstToken + float64(q.OutputTokens)*c.TokenTime
		c.Score += c.FirstToken
	}
}

// slotWait returns the predicted wait for a free slot in seconds if each
// request holds its slot for hold seconds.
func slotWait(c *Candidate, hold float64) float64 {
	if c.InFlight < c.Slots {
		return 0
	}
	return ((c.InFlight-c.Slots)*c.AheadShare + 1) * hold / c.Slots
}
