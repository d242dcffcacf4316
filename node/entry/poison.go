package entry

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/gullhaven/gullhaven/coord/suspect"
	"github.com/gullhaven/gullhaven/pipeline/exchange"
)

// poisonRequests tracks what crashes each target that runs it, over all instances: a request as a whole,
// or a part of prompts.
//
// All requests under which a target broke off its answer are suspects of that target's crash, with their
// parts; a suspect of two crashes is refused, except for single trials that come ever later. A request
// that finishes is cleared with its parts. A request is identified by a digest of what is the same in each
// retry of its caller. Unlike in the instances of bundles, suspects do not run alone here: innocent ones
// would have to wait, and only one more target is lost.
type poisonRequests struct {
	log *zap.Logger
	// reserve asks the instance that owns the trials for one of a request's quarantined digests.
	reserve func(ctx context.Context, quarantined []suspect.Digest) bool
	// release tells it that the trial has ended, and with what.
	release func(e trialEnd)
	// probe finds out whether a target lives.
	probe func(target string)

	mu    sync.Mutex
	table *suspect.Table
	// trials are the requests whose trial runs at this instance, by the digest of the whole request.
	trials map[suspect.Digest]trial
	// crashed is the last crash found of each target.
	crashed map[string]foundCrash
	// unsettled are attempts whose end did not tell whether their target crashed.
	unsettled suspect.Unsettled
	// probes is the number of probes under way.
	probes  int
	pending pendingSuspects
	// crashes gets a value after a crash, whose entries must reach the other instances soon.
	crashes chan struct{}
}

// trial is a trial that runs at this instance.
type trial struct {
	digests    []suspect.Digest
	admittedAt time.Time
}

const (
	// poisonTTL is how long a request is refused that its caller does not send any more: callers
	// return within seconds or minutes, and each refusal renews it.
	poisonTTL = 10 * time.Minute
	// trialAfter is when a refused request has its first trial: other instances and regions have
	// heard of both crashes by then, and an innocent caller is not turned away for long.
	trialAfter = 5 * time.Second
	// maxFinished is the number of finished digests that are remembered: the parts of most requests
	// come again within as many.
	maxFinished = 8192
)

func newPoisonRequests(log *zap.Logger) *poisonRequests {
	cfg := suspect.DefaultConfig()
	cfg.Lifetime, cfg.TrialAfter, cfg.MaxTrials, cfg.MaxFinished = poisonTTL, trialAfter, 1, maxFinished
	return &poisonRequests{
		log: log, table: suspect.New(cfg), trials: map[suspect.Digest]trial{}, crashed: map[string]foundCrash{}, crashes: make(chan struct{}, 1),
		reserve: func(context.Context, []suspect.Digest) bool { return false },
		release: func(trialEnd) {},
		probe:   func(string) {},
	}
}

// Admit implements exchange.PoisonRequests.
func (p *poisonRequests) Admit(ctx context.Context, c exchange.Content, from exchange.Sender) exchange.Admission {
	digests, quarantined, decision, left := p.decide(c)
	refused := exchange.Admission{RefusedFor: left}
	switch {
	case len(quarantined) == 0:
		return exchange.Admission{Admitted: true}
	case from == exchange.FromPeer, from == exchange.FromCaller && decision != suspect.Trial:
		return refused
	case from == exchange.FromCaller && !p.reserve(ctx, quarantined):
		return refused
	}
	// If a peer has admitted it as a trial, that has the reservation.
	p.mu.Lock()
	defer p.mu.Unlock()
	p.trials[digests[0]] = trial{digests: quarantined, admittedAt: time.Now()}
	p.log.Info("a request that has crashed targets has a trial", zap.String("host", c.Host), zap.String("method", c.Method),
		zap.Stringers("digests", quarantined))
	return exchange.Admission{Admitted: true, Trial: true}
}

// decide returns the digests of a request, those that are quarantined, and for how long it is refused.
func (p *poisonRequests) decide(c exchange.Content) (digests, quarantined []suspect.Digest, decision suspect.Decision, refusedFor time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.table.Len() == 0 {
		return nil, nil, suspect.Run, 0
	}
	now := time.Now()
	digests = digestsOf(c)
	decision = p.table.Decide(now, digests...)
	if quarantined = p.table.Quarantined(digests...); len(quarantined) > 0 {
		p.add(p.table.Renew(now, quarantined...))
	}
	return digests, quarantined, decision, p.table.RefusedFor(now, digests...)
}

// MayRetry implements exchange.PoisonRequests.
func (p *poisonRequests) MayRetry(c exchange.Content) bool {
	_, quarantined, _, _ := p.decide(c)
	return len(quarantined) == 0
}

