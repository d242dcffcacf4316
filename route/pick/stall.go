package pick

// The load pattern: long prompts come one after another to an engine where many answers run.
// It reads a part of a prompt in each step then, a step takes ten times as long, and the
// next event of every answer comes that much later: once reading has gone on for as long as
// a route lets events pause, all that run there are late.
//
// Gain: fewer long answers are late for a pause, most where an event holds many tokens.

const (
	// stallCost is the cost of one running answer that is late, in milliseconds of waiting:
	// less than a failed one (failCost), as not every answer that runs has an event in the
	// making, and some have paused before.
	stallCost = 60.0
	// stallFrom is the part of the longest pause from which on reading in a row counts: the
	// estimate is of the mean, and some prompts take longer.
	stallFrom = 0.7
)

// stall is what the call costs the answers that run at a target, in milliseconds, as
// reading in a row becomes too long for their events: whatever rank it has, all that waits
// is read in a row.
func (w *weighing) stall(t *target, e *estimate) float64 {
	aim := float64(w.rules.GapAim.Milliseconds())
	if aim <= 0 {
		return 0
	}
	inRow := t.slowness * w.pace.until(float64(e.load.PendingPrefill.Ahead(Ranks-1)+e.unread))
	late := (inRow/aim - stallFrom) / (1 - stallFrom)
	return stallCost * float64(e.load.Running) * min(1, max(0, late))
}
