package suspect

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// Sizes of the site of a crowd, and its times.
const (
	crowdInstances  = 9
	crowdTargets    = 12
	crowdSlots      = 8
	crowdTick       = 50 * time.Millisecond
	crowdSpread     = 600 * time.Millisecond
	crowdDown       = 3 * time.Second
	crowdCrashAfter = 100 * time.Millisecond
	crowdSeeds      = 8
	// crowdProbes bounds the probes under way.
	crowdProbes = 4 * crowdInstances
	// crowdUntil is until when requests with deadly parts come, crowdEnd when all requests end.
	crowdUntil, crowdEnd = 60 * time.Second, 70 * time.Second
)

// crowdShape is what a crowd of requests is like.
type crowdShape struct {
	// perTick is the mean number of new requests per tick; share of them hold one of deadly parts.
	perTick, share float64
	deadly         int
	// spontaneous is the mean number of crashes without a cause per target and second.
	spontaneous float64
	// firstIsDeadly has the deadly parts stand first.
	firstIsDeadly bool
	// turns has three subjects that finished before become deadly at 30 s.
	turns bool
	// unframed is the share of answers that end with their connection, cleanly also if their target
	// crashes.
	unframed float64
	// leave is the share of deadly requests whose callers leave 50 ms before the target crashes.
	leave float64
	// cut is for how long from 10 s on the first instances hear nothing of the others.
	cut time.Duration
	// restarts is the mean number of restarts per instance and second.
	restarts float64
}

// crowd is a site whose callers send unlike requests of three parts: a first one that many share, one of
// its subject, and its own.
type crowd struct {
	crowdShape
	now, began time.Time
	rng        *rand.Rand
	tables     []*Table
	unsettled  [crowdInstances]Unsettled
	trialOwner int
	targets    [crowdTargets]crowdTarget
	waiting    []crowdRetry
	inTransit  []transit
	probes     []crowdProbe
	parts      []crowdPart
	next       int
	// identify returns the digests by which a request is suspected.
	identify func(r *crowdRequest) []Digest
	// before and after count first attempts of sound requests, and those that began: before deadly parts
	// come, and from twice contact on after the fifth crash of one, or the last if there are fewer.
	before, after [2]int
	// sound counts the sendings of sound requests while deadly parts come, and those that were refused as
	// suspects.
	sound [2]int
}

type crowdPart struct {
	crashes, late int
	fifthAt       time.Time
	lastAt        time.Time
}

type crowdTarget struct {
	downUntil   time.Time
	incarnation uint64
	runs        []*crowdRun
}

type crowdRequest struct {
	id, first, subject int
	// deadly is the index of its deadly part; -1 for a sound one.
	deadly int
	// known says that the deadly part is its subject.
	known bool
	tries int
}

// crowdProbe is a probe of the target of an unsettled trial.
type crowdProbe struct {
	instance, target int
	at               time.Time
}

type crowdRetry struct {
	r  *crowdRequest
	at time.Time
}

type crowdRun struct {
	r        *crowdRequest
	instance int
	sent     Sent
	// begins is when it begins to answer; zero while it waits. work is how long it takes.
	begins time.Time
	work   time.Duration
	// unframed and left say that its answer is unframed and that its caller leaves early.
	unframed, left bool
}

func newCrowd(seed uint64, shape crowdShape) *crowd {
	c := &crowd{crowdShape: shape, now: start, began: start, rng: rand.New(rand.NewPCG(seed, 2)), identify: partsOf, parts: make([]crowdPart, shape.deadly)}
	for range crowdInstances {
		c.tables = append(c.tables, New(crowdConfig()))
	}
	return c
}

func crowdConfig() Config {
	cfg := DefaultConfig()
	cfg.Lifetime, cfg.TrialAfter, cfg.MaxTrials = 10*time.Minute, 5*time.Second, 1
	return cfg
}

// Kinds of digests.
const (
	digestWhole = iota + 1
	digestFirst
	digestSubject
	digestDeadly
)

func wholeOf(r *crowdRequest) []Digest {
	return []Digest{{digestWhole, byte(r.id), byte(r.id >> 8), byte(r.id >> 16)}}
}

// partsOf returns the digests of the request as a whole and of all its parts but the last.
func partsOf(r *crowdRequest) []Digest {
	out := append(wholeOf(r), Digest{digestSubject, byte(r.subject)})
	if r.first >= 0 {
		out = append(out, Digest{digestFirst, byte(r.first)})
	}
	if r.deadly >= 0 && !r.known {
		out = append(out, Digest{digestDeadly, byte(r.deadly)})
	}
	return out
}

func (c *crowd) elapsed() time.Duration { return c.now.Sub(c.began) }

