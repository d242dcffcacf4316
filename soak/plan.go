package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/gullhaven/gullhaven/platform/platformtest"
)

// Kind is a kind of fault.
type Kind string

// Kinds of faults.
const (
	// Kill kills a process and starts it again after For.
	Kill Kind = "kill"
	// Pause pauses a process for For.
	Pause Kind = "pause"
	// Restart stops a process gracefully, as planned work does, and starts it again.
	Restart Kind = "restart"
	// Reload signals to a process that its settings may have changed.
	Reload Kind = "reload"
	// Wipe kills a core instance, empties its disk and starts it again.
	Wipe Kind = "wipe"
	// InterruptWrite kills a core instance, leaves a partial record at the end of its log
	// and starts it again.
	InterruptWrite Kind = "tear"
	// Delay, HoldIn, HoldOut and Cut impair the network in front of a process or a
	// runner; ResetConns resets its connections.
	Delay      Kind = "delay"
	HoldIn     Kind = "hold_in"
	HoldOut    Kind = "hold_out"
	Cut        Kind = "cut"
	ResetConns Kind = "reset"
	// Crash ends a runner; another one starts under a new ID after For.
	Crash Kind = "crash"
	// Drain drains a runner as planned and replaces it by another one.
	Drain Kind = "drain"
	// Refuse has the platform's list return an error for For.
	Refuse Kind = "refuse"
	// RestartRunner ends a runner, which starts again under its ID after For.
	RestartRunner Kind = "rebirth"
	// ForeignEntries adds entries of another writer to the platform's list for For, which
	// must disturb no request.
	ForeignEntries Kind = "foreign"
	// TurnAway has a runner turn all requests away for For and ask for rest.
	TurnAway Kind = "turn_away"
	// Reject is TurnAway without a rest.
	Reject Kind = "reject"
	// Leave is Drain, with answers that say that the runner is leaving. The list says so later.
	Leave Kind = "leave"
	// Silence has a runner be silent in the middle of its streams, which it finishes.
	Silence Kind = "silence"
	// SpoilResumed has a runner reject, break off or never answer streams that the site sends on to it.
	SpoilResumed Kind = "spoil"
	// RefuseConns has a runner refuse new connections and serve those that it has.
	RefuseConns Kind = "refuse_conns"
	// Double has a runner turn a share of requests away, and send each answer a second time, where the
	// next one is expected.
	Double Kind = "double"
	// StopHeads has a runner stop a part of its answers in their head or right after it, or send what is not valid HTTP,
	// and close.
	StopHeads Kind = "stop_heads"
)

// Planned reports whether the fault is planned work, which must disturb no request.
func (k Kind) Planned() bool {
	return slices.Contains([]Kind{Restart, Reload, Drain, ForeignEntries, TurnAway, Reject, Leave, Silence, SpoilResumed, RefuseConns, Double, StopHeads}, k)
}

// network reports whether the fault is injected by a Forwarder.
func (k Kind) network() bool {
	return slices.Contains([]Kind{Delay, HoldIn, HoldOut, Cut, ResetConns}, k)
}

// Role is the kind of component that a fault affects.
type Role string

// Roles.
const (
	RoleEntry  Role = "entry"
	RoleCore   Role = "core"
	RoleRunner Role = "runner"
	RoleList   Role = "list"
)

// Fault is a fault of a plan.
type Fault struct {
	Kind Kind
	Role Role
	// Number is the index among the components of the role.
	Number int
	// At is the time from the start of the plan, For the duration.
	At, For time.Duration
}

// String describes the fault for logs.
func (f Fault) String() string {
	return fmt.Sprintf("%v %s %s %d for %v", f.At, f.Kind, f.Role, f.Number, f.For)
}

// Shape is the number of core instances, entry instances and runners of a site.
type Shape struct{ Cores, Entries, Runners int }

// kinds are the faults that DrawFaults draws for each role; a kind that is listed twice is
// twice as likely.
var kinds = map[Role][]Kind{
	RoleEntry:  {Kill, Pause, Restart, Restart, Reload, Delay, HoldIn, HoldOut, Cut, ResetConns},
	RoleCore:   {Kill, Pause, Restart, Restart, Reload, Wipe, InterruptWrite, Delay, HoldIn, HoldOut, Cut, ResetConns},
	RoleRunner: {Crash, Drain, Delay, HoldIn, HoldOut, Cut, ResetConns},
	RoleList:   {Refuse},
}

