package soak

import (
	"fmt"
	"strconv"
	"time"

	"github.com/gullhaven/gullhaven/platform/platformtest"
)

// announcements records what targets say of themselves and which requests reach them. Ledger
// guards it.
type announcements struct {
	// regions holds the region of each entry instance by its callers' address.
	regions map[string]string
	targets []*targetRecord
}

// targetRecord is one start of a runner.
type targetRecord struct {
	// number is the runner's number in faults.
	number          int
	service, region string
	// software is the version of its software, and since when it was started.
	software string
	since    time.Time
	arrivals []platformtest.Arrival
}

const (
	// learnTime is how long after an answer requests may still reach its target: they were sent
	// before the answer arrived.
	learnTime = 500 * time.Millisecond
	// maxDuringRest is how many requests may reach a target from an instance during a rest.
	maxDuringRest = 2
)

// AddEntry adds an entry instance.
func (l *Ledger) AddEntry(callers, region string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.announced.regions == nil {
		l.announced.regions = map[string]string{}
	}
	l.announced.regions[callers] = region
}

// AddTarget adds a start of a runner of a software version and returns its number among all starts.
func (l *Ledger) AddTarget(number int, service, region, software string, since time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.announced.targets = append(l.announced.targets, &targetRecord{number: number, service: service, region: region, software: software, since: since})
	return len(l.announced.targets) - 1
}

// AddArrival adds a request that has reached a target.
func (l *Ledger) AddArrival(target int, a platformtest.Arrival) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.announced.targets[target]
	t.arrivals = append(t.arrivals, a)
}

// directArrival is an arrival at a target of the region of the entry instance that received the
// request, which therefore sent it there itself.
type directArrival struct {
	platformtest.Arrival
	request *Request
}

// checkAnnouncements checks that each entry instance leaves a target alone during a rest that it
// was asked for, and once it knows that the target is leaving.
func (l *Ledger) checkAnnouncements() []string {
	requests := map[string]*Request{}
	for i := range l.requests {
		requests[l.requests[i].ID] = &l.requests[i]
	}
	var out []string
	for _, t := range l.announced.targets {
		byEntry := map[string][]directArrival{}
		for _, a := range t.arrivals {
			if r := requests[a.ID]; r != nil && !a.Misdirected && l.announced.regions[r.Entry] == t.region {
				byEntry[r.Entry] = append(byEntry[r.Entry], directArrival{a, r})
			}
		}
		for entry, arrivals := range byEntry {
			out = append(out, l.checkRests(t, entry, arrivals)...)
			out = append(out, l.checkLeaving(t, entry, arrivals)...)
		}
	}
	return out
}

func (l *Ledger) checkRests(t *targetRecord, entry string, arrivals []directArrival) (out []string) {
	for i, a := range arrivals {
		seconds, err := strconv.ParseFloat(a.RetryAfter, 64)
		if err != nil || !a.TurnedAway || seconds <= 0 {
			continue
		}
		from, to := a.At.Add(learnTime), a.At.Add(time.Duration(min(seconds, 3600)*float64(time.Second)))
		n := 0
		for _, later := range arrivals[i+1:] {
			if later.At.After(from) && later.At.Before(to) && !l.excuses(t, entry, a.At, later.At) {
				n++
			}
		}
		if n > maxDuringRest {
			out = append(out, fmt.Sprintf("%d requests from %s reached runner %d, which had turned %s away at %s and asked for %v s of rest",
				n, entry, t.number, a.ID, a.At.Format(clockFormat), a.RetryAfter))
		}
	}
	return out
}

func (l *Ledger) checkLeaving(t *targetRecord, entry string, arrivals []directArrival) (out []string) {
	var told time.Time
	for _, a := range arrivals {
		if !told.IsZero() && a.request.Start.After(told.Add(learnTime)) && !l.excuses(t, entry, told, a.At) {
			out = append(out, fmt.Sprintf("%s from %s reached runner %d at %s, which had said that it was leaving in an answer of %s",
				a.ID, entry, t.number, a.At.Format(clockFormat), told.Format(clockFormat)))
		}
		passedOn := a.Leaving == "1" && a.request.Err == nil && a.request.Signed
		if passedOn && (told.IsZero() || a.request.End.Before(told)) {
			told = a.request.End
		}
	}
	return out
}

// excuses reports whether a fault between two times excuses requests: one of the entry instance, or
// of the network before the target.
func (l *Ledger) excuses(t *targetRecord, entry string, from, to time.Time) bool {
	between := Request{Start: from, End: to}
	return l.isDisturbed(&between, func(d *Disturbance) bool {
		return d.Entry == entry || d.Fault.Role == RoleRunner && d.Fault.Number == t.number && d.Fault.Kind.network()
	})
}