// cutOff reports whether an instance hears nothing of the others and is not heard.
func (c *crowd) cutOff(instance int) bool {
	return instance < 2 && c.elapsed() >= 10*time.Second && c.elapsed() < 10*time.Second+c.cut
}

func (c *crowd) publish(from int, entries []Entry) {
	if len(entries) > 0 && !c.cutOff(from) {
		c.inTransit = append(c.inTransit, transit{entries, c.now.Add(crowdSpread)})
	}
}

func (c *crowd) deliver() {
	due := c.inTransit
	c.inTransit = nil
	for _, m := range due {
		if m.at.After(c.now) {
			c.inTransit = append(c.inTransit, m)
			continue
		}
		for i, t := range c.tables {
			if !c.cutOff(i) {
				for _, e := range m.entries {
					if e.Status == Suspected {
						c.suspectEnds(i, c.unsettled[i].Crashed(c.now, 3*time.Second, e.Crash.Target))
					}
				}
				c.publish(i, subtract(t.Merge(c.now, m.entries), m.entries))
			}
		}
	}
	if c.elapsed() == 10*time.Second+c.cut {
		// The cut ends, and the two sides exchange all.
		for _, t := range c.tables {
			c.publish(crowdInstances-1, t.Entries())
		}
	}
}

// subtract returns those entries that are not among others.
func subtract(entries, others []Entry) []Entry {
	known := map[Entry]bool{}
	for _, e := range others {
		known[e] = true
	}
	var out []Entry
	for _, e := range entries {
		if !known[e] {
			out = append(out, e)
		}
	}
	return out
}

func (c *crowd) step() {
	c.now = c.now.Add(crowdTick)
	c.deliver()
	c.probe()
	c.restartSome()
	for n := c.perTick; n > c.rng.Float64(); n-- {
		c.send(c.draw())
	}
	due := c.waiting
	c.waiting = nil
	for _, w := range due {
		if w.at.After(c.now) {
			c.waiting = append(c.waiting, w)
		} else {
			c.send(w.r)
		}
	}
	for n := range c.targets {
		c.advance(n)
		if t := &c.targets[n]; t.downUntil.Equal(c.now) {
			// The list shows that it has started again.
			for i := range c.unsettled {
				c.suspectEnds(i, c.unsettled[i].Gone(fmt.Sprint(n)))
			}
		}
	}
}

// restartSome restarts instances, which get all entries from the others at once.
func (c *crowd) restartSome() {
	for i := range c.tables {
		if c.rng.Float64() < c.restarts*crowdTick.Seconds() {
			entries := c.tables[(i+1)%crowdInstances].Entries()
			c.tables[i] = New(crowdConfig())
			c.tables[i].Merge(c.now, entries)
		}
	}
}

func (c *crowd) draw() *crowdRequest {
	c.next++
	// Subjects are skewed: some are asked for often, most hardly ever.
	r := &crowdRequest{id: c.next, first: c.rng.IntN(4), subject: int(100 * c.rng.Float64() * c.rng.Float64()), deadly: -1}
	if c.turns {
		if r.subject < c.deadly && c.elapsed() >= 30*time.Second && c.elapsed() < crowdUntil {
			r.deadly, r.known = r.subject, true
		}
		return r
	}
	if c.elapsed() >= 5*time.Second && c.elapsed() < crowdUntil && c.rng.Float64() < c.share {
		r.deadly = c.rng.IntN(c.deadly)
		if c.firstIsDeadly {
			r.first = -1
		}
	}
	return r
}

func (c *crowd) send(r *crowdRequest) {
	r.tries++
	instance := c.rng.IntN(crowdInstances)
	digests := c.identify(r)
	ok, trials := c.allowed(instance, digests)
	if r.deadly < 0 && c.elapsed() >= 5*time.Second && c.elapsed() < crowdUntil {
		count(&c.sound, !ok)
	}
	target := c.rng.IntN(crowdTargets)
	t := &c.targets[target]
	if t.downUntil.After(c.now) {
		c.suspectEnds(instance, c.unsettled[instance].Gone(fmt.Sprint(target)))
	}
	ok = ok && (!t.downUntil.After(c.now) && len(t.runs) < 2*crowdSlots)
	c.countFirst(r, ok)
	switch {
	case ok:
		t.runs = append(t.runs, &crowdRun{r: r, instance: instance, sent: Sent{Digests: digests, Trials: trials, SentAt: c.now}, work: time.Duration(200+c.rng.IntN(2000)) * time.Millisecond,
			unframed: c.rng.Float64() < c.unframed, left: r.deadly >= 0 && c.rng.Float64() < c.leave})
		c.countDeadly(r, instance)
		return
	case trials != nil:
		c.tables[c.trialOwner].Withdraw(trials[0])
	}
	c.retry(r)
}