const (
	// minFaultTime and maxFaultTime bound the duration of a fault: from less than a missed
	// heartbeat to more than an election and the expiry of reports.
	minFaultTime = 100 * time.Millisecond
	maxFaultTime = 3500 * time.Millisecond
	// meanGap is the mean time between the starts of two faults, short enough that they
	// overlap.
	meanGap = 450 * time.Millisecond
)

// plannedOnlyEvery is the interval of seeds whose plan is planned work only: what such work
// disturbs shows only if no other fault hides it.
const plannedOnlyEvery = 4

// DrawFaults returns the faults of a seed within span, sorted by At. At most one disk is
// wiped: the site tolerates the loss of one at a time, and restoring it takes a while.
func DrawFaults(seed uint64, s Shape, span time.Duration) []Fault {
	rng := rand.New(rand.NewPCG(seed, 1))
	roles := map[Role]int{RoleEntry: s.Entries, RoleCore: s.Cores, RoleRunner: s.Runners, RoleList: 1}
	names := []Role{RoleEntry, RoleEntry, RoleCore, RoleCore, RoleRunner, RoleList}
	var out []Fault
	wiped := false
	for at := gap(rng); at < span; at += gap(rng) {
		role := names[rng.IntN(len(names))]
		among := kinds[role]
		if seed%plannedOnlyEvery == 0 {
			among = slices.DeleteFunc(slices.Clone(among), func(k Kind) bool { return !k.Planned() })
		}
		if len(among) == 0 {
			continue
		}
		kind := among[rng.IntN(len(among))]
		f := Fault{Kind: kind, Role: role, Number: rng.IntN(roles[role]), At: at, For: faultTime(rng)}
		if kind == Wipe && wiped {
			f.Kind = Kill
		}
		wiped = wiped || kind == Wipe
		out = append(out, f)
		if rng.IntN(4) == 0 && !kind.Planned() && kind != Wipe {
			// The same fault affects two components at once.
			other := rng.IntN(roles[role])
			if other != f.Number {
				f.Number = other
				out = append(out, f)
			}
		}
	}
	return out
}

// DrawExtraFaults returns faults of the kinds that DrawFaults must not draw, as they would
// change the plans of the recorded seeds. They are sorted by At.
func DrawExtraFaults(seed uint64, s Shape, span time.Duration) []Fault {
	rng := rand.New(rand.NewPCG(seed, 2))
	var out []Fault
	for at := extraGap(rng); at < span; at += extraGap(rng) {
		f := Fault{Kind: ForeignEntries, Role: RoleList, At: at, For: faultTime(rng)}
		if reborn := rng.IntN(s.Runners); rng.IntN(2) == 0 && seed%plannedOnlyEvery != 0 {
			f.Kind, f.Role, f.Number = RestartRunner, RoleRunner, reborn
		}
		out = append(out, f)
	}
	return out
}

// DrawTargetFaults returns faults in which runners say something of themselves, sorted by At. Like
// those of DrawExtraFaults they are added to the recorded plans.
func DrawTargetFaults(seed uint64, s Shape, span time.Duration) []Fault {
	rng := rand.New(rand.NewPCG(seed, 3))
	var out []Fault
	for at := extraGap(rng); at < span; at += extraGap(rng) {
		f := Fault{Kind: TurnAway, Role: RoleRunner, Number: rng.IntN(s.Runners), At: at, For: faultTime(rng)}
		if rng.IntN(4) == 0 {
			f.Kind = Leave
		}
		out = append(out, f)
	}
	return out
}

// wideKinds are the faults that DrawWideFaults draws for each role.
var wideKinds = map[Role][]Kind{
	RoleEntry:  {Pause, Pause, Kill, Restart},
	RoleRunner: {Reject, Reject, Reject, HoldIn, HoldOut, Cut, ResetConns},
}

