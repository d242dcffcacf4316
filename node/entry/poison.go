package entry

import (
	"context"
	"crypto/sha256"
	"maps"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/gullhaven/gullhaven/coord/suspect"
	"github.com/gullhaven/gullhaven/pipeline/exchange"
)

// poisonRequests tracks the requests that crash each target that runs them, over all instances.
//
// A request under which a target broke off its answer is a suspect of that target's crash; a suspect
// of two crashes is refused, except for single trials that come ever later. A request that finishes
// is cleared. Requests are identified by a digest of what is the same in each retry of their caller.
// Unlike in the instances of bundles, suspects do not run alone here: innocent ones would have to
// wait, and only one more target is lost.
type poisonRequests struct {
	log *zap.Logger
	// reserve asks the instance that owns the trials for one of a request.
	reserve func(ctx context.Context, d suspect.Digest) bool
	// release tells it that the trial has ended, and with which entries.
	release func(d suspect.Digest, entries []suspect.Entry)

	mu    sync.Mutex
	table *suspect.Table
	// trials are the digests whose trial runs at this instance, and when it was admitted.
	trials map[suspect.Digest]time.Time
	// pending are entries that were not reported yet.
	pending []suspect.Entry
	// crashes gets a value after a crash, whose entries must reach the other instances soon.
	crashes chan struct{}
}

const (
	// poisonTTL is how long a request is refused that its caller does not send any more: callers
	// return within seconds or minutes, and each refusal renews it.
	poisonTTL = 10 * time.Minute
	// trialAfter is when a refused request has its first trial: other instances and regions have
	// heard of both crashes by then, and an innocent caller is not turned away for long.
	trialAfter = 5 * time.Second
)

// maxPending bounds the entries that wait for the next report; the oldest are dropped.
const maxPending = 2048

func newPoisonRequests(log *zap.Logger) *poisonRequests {
	cfg := suspect.DefaultConfig()
	cfg.Lifetime, cfg.TrialAfter, cfg.MaxTrials = poisonTTL, trialAfter, 1
	return &poisonRequests{
		log: log, table: suspect.New(cfg), trials: map[suspect.Digest]time.Time{}, crashes: make(chan struct{}, 1),
		reserve: func(context.Context, suspect.Digest) bool { return false },
		release: func(suspect.Digest, []suspect.Entry) {},
	}
}

func digestOf(c exchange.Content) suspect.Digest {
	h := sha256.New()
	for _, part := range []string{c.Method, c.Host, c.Target} {
		// None of them can contain the separator.
		_, _ = h.Write(append([]byte(part), '\n'))
	}
	_, _ = h.Write(c.Caller[:])
	_, _ = h.Write(c.Body)
	return suspect.Digest(h.Sum(nil)[:len(suspect.Digest{})])
}

// Admit implements exchange.PoisonRequests.
func (p *poisonRequests) Admit(ctx context.Context, c exchange.Content, forwarded bool) (refusedFor time.Duration, ok bool) {
	d, decision, left := p.decide(c)
	switch {
	case decision != suspect.Trial:
		return left, decision != suspect.Refuse
	case forwarded:
		// The other instance has the reservation.
		return 0, true
	case p.reserve(ctx, d):
		p.mu.Lock()
		defer p.mu.Unlock()
		p.trials[d] = time.Now()
		p.log.Info("a request that has crashed targets has a trial", zap.String("host", c.Host), zap.String("method", c.Method))
		return 0, true
	}
	return left, false
}

func (p *poisonRequests) decide(c exchange.Content) (d suspect.Digest, decision suspect.Decision, refusedFor time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.table.Len() == 0 {
		return d, suspect.Run, 0
	}
	now := time.Now()
	d = digestOf(c)
	if decision = p.table.Decide(now, d); decision == suspect.Refuse || decision == suspect.Trial {
		p.add(p.table.Renew(now, d))
	}
	return d, decision, p.table.RefusedFor(now, d)
}

