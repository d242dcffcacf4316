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
	// reportWait is how long the followed core instance may hold a report back if nothing has
	// changed: the loads of the others are that old at most, and a few reports a second cost an
	// instance under 1% of a core.
	reportWait = 200 * time.Millisecond
	// maxReportWait bounds the longer wait that a core instance may ask for.
	maxReportWait = time.Second
	// reportTimeout bounds a report beyond its wait: a wide-area round trip and a busy core
	// instance.
	reportTimeout = 700 * time.Millisecond
	// compareInterval is the time between two reports to a second core instance: the followed one
	// may be partitioned from the others without having detected it yet.
	compareInterval = 1500 * time.Millisecond
	// probeWait is how long a core instance may hold a probe back while it has neither a state nor
	// a leader.
	probeWait = 500 * time.Millisecond
	// probeBackoff is the delay after a probe that failed: both instances may have started at the
	// same moment. It doubles up to maxProbeBackoff, as hundreds of instances may send probes.
	probeBackoff    = 40 * time.Millisecond
	maxProbeBackoff = 640 * time.Millisecond
	// firstListExtraTime is how much longer a report may take whose answer has the first list of
	// targets: hundreds of instances get it at once after a start, over links of 10 Mbit/s.
	firstListExtraTime = 4 * time.Second
	// startupProbeTime is how long the other core instances are still probed after one has returned
	// a state: a dial and an answer between regions, and a slightly later start.
	startupProbeTime = 1200 * time.Millisecond
	// failureBackoff is the delay after a report that failed.
	failureBackoff = 100 * time.Millisecond
	// silentAfterFailures is the number of failed reports in a row at which a warning is logged:
	// one or two are an election or a lost connection.
	silentAfterFailures = 3
)

// confirmedFor is for how long an answer of a core instance with a leader confirms the newest configuration: one
// is due within maxReportWait, and after a lost one another within compareInterval.
const confirmedFor = maxReportWait + compareInterval

// knownState is what the core instances have reported.
type knownState struct {
	// head is the newest known state, and headAt when it was received; its document may still be in
	// transfer.
	head   *newest.Head
	headAt time.Time
	// held is the newest state whose document is held, and index is built from that.
	held  *newest.Head
	index *routes.Index
	list  feed.List
	cores []feed.Core
	// coresDigest is that of cores as received.
	coresDigest uint64
	// entries are the other entry instances.
	entries feed.Known
	// confirmedAt is when a core instance with a leader, and that was not behind, last answered a report.
	confirmedAt time.Time
	// joined says that a core instance has answered a report in which this instance was ready.
	joined bool
	// loads are the sums of the others of the region; partialLoads says that they cover only some
	// groups of targets.
	loads        []feed.Load
	partialLoads bool
	regions      []feed.Summary
	// versions are the software versions listed recently. ownVersions are those of the list with the
	// digest ownVersionsOf.
	versions      versionHistory
	ownVersions   []serviceVersion
	ownVersionsOf uint64
	// nextReportWait is how long the next report may be held back.
	nextReportWait time.Duration
}

// probeCores probes all known core instances in parallel, each repeatedly, until one returns a
// state, or has a leader and no state. None waits for another: one that has started a moment later
// is probed again while those of other regions have not answered yet. The others are still probed
// for startupProbeTime: one of them may have kept a newer state, and without a leader no core
// instance knows that.
func (i *Instance) probeCores(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	begun := make(chan struct{})
	var once sync.Once
	for _, to := range i.candidates() {
		i.wg.Go(func() { i.probeCore(ctx, to, func() { once.Do(func() { close(begun) }) }) })
	}
	select {
	case <-begun:
	case <-ctx.Done():
	}
	time.AfterFunc(i.startupProbeTime, cancel)
}

// probeCore probes one core instance until it returns a state or has a leader, and then calls
// begun.
//
// If it asked for more than that: at the first start all instances know the same few core
// instances, and each of those would send all targets and all entry instances to all entry
// instances, again for each request, instead of electing a leader.
func (i *Instance) probeCore(ctx context.Context, to string, begun func()) {
	wait := probeBackoff
	for ctx.Err() == nil {
		u, err := i.report(ctx, to, i.newProbe())
		if ctx.Err() != nil {
			return
		}
		i.recordResult(to, u, err)
		if err == nil && (i.hasState() || u.HasLeader) {
			begun()
			return
		}
		if err == nil {
			wait = probeBackoff
		}
		_ = duty.Pause(ctx, wait)
		wait = min(2*wait, maxProbeBackoff)
	}
}

// newProbe returns a report that asks for the state and the core instances only.
func (i *Instance) newProbe() feed.Report {
	r := i.newReport(0)
	r.Brief, r.Probe, r.WaitMillis = true, true, probeWait.Milliseconds()
	return r
}

// hasState reports whether any state is known.
func (i *Instance) hasState() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.known.head != nil
}

// follow reports to the followed core instance until ctx ends.
func (i *Instance) follow(ctx context.Context) {
	i.probeCores(ctx)
	for ctx.Err() == nil {
		to := i.followed()
		u, err := i.report(ctx, to, i.newReport(i.reportWait()))
		i.recordResult(to, u, err)
		if err != nil {
			i.log.Debug("report failed", zap.String("to", to), zap.Error(err))
			_ = duty.Pause(ctx, failureBackoff)
			continue
		}
		if !u.HasLeader {
			_ = duty.Pause(ctx, failureBackoff)
		}
	}
}

