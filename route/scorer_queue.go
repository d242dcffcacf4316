package route

// queueScorer scores the predicted time to first token with a cold cache: the
// prompt tokens in front and the own ones at the learned prefill rate, or the
// wait for a slot if that is longer,
// and the time for which a target has stalled, as it may go on as long. Range 0 and up, in seconds; lower is
// better. It also sets the predicted first token and finish.
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

// slotWait predicts the wait for a free slot in seconds, where each slot is
// kept for hold seconds.
func slotWait(c *Candidate, hold float64) float64 {
	if c.InFlight < c.Slots {
		return 0
	}
	return ((c.InFlight-c.Slots)*c.AheadShare + 1) * hold / c.Slots
}
