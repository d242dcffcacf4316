package capacity

import (
	"fmt"
	"math"
)

// Budget of control for one instance.
const (
	BudgetCPU      = 0.041      // of a core
	BudgetMemory   = 64_000_000 // bytes
	BudgetBytes    = 8_000      // bytes in a second
	BudgetSetAside = 7          // instances
	BudgetChange   = 4.0        // seconds until a change is in force everywhere
)

// Mark says how a figure was come by.
type Mark string

// Marks. A derived figure is worked out from measured slopes only; one that
// needs a number that nobody measured is assumed.
const (
	Measured Mark = "measured"
	Derived  Mark = "derived"
	Assumed  Mark = "assumed"
)

// Cost is what one instance spends.
type Cost struct {
	// CPU is a share of a core.
	CPU float64 `json:"cpu_cores"`
	// Memory in bytes.
	Memory float64 `json:"memory_bytes"`
	// Sent and Received are bytes in a second, framing included.
	Sent     float64 `json:"sent_bytes_per_second"`
	Received float64 `json:"received_bytes_per_second"`
	// Messages sent and received in a second.
	Messages float64 `json:"messages_per_second"`
}

func (c Cost) plus(o Cost) Cost {
	return Cost{c.CPU + o.CPU, c.Memory + o.Memory, c.Sent + o.Sent, c.Received + o.Received, c.Messages + o.Messages}
}

// Over names what exceeds the budget of control. Of bytes the larger direction
// counts.
func (c Cost) Over() []string {
	var over []string
	add := func(name string, value, budget float64) {
		if value > budget {
			over = append(over, fmt.Sprintf("%s %.1fx", name, value/budget))
		}
	}
	add("cpu", c.CPU, BudgetCPU)
	add("memory", c.Memory, BudgetMemory)
	add("bytes", max(c.Sent, c.Received), BudgetBytes)
	return over
}

// Duty is one thing that a role does.
type Duty struct {
	Name string `json:"name"`
	// State that it keeps.
	State string `json:"state"`
	Cost  Cost   `json:"cost"`
	Mark  Mark   `json:"mark"`
	// Mechanism that carries it, by package.
	Mechanism string `json:"mechanism"`
	// Slopes that it is worked out from.
	Slopes []string `json:"slopes"`
}

// Role is a part that an instance plays beside others.
type Role struct {
	Name   string `json:"name"`
	Duties []Duty `json:"duties"`
	// Own is the sum of the duties; Whole adds what every instance spends.
	Own   Cost     `json:"own"`
	Whole Cost     `json:"whole"`
	Over  []string `json:"over"`
}

// Report is the whole table.
type Report struct {
	Size Size `json:"size"`
	// Members and Targets of the largest region, which the roles are those of.
	Members int    `json:"largest_region_members"`
	Targets int    `json:"largest_region_targets"`
	Roles   []Role `json:"roles"`
	Change  Change `json:"change"`
	Path    Path   `json:"path"`
	// SetAside instances do nothing but control; Disks need one.
	SetAside int `json:"set_aside"`
	Disks    int `json:"disks"`
	// ClaimTime is how long a claim table lasts until it refuses new keys, in
	// seconds, if it is shorter than the lifetime of claims; else 0.
	ClaimTableFullAfter float64 `json:"claim_table_full_after_s"`
}

// Change is how long an accepted change takes, in seconds.
type Change struct {
	Accept float64 `json:"accept_s"`
	Spread float64 `json:"spread_s"`
	// Install is processor time on the longest way down the tree.
	Install float64 `json:"install_s"`
	Whole   float64 `json:"whole_s"`
}

// Path is what the request path needs, which is no control.
type Path struct {
	// Cores over all instances for requests and for tokens.
	RequestCores float64 `json:"request_cores"`
	TokenCores   float64 `json:"token_cores"`
	// PerInstance in the largest region, in cores.
	PerInstance float64 `json:"per_instance_cores"`
}

// New works out the table of a size.
func New(size Size, slopes Slopes) (*Report, error) {
	if err := size.Check(); err != nil {
		return nil, err
	}
	w := worker{size: size, region: size.region(), slopes: slopes}
	r := &Report{Size: size, Members: int(w.region.members), Targets: int(w.region.targets)}
	entry := w.role("entry instance", w.links(), w.membership(), w.spread(), w.install(), w.loadsIn(), w.limits(), w.allocator(), w.burn())
	r.Roles = []Role{
		entry,
		w.role("target owner", w.polls(), w.loadsOut()),
		w.role("relay", w.roster(), w.summaries()),
		w.role("region leader", w.groupHeartbeats(), w.claims(), w.orders()),
		w.role("control voter", w.globalHeartbeats(), w.acceptance(), w.globalLog()),
	}
	for i := range r.Roles {
		whole := r.Roles[i].Own
		if i > 0 {
			whole = whole.plus(entry.Own)
		}
		if i > 1 {
			// Every instance with targets to poll owns some.
			whole = whole.plus(r.Roles[1].Own)
		}
		r.Roles[i].Whole, r.Roles[i].Over = whole, whole.Over()
	}
	r.Change, r.Path = w.change(), w.path()
	r.Disks = min(size.Voters+3*size.Regions, size.Instances)
	if held := w.claimRate() * size.ClaimLifetime; held > maxClaims {
		r.ClaimTableFullAfter = maxClaims / w.claimRate()
	}
	return r, nil
}

// worker works out duties.
type worker struct {
	size   Size
	region region
	slopes Slopes
}

func (w worker) role(name string, duties ...Duty) Role {
	r := Role{Name: name, Duties: duties}
	for _, d := range duties {
		r.Own = r.Own.plus(d.Cost)
	}
	return r
}

// messages is the cost of sending and receiving messages of a mean payload.
func (w worker) messages(sent, sentPayload, received, receivedPayload float64) Cost {
	frame := w.slopes.of("link_message_bytes")
	return Cost{
		// The slope is that of both ends together.
		CPU:      (sent + received) * w.slopes.of("link_message_cpu") / 2 * 1e-9,
		Sent:     sent * (sentPayload + frame),
		Received: received * (receivedPayload + frame),
		Messages: sent + received,
	}
}

// levels of a tree of fan-out 3 over the members of the region.
func (w worker) levels() float64 {
	const fanOut = 3
	return math.Ceil(math.Log(w.region.members*(fanOut-1)+1) / math.Log(fanOut))
}

func (w worker) change() Change {
	const roundTrip = 0.16
	c := Change{
		Accept:  roundTrip + w.slopes.of("accept_cpu")*1e-3*w.size.bundleScale(),
		Spread:  w.slopes.of("spread_time"),
		Install: (1 + w.levels()) * w.slopes.of("install_cpu") * 1e-3 * w.size.bundleScale(),
	}
	c.Whole = c.Accept + c.Spread + c.Install
	return c
}

func (w worker) path() Path {
	requests := w.size.Requests / w.slopes.of("path_requests")
	tokens := w.size.Tokens / w.slopes.of("path_tokens")
	share := min(w.size.largest(), 1)
	return Path{RequestCores: requests, TokenCores: tokens, PerInstance: (requests + tokens) * share / w.region.members}
}
