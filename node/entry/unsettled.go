package entry

import (
	"net"
	"time"

	"go.uber.org/zap"

	"github.com/gullhaven/gullhaven/coord/suspect"
	"github.com/gullhaven/gullhaven/node/feed"
	"github.com/gullhaven/gullhaven/pipeline/exchange"
)

const (
	// crashWindow is how long before a crash that this instance finds itself an attempt may have ended
	// because of it, and toldCrashWindow before one that another instance tells.
	crashWindow, toldCrashWindow = time.Second, 3 * time.Second
	// maxProbes bounds the probes under way.
	maxProbes = 4
)

// ReportUnsettled implements exchange.PoisonRequests. The target of a suspect is probed, so that the end
// tells something.
func (p *poisonRequests) ReportUnsettled(c exchange.Content, s exchange.Sending, whole bool) {
	digests := digestsOf(c)
	p.mu.Lock()
	defer p.mu.Unlock()
	now, trials := time.Now(), p.trials[digests[0]].digests
	e := suspect.End{Sent: suspect.Sent{Digests: digests, Trials: trials, SentAt: s.SentAt}, Crash: p.crashOf(now, s), At: now, Whole: whole}
	switch crashed := p.unsettled.Add(e); {
	case crashed:
		p.suspectEnds(now, []suspect.End{e})
	case whole && p.table.Suspects(digests...) && p.probes < maxProbes:
		p.probes++
		time.AfterFunc(suspect.ProbeAfter, func() {
			p.probe(s.Target)
			p.mu.Lock()
			defer p.mu.Unlock()
			p.probes--
		})
	}
}

// ReportAlive implements exchange.PoisonRequests.
func (p *poisonRequests) ReportAlive(target string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unsettled.Alive(time.Now(), target)
}

// ReportUnreachable implements exchange.PoisonRequests.
func (p *poisonRequests) ReportUnreachable(target string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.suspectEnds(time.Now(), p.unsettled.Gone(target))
}

// suspectEnds records a crash under attempts whose ends were unsettled.
func (p *poisonRequests) suspectEnds(now time.Time, ends []suspect.End) {
	for _, e := range ends {
		p.log.Info("an attempt ended with its target", zap.String("target", e.Crash.Target), zap.Bool("whole", e.Whole), zap.Stringers("digests", e.Digests))
		p.add(p.table.ReportCrash(now, e.Crash, e.Sent))
	}
	if len(ends) > 0 {
		p.publishSoon()
	}
}

// suspectToldCrashes records the crashes that other instances tell under attempts that ended here shortly
// before.
func (p *poisonRequests) suspectToldCrashes(now time.Time, entries []suspect.Entry) {
	for _, e := range entries {
		if e.Status == suspect.Suspected {
			p.suspectEnds(now, p.unsettled.Crashed(now, toldCrashWindow, e.Crash.Target))
		}
	}
}

// settle clears the requests whose answers were whole, as their targets live on.
func (p *poisonRequests) settle(now time.Time) {
	for _, e := range p.unsettled.Settle(now) {
		p.add(p.table.Finished(now, e.Digests...))
	}
}

// targetsListed takes a new list of targets: one that has started again, or is gone without having
// drained, has crashed.
func (p *poisonRequests) targetsListed(before, now []feed.Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	unsettled := p.unsettled.Targets()
	if len(unsettled) == 0 {
		return
	}
	old, listed := byID(before), byID(now)
	for _, id := range unsettled {
		was, known := old[id]
		is, ok := listed[id]
		if known && !was.Draining && (!ok || is.StartMillis != was.StartMillis) {
			p.suspectEnds(time.Now(), p.unsettled.Gone(id))
		}
	}
}

// probeTimeout bounds a probe: a target accepts connections within milliseconds, or has crashed.
const probeTimeout = 300 * time.Millisecond

// probeTarget connects to a listed target of this instance's region and reports whether it lives. It sends
// no request, which would count as load.
func (i *Instance) probeTarget(id string) {
	i.mu.Lock()
	t := byID(i.known.list.Targets)[id]
	i.mu.Unlock()
	if t == nil {
		return
	}
	c, err := net.DialTimeout("tcp", t.Address, probeTimeout)
	if err != nil {
		i.poisonRequests.ReportUnreachable(id)
		return
	}
	_ = c.Close()
	i.poisonRequests.ReportAlive(id)
}

func byID(targets []feed.Target) map[string]*feed.Target {
	out := make(map[string]*feed.Target, len(targets))
	for n := range targets {
		out[targets[n].ID] = &targets[n]
	}
	return out
}