// DrawWideFaults returns faults each of which affects all entry instances or all runners at once, so
// that most requests need another attempt. They are sorted by At.
func DrawWideFaults(seed uint64, s Shape, span time.Duration) []Fault {
	rng := rand.New(rand.NewPCG(seed, 4))
	count := map[Role]int{RoleEntry: s.Entries, RoleRunner: s.Runners}
	roles := []Role{RoleEntry, RoleRunner, RoleRunner}
	var out []Fault
	for at := gap(rng); at < span; at += extraGap(rng) {
		role := roles[rng.IntN(len(roles))]
		f := Fault{Kind: wideKinds[role][rng.IntN(len(wideKinds[role]))], Role: role, At: at, For: faultTime(rng)}
		for f.Number = range count[role] {
			out = append(out, f)
		}
	}
	return out
}

// strainKinds are the faults that DrawStrain draws for each role: planned work, and what runners may do
// without that a request is lost.
var strainKinds = map[Role][]Kind{
	RoleEntry:  {Restart, Restart, Reload},
	RoleRunner: {Silence, Silence, Silence, SpoilResumed, SpoilResumed, RefuseConns, RefuseConns, Double, Reject, Drain},
}

// DrawStrain returns planned work and faults of runners that must disturb no request, sorted by At. Silence
// and spoiled streams come at several runners at once.
func DrawStrain(seed uint64, s Shape, span time.Duration) []Fault {
	rng := rand.New(rand.NewPCG(seed, 6))
	count := map[Role]int{RoleEntry: s.Entries, RoleRunner: s.Runners}
	roles := []Role{RoleEntry, RoleRunner, RoleRunner, RoleRunner}
	var out []Fault
	for at := gap(rng); at < span; at += gap(rng) {
		role := roles[rng.IntN(len(roles))]
		f := Fault{Kind: strainKinds[role][rng.IntN(len(strainKinds[role]))], Role: role, Number: rng.IntN(count[role]), At: at, For: faultTime(rng)}
		out = append(out, f)
		if f.Kind != Silence && f.Kind != SpoilResumed {
			continue
		}
		for n := range s.Runners {
			if n != f.Number && rng.IntN(2) == 0 {
				out = append(out, Fault{Kind: f.Kind, Role: role, Number: n, At: at, For: f.For})
			}
		}
	}
	return out
}

// overlapKinds are the faults that DrawOverlaps draws.
var overlapKinds = []Kind{RefuseConns, RefuseConns, RefuseConns, StopHeads, StopHeads, Silence, SpoilResumed}

// DrawOverlaps returns faults of runners that have runs overlap with their hedges and answers stop early, sorted by
// At. Only runners of streams refuse connections.
func DrawOverlaps(seed uint64, s Shape, span time.Duration) []Fault {
	rng := rand.New(rand.NewPCG(seed, 8))
	var out []Fault
	for at := gap(rng); at < span; at += gap(rng) {
		f := Fault{Kind: overlapKinds[rng.IntN(len(overlapKinds))], Role: RoleRunner, Number: rng.IntN(s.Runners), At: at, For: faultTime(rng)}
		if f.Kind == RefuseConns && serviceOf(f.Number) != platformtest.ServiceEngine {
			f.Number = (f.Number + zones) % s.Runners
		}
		out = append(out, f)
	}
	return out
}

// massCrashGap is the mean time between the crashes of DrawMassCrashes: long enough that streams run again.
const massCrashGap = 1500 * time.Millisecond

// DrawMassCrashes returns faults in which all runners, or every second one, end in the same moment under the
// requests in flight there, sorted by At.
func DrawMassCrashes(seed uint64, s Shape, span time.Duration) []Fault {
	rng := rand.New(rand.NewPCG(seed, 5))
	var out []Fault
	for at := massCrashGap; at < span; at += massCrashGap + gap(rng) {
		f := Fault{Kind: Crash, Role: RoleRunner, At: at, For: minFaultTime + faultTime(rng)/4}
		step := 1 + rng.IntN(2)
		for f.Number = rng.IntN(step); f.Number < s.Runners; f.Number += step {
			out = append(out, f)
		}
	}
	return out
}

// extraGap is longer than gap, as these faults are added to the others.
func extraGap(rng *rand.Rand) time.Duration { return 3 * gap(rng) }

func gap(rng *rand.Rand) time.Duration {
	return time.Duration(rng.ExpFloat64() * float64(meanGap)).Round(time.Millisecond)
}

func faultTime(rng *rand.Rand) time.Duration {
	return (minFaultTime + time.Duration(rng.Int64N(int64(maxFaultTime-minFaultTime)))).Round(time.Millisecond)
}
