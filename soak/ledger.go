package soak

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/gullhaven/gullhaven/platform/platformtest"
)

// Request is one request as its caller saw it.
type Request struct {
	ID   string
	Path string
	// Entry is the address that it was sent to.
	Entry      string
	Start, End time.Time
	platformtest.Outcome
}

// once reports whether the request must not be run again.
func (r *Request) once() bool {
	return strings.HasPrefix(r.Path, platformtest.PathUnsafe) || strings.HasPrefix(r.Path, platformtest.PathStream)
}

func (r *Request) stream() bool {
	return strings.HasPrefix(r.Path, platformtest.PathStream) || strings.HasPrefix(r.Path, platformtest.PathResumable)
}

// Disturbance is a time in which a fault may have its effects.
type Disturbance struct {
	Fault    Fault
	From, To time.Time
	// Entry is the address for callers of the entry instance that it befell.
	Entry string
}

// Ledger keeps what was asked, answered, written and read. It is safe for several
// goroutines.
type Ledger struct {
	// Events is the length of a whole stream.
	Events int
	// Runs tells how often a request ran.
	Runs func(id string) int
	// Strange, if set, tells how often a request came to a target under another name than its
	// workspace's, or with its caller's key.
	WrongWorkspace func() int
	// Deadline is that of all requests, Slack the time beyond it in which an answer
	// must have come at an instance that no fault befell.
	Deadline, Slack time.Duration

	mu           sync.Mutex
	requests     []Request
	disturbances []Disturbance
	acknowledged []write
	faults       []string
}

type write struct {
	version uint64
	at      time.Time
}

// Ended takes in a request that has ended.
func (l *Ledger) AddRequest(r Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests = append(l.requests, r)
}

// Disturbed takes in a fault.
func (l *Ledger) AddDisturbance(d Disturbance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.disturbances = append(l.disturbances, d)
}

// Acknowledged takes in that a version was acknowledged.
func (l *Ledger) AddAcknowledged(version uint64, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.acknowledged = append(l.acknowledged, write{version, at})
}

// Newest is the highest version that was acknowledged before a time.
func (l *Ledger) Newest(before time.Time) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	var newest uint64
	for _, w := range l.acknowledged {
		if w.at.Before(before) {
			newest = max(newest, w.version)
		}
	}
	return newest
}

// Read takes in a version that was read, by a call that was sent at a time.
func (l *Ledger) CheckRead(version uint64, sent time.Time, from string) {
	if newest := l.Newest(sent); version < newest {
		l.AddViolation("%s answers version %d, %d was acknowledged before", from, version, newest)
	}
}

// Fault notes something that must not be.
func (l *Ledger) AddViolation(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = append(l.faults, fmt.Sprintf(format, args...))
}

// Served counts requests with a whole good answer.
func (l *Ledger) Served() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for i := range l.requests {
		if l.requests[i].Status == 200 && l.requests[i].Err == nil {
			n++
		}
	}
	return n
}

// Faults checks all requests, after the last process has ended, and returns what must not
// be: one line each.
func (l *Ledger) Violations() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := slices.Clone(l.faults)
	if l.WrongWorkspace != nil && l.WrongWorkspace() > 0 {
		out = append(out, fmt.Sprintf("%d requests came under another workspace's name or with a key", l.WrongWorkspace()))
	}
	for i := range l.requests {
		r := &l.requests[i]
		for _, fault := range []string{l.runs(r), l.content(r), l.inTime(r), l.lost(r)} {
			if fault != "" {
				out = append(out, fmt.Sprintf("%s %s at %s, %v to %v, status %d, %v: %s", r.Path, r.ID, r.Entry,
					r.Start.Format(clockFormat), r.End.Format(clockFormat), r.Status, r.Err, fault))
			}
		}
	}
	return out
}

const clockFormat = "15:04:05.000"

// notRun are the statuses that say that a request has not run and never will.
var notRun = []int{408, 421, 429, 503}

// runs: at most once, and "not run" is true.
func (l *Ledger) runs(r *Request) string {
	runs := l.Runs(r.ID)
	switch {
	case r.once() && runs > 1:
		return fmt.Sprintf("ran %d times", runs)
	case runs > 0 && !r.Signed && r.Err == nil && slices.Contains(notRun, r.Status):
		return fmt.Sprintf("was refused and ran %d times", runs)
	case runs == 0 && r.Status == 200 && r.Err == nil:
		return "was answered and did not run"
	}
	return ""
}

// content: an answer is that of the request, whole or known as broken off.
func (l *Ledger) content(r *Request) string {
	if r.Status != 200 {
		return ""
	}
	want := platformtest.Answer(r.ID)
	if r.stream() {
		want = platformtest.Stream(r.ID, l.Events)
	}
	switch {
	case r.Err == nil && r.Body != want:
		return fmt.Sprintf("complete with %d of %d bytes: %.60q", len(r.Body), len(want), r.Body)
	case r.Err != nil && !strings.HasPrefix(want, r.Body):
		return fmt.Sprintf("other bytes: %.60q", r.Body)
	}
	return ""
}

// inTime: a final answer, or the end of the connection, comes in time where no fault
// befell the entry instance.
func (l *Ledger) inTime(r *Request) string {
	if took := r.End.Sub(r.Start); took > l.Deadline+l.Slack && !l.disturbed(r, func(d *Disturbance) bool { return d.Entry == r.Entry }) {
		return fmt.Sprintf("took %v", took)
	}
	return ""
}

// lost: planned work ends no request that ran.
func (l *Ledger) lost(r *Request) string {
	if r.Err == nil || l.Runs(r.ID) == 0 || r.End.Sub(r.Start) >= l.Deadline {
		return ""
	}
	if l.disturbed(r, func(d *Disturbance) bool { return !d.Fault.Kind.Planned() }) {
		return ""
	}
	return "ran and was broken off without a fault"
}

// disturbed reports whether a fault that counts overlaps a request.
func (l *Ledger) disturbed(r *Request, counts func(*Disturbance) bool) bool {
	return slices.ContainsFunc(l.disturbances, func(d Disturbance) bool {
		return counts(&d) && d.From.Before(r.End) && r.Start.Before(d.To)
	})
}