func (c *crowd) allowed(instance int, digests []Digest) (ok bool, trials []Digest) {
	t := c.tables[instance]
	switch t.Decide(c.now, digests...) {
	case Refuse:
	case Trial:
		trials = t.Quarantined(digests...)
		if !c.cutOff(instance) && c.tables[c.trialOwner].ReserveAll(c.now, trials, c.now.Add(10*time.Second)) {
			return true, trials
		}
	default:
		return true, nil
	}
	c.publish(instance, t.Renew(c.now, digests...))
	return false, nil
}

func (c *crowd) countFirst(r *crowdRequest, ok bool) {
	if r.tries > 1 || r.deadly >= 0 {
		return
	}
	if c.elapsed() < 5*time.Second {
		count(&c.before, ok)
	}
	for _, p := range c.parts {
		at := p.fifthAt
		if p.crashes < 5 {
			at = p.lastAt
		}
		if p.crashes > 0 && c.now.Sub(at) > 2*contact && c.elapsed() < crowdUntil {
			count(&c.after, ok)
			return
		}
	}
}

func count(n *[2]int, ok bool) {
	n[0]++
	if ok {
		n[1]++
	}
}

func (c *crowd) countDeadly(r *crowdRequest, instance int) {
	if r.deadly < 0 || c.cutOff(instance) {
		return
	}
	if p := &c.parts[r.deadly]; p.crashes >= 5 && c.now.Sub(p.fifthAt) > contact {
		p.late++
	}
}

func (c *crowd) retry(r *crowdRequest) {
	if r.tries < 2 {
		c.waiting = append(c.waiting, crowdRetry{r, c.now.Add(300 * time.Millisecond)})
	}
}

// advance has a target work for a tick.
func (c *crowd) advance(n int) {
	t := &c.targets[n]
	running, kept := 0, t.runs[:0]
	crashes := c.rng.Float64() < c.spontaneous*crowdTick.Seconds()
	var done []*crowdRun
	for _, x := range t.runs {
		if x.begins.IsZero() && running < crowdSlots {
			x.begins = c.now
		}
		if x.begins.IsZero() {
			kept = append(kept, x)
			continue
		}
		running++
		lasts := c.now.Sub(x.begins)
		switch {
		case x.r.deadly >= 0 && c.elapsed() < crowdUntil && lasts >= crowdCrashAfter:
			crashes = true
			c.parts[x.r.deadly].crash(c.now)
			kept = append(kept, x)
		case lasts >= x.work:
			done = append(done, x)
		default:
			kept = append(kept, x)
		}
	}
	t.runs = kept
	for i := range c.unsettled {
		for _, e := range c.unsettled[i].Settle(c.now) {
			c.publish(i, c.tables[i].Finished(c.now, e.Digests...))
		}
	}
	for _, x := range done {
		c.unsettled[x.instance].Alive(c.now, fmt.Sprint(n))
		if x.unframed {
			c.endUnsettled(n, x)
			c.release(x)
			continue
		}
		c.publish(x.instance, c.tables[x.instance].Finished(c.now, x.sent.Digests...))
		c.release(x)
	}
	if crashes {
		c.crash(n)
	}
}

func (p *crowdPart) crash(now time.Time) {
	p.crashes++
	p.lastAt = now
	if p.crashes == 5 {
		p.fifthAt = now
	}
}

func (c *crowd) crash(n int) {
	t := &c.targets[n]
	// An end comes before the crash is found on the other connections.
	for _, x := range t.runs {
		if begun := !x.begins.IsZero(); begun && x.unframed || x.left {
			c.endUnsettled(n, x)
		}
	}
	for _, x := range t.runs {
		if begun := !x.begins.IsZero(); begun && x.unframed || x.left {
			c.release(x)
			c.retry(x.r)
			continue
		}
		c.suspectEnds(x.instance, c.unsettled[x.instance].Crashed(c.now, time.Second, fmt.Sprint(n)))
		entries := c.tables[x.instance].ReportCrash(c.now, Crash{fmt.Sprint(n), t.incarnation}, x.sent)
		c.publish(x.instance, entries)
		if len(x.sent.Trials) > 0 {
			c.tables[c.trialOwner].Merge(c.now, entries)
		}
		c.release(x)
		c.retry(x.r)
	}
	t.incarnation++
	t.runs, t.downUntil = nil, c.now.Add(crowdDown)
}

// endUnsettled ends a run so that its end does not tell whether its target crashed.
func (c *crowd) endUnsettled(target int, x *crowdRun) {
	c.unsettled[x.instance].Add(End{Sent: x.sent, Crash: Crash{fmt.Sprint(target), c.targets[target].incarnation}, At: c.now, Whole: !x.left})
	if !x.left && c.tables[x.instance].Suspects(x.sent.Digests...) && len(c.probes) < crowdProbes {
		c.probes = append(c.probes, crowdProbe{x.instance, target, c.now.Add(ProbeAfter)})
	}
}