// ReportCrash implements exchange.PoisonRequests.
func (p *poisonRequests) ReportCrash(c exchange.Content, s exchange.Sending) {
	digests := digestsOf(c)
	refused := p.record(digests, func(now time.Time) []suspect.Entry {
		p.suspectEnds(now, p.unsettled.Crashed(now, crashWindow, s.Target))
		sent := suspect.Sent{Digests: digests, Trials: p.trials[digests[0]].digests, SentAt: s.SentAt}
		return p.table.ReportCrash(now, p.crashOf(now, s), sent)
	})
	p.publishSoon()
	if len(refused) > 0 {
		p.log.Warn("a request has crashed several targets and is refused from now on", zap.String("host", c.Host),
			zap.String("method", c.Method), zap.String("last", s.Target), zap.Stringers("digests", refused))
	}
}

// ReportFinished implements exchange.PoisonRequests.
func (p *poisonRequests) ReportFinished(c exchange.Content) {
	digests := digestsOf(c)
	p.record(digests, func(now time.Time) []suspect.Entry { return p.table.Finished(now, digests...) })
}

// ReportNotRun implements exchange.PoisonRequests. A trial that has not run shows nothing, and must not
// keep others waiting.
func (p *poisonRequests) ReportNotRun(c exchange.Content) {
	p.mu.Lock()
	idle := len(p.trials) == 0
	p.mu.Unlock()
	if !idle {
		p.endTrial(digestsOf(c)[0], trialEnd{NotRun: true})
	}
}

// record has change change the table, ends the trial of the request, if there is one, and returns those
// of its digests that are quarantined now.
func (p *poisonRequests) record(digests []suspect.Digest, change func(now time.Time) []suspect.Entry) (quarantined []suspect.Digest) {
	p.mu.Lock()
	entries := change(time.Now())
	p.add(entries)
	quarantined = p.table.Quarantined(digests...)
	p.mu.Unlock()
	p.endTrial(digests[0], trialEnd{Entries: entries})
	return quarantined
}

// endTrial ends the trial of a request, if it is one.
func (p *poisonRequests) endTrial(whole suspect.Digest, e trialEnd) {
	p.mu.Lock()
	t, ok := p.trials[whole]
	delete(p.trials, whole)
	p.mu.Unlock()
	if ok {
		e.Digest, e.Others = t.digests[0], t.digests[1:]
		p.release(e)
	}
}

// publishSoon has pending entries sent before the next report.
func (p *poisonRequests) publishSoon() {
	select {
	case p.crashes <- struct{}{}:
	default:
	}
}

func (p *poisonRequests) add(entries []suspect.Entry) { p.pending.add(entries) }

// takePending returns and removes the entries for the next report. It also expires old entries of the
// table.
func (p *poisonRequests) takePending() []suspect.Entry {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.settle(now)
	p.table.Expire(now)
	maps.DeleteFunc(p.trials, func(_ suspect.Digest, t trial) bool { return now.Sub(t.admittedAt) > maxTrialTime })
	maps.DeleteFunc(p.crashed, func(_ string, c foundCrash) bool { return now.Sub(c.at) > poisonTTL })
	return p.pending.take()
}

// count returns the number of entries, of those that were evicted since the start, and of those that wait for
// a report.
func (p *poisonRequests) count() (held, evicted, pending int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return int64(p.table.Len()), int64(p.table.Evicted()), int64(len(p.pending.entries))
}

// takeUnpublished returns the entries that are to be sent ahead of their report.
func (p *poisonRequests) takeUnpublished() []suspect.Entry {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pending.takeUnpublished()
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
	p.pending.restore(entries)
}

// mergeTold merges the entries that a core instance has told.
func (p *poisonRequests) mergeTold(entries []suspect.Entry) {
	p.merge(entries)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pending.removeTold(entries)
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
	now := time.Now()
	p.suspectToldCrashes(now, entries)
	derived := p.table.Merge(now, entries)
	p.add(slices.DeleteFunc(derived, func(e suspect.Entry) bool { return received[e] }))
}

// grantTrial reserves a trial as the owner of all trials.
func (p *poisonRequests) grantTrial(quarantined []suspect.Digest) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	return p.table.ReserveAll(now, quarantined, now.Add(maxTrialTime))
}

// endReservation ends a reservation of grantTrial, with what the trial has shown.
func (p *poisonRequests) endReservation(e trialEnd) {
	p.merge(e.Entries)
	p.mu.Lock()
	defer p.mu.Unlock()
	end := p.table.Release
	if e.NotRun {
		end = p.table.Withdraw
	}
	// One digest stands for all that were reserved together, unless the reservation has expired.
	end(e.Digest)
}
