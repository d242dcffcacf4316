package pick

// When long prompts arrive one after another at an engine that runs many answers, each step
// includes part of a prefill and takes ten times as long. The next event of every running answer is
// late by that much: once the prefill lasts as long as a route allows events to pause, all of them
// are late. Counting this cost reduces late long answers, most where an event holds many tokens.

const (
	// stallCostMillis is the cost of one running answer that is late, in milliseconds of waiting:
	// less than a failed answer (failCostMillis), as not every running answer has an event in
	// progress, and some have paused before.
	stallCostMillis = 60.0
	// stallThreshold is the share of the longest allowed pause from which continuous prefill
	// counts: the estimate is a mean, and some prompts take longer.
	stallThreshold = 0.7
)

// stallCost is what the call costs the answers running at a target, in milliseconds, as continuous
// prefill delays their events too long. Prefill of all ranks counts, as all waiting prompts are
// prefilled without a break.
func (w *scorer) stallCost(t *target, e *estimate) float64 {
	aim := float64(w.rules.GapAim.Milliseconds())
	if aim <= 0 {
		return 0
	}
	prefillMillis := t.slowness * w.prefillTime.firstEventMillis(float64(e.load.PendingPrefill.Ahead(Ranks-1)+e.prefillTokens))
	late := (prefillMillis/aim - stallThreshold) / (1 - stallThreshold)
	return stallCostMillis * float64(e.load.Running) * min(1, max(0, late))
}
