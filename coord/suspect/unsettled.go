package suspect

import (
	"slices"
	"time"
)

const (
	// aliveAfter is how long after an end an answer of the target shows that it has not crashed: a
	// connection that is closed by a crash ends as late as the last answer on another one.
	aliveAfter = 250 * time.Millisecond
	// settleAfter is how long after its end an answer is settled, and forgetAfter when it is dropped if
	// its target has shown no sign of life.
	settleAfter, forgetAfter = 3 * time.Second, 10 * time.Second
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

	alive bool
}

// Unsettled holds ends until a sign shows what they were: of their target's life, or of its crash. The
// zero value is ready to use. It is not safe for concurrent use.
type Unsettled struct {
	ends  map[string][]End
	count int
}

// Add records an end.
func (u *Unsettled) Add(e End) {
	if u.count >= maxUnsettled {
		return
	}
	if u.ends == nil {
		u.ends = make(map[string][]End)
	}
	u.ends[e.Crash.Target] = append(u.ends[e.Crash.Target], e)
	u.count++
}

// Alive records that a target has answered.
func (u *Unsettled) Alive(now time.Time, target string) {
	ends := u.ends[target]
	for n := range ends {
		if now.Sub(ends[n].At) >= aliveAfter {
			ends[n].alive = true
		}
	}
}

// Crashed records that a target has crashed, and returns and removes its ends from a time on that it
// did not outlive.
func (u *Unsettled) Crashed(since time.Time, target string) []End {
	return u.take(target, func(e *End) bool { return !e.alive && !e.At.Before(since) })
}

// Gone records that a target cannot be reached or has started again, which may have other reasons than a
// crash, and returns and removes its whole answers that it is not known to have outlived.
func (u *Unsettled) Gone(target string) []End {
	return u.take(target, func(e *End) bool { return e.Whole && !e.alive })
}

// Settle returns and removes the whole answers that their target has outlived, and drops old ends.
func (u *Unsettled) Settle(now time.Time) []End {
	var out []End
	for target := range u.ends {
		out = append(out, u.take(target, func(e *End) bool { return e.Whole && e.alive && now.Sub(e.At) >= settleAfter })...)
		u.take(target, func(e *End) bool { return now.Sub(e.At) >= forgetAfter })
	}
	return out
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
