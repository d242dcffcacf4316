package suspect

import (
	"maps"
	"slices"
	"time"
)

// ProbeAfter is how long after the unsettled end of a suspect's attempt its target should be probed, so that
// the end tells something: long enough for Alive.
const ProbeAfter = aliveAfter + 50*time.Millisecond

const (
	// aliveAfter is how long after an end an answer of the target shows that it has not crashed: a
	// connection that is closed by a crash ends as late as the last answer on another one.
	aliveAfter = 250 * time.Millisecond
	// restartTime is the least time that a target is away after a crash. One that answers later may have
	// started again under its ID: such an end is settled after settleAfter, when a list of targets would
	// have shown that.
	restartTime, settleAfter = time.Second, 3 * time.Second
	// forgetAfter is when an end is dropped whose target has shown no sign of life.
	forgetAfter = 10 * time.Second
	// maxUnsettled bounds the ends; further ones are dropped.
	maxUnsettled = 4096
)

// End is the end of an attempt that does not tell whether its target crashed: an answer that ends with
// its connection, or an attempt whose caller left first.
type End struct {
	Sent
	Crash Crash
	At    time.Time
	// Whole says that the answer is whole unless its target crashed: then it proves innocence.
	Whole bool

	// outlived says that the target has answered before it can have started again, alive that it has
	// answered later.
	outlived, alive bool
}

// Unsettled holds ends until a sign shows what they were: of their target's life, or of its crash. The
// zero value is ready to use. It is not safe for concurrent use.
type Unsettled struct {
	ends  map[string][]End
	count int
	// crashes has when the last crash of a target was found.
	crashes map[string]time.Time
}

// Add records an end, and reports whether a crash of the target was found just before: then the end was
// one of its crash and is not kept.
func (u *Unsettled) Add(e End) (crashed bool) {
	if at, ok := u.crashes[e.Crash.Target]; ok && e.At.Sub(at) < aliveAfter && !e.SentAt.After(at) {
		return true
	}
	if u.count >= maxUnsettled {
		return false
	}
	if u.ends == nil {
		u.ends = make(map[string][]End)
	}
	u.ends[e.Crash.Target] = append(u.ends[e.Crash.Target], e)
	u.count++
	return false
}

// Alive records that a target has answered.
func (u *Unsettled) Alive(now time.Time, target string) {
	ends := u.ends[target]
	for n := range ends {
		switch age := now.Sub(ends[n].At); {
		case age >= restartTime:
			ends[n].alive = true
		case age >= aliveAfter:
			ends[n].outlived = true
		}
	}
}

// Crashed records that a crash of a target was found now, and returns and removes its ends of a time
// before that it did not outlive.
func (u *Unsettled) Crashed(now time.Time, within time.Duration, target string) []End {
	if u.crashes == nil {
		u.crashes = make(map[string]time.Time)
	}
	u.crashes[target] = now
	return u.take(target, func(e *End) bool { return !e.outlived && now.Sub(e.At) <= within })
}

// Gone records that a target cannot be reached or has started again, which may have other reasons than a
// crash, and returns and removes its whole answers that it is not known to have outlived.
func (u *Unsettled) Gone(target string) []End {
	return u.take(target, func(e *End) bool { return e.Whole && !e.outlived })
}

// Settle returns and removes the whole answers that their target has outlived, and drops old ends.
func (u *Unsettled) Settle(now time.Time) []End {
	var out []End
	for target := range u.ends {
		out = append(out, u.take(target, func(e *End) bool { return e.settled(now) })...)
		u.take(target, func(e *End) bool { return now.Sub(e.At) >= forgetAfter })
	}
	maps.DeleteFunc(u.crashes, func(_ string, at time.Time) bool { return now.Sub(at) >= forgetAfter })
	return out
}

func (e *End) settled(now time.Time) bool {
	return e.Whole && (e.outlived || e.alive && now.Sub(e.At) >= settleAfter)
}

// Targets returns the targets of all ends.
func (u *Unsettled) Targets() []string {
	var out []string
	for target := range u.ends {
		out = append(out, target)
	}
	return out
}

func (u *Unsettled) take(target string, chosen func(e *End) bool) []End {
	var out []End
	left := slices.DeleteFunc(u.ends[target], func(e End) bool {
		if !chosen(&e) {
			return false
		}
		out = append(out, e)
		return true
	})
	u.count -= len(out)
	if len(left) == 0 {
		delete(u.ends, target)
	} else {
		u.ends[target] = left
	}
	return out
}
