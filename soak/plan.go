package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is a kind of fault.
type Kind string

// Kinds of faults.
const (
	// Kill ends a process at once; it starts again after For.
	Kill Kind = "kill"
	// Pause stops a process for For and lets it go on.
	Pause Kind = "pause"
	// Restart asks a process to end, as planned work does, and starts it again.
	Restart Kind = "restart"
	// Reload tells a process that its settings may have changed.
	Reload Kind = "reload"
	// Wipe kills a core instance, takes its disk away and starts it again.
	Wipe Kind = "wipe"
	// Tear kills a core instance and leaves half a record at the end of its log.
	InterruptWrite Kind = "tear"
	// Delay, HoldIn, HoldOut and Cut are troubles of the network before a process or
	// a runner; ResetConns ends its connections.
	Delay      Kind = "delay"
	HoldIn     Kind = "hold_in"
	HoldOut    Kind = "hold_out"
	Cut        Kind = "cut"
	ResetConns Kind = "reset"
	// Crash ends a runner; another one comes under a new id after For.
	Crash Kind = "crash"
	// Drain empties a runner as planned, and adds another one.
	Drain Kind = "drain"
	// Refuse has the platform's list answer with an error for For.
	Refuse Kind = "refuse"
	// Rebirth ends a runner, which starts again under its id after For.
	RestartRunner Kind = "rebirth"
	// Foreign has the platform's list carry entries of another writer for For, which must
	// disturb nobody.
	ForeignEntries Kind = "foreign"
)

// Planned reports whether the fault is planned work, which disturbs no request.
func (k Kind) Planned() bool { return k == Restart || k == Reload || k == Drain || k == ForeignEntries }

// network reports whether the fault is one of a Forwarder.
func (k Kind) network() bool {
	return slices.Contains([]Kind{Delay, HoldIn, HoldOut, Cut, ResetConns}, k)
}

// Role is whom a fault concerns.
type Role string

// Roles.
const (
	RoleEntry  Role = "entry"
	RoleCore   Role = "core"
	RoleRunner Role = "runner"
	RoleList   Role = "list"
)

// Fault is one fault of a plan.
type Fault struct {
	Kind Kind
	Role Role
	// Number is the place among those of the role.
	Number int
	// At is counted from the start of the requests.
	At, For time.Duration
}

// String names the fault for logs.
func (f Fault) String() string {
	return fmt.Sprintf("%v %s %s %d for %v", f.At, f.Kind, f.Role, f.Number, f.For)
}

// Shape is the size of a site.
type Shape struct{ Cores, Entries, Runners int }

// kinds are those that may befall a role.
var kinds = map[Role][]Kind{
	RoleEntry:  {Kill, Pause, Restart, Restart, Reload, Delay, HoldIn, HoldOut, Cut, ResetConns},
	RoleCore:   {Kill, Pause, Restart, Restart, Reload, Wipe, InterruptWrite, Delay, HoldIn, HoldOut, Cut, ResetConns},
	RoleRunner: {Crash, Drain, Delay, HoldIn, HoldOut, Cut, ResetConns},
	RoleList:   {Refuse},
}

const (
	// shortest and longest bound a fault: from under a lost heartbeat to over an
	// election and the life of what is reported.
	shortest = 100 * time.Millisecond
	longest  = 3500 * time.Millisecond
	// meanGap is the mean time between the starts of two faults, so that they overlap.
	meanGap = 450 * time.Millisecond
)

// plannedOnly is how many seeds there are for each one whose plan is planned work only:
// what such work must not disturb shows only where no fault hides it.
const plannedOnly = 4

// Draw draws the faults of a seed over a time. At most one disk is lost: the site bears
// the loss of one at once, and a lost one is filled again some time later.
func DrawFaults(seed uint64, s Shape, span time.Duration) []Fault {
	rng := rand.New(rand.NewPCG(seed, 1))
	roles := map[Role]int{RoleEntry: s.Entries, RoleCore: s.Cores, RoleRunner: s.Runners, RoleList: 1}
	names := []Role{RoleEntry, RoleEntry, RoleCore, RoleCore, RoleRunner, RoleList}
	var out []Fault
	wiped := false
	for at := gap(rng); at < span; at += gap(rng) {
		role := names[rng.IntN(len(names))]
		among := kinds[role]
		if seed%plannedOnly == 0 {
			among = slices.DeleteFunc(slices.Clone(among), func(k Kind) bool { return !k.Planned() })
		}
		if len(among) == 0 {
			continue
		}
		kind := among[rng.IntN(len(among))]
		f := Fault{Kind: kind, Role: role, Number: rng.IntN(roles[role]), At: at, For: length(rng)}
		if kind == Wipe && wiped {
			f.Kind = Kill
		}
		wiped = wiped || kind == Wipe
		out = append(out, f)
		if rng.IntN(4) == 0 && !kind.Planned() && kind != Wipe {
			// The same befalls several at once.
			other := rng.IntN(roles[role])
			if other != f.Number {
				f.Number = other
				out = append(out, f)
			}
		}
	}
	return out
}

// DrawLater draws faults of the kinds that came when seeds had been kept: among the others
// they would change the plans of these.
func DrawExtraFaults(seed uint64, s Shape, span time.Duration) []Fault {
	rng := rand.New(rand.NewPCG(seed, 2))
	var out []Fault
	for at := laterGap(rng); at < span; at += laterGap(rng) {
		f := Fault{Kind: ForeignEntries, Role: RoleList, At: at, For: length(rng)}
		if reborn := rng.IntN(s.Runners); rng.IntN(2) == 0 && seed%plannedOnly != 0 {
			f.Kind, f.Role, f.Number = RestartRunner, RoleRunner, reborn
		}
		out = append(out, f)
	}
	return out
}

// laterGap is longer than a gap, as these faults come beside the others.
func laterGap(rng *rand.Rand) time.Duration { return 3 * gap(rng) }

func gap(rng *rand.Rand) time.Duration {
	return time.Duration(rng.ExpFloat64() * float64(meanGap)).Round(time.Millisecond)
}

func length(rng *rand.Rand) time.Duration {
	return (shortest + time.Duration(rng.Int64N(int64(longest-shortest)))).Round(time.Millisecond)
}
