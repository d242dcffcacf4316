package capacity

import (
	"fmt"
	"math"
)

// Budgets of control, which is all work besides the request path.
const (
	BudgetCPU      = 0.041      // of a core, for one instance
	BudgetMemory   = 64_000_000 // bytes, for one instance
	BudgetBytes    = 8_000      // bytes in a second each way, for one instance
	BudgetSetAside = 7          // instances that do nothing else
	BudgetChange   = 4.0        // seconds until a change is in force everywhere
)

// Mark says what a figure is based on.
type Mark string

// Marks. A derived figure is computed from measured slopes only; one that also needs
// a number that was not measured is assumed.
const (
	Measured Mark = "measured"
	Derived  Mark = "derived"
	Assumed  Mark = "assumed"
)

// Cost is the cost for one instance.
type Cost struct {
	// CPU in cores.
	CPU float64 `json:"cpu_cores"`
	// Memory in bytes.
	Memory float64 `json:"memory_bytes"`
	// Sent and Received are bytes in a second, including framing.
	Sent     float64 `json:"sent_bytes_per_second"`
	Received float64 `json:"received_bytes_per_second"`
	// Messages sent and received in a second.
	Messages float64 `json:"messages_per_second"`
}

func (c Cost) plus(o Cost) Cost {
	return Cost{c.CPU + o.CPU, c.Memory + o.Memory, c.Sent + o.Sent, c.Received + o.Received, c.Messages + o.Messages}
}

// Over lists what exceeds the budgets, with the factor. Of the bytes the larger
// direction counts.
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

// Duty is a task of a role.
type Duty struct {
	Name string `json:"name"`
	// State that it keeps.
	State string `json:"state"`
	Cost  Cost   `json:"cost"`
	Mark  Mark   `json:"mark"`
	// Mechanism that performs it, with its package.
	Mechanism string `json:"mechanism"`
	// Slopes are the names of those that Cost is computed from.
	Slopes []string `json:"slopes"`
}

// Role is a role of an instance, which may have several.
type Role struct {
	Name   string `json:"name"`
	Duties []Duty `json:"duties"`
	// Own is the cost of the duties. Whole adds that of the entry instance and that of
	// the target owner, as instances with another role have these roles too.
	Own   Cost     `json:"own"`
	Whole Cost     `json:"whole"`
	Over  []string `json:"over"`
}

// Report is the whole table.
type Report struct {
	Size Size `json:"size"`
	// Members and Targets of the largest region, whose instances have the Roles.
	Members int    `json:"largest_region_members"`
	Targets int    `json:"largest_region_targets"`
	Roles   []Role `json:"roles"`
	Change  Change `json:"change"`
	Path    Path   `json:"path"`
	// SetAside is the number of instances that do nothing but control: 0, as each
	// role shares its instance with the request path. Disks is the
	// number that need a disk.
	SetAside int `json:"set_aside"`
	Disks    int `json:"disks"`
	// ClaimTableFullAfter is the time until a claim table is full and refuses new
	// keys, in seconds, if that is shorter than the lifetime of claims; else 0.
	ClaimTableFullAfter float64 `json:"claim_table_full_after_s"`
}

// Change is the time that an accepted change takes, in seconds.
type Change struct {
	Accept float64 `json:"accept_s"`
	Spread float64 `json:"spread_s"`
	// Install is the processor time along the longest path down the tree.
	Install float64 `json:"install_s"`
	Whole   float64 `json:"whole_s"`
}

// Path is the cost of the request path, which does not count as control.
type Path struct {
	// RequestCores and TokenCores are cores over all instances.
	RequestCores float64 `json:"request_cores"`
	TokenCores   float64 `json:"token_cores"`
	// PerInstance is the cores for one instance of the largest region.
	PerInstance float64 `json:"per_instance_cores"`
}

// New computes the report of a size. The error is that of Size.Check.
func New(size Size, slopes Slopes) (*Report, error) {
	if err := size.Check(); err != nil {
		return nil, err
	}
	w := estimator{size: size, region: size.region(), slopes: slopes}
	r := &Report{Size: size, Members: int(w.region.members), Targets: int(w.region.targets)}
	entry := w.role("entry instance", w.links(), w.membership(), w.bundleSpread(), w.bundleInstall(), w.loadsIn(), w.limits(), w.allocator(), w.burn())
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
			// Every instance owns targets.
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

// estimator computes the cost of duties in the largest region.
type estimator struct {
	size   Size
	region region
	slopes Slopes
}

func (w estimator) role(name string, duties ...Duty) Role {
	r := Role{Name: name, Duties: duties}
	for _, d := range duties {
		r.Own = r.Own.plus(d.Cost)
	}
	return r
}

// messageCost returns the cost of sending and receiving messages in a second, with
// their mean payloads in bytes.
func (w estimator) messageCost(sent, sentPayload, received, receivedPayload float64) Cost {
	frame := w.slopes.of("link_message_bytes")
	return Cost{
		// The slope is for both ends together.
		CPU:      (sent + received) * w.slopes.of("link_message_cpu") / 2 * 1e-9,
		Sent:     sent * (sentPayload + frame),
		Received: received * (receivedPayload + frame),
		Messages: sent + received,
	}
}

// treeLevels returns the levels of a tree of fan-out 3 over the members of the region.
func (w estimator) treeLevels() float64 {
	const fanOut = 3
	return math.Ceil(math.Log(w.region.members*(fanOut-1)+1) / math.Log(fanOut))
}

func (w estimator) change() Change {
	const roundTrip = 0.16
	c := Change{
		Accept:  roundTrip + w.slopes.of("accept_cpu")*1e-3*w.size.bundleScale(),
		Spread:  w.slopes.of("spread_time"),
		Install: (1 + w.treeLevels()) * w.slopes.of("install_cpu") * 1e-3 * w.size.bundleScale(),
	}
	c.Whole = c.Accept + c.Spread + c.Install
	return c
}

func (w estimator) path() Path {
	requests := w.size.Requests / w.slopes.of("path_requests")
	tokens := w.size.Tokens / w.slopes.of("path_tokens")
	share := min(w.size.largestShare(), 1)
	return Path{RequestCores: requests, TokenCores: tokens, PerInstance: (requests + tokens) * share / w.region.members}
}
