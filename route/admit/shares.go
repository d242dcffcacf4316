package admit

import (
	"math"
	"time"
)

const (
	// Decay is the time over which work counts: after it, 1/e of it is left.
	Decay = 4 * time.Second
	// MaxWorkspaces bounds the workspaces tracked. Beyond it, the one that has asked for the least makes
	// room.
	MaxWorkspaces = 4096
	// minWorkMillis is the least work that a request counts for, in milliseconds: one with a cached
	// prompt takes part of a step.
	minWorkMillis = 1.0
	// maxExponent bounds the exponent of the scale; beyond it, all work is scaled again. e^30 is far from
	// the largest float64, and work that old no longer counts.
	maxExponent = 30.0
	// negligibleMillis is the asked work below which a workspace is forgotten when work is scaled again.
	negligibleMillis = 1e-9
	// tolerance is the relative error of the sums, so that a workspace that has had all that it asked
	// for is not over its share by rounding.
	tolerance = 1e-9
)

// Shares tracks the work that was asked for and admitted per workspace in one group of targets. It is
// not safe for concurrent use.
//
// All work is scaled by e^(t/Decay), t being its time since the start of the scale: instead of the sums
// of all workspaces decaying, new work counts for more, and a decision costs no update of the others.
type Shares struct {
	start time.Time
	// names, asked, admitted and generations are by position, and positions by name. The sums lie in
	// slices of their own as each decision under a long queue reads all of them.
	names           []string
	asked, admitted []float64
	// generations distinguishes a workspace from one of the same name that was forgotten.
	generations    []uint64
	positions      map[string]int
	lastGeneration uint64
	// level is the last fair level found, where the next search starts.
	level  float64
	lastAt time.Time
	// lastTrial is when a request was last admitted though its first event was expected after its deadline.
	lastTrial time.Time
	// epoch is the number of scales so far, and lastFactor what work was multiplied by at the start of
	// this one.
	epoch      uint64
	lastFactor float64
}

// NewShares returns shares without any work.
func NewShares() *Shares { return &Shares{positions: map[string]int{}} }

// Grant is the work counted for one request, for Return.
type Grant struct {
	workspace         string
	generation, epoch uint64
	// asked and admitted are scaled; both are 0 once they were returned.
	asked, admitted float64
}

// Decide decides on a request that has not run, and counts its work as asked for, and as admitted if it
// is. The grant is for a request that goes elsewhere or does not run after all.
func (s *Shares) Decide(now time.Time, r Request) (Decision, *Grant) {
	g := s.ask(now, &r)
	d := s.judge(now, &r)
	if !d.Refused() {
		s.admit(g)
	}
	return d, g
}

// Count counts a request as asked for and admitted without a decision: one that must not be refused, as
// an earlier attempt may have run it.
func (s *Shares) Count(now time.Time, r Request) *Grant {
	g := s.ask(now, &r)
	s.admit(g)
	return g
}

// judge decides on a request whose work has been counted as asked for.
func (s *Shares) judge(now time.Time, r *Request) Decision {
	var d Decision
	if !r.Promised && r.queueLongerThan(maxQueueShareOver) {
		factor := 1 / s.scale(now)
		used, level := s.admitted[s.positions[r.Workspace]], s.findLevel()
		d.UsedMillis, d.ShareMillis = used*factor, level*factor
		switch {
		case r.queueLongerThan(maxQueueShare):
			d.Reason = Overloaded
		case used > level*(1+tolerance):
			d.Reason = OverShare
		}
	}
	if d.Reason == "" && r.pastDeadline() && !s.isTrial(now, r) {
		d.Reason = PastDeadline
	}
	return d
}

// TrialInterval is the time between two requests that are admitted though their first events are expected
// after their deadlines. Expected times are learned from first events: if all such requests were refused,
// nothing would correct times that are too long, as after all targets hung for a while.
const TrialInterval = time.Second

// isTrial reports whether a request is admitted as the next trial. It would wait for little but itself.
func (s *Shares) isTrial(now time.Time, r *Request) bool {
	if r.queueLongerThan(maxQueueShareOver) || now.Sub(s.lastTrial) < TrialInterval {
		return false
	}
	s.lastTrial = now
	return true
}

// Return takes the work of a request out that goes elsewhere or does not run after all. Only the first
// call for a grant does something.
func (s *Shares) Return(g *Grant) {
	if k, ok := s.positions[g.workspace]; ok && s.generations[k] == g.generation {
		factor := s.since(g.epoch)
		s.asked[k] = max(0, s.asked[k]-factor*g.asked)
		s.admitted[k] = max(0, s.admitted[k]-factor*g.admitted)
	}
	g.asked, g.admitted = 0, 0
}

