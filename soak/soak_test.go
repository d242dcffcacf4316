package soak

import (
	"cmp"
	"context"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/gullhaven/gullhaven/node/duty"
)

var (
	seeds    = flag.String("soak.seeds", "", "seeds to play by hand, as 7 or 1-50; empty: none")
	wide     = flag.Bool("soak.wide", false, "play the wide faults of soak.seeds instead of single ones")
	span     = flag.Duration("soak.span", 15*time.Second, "how long faults are made for each seed of soak.seeds")
	mixed    = flag.Bool("soak.mixed", false, "play soak.seeds with two software versions in each region, and a poison request")
	strain   = flag.Bool("soak.strain", false, "play soak.seeds with planned work beside silent runners, spoiled hedges, refused connections and doubled answers")
	stops    = flag.Bool("soak.stops", false, "play soak.seeds with graceful restarts of entry instances under slow answers and late senders")
	overlaps = flag.Bool("soak.overlaps", false, "play soak.seeds with runs that meet their hedges, and answers that stop early or are not valid HTTP")
	crowds   = flag.Bool("soak.crowds", false, "play soak.seeds with crowds of clients that stop short")
	mass     = flag.Bool("soak.mass", false, "play soak.seeds with crashes of many runners at once")
	keep     = flag.String("soak.keep", "", "folder that keeps the logs of seeds that failed")
)

// binary is the daemon under test.
var binary string

func TestMain(m *testing.M) {
	flag.Parse()
	dir, err := os.MkdirTemp("", "gullhaven-soak-")
	if err != nil {
		panic(err)
	}
	binary = filepath.Join(dir, "gullhavend")
	if out, err := exec.Command("go", "build", "-o", binary, "../cmd/gullhavend").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "%v\n%s", err, out)
		os.Exit(1)
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// shortSeeds run with all tests: one of mixed faults, and one of planned work only.
var shortSeeds = []uint64{1, 4}

// shortSpan is the time within which their faults begin.
const shortSpan = 6 * time.Second

func TestShortSoak(t *testing.T) {
	for _, seed := range shortSeeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runSeed(t, seed, shortSpan, true) })
	}
}

// wideSpan is the time within which the faults of TestRetryBudgetInWideFaults begin.
const wideSpan = 9 * time.Second

// Guards against more arrivals at targets than the retry budget of all instances allows, while faults
// of all targets and of all entry instances overlap.
func TestRetryBudgetInWideFaults(t *testing.T) { runWide(t, 2, wideSpan) }

// runWide plays the wide faults of a seed with a small retry budget.
func runWide(t *testing.T, seed uint64, span time.Duration) {
	o := Options{Shape: Shape{Cores: 4, Entries: 4, Runners: 9}, Callers: 30, Budget: RetryBudget{Span: 3 * time.Second, Share: 0.2, Allowance: 6}}
	runFaults(t, seed, o, DrawWideFaults(seed, o.Shape, span))
}

const (
	// mixedSpan is the time within which the faults of TestVersionsAndPoisonRequestsInASoak begin.
	mixedSpan = 8 * time.Second
	// mixedCalm is how long its callers go on: instances are in touch again by then, and the poison
	// request comes a dozen times more.
	mixedCalm = effectTime + 2*inTouch + 4*time.Second
)

// Guards against a request that crashes one runner after the other, sent on by instances that do not
// know of it, and against streams of two software versions, while faults of all kinds overlap.
func TestVersionsAndPoisonRequestsInASoak(t *testing.T) { runMixed(t, 301, mixedSpan) }

// runMixed plays the faults of a seed with two runners of each service in each region, of two software
// versions, and with a poison request.
func runMixed(t *testing.T, seed uint64, span time.Duration) {
	o := Options{Shape: Shape{Cores: 4, Entries: 4, Runners: 12}, Callers: 16, Budget: siteBudget, Poison: true, Calm: mixedCalm}
	faults := append(DrawFaults(seed, o.Shape, span), DrawExtraFaults(seed, o.Shape, span)...)
	runFaults(t, seed, o, append(faults, DrawTargetFaults(seed, o.Shape, span)...))
}

// massSpan is the time within which the faults of TestMassCrashesUnderStreams begin.
const massSpan = 8 * time.Second

// Guards against streams that end as complete though events are missing, and against sound requests that
// another region refuses as poison, after runners have ended together under them.
func TestMassCrashesUnderStreams(t *testing.T) { runMass(t, 7, massSpan) }