// waitAfter returns how long the report after an answer may wait.
func waitAfter(u *feed.Update) time.Duration {
	return max(reportWait, min(maxReportWait, time.Duration(u.WaitMillis)*time.Millisecond))
}

func (i *Instance) reportWait() time.Duration {
	i.mu.Lock()
	defer i.mu.Unlock()
	return max(reportWait, i.known.nextReportWait)
}

// compare asks one core instance after the other for updates that the followed one may lack, and
// finds one that has a leader again.
func (i *Instance) compare(ctx context.Context) {
	for n := 0; ctx.Err() == nil; n++ {
		_ = duty.Pause(ctx, compareInterval)
		followed, candidates := i.followed(), i.candidates()
		to := i.chooser.ChooseOther(n, followed, candidates)
		if to == "" {
			continue
		}
		r := i.newReport(0)
		// The first list comes from the followed one: it is long, and already requested.
		r.Brief, r.Probe = true, r.ListDigest == 0
		u, err := i.report(ctx, to, r)
		i.recordResult(to, u, err)
	}
}

// followed returns the core instance to report to.
func (i *Instance) followed() string {
	candidates := i.candidates()
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.chooser.Choose(time.Now(), candidates)
}

// recordResult records an answer or the failure of a report.
func (i *Instance) recordResult(to string, u *feed.Update, err error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if err != nil {
		i.chooser.RecordFailure(time.Now(), to)
		i.recordFailure(to, err)
		return
	}
	i.chooser.RecordAnswer(to, u.HasLeader)
	if i.silenceLogged {
		i.log.Info("core instances answer again", zap.String("from", to), zap.Int("failed", i.consecutiveFailures))
	}
	i.consecutiveFailures, i.silenceLogged = 0, false
}

// recordFailure counts a failed report, and logs when several have failed in a row: from then on
// the configuration in force and the list of targets become outdated.
func (i *Instance) recordFailure(to string, err error) {
	i.metrics.ReportsFailed.Inc(1)
	i.consecutiveFailures++
	k := &i.known
	if i.consecutiveFailures != silentAfterFailures || k.held == nil {
		// At a start the others may not listen yet.
		return
	}
	i.silenceLogged = true
	i.log.Warn("core instances do not answer", zap.String("last", to), zap.Int("failed", i.consecutiveFailures), zap.Error(err),
		zap.Uint64("version", k.held.Version), zap.Duration("list_age", time.Since(k.list.ReadAt)))
}

// candidates returns the core instances, those of the own zone and region first, in an order that
// differs between instances; before any is known, the seeds.
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

// report sends a report to a core instance, applies the answer and returns it.
func (i *Instance) report(ctx context.Context, to string, r feed.Report) (*feed.Update, error) {
	if !r.Probe {
		i.mu.Lock()
		r.Suspected = i.suspects.markFor(to)
		i.mu.Unlock()
	}
	payload, err := cbor.Marshal(r)
	if err != nil {
		return nil, err
	}
	timeout := time.Duration(r.WaitMillis)*time.Millisecond + reportTimeout
	if r.ListDigest == 0 && !r.Brief {
		timeout += firstListExtraTime
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	answer, err := i.hub.Call(ctx, to, control.ChannelReport, payload)
	if err != nil {
		i.poisonRequests.restorePending(r.Suspects)
		return nil, err
	}
	u := &feed.Update{}
	if err := cbor.Unmarshal(answer, u); err != nil {
		return nil, err
	}
	i.applyUpdate(to, u, r)
	return u, nil
}

// newReport returns a report. Without a wait it has no loads: they are sent to the followed core
// instance only, as they would otherwise count twice.
func (i *Instance) newReport(wait time.Duration) feed.Report {
	self := i.o.Self
	self.Ready, self.Leaving = i.Ready(), i.leaving()
	r := feed.Report{WaitMillis: wait.Milliseconds(), Suspects: i.poisonRequests.takePending()}
	if wait > 0 {
		for id, l := range i.pool.Loads(time.Now()) {
			self.Loads = append(self.Loads, feed.Load{Target: id, Running: l.Running, PendingPrefill: l.PendingPrefill.ByRank(), PrefillMillis: l.PrefillMillis})
		}
		r.Groups, r.PartialLoads = i.loadGroups()
		for service, sums := range i.pool.PrefillSums(time.Now()) {
			self.PrefillSums = append(self.PrefillSums, feed.PrefillSums{Service: service, Tokens: int64(sums.Tokens), Millis: int64(sums.Millis)})
		}
	}
	r.Self = self
	i.mu.Lock()
	defer i.mu.Unlock()
	r.WantConfirmed = i.known.head == nil
	if i.known.head != nil {
		r.Index = i.known.head.Index
	}
	if i.known.held != nil {
		r.DocumentIndex = i.known.held.Index
	}
	r.ListDigest, r.CoresDigest = i.known.list.Digest, i.known.coresDigest
	if r.ListDigest != 0 {
		r.ListAgeMillis = time.Since(i.known.list.ReadAt).Milliseconds()
	}
	r.EntriesEpoch, r.EntriesAt = i.known.entries.Epoch, i.known.entries.At
	return r
}

// maxTargetsForAllLoads is up to how many targets of a region each instance gets the loads of all:
// 40 KB a second if all of them are busy.
const maxTargetsForAllLoads = 200

// loadGroups returns the groups whose loads are requested; false for all targets.
func (i *Instance) loadGroups() ([]pick.Group, bool) {
	if i.pool.Targets() <= maxTargetsForAllLoads {
		return nil, false
	}
	return i.pool.WatchedGroups(), true
}