func (c *crowd) probe() {
	due := c.probes
	c.probes = nil
	for _, p := range due {
		switch {
		case p.at.After(c.now):
			c.probes = append(c.probes, p)
		case c.targets[p.target].downUntil.After(c.now):
			c.suspectEnds(p.instance, c.unsettled[p.instance].Gone(fmt.Sprint(p.target)))
		default:
			c.unsettled[p.instance].Alive(c.now, fmt.Sprint(p.target))
		}
	}
}

// suspectEnds has an instance record a crash under ends.
func (c *crowd) suspectEnds(instance int, ends []End) {
	for _, e := range ends {
		entries := c.tables[instance].ReportCrash(c.now, e.Crash, e.Sent)
		c.publish(instance, entries)
		if len(e.Trials) > 0 {
			c.tables[c.trialOwner].Merge(c.now, entries)
		}
	}
}

func (c *crowd) release(x *crowdRun) {
	if len(x.sent.Trials) > 0 {
		c.tables[c.trialOwner].Release(x.sent.Trials[0])
	}
}

// run plays the crowd to its end, and returns the greatest number of targets that a deadly part crashed,
// the greatest number of late sendings, and the shares of sound first attempts that began.
func (c *crowd) run() (crashes, late int, before, after float64) {
	for c.elapsed() < crowdEnd {
		c.step()
	}
	for _, p := range c.parts {
		crashes, late = max(crashes, p.crashes), max(late, p.late)
	}
	return crashes, late, share(c.before), share(c.after)
}

func share(n [2]int) float64 {
	if n[0] == 0 {
		return 1
	}
	return float64(n[1]) / float64(n[0])
}

var crowdShapes = map[string]crowdShape{
	"one part, seldom":            {perTick: 2, share: 0.03, deadly: 1},
	"one part, often":             {perTick: 2, share: 0.3, deadly: 1},
	"one part, most requests":     {perTick: 2, share: 0.7, deadly: 1},
	"three parts":                 {perTick: 2, share: 0.3, deadly: 3},
	"eight parts":                 {perTick: 2, share: 0.3, deadly: 8},
	"a first part":                {perTick: 2, share: 0.2, deadly: 1, firstIsDeadly: true},
	"targets crash by themselves": {perTick: 2, share: 0.1, deadly: 1, spontaneous: 0.05},
	"no deadly part":              {perTick: 2, spontaneous: 0.05, deadly: 0},
	"parts become deadly":         {perTick: 2, deadly: 3, turns: true},
	"few requests":                {perTick: 0.3, share: 0.2, deadly: 1},
	"full targets":                {perTick: 4, share: 0.2, deadly: 1},
	"a cut":                       {perTick: 2, share: 0.2, deadly: 1, cut: 15 * time.Second},
	"some answers unframed":       {perTick: 2, share: 0.2, deadly: 1, unframed: 0.3},
	"all answers unframed":        {perTick: 2, share: 0.2, deadly: 1, unframed: 1},
	"all unframed, few requests":  {perTick: 0.3, share: 0.2, deadly: 1, unframed: 1},
	"callers leave":               {perTick: 2, share: 0.2, deadly: 1, leave: 0.8},
	"restarts":                    {perTick: 2, share: 0.2, deadly: 1, restarts: 0.05},
}

// Guards against unlike requests that share a deadly part and go on crashing targets, and against sound
// requests of the same first part that are refused with them.
func TestUnlikeRequestsWithADeadlyPartAreRefused(t *testing.T) {
	// The users' pages allow three sendings later than contact after the fifth crash, and ask that half
	// as many sound requests begin as before.
	const maxLate, leastShare = 3, 0.5
	for name, shape := range crowdShapes {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			most, mostLate, least, refused := 0, 0, 1.0, 0.0
			for seed := range uint64(crowdSeeds) {
				c := newCrowd(seed, shape)
				crashes, late, before, after := c.run()
				most, mostLate, least, refused = max(most, crashes), max(mostLate, late), min(least, after/before), max(refused, share(c.sound))
				if late > maxLate {
					t.Errorf("seed %d: %d sendings late, %d crashes", seed, late, crashes)
				}
				if after < leastShare*before {
					t.Errorf("seed %d: %.2f of the sound requests began, %.2f before", seed, after, before)
				}
			}
			t.Logf("%s: %d crashes, %d late, %.2f of the share before, %.3f of the sound refused", name, most, mostLate, least, refused)
		})
	}
}