// since returns what work of an epoch must be multiplied by to be of this one. Work of the epoch before
// the last one has decayed.
func (s *Shares) since(epoch uint64) float64 {
	switch epoch {
	case s.epoch:
		return 1
	case s.epoch - 1:
		return s.lastFactor
	}
	return 0
}

// Level returns the fair level in milliseconds of work: the level at which the sum of the smaller of it
// and the work asked for, over all workspaces, equals all work admitted. If all work asked for is
// admitted, it is the most that one workspace has asked for.
func (s *Shares) Level(now time.Time) float64 {
	scale := s.scale(now)
	if len(s.names) == 0 {
		return 0
	}
	return s.findLevel() / scale
}

// Work is the work counted for a workspace, in milliseconds.
type Work struct{ AskedMillis, AdmittedMillis float64 }

// Work returns the work of a workspace; zero for one that is not tracked.
func (s *Shares) Work(now time.Time, workspace string) Work {
	factor := 1 / s.scale(now)
	k, ok := s.positions[workspace]
	if !ok {
		return Work{}
	}
	return Work{AskedMillis: s.asked[k] * factor, AdmittedMillis: s.admitted[k] * factor}
}

// Workspaces returns the number of workspaces tracked.
func (s *Shares) Workspaces() int { return len(s.names) }

// idleAfter is the time after the last request when what is left of any work is negligible: e^-10 of it.
const idleAfter = 10 * Decay

// Idle reports whether the shares can be dropped, as their work has decayed.
func (s *Shares) Idle(now time.Time) bool { return now.Sub(s.lastAt) > idleAfter }

// ask counts the work of a request as asked for.
func (s *Shares) ask(now time.Time, r *Request) *Grant {
	if len(s.names) == 0 {
		s.start = now
	}
	if now.After(s.lastAt) {
		s.lastAt = now
	}
	work := minWorkMillis
	if r.WorkMillis > work && !math.IsInf(r.WorkMillis, 1) {
		work = r.WorkMillis
	}
	scaled := work * s.scale(now)
	k := s.position(r.Workspace)
	s.asked[k] += scaled
	return &Grant{workspace: r.Workspace, generation: s.generations[k], epoch: s.epoch, asked: scaled}
}

// admit counts the work of a request as admitted that has just been counted as asked for.
func (s *Shares) admit(g *Grant) {
	g.admitted = g.asked
	s.admitted[s.positions[g.workspace]] += g.admitted
}

// scale returns what one millisecond of work at a time counts for.
func (s *Shares) scale(now time.Time) float64 {
	exponent := float64(now.Sub(s.start)) / float64(Decay)
	if exponent > maxExponent {
		s.rescale(now, math.Exp(-exponent))
		return 1
	}
	return math.Exp(exponent)
}

// rescale starts a new scale and forgets the workspaces whose work is negligible.
func (s *Shares) rescale(now time.Time, factor float64) {
	s.start, s.lastFactor = now, factor
	s.epoch++
	s.level *= factor
	for k := len(s.names) - 1; k >= 0; k-- {
		s.asked[k] *= factor
		s.admitted[k] *= factor
		if s.asked[k] < negligibleMillis {
			s.forget(k)
		}
	}
}

// position returns the position of a workspace, and adds the workspace if it is not tracked.
func (s *Shares) position(workspace string) int {
	if k, ok := s.positions[workspace]; ok {
		return k
	}
	if len(s.names) >= MaxWorkspaces {
		s.forget(s.leastAsked())
	}
	k := len(s.names)
	s.lastGeneration++
	s.names, s.generations = append(s.names, workspace), append(s.generations, s.lastGeneration)
	s.asked, s.admitted = append(s.asked, 0), append(s.admitted, 0)
	s.positions[workspace] = k
	return k
}

// leastAsked returns the position of the workspace that has asked for the least.
func (s *Shares) leastAsked() int {
	least := 0
	for k, asked := range s.asked {
		if asked < s.asked[least] {
			least = k
		}
	}
	return least
}

// forget removes a workspace; the last one takes its position.
func (s *Shares) forget(k int) {
	last := len(s.names) - 1
	delete(s.positions, s.names[k])
	if k != last {
		s.names[k], s.generations[k], s.asked[k], s.admitted[k] = s.names[last], s.generations[last], s.asked[last], s.admitted[last]
		s.positions[s.names[k]] = k
	}
	s.names[last] = ""
	s.names, s.generations, s.asked, s.admitted = s.names[:last], s.generations[:last], s.asked[:last], s.admitted[:last]
}