// runMass plays the mass crashes of a seed with two runners of each service in each region, and with all parts
// for hard load switched on.
func runMass(t *testing.T, seed uint64, span time.Duration) {
	o := Options{Shape: Shape{Cores: 4, Entries: 4, Runners: 12}, Callers: 40, Budget: siteBudget, Poison: true, HardLoad: true}
	runFaults(t, seed, o, DrawMassCrashes(seed, o.Shape, span))
}

// strainSpan is the time within which the faults of TestStrainLosesNoRequest begin.
const strainSpan = 6 * time.Second

// Guards against streams that are ended for their runner's silence or for a connection that fails beside
// them, though it would finish them, and against doubled answers that count for the next request.
func TestStrainLosesNoRequest(t *testing.T) { runStrain(t, 1, strainSpan) }

// runStrain plays planned work beside what runners may do without that a request is lost.
func runStrain(t *testing.T, seed uint64, span time.Duration) {
	o := Options{Shape: Shape{Cores: 3, Entries: 4, Runners: 9}, Callers: 24, Budget: siteBudget}
	runFaults(t, seed, o, DrawStrain(seed, o.Shape, span))
}

// stopsSpan is the time within which the faults of TestStopsLoseNoRequest begin.
const stopsSpan = 5 * time.Second

// Guards against requests that an entry instance passes on and then cuts by its own graceful end.
func TestStopsLoseNoRequest(t *testing.T) { runStops(t, 3, stopsSpan) }

// runStops plays graceful restarts of entry instances under slow answers and callers that send until the end.
func runStops(t *testing.T, seed uint64, span time.Duration) {
	o := Options{Shape: Shape{Cores: 3, Entries: 4, Runners: 9}, Callers: 12, Budget: siteBudget, LateSenders: 20, SlowAnswers: true}
	runFaults(t, seed, o, DrawStops(seed, o.Shape, span))
}

// overlapsSpan is the time within which the faults of TestOverlapsJoinNoStreams begin.
const overlapsSpan = 8 * time.Second

// Guards against streams that hold events of a run and of its hedge, and against answers that stop in their head
// and are passed on as whole.
func TestOverlapsJoinNoStreams(t *testing.T) { runOverlaps(t, 2, overlapsSpan) }

// runOverlaps plays faults of runners with two runners of each service in each region, of two software versions.
func runOverlaps(t *testing.T, seed uint64, span time.Duration) {
	o := Options{Shape: Shape{Cores: 3, Entries: 4, Runners: 12}, Callers: 120, Budget: siteBudget, Meetings: true}
	runFaults(t, seed, o, DrawOverlaps(seed, o.Shape, span))
}

const (
	// crowdsSpan is the time within which the faults and crowds of TestCrowdsUseUpNoMemory begin.
	crowdsSpan = 6 * time.Second
	// crowdsMemoryMB is the memory of each process, in MiB: a fifth of what one crowd sends.
	crowdsMemoryMB = 128
)

// Guards against processes that use up their memory or leave ordinary callers without an end, because of crowds of
// clients that stop short while instances restart.
func TestCrowdsUseUpNoMemory(t *testing.T) { runCrowds(t, 1, crowdsSpan) }

// runCrowds plays crowds beside graceful restarts of entry instances.
func runCrowds(t *testing.T, seed uint64, span time.Duration) {
	o := Options{Shape: Shape{Cores: 3, Entries: 4, Runners: 9}, Callers: 12, Budget: siteBudget, MemoryMB: crowdsMemoryMB}
	o.Crowds = DrawCrowds(seed, o.Shape, span)
	runFaults(t, seed, o, DrawStops(seed, o.Shape, span))
}

// formerFailures are seeds that failed before, each with its cause.
var formerFailures = []struct {
	seed  uint64
	span  time.Duration
	cause string
}{
	{33, 15 * time.Second, "the soak gave one port out twice, and an entry instance could not listen"},
	{37, 15 * time.Second, "two faults of one moment ended the same runner, and both started its successor"},
}

func TestSeedsThatFailedOnce(t *testing.T) {
	for _, s := range formerFailures {
		t.Run(fmt.Sprint(s.seed, " ", s.cause), func(t *testing.T) { runSeed(t, s.seed, s.span, false) })
	}
}

