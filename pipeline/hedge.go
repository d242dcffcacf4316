package pipeline

import (
	"context"
	"time"

	"github.com/gullhaven/gullhaven/coord/verdict"
	"github.com/gullhaven/gullhaven/ports"
	"github.com/gullhaven/gullhaven/route"
)

// hedging races two attempts of idempotent work for the first chunk.
type hedging struct {
	f       *Attempts
	x       *Exchange
	results chan opened
	cancels map[*attempt]context.CancelFunc
}

// openHedged sends, and sends once more to another target if no first chunk has
// come when the decision said so. The first chunk wins. The other attempt is
// cancelled, and its answer, if it still comes, is dropped and counted.
func (f *Attempts) openHedged(x *Exchange, a *attempt) opened {
	h := &hedging{f: f, x: x, results: make(chan opened, 2), cancels: map[*attempt]context.CancelFunc{}}
	h.launch(a)
	t := time.NewTimer(a.decision.HedgeAt.Sub(f.deps.Now()))
	defer t.Stop()
	select {
	case o := <-h.results:
		return o
	case <-t.C:
		h.second(a)
	}
	won := h.race()
	h.drop(won.attempt)
	return won
}

// launch opens an attempt in a goroutine of its own, which ends with its
// context at the latest.
func (h *hedging) launch(a *attempt) {
	ctx, cancel := context.WithCancel(h.x.Ctx)
	h.cancels[a] = cancel
	m := completionOf(h.x, a)
	go func() { h.results <- h.f.open(ctx, m, a) }()
}

// second starts the hedge, if budget and routing allow it.
func (h *hedging) second(a *attempt) {
	f := h.f
	b := f.newAttempt(a.query)
	b.decision = f.routing.Decide(b.route, a.query)
	if b.decision.Action != route.Send {
		return
	}
	if f.mayStart(h.x, b) != nil || !f.budgets.hedge(h.x, b.decision.Finish) {
		f.routing.Ended(route.End{Attempt: b.route, Outcome: route.Unreached, CachedTokens: -1})
		return
	}
	a.query.Tried = append(a.query.Tried, b.decision.Target)
	f.deps.Metrics.Hedges.Inc(1)
	f.start(h.x, b)
	// Whichever attempt is given up later may have run.
	h.x.raise(verdict.MayHaveRun)
	h.launch(b)
}

// race returns the first success, or the last failure. It ends the attempt that
// failed before.
func (h *hedging) race() opened {
	for {
		o := <-h.results
		if o.err == nil || len(h.cancels) == 1 {
			return o
		}
		h.f.end(h.x, o.attempt, o.err)
		h.cancels[o.attempt]()
		delete(h.cancels, o.attempt)
	}
}

// drop cancels the attempt that is still under way besides the winner. Its
// answer or failure is awaited apart from the request.
func (h *hedging) drop(won *attempt) {
	f := h.f
	for loser, cancel := range h.cancels {
		if loser == won {
			continue
		}
		cancel()
		f.routing.Ended(route.End{Attempt: loser.route, Outcome: route.Cancelled, CachedTokens: -1})
		f.left(h.x, loser, ports.AttemptOther)
		go h.discard()
	}
}

func (h *hedging) discard() {
	o := <-h.results
	if o.err == nil {
		h.f.deps.Metrics.LateAnswers.Inc(1)
		h.f.closeStream(o.stream)
	}
}
