package soak

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/gullhaven/gullhaven/platform/platformtest"
)

// inTouch is how long an entry instance must have been without a fault for the bounds on what it takes
// up and sends to hold: until then it may not have heard of other instances.
const inTouch = 6 * time.Second

// minServing is the number of runners of a stream's software version that must serve for its share to
// count.
const minServing = 2

// minTakenUp is the number of streams taken up from which on their share is checked.
const minTakenUp = 12

// streamID returns the ID of the request that brought the first event of the stream.
func (r *Request) streamID() string {
	if r.Resumes != "" {
		return r.Resumes
	}
	return r.ID
}

// wholeEvents returns the number of whole events in an answer.
func (r *Request) wholeEvents() int { return strings.Count(r.Body, "\n\n") }

// checkVersions checks that no stream holds events of two software versions, in one answer or over its
// caller's requests, and that streams which are taken up go on half as often as new ones begin.
func (l *Ledger) checkVersions() (out []string) {
	versions := map[string][]string{}
	var begin, goOn share
	var takenUp []*Request
	for i := range l.requests {
		r := &l.requests[i]
		if !strings.HasPrefix(r.Path, platformtest.PathResumable) {
			continue
		}
		_, held := platformtest.SplitSoftware(r.Body)
		for _, v := range held {
			if known := versions[r.streamID()]; !slices.Contains(known, v) {
				versions[r.streamID()] = append(known, v)
			}
		}
		switch {
		case !l.isInTouch(r):
		case r.Resumes == "":
			begin.add(r.wholeEvents() > 0)
		default:
			takenUp = append(takenUp, r)
		}
	}
	for _, r := range takenUp {
		if began := versions[r.Resumes]; len(began) > 0 && l.serving(began[0], r) >= minServing {
			goOn.add(r.wholeEvents() > 0)
		}
	}
	for id, held := range versions {
		if len(held) > 1 {
			out = append(out, fmt.Sprintf("the stream of %s holds events of %v", id, held))
		}
	}
	if goOn.of >= minTakenUp && goOn.part() < begin.part()/2 {
		out = append(out, fmt.Sprintf("%d of %d streams that were taken up went on, %d of %d new ones began", goOn.n, goOn.of, begin.n, begin.of))
	}
	return out
}

// serving returns the number of runners of a software version that serve streams, without a fault, while
// a request is in progress.
func (l *Ledger) serving(software string, r *Request) int {
	current := map[int]*targetRecord{}
	for _, t := range l.announced.targets {
		if t.service == platformtest.ServiceEngine && !t.since.After(r.Start) {
			current[t.number] = t
		}
	}
	n := 0
	for number, t := range current {
		faulty := l.isDisturbed(r, func(d *Disturbance) bool { return d.Fault.Role == RoleRunner && d.Fault.Number == number })
		if t.software == software && !faulty {
			n++
		}
	}
	return n
}

// share is a number of a total.
type share struct{ n, of int }

func (s *share) add(counts bool) {
	s.of++
	if counts {
		s.n++
	}
}

func (s *share) part() float64 { return float64(s.n) / float64(max(1, s.of)) }

// isInTouch reports whether no fault of its entry instance, of core instances or of its streams' targets
// affected a request or the time before it.
func (l *Ledger) isInTouch(r *Request) bool {
	before := Request{Start: r.Start.Add(-inTouch), End: r.End}
	return !l.isDisturbed(&before, func(d *Disturbance) bool { return d.Entry == r.Entry || d.Fault.Role == RoleCore })
}
