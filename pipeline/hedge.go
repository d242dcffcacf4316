package pipeline

import (
	"context"
	"time"

	"github.com/gullhaven/gullhaven/coord/verdict"
	"github.com/gullhaven/gullhaven/ports"
	"github.com/gullhaven/gullhaven/route"
)

// hedging runs two attempts of an idempotent request and takes the first chunk
// that comes.
type hedging struct {
	f       *Attempts
	x       *Exchange
	results chan openResult
	cancels map[*attempt]context.CancelFunc
}

// openHedged sends a request, and sends it to a second target if no first chunk
// has come by the decision's hedge time. The first chunk wins. The other attempt
// is cancelled, and its answer, if it still comes, is dropped and counted.
func (f *Attempts) openHedged(x *Exchange, a *attempt) openResult {
	h := &hedging{f: f, x: x, results: make(chan openResult, 2), cancels: map[*attempt]context.CancelFunc{}}
	h.launch(a)
	t := time.NewTimer(a.decision.HedgeAt.Sub(f.deps.Now()))
	defer t.Stop()
	select {
	case o := <-h.results:
		return o
	case <-t.C:
		h.launchHedge(a)
	}
	winner := h.race()
	h.cancelLoser(winner.attempt)
	return winner
}

// launch opens an attempt in a goroutine, which ends when its context does at
// the latest.
func (h *hedging) launch(a *attempt) {
	ctx, cancel := context.WithCancel(h.x.Ctx)
	h.cancels[a] = cancel
	m := completionOf(h.x, a)
	go func() { h.results <- h.f.open(ctx, m, a) }()
}

// launchHedge starts the second attempt, if budget and routing allow it.
func (h *hedging) launchHedge(a *attempt) {
	f := h.f
	b := f.newAttempt(a.query)
	f.decide(h.x, b)
	if b.decision.Action != route.Send {
		return
	}
	if f.mayStart(h.x, b) != nil || !f.budgets.hedge(h.x, b.decision.Finish) {
		f.routing.Ended(route.End{Attempt: b.route, Outcome: route.Unreached, CachedTokens: -1})
		return
	}
	h.x.tried = append(h.x.tried, b.decision.Target)
	f.deps.Metrics.Hedges.Inc(1)
	f.start(h.x, b)
	// The attempt that is cancelled later may have run.
	h.x.joinVerdict(verdict.MayHaveRun)
	h.launch(b)
}

// race returns the first success, or the last failure. It ends an attempt that
// failed before.
func (h *hedging) race() openResult {
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

// cancelLoser cancels the attempt that is still in flight besides the winner. A
// goroutine waits for its answer or failure.
func (h *hedging) cancelLoser(winner *attempt) {
	f := h.f
	for loser, cancel := range h.cancels {
		if loser == winner {
			continue
		}
		cancel()
		f.routing.Ended(route.End{Attempt: loser.route, Outcome: route.Cancelled, CachedTokens: -1})
		f.leftTarget(h.x, loser, ports.AttemptOther)
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
