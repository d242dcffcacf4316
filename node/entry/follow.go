package entry

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"github.com/gullhaven/gullhaven/bundle/newest"
	"github.com/gullhaven/gullhaven/bundle/routes"
	"github.com/gullhaven/gullhaven/node/control"
	"github.com/gullhaven/gullhaven/node/duty"
	"github.com/gullhaven/gullhaven/node/feed"
	"github.com/gullhaven/gullhaven/route/pick"
)

const (
	// reportWait is how long the followed core instance may hold a report back where
	// there is no news: the loads of the others are that old at most, and a few
	// reports a second cost an instance under 1% of a core.
	reportWait = 200 * time.Millisecond
	// longestWait bounds what a core instance may ask for in its place.
	longestWait = time.Second
	// reportTime bounds a report beyond its wait: a wide-area trip and a busy core
	// instance.
	reportTime = 700 * time.Millisecond
	// compareInterval is the time between two reports to a second core instance: the
	// followed one may be cut off from the others without knowing it yet.
	compareInterval = 1500 * time.Millisecond
	// probeWait is how long a core instance may hold a probe back while it has no state and
	// hears from no leader.
	probeWait = 500 * time.Millisecond
	// beginPause is the time after a probe that was not answered: both may have started at
	// the same moment. It doubles up to beginMost, as hundreds of instances may ask.
	beginPause = 40 * time.Millisecond
	beginMost  = 640 * time.Millisecond
	// firstListTime is how much longer a report may take that brings the first list of
	// targets: hundreds of instances get it at once after a start, over links of 10 Mbit/s.
	firstListTime = 4 * time.Second
	// beginAfter is how long the other core instances are still asked once one has given a
	// state: a dial and an answer over regions, with a start that is a little later.
	beginAfter = 1200 * time.Millisecond
	// failPause is the time after a report that failed.
	failPause = 100 * time.Millisecond
	// tellFailures is after how many reports in a row without an answer a line tells of it:
	// one or two are an election or a lost connection.
	tellFailures = 3
)

// knowledge is what the core instances have told.
type knowledge struct {
	// head is the newest state that was told of; its document may still be on its way.
	head *newest.Head
	// held is the newest state whose document is held, and index made of that.
	held  *newest.Head
	index *routes.Index
	list  feed.List
	cores []feed.Core
	// coresDigest is that of cores as they were told.
	coresDigest uint64
	// entries are the other entry instances.
	entries feed.Known
	// joined says that a core instance has answered a report in which this instance was ready.
	joined bool
	// loads sums up what the others of the region have under way; partial says that only
	// those of some groups of targets were asked for.
	loads   []feed.Load
	partial bool
	regions []feed.Summary
	// wait is how long the next report may be held back.
	wait time.Duration
}

// begin asks all core instances that are known, each again and again, until one gives a
// state, or hears from a leader and has none. None waits for another: one that has started
// a moment later is asked anew while those of other regions have not answered yet. The
// others are asked on for a while: what one of them kept may be newer, and without a leader
// no core instance knows that.
func (i *Instance) begin(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	begun := make(chan struct{})
	var once sync.Once
	for _, to := range i.candidates() {
		i.wg.Go(func() { i.beginAt(ctx, to, func() { once.Do(func() { close(begun) }) }) })
	}
	select {
	case <-begun:
	case <-ctx.Done():
	}
	time.AfterFunc(i.askOn, cancel)
}

// beginAt asks one core instance until it answers with what serves to begin.
//
// What goes wrong where it asks for more than that: all instances know the same few core
// instances at the first start, and each of those would tell all entry instances all targets
// and each other, again with each question, instead of electing a leader.
func (i *Instance) beginAt(ctx context.Context, to string, begun func()) {
	wait := beginPause
	for ctx.Err() == nil {
		u, err := i.report(ctx, to, i.makeProbe())
		if ctx.Err() != nil {
			return
		}
		i.note(to, u, err)
		if err == nil && (i.heard() || u.Led) {
			begun()
			return
		}
		if err == nil {
			wait = beginPause
		}
		_ = duty.Pause(ctx, wait)
		wait = min(2*wait, beginMost)
	}
}

// makeProbe is a report that asks for the state and the core instances only.
func (i *Instance) makeProbe() feed.Report {
	r := i.makeReport(0)
	r.Brief, r.Probe, r.WaitMillis = true, true, probeWait.Milliseconds()
	return r
}

// heard reports whether any state was told of.
func (i *Instance) heard() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.known.head != nil
}

// follow reports to one core instance again and again.
func (i *Instance) follow(ctx context.Context) {
	i.begin(ctx)
	for ctx.Err() == nil {
		to := i.followed()
		u, err := i.report(ctx, to, i.makeReport(i.reportWait()))
		i.note(to, u, err)
		if err != nil {
			i.log.Debug("report failed", zap.String("to", to), zap.Error(err))
			_ = duty.Pause(ctx, failPause)
			continue
		}
		if !u.Led {
			_ = duty.Pause(ctx, failPause)
		}
	}
}

// nextWait is how long the report after an answer may wait.
func nextWait(u *feed.Update) time.Duration {
	return max(reportWait, min(longestWait, time.Duration(u.WaitMillis)*time.Millisecond))
}

func (i *Instance) reportWait() time.Duration {
	i.mu.Lock()
	defer i.mu.Unlock()
	return max(reportWait, i.known.wait)
}

