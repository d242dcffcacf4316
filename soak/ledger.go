package soak

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/gullhaven/gullhaven/platform/platformtest"
)

// Request is a request as observed by its caller.
type Request struct {
	ID   string
	Path string
	// Entry is the address that it was sent to.
	Entry      string
	Start, End time.Time
	// Resumes is the ID of the request that brought the first event of the stream that this one takes
	// up after event After; empty for others.
	Resumes string
	After   int
	platformtest.Outcome
}

// atMostOnce reports whether the request must not run more than once.
func (r *Request) atMostOnce() bool {
	return strings.HasPrefix(r.Path, platformtest.PathUnsafe) || strings.HasPrefix(r.Path, platformtest.PathStream)
}

func (r *Request) isStream() bool {
	return strings.HasPrefix(r.Path, platformtest.PathStream) || strings.HasPrefix(r.Path, platformtest.PathResumable)
}

// Disturbance is a period in which a fault may have effects.
type Disturbance struct {
	Fault    Fault
	From, To time.Time
	// Entry is the callers' address of the affected entry instance; empty for others.
	Entry string
}

// Ledger records requests with their answers, faults, and configurations written and read.
// It is safe for concurrent use.
type Ledger struct {
	// Events is the number of events of a complete stream.
	Events int
	// Runs returns how often a request ran.
	Runs func(id string) int
	// WrongWorkspace, if set, returns how often a request reached a target under another
	// workspace's name, or with its caller's key.
	WrongWorkspace func() int
	// Deadline is the deadline of all requests. Slack is the time after it within which a
	// request must have ended at an entry instance without a fault.
	Deadline, Slack time.Duration
	// Budget is the retry budget of each service; not checked if its Span is 0.
	Budget RetryBudget

	mu       sync.Mutex
	requests []Request
	// sent are further requests, of which only the path and the start are known.
	sent         []Request
	disturbances []Disturbance
	acknowledged []acknowledgement
	violations   []string
	announced    announcements
	// crashes are those under poison requests.
	crashes []crash
}

type acknowledgement struct {
	version uint64
	at      time.Time
}

// AddRequest adds a request that has ended.
func (l *Ledger) AddRequest(r Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests = append(l.requests, r)
}

// AddDisturbance adds a fault with the period of its effects.
func (l *Ledger) AddDisturbance(d Disturbance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.disturbances = append(l.disturbances, d)
}

// AddAcknowledged adds a version acknowledged at a time.
func (l *Ledger) AddAcknowledged(version uint64, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.acknowledged = append(l.acknowledged, acknowledgement{version, at})
}

// Newest returns the highest version acknowledged before a time; 0 if none.
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

// CheckRead adds a violation if a read that was sent at a time returned a version older than
// the newest one acknowledged before. from names the instance.
func (l *Ledger) CheckRead(version uint64, sent time.Time, from string) {
	if newest := l.Newest(sent); version < newest {
		l.AddViolation("%s answers version %d, %d was acknowledged before", from, version, newest)
	}
}

// AddViolation adds a violation.
func (l *Ledger) AddViolation(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.violations = append(l.violations, fmt.Sprintf(format, args...))
}

// Served returns the number of requests with a complete answer of status 200.
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

// Violations checks all requests and returns all violations, one line each. It must be called
// after the last process has ended.
func (l *Ledger) Violations() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := slices.Clone(l.violations)
	if l.WrongWorkspace != nil && l.WrongWorkspace() > 0 {
		out = append(out, fmt.Sprintf("%d requests came under another workspace's name or with a key", l.WrongWorkspace()))
	}
	out = append(out, l.checkAnnouncements()...)
	out = append(out, l.checkBudget()...)
	out = append(out, l.checkVersions()...)
	out = append(out, l.checkPoison()...)
	out = append(out, l.checkParts()...)
	for i := range l.requests {
		r := &l.requests[i]
		for _, fault := range []string{l.checkRuns(r), l.checkContent(r), l.checkInTime(r), l.checkLost(r)} {
			if fault != "" {
				out = append(out, fmt.Sprintf("%s %s at %s, %v to %v, status %d, %v: %s", r.Path, r.ID, r.Entry,
					r.Start.Format(clockFormat), r.End.Format(clockFormat), r.Status, r.Err, fault))
			}
		}
	}
	return out
}