// MayRetry implements exchange.PoisonRequests.
func (p *poisonRequests) MayRetry(c exchange.Content) bool {
	_, decision, _ := p.decide(c)
	return decision != suspect.Refuse && decision != suspect.Trial
}

// ReportCrash implements exchange.PoisonRequests.
func (p *poisonRequests) ReportCrash(c exchange.Content, target string, sentAt time.Time) {
	now, d := time.Now(), digestOf(c)
	// A target may return under its ID at once.
	crash := suspect.Crash{Target: target, Incarnation: uint64(now.UnixNano())}
	refusedFor := p.record(d, func() []suspect.Entry { return p.table.ReportCrash(now, d, crash, sentAt) })
	select {
	case p.crashes <- struct{}{}:
	default:
	}
	if refusedFor > 0 {
		p.log.Warn("a request has crashed several targets and is refused from now on", zap.String("host", c.Host),
			zap.String("method", c.Method), zap.String("last", target), zap.Duration("until_trial", refusedFor))
	}
}

// ReportFinished implements exchange.PoisonRequests.
func (p *poisonRequests) ReportFinished(c exchange.Content) {
	d := digestOf(c)
	p.record(d, func() []suspect.Entry { return p.table.Finished(time.Now(), d) })
}

// ReportNotRun implements exchange.PoisonRequests. A trial that has not run shows nothing, and must not
// keep others waiting.
func (p *poisonRequests) ReportNotRun(c exchange.Content) {
	p.mu.Lock()
	idle := len(p.trials) == 0
	p.mu.Unlock()
	if !idle {
		p.record(digestOf(c), func() []suspect.Entry { return nil })
	}
}

// record has change change the table, ends the trial of the request, if there is one, and returns for
// how long the request is refused now.
func (p *poisonRequests) record(d suspect.Digest, change func() []suspect.Entry) (refusedFor time.Duration) {
	p.mu.Lock()
	entries := change()
	p.add(entries)
	_, trial := p.trials[d]
	delete(p.trials, d)
	refusedFor = p.table.RefusedFor(time.Now(), d)
	p.mu.Unlock()
	if trial {
		p.release(d, entries)
	}
	return refusedFor
}

func (p *poisonRequests) add(entries []suspect.Entry) {
	p.pending = append(p.pending, entries...)
	if over := len(p.pending) - maxPending; over > 0 {
		p.pending = p.pending[over:]
	}
}

// takePending returns and removes the entries that were not reported yet. It also expires old
// entries of the table.
func (p *poisonRequests) takePending() []suspect.Entry {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.table.Expire(now)
	maps.DeleteFunc(p.trials, func(_ suspect.Digest, at time.Time) bool { return now.Sub(at) > maxTrialTime })
	entries := p.pending
	p.pending = nil
	return entries
}

// pendingEntries returns the entries that were not reported yet, and keeps them for the next report.
func (p *poisonRequests) pendingEntries() []suspect.Entry {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.pending)
}

// reportAll reports all entries again, as a core instance has started without them.
func (p *poisonRequests) reportAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.add(p.table.Entries())
}

// restorePending returns entries whose report failed.
func (p *poisonRequests) restorePending(entries []suspect.Entry) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.add(entries)
}

// merge merges the entries that other instances reported.
func (p *poisonRequests) merge(entries []suspect.Entry) {
	if len(entries) == 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	// Entries that follow from them are reported: an innocent request is cleared where it has
	// finished.
	received := make(map[suspect.Entry]bool, len(entries))
	for _, e := range entries {
		received[e] = true
	}
	derived := p.table.Merge(time.Now(), entries)
	p.add(slices.DeleteFunc(derived, func(e suspect.Entry) bool { return received[e] }))
}

// grantTrial reserves a trial as the owner of all trials.
func (p *poisonRequests) grantTrial(d suspect.Digest) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	return p.table.Reserve(now, d, now.Add(maxTrialTime))
}

// endReservation ends a reservation of grantTrial, with what the trial has shown.
func (p *poisonRequests) endReservation(d suspect.Digest, entries []suspect.Entry) {
	p.merge(entries)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.table.Release(d)
}
