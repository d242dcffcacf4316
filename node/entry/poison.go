package entry

import (
	"crypto/sha256"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/gullhaven/gullhaven/coord/suspect"
	"github.com/gullhaven/gullhaven/ports/rawhttp"
)

// poisonRequests tracks the requests that crash each target that runs them, over all instances.
//
// A request whose target broke off before it answered is a suspect of that target's crash; a
// suspect of two crashes is refused until its entry expires. A request that is answered is cleared,
// and not suspected for a while. Requests are identified by a digest of what is the same in each
// retry of their caller. Unlike in package suspect, suspects do not run alone here: innocent ones
// would have to wait, and only one more target is lost.
type poisonRequests struct {
	log *zap.Logger

	mu       sync.Mutex
	table    *suspect.Table
	attempts suspect.Attempt
	// pending are entries that were not reported yet.
	pending []suspect.Entry
}

// poisonTTL is how long a request that crashes its targets is refused: its caller retries it within
// seconds or minutes, and an innocent one that was in flight at two crashes must not be refused for
// a day.
const poisonTTL = 10 * time.Minute

// maxPending bounds the entries that wait for the next report; the oldest are dropped.
const maxPending = 256

func newPoisonRequests(log *zap.Logger) *poisonRequests {
	cfg := suspect.DefaultConfig()
	cfg.Lifetime = poisonTTL
	return &poisonRequests{log: log, table: suspect.New(cfg)}
}

func digestOf(r *rawhttp.Request) suspect.Digest {
	h := sha256.New()
	for _, part := range []string{r.Method, r.Host, r.Target} {
		// None of them can contain the separator.
		_, _ = h.Write(append([]byte(part), '\n'))
	}
	_, _ = h.Write(r.Body)
	return suspect.Digest(h.Sum(nil)[:len(suspect.Digest{})])
}

// IsPoison reports whether a request must no longer be sent to a target.
func (p *poisonRequests) IsPoison(r *rawhttp.Request) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.Len() > 0 && p.table.Decide(digestOf(r)) == suspect.Refuse
}

// ReportCrash records that a target broke off before it answered a request.
func (p *poisonRequests) ReportCrash(r *rawhttp.Request, target string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now, d := time.Now(), digestOf(r)
	p.attempts++
	p.table.Started(p.attempts, d, target, false)
	p.add(p.table.Crashed(now, suspect.Crash{Target: target}))
	if p.table.Decide(d) == suspect.Refuse {
		p.log.Warn("a request has crashed two targets and is refused from now on", zap.String("host", r.Host),
			zap.String("method", r.Method), zap.String("last", target))
	}
}

// ReportAnswer records that a target answered a request.
func (p *poisonRequests) ReportAnswer(r *rawhttp.Request, _ string) {
	d := digestOf(r)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.add(p.table.Finished(time.Now(), d))
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
	p.table.Expire(time.Now())
	entries := p.pending
	p.pending = nil
	return entries
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