const clockFormat = "15:04:05.000"

// notRun are the statuses that mean that a request has not run and never will.
var notRun = []int{408, 421, 429, 503}

// checkRuns checks that a request ran at most once if it must, that a refused request didn't
// run, and that an answered one did. Like the other checks it returns the violation, empty if
// there is none.
func (l *Ledger) checkRuns(r *Request) string {
	runs := l.Runs(r.ID)
	switch {
	case r.atMostOnce() && runs > 1:
		return fmt.Sprintf("ran %d times", runs)
	case runs > 0 && !r.Signed && r.Err == nil && slices.Contains(notRun, r.Status):
		return fmt.Sprintf("was refused and ran %d times", runs)
	case runs == 0 && r.Status == 200 && r.Err == nil:
		return "was answered and did not run"
	}
	return ""
}

// checkContent checks that an answer of status 200 belongs to the request, and is complete
// unless it ended with an error.
func (l *Ledger) checkContent(r *Request) string {
	if r.Status != 200 {
		return ""
	}
	want, got := platformtest.Answer(r.ID), r.Body
	if r.isStream() {
		want = platformtest.Stream(r.streamID(), l.Events)
		want = strings.TrimPrefix(want, platformtest.Stream(r.streamID(), r.After))
		got, _ = platformtest.SplitSoftware(r.Body)
	}
	if unframed(r.ID) && strings.HasPrefix(want, got) && l.isDisturbed(r, func(d *Disturbance) bool { return !d.Fault.Kind.Planned() }) {
		// Nobody can tell the end of an unframed answer from a crash between two events.
		return ""
	}
	switch {
	case r.Err == nil && got != want:
		return fmt.Sprintf("complete with %d of %d bytes: %.60q", len(got), len(want), got)
	case r.Err != nil && !strings.HasPrefix(want, got):
		return fmt.Sprintf("other bytes: %.60q", got)
	}
	return ""
}

// checkInTime checks that a request ended in time, with an answer or an error, if there was
// no fault at its entry instance.
func (l *Ledger) checkInTime(r *Request) string {
	if took := r.End.Sub(r.Start); took > l.Deadline+l.Slack && !l.isDisturbed(r, func(d *Disturbance) bool { return d.Entry == r.Entry }) {
		return fmt.Sprintf("took %v", took)
	}
	return ""
}

// readTime is the time after which an entry instance without a fault has read a request, also beside a busy
// machine.
const readTime = time.Second

// checkLost checks that planned work does not interrupt a request that ran, or was read long before.
func (l *Ledger) checkLost(r *Request) string {
	took := r.End.Sub(r.Start)
	if r.Err == nil || took >= l.Deadline || l.Runs(r.ID) == 0 && took < readTime {
		return ""
	}
	if l.isDisturbed(r, func(d *Disturbance) bool { return !d.Fault.Kind.Planned() || r.endsWith(d) }) {
		return ""
	}
	return "ran or was read, and was broken off without a fault"
}

// lateSendTime is how long after SIGTERM an instance still gets requests that may be cut off by its end.
const lateSendTime = 3 * time.Second

// endsWith reports whether a request was cut off by the end of its entry instance's grace period, as is
// allowed: it was sent within lateSendTime of the signal and ran into the last sixth of the period.
func (r *Request) endsWith(d *Disturbance) bool {
	const grace = graceSeconds * time.Second
	return d.Fault.Kind == Restart && d.Entry == r.Entry && !r.Start.After(d.From.Add(lateSendTime)) &&
		!r.End.Before(d.From.Add(grace-grace/6)) && !r.End.After(d.From.Add(grace))
}

// isDisturbed reports whether a disturbance for which counts returns true overlaps a request.
func (l *Ledger) isDisturbed(r *Request, counts func(*Disturbance) bool) bool {
	return slices.ContainsFunc(l.disturbances, func(d Disturbance) bool {
		return counts(&d) && d.From.Before(r.End) && r.Start.Before(d.To)
	})
}