// compare asks one core instance after the other for news that the followed one may
// lack, and finds one that hears from a leader again.
func (i *Instance) compare(ctx context.Context) {
	for turn := 0; ctx.Err() == nil; turn++ {
		_ = duty.Pause(ctx, compareInterval)
		followed, candidates := i.followed(), i.candidates()
		to := i.chooser.Compare(turn, followed, candidates)
		if to == "" {
			continue
		}
		r := i.makeReport(0)
		// The first list comes from the followed one: it is long, and under way.
		r.Brief, r.Probe = true, r.Digest == 0
		u, err := i.report(ctx, to, r)
		i.note(to, u, err)
	}
}

// followed is the core instance to report to.
func (i *Instance) followed() string {
	candidates := i.candidates()
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.chooser.Follow(time.Now(), candidates)
}

// note takes in an answer or its lack.
func (i *Instance) note(to string, u *feed.Update, err error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if err != nil {
		i.chooser.Failed(time.Now(), to)
		i.unanswered(to, err)
		return
	}
	i.chooser.Answered(to, u.Led)
	if i.silent {
		i.log.Info("core instances answer again", zap.String("from", to), zap.Int("failed", i.failedInRow))
	}
	i.failedInRow, i.silent = 0, false
}

// unanswered counts a report without an answer, and tells when news have stayed away for
// some reports: what is in force and the list of targets grow old from then on.
func (i *Instance) unanswered(to string, err error) {
	i.metrics.ReportsFailed.Inc(1)
	i.failedInRow++
	k := &i.known
	if i.failedInRow != tellFailures || k.held == nil {
		// At a start the others may not listen yet.
		return
	}
	i.silent = true
	i.log.Warn("core instances do not answer", zap.String("last", to), zap.Int("failed", i.failedInRow), zap.Error(err),
		zap.Uint64("version", k.held.Version), zap.Duration("list_age", time.Since(k.list.ReadAt)))
}

// candidates are the core instances, those of the own zone and region first, in an
// order that differs from instance to instance; before any is known, the seeds.
func (i *Instance) candidates() []string {
	i.mu.Lock()
	cores := slices.Clone(i.known.cores)
	i.mu.Unlock()
	if len(cores) == 0 {
		return i.o.Seeds
	}
	order := func(c feed.Core) uint64 { return xxhash.Sum64String(i.o.Self.ID + c.ID) }
	self := &i.o.Self
	slices.SortFunc(cores, func(a, b feed.Core) int {
		return cmp.Or(
			cmp.Compare(a.Distance(self.Region, self.Zone), b.Distance(self.Region, self.Zone)),
			cmp.Compare(order(a), order(b)),
		)
	})
	out := make([]string, 0, len(cores)+len(i.o.Seeds))
	for _, c := range cores {
		out = append(out, c.ID)
	}
	for _, id := range i.o.Seeds {
		if !slices.Contains(out, id) {
			out = append(out, id)
		}
	}
	return out
}

// report tells a core instance of this one, takes in its news and returns them.
func (i *Instance) report(ctx context.Context, to string, r feed.Report) (*feed.Update, error) {
	payload, err := cbor.Marshal(r)
	if err != nil {
		return nil, err
	}
	within := time.Duration(r.WaitMillis)*time.Millisecond + reportTime
	if r.Digest == 0 && !r.Brief {
		within += firstListTime
	}
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	answer, err := i.hub.Call(ctx, to, control.ChannelReport, payload)
	if err != nil {
		i.killers.putBack(r.Suspects)
		return nil, err
	}
	u := &feed.Update{}
	if err := cbor.Unmarshal(answer, u); err != nil {
		return nil, err
	}
	i.learn(to, u, r)
	return u, nil
}

// makeReport leaves loads out where there is no wait: they are told to the followed core
// instance only, or they would count twice.
func (i *Instance) makeReport(wait time.Duration) feed.Report {
	self := i.o.Self
	self.Ready, self.Leaving = i.Ready(), i.leaving()
	r := feed.Report{WaitMillis: wait.Milliseconds(), Suspects: i.killers.takeNews()}
	if wait > 0 {
		for id, l := range i.pool.Loads(time.Now()) {
			self.Loads = append(self.Loads, feed.Load{Target: id, Running: l.Running, Unread: l.PendingPrefill.ByRank(), Reading: l.PrefillMillis})
		}
		r.Groups, r.Part = i.wantedGroups()
		for service, sums := range i.pool.PrefillSums(time.Now()) {
			self.Read = append(self.Read, feed.Read{Service: service, Tokens: int64(sums.Tokens), Millis: int64(sums.Millis)})
		}
	}
	r.Self = self
	i.mu.Lock()
	defer i.mu.Unlock()
	r.First = i.known.head == nil
	if i.known.head != nil {
		r.Index = i.known.head.Index
	}
	if i.known.held != nil {
		r.Held = i.known.held.Index
	}
	r.Digest, r.Cores = i.known.list.Digest, i.known.coresDigest
	if r.Digest != 0 {
		r.ListAgeMillis = time.Since(i.known.list.ReadAt).Milliseconds()
	}
	r.EntriesEpoch, r.EntriesAt = i.known.entries.Epoch, i.known.entries.At
	return r
}

// wholeLoads is how many targets a region may have for each instance to be told the loads of
// all: 40 KB a second if all of them are busy.
const wholeLoads = 200

// wantedGroups are the groups whose loads are asked for; false for all targets.
func (i *Instance) wantedGroups() ([]pick.Group, bool) {
	if i.pool.Targets() <= wholeLoads {
		return nil, false
	}
	return i.pool.WatchedGroups(), true
}
