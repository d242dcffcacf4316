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

// killers knows the requests that crash each target that runs them, over all instances.
//
// A request whose target broke off before it answered is a suspect of that target's
// crash; one that is a suspect of two is refused until its entry expires. One that is
// answered is cleared, and no suspect for a while. Requests are told by a digest of what is the same each time that
// their caller sends them again. Suspects do not run alone here, as package suspect
// would have it: the innocent would wait, and what is lost is one target more.
type killers struct {
	log *zap.Logger

	mu       sync.Mutex
	table    *suspect.Table
	attempts suspect.Attempt
	// news are entries that were not told yet.
	news []suspect.Entry
}

// killerLife is how long a request that crashes its targets is refused: its caller sends
// it again within seconds or minutes, and an innocent one that shared two crashes must
// not be refused for a day.
const killerLife = 10 * time.Minute

// maxNews bounds the entries of one report.
const maxNews = 256

func newKillers(log *zap.Logger) *killers {
	cfg := suspect.DefaultConfig()
	cfg.Lifetime = killerLife
	return &killers{log: log, table: suspect.New(cfg)}
}

func digestOf(r *rawhttp.Request) suspect.Digest {
	h := sha256.New()
	for _, part := range []string{r.Method, r.Host, r.Target} {
		// The separator cannot stand in any of them.
		_, _ = h.Write(append([]byte(part), '\n'))
	}
	_, _ = h.Write(r.Body)
	return suspect.Digest(h.Sum(nil)[:len(suspect.Digest{})])
}

// IsPoison implements exchange.PoisonRequests.
func (k *killers) IsPoison(r *rawhttp.Request) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.table.Len() > 0 && k.table.Decide(digestOf(r)) == suspect.Refuse
}

// ReportCrash implements exchange.PoisonRequests.
func (k *killers) ReportCrash(r *rawhttp.Request, target string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now, d := time.Now(), digestOf(r)
	k.attempts++
	k.table.Sent(k.attempts, d, target, false)
	k.add(k.table.Crashed(now, suspect.Crash{Target: target}))
	if k.table.Decide(d) == suspect.Refuse {
		k.log.Warn("a request has crashed two targets and is refused from now on", zap.String("host", r.Host),
			zap.String("method", r.Method), zap.String("last", target))
	}
}

// ReportAnswer implements exchange.PoisonRequests.
func (k *killers) ReportAnswer(r *rawhttp.Request, _ string) {
	d := digestOf(r)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.add(k.table.Finished(time.Now(), d))
}

func (k *killers) add(entries []suspect.Entry) {
	k.news = append(k.news, entries...)
	if over := len(k.news) - maxNews; over > 0 {
		k.news = k.news[over:]
	}
}

// takeNews returns what was not told yet.
func (k *killers) takeNews() []suspect.Entry {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.table.Expire(time.Now())
	news := k.news
	k.news = nil
	return news
}

// putBack keeps news that could not be told.
func (k *killers) putBack(news []suspect.Entry) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.add(news)
}

// learn takes in what others tell.
func (k *killers) learn(entries []suspect.Entry) {
	if len(entries) == 0 {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	// What follows from them is told: an innocent request is cleared where it has finished.
	told := make(map[suspect.Entry]bool, len(entries))
	for _, e := range entries {
		told[e] = true
	}
	news := k.table.Merge(time.Now(), entries)
	k.add(slices.DeleteFunc(news, func(e suspect.Entry) bool { return told[e] }))
}