func TestSeeds(t *testing.T) {
	if *seeds == "" {
		t.Skip("played by hand: -soak.seeds 1-50")
	}
	from, to, both := strings.Cut(*seeds, "-")
	if !both {
		to = from
	}
	first, err1 := strconv.ParseUint(from, 10, 64)
	last, err2 := strconv.ParseUint(to, 10, 64)
	if err1 != nil || err2 != nil {
		t.Fatalf("seeds %q", *seeds)
	}
	for seed := first; seed <= last; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			switch {
			case *wide:
				runWide(t, seed, *span)
				return
			case *mixed:
				runMixed(t, seed, *span)
				return
			case *crowds:
				runCrowds(t, seed, *span)
				return
			case *mass:
				runMass(t, seed, *span)
				return
			case *stops:
				runStops(t, seed, *span)
				return
			case *overlaps:
				runOverlaps(t, seed, *span)
				return
			case *strain:
				runStrain(t, seed, *span)
				return
			}
			runSeed(t, seed, *span, true)
		})
	}
}

// siteBudget is the retry budget of the sites of recorded seeds.
var siteBudget = RetryBudget{Span: 10 * time.Second, Share: 0.2, Allowance: 50}

// runSeed plays the faults of a seed. extra adds those of DrawExtraFaults and DrawTargetFaults.
func runSeed(t *testing.T, seed uint64, span time.Duration, extra bool) {
	o := Options{Shape: Shape{Cores: 4, Entries: 4, Runners: 9}, Callers: 9, Budget: siteBudget}
	faults := DrawFaults(seed, o.Shape, span)
	if extra {
		faults = append(faults, DrawExtraFaults(seed, o.Shape, span)...)
		faults = append(faults, DrawTargetFaults(seed, o.Shape, span)...)
	}
	runFaults(t, seed, o, faults)
}

// runFaults starts a site, injects faults, waits until the site serves again, stops it, and checks
// all observations. seed is that of the callers.
func runFaults(t *testing.T, seed uint64, o Options, faults []Fault) {
	slices.SortStableFunc(faults, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	o.Binary, o.Dir, o.Log = binary, t.TempDir(), t.Logf
	w, err := NewWorld(o)
	if err != nil {
		t.Fatal(err)
	}
	defer func() {
		if t.Failed() {
			keepLogs(t, o.Dir, seed)
		}
	}()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	problems := w.runPlan(ctx, seed, faults)
	counted, err := w.CountedRetries()
	if err != nil {
		t.Error(err)
	}
	w.Ledger.CheckCounted(counted)
	for _, p := range append(problems, w.Ledger.Violations()...) {
		t.Error(p)
	}
	t.Logf("%d requests served, %d runs, %d crashes under poison requests, newest version %d; %s", w.Ledger.Served(), w.runLog.Total(), w.Ledger.Crashes(), w.Ledger.Newest(time.Now()), w.Ledger.BudgetUse())
	if w.Ledger.Served() == 0 {
		t.Error("no request was served")
	}
}

// runPlan injects faults and returns what keeps the site from serving. The processes have ended when
// it returns.
func (w *World) runPlan(ctx context.Context, seed uint64, faults []Fault) (problems []string) {
	defer w.End()
	record := func(err error) bool {
		if err != nil {
			problems = append(problems, err.Error())
		}
		return err == nil
	}
	if !record(w.Configure(ctx)) || !record(w.AwaitServing(ctx, "start")) {
		return problems
	}
	stop := w.Start(ctx, seed)
	defer w.beginCrowds(ctx)()
	w.InjectFaults(ctx, faults)
	record(w.AwaitServing(ctx, "after"))
	_ = duty.Pause(ctx, w.o.Calm)
	stop()
	record(w.AwaitAgreement(ctx))
	return problems
}

// keepLogs copies the logs of the processes to a folder of the seed.
func keepLogs(t *testing.T, dir string, seed uint64) {
	if *keep == "" {
		return
	}
	logs, err := filepath.Glob(filepath.Join(dir, "*", "log"))
	if err != nil {
		t.Error(err)
	}
	to := filepath.Join(*keep, fmt.Sprint(seed))
	if err := os.MkdirAll(to, 0o700); err != nil {
		t.Error(err)
	}
	for _, log := range logs {
		data, err := os.ReadFile(log)
		if err == nil {
			err = os.WriteFile(filepath.Join(to, filepath.Base(filepath.Dir(log))), data, 0o600)
		}
		if err != nil {
			t.Error(err)
		}
	}
}
