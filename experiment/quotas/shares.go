package quotas

import (
	"fmt"
	"time"

	"github.com/gullhaven/gullhaven/coord/limit"
	"github.com/gullhaven/gullhaven/node/quota"
)

// Shares are leased shares by demand, which the leader divides: over one holder in each
// region that all instances of the region ask, or over all instances.
type Shares struct {
	load    *Load
	each    int
	holders [][]*holder
	divider *quota.Divider
}

// leaderAt is the region of the leader.
const leaderAt = 0

type holder struct {
	region  int
	id      string
	h       *quota.Holder
	sent    time.Time
	regular time.Time
	report  *quota.Report
	answer  *quota.Answer
	due     time.Time
}

const (
	sharesWorkspace = "w"
	reportEvery     = 200 * time.Millisecond
	urgentEvery     = 50 * time.Millisecond
)

// NewShares makes the scheme with so many holders in each region; 1 is one that all ask.
func NewShares(l *Load, each int, t quota.Tolerance) *Shares {
	s := &Shares{load: l, each: each}
	limits := func(string) (limit.Limit, bool) { return l.Limit, true }
	start := time.Unix(1_800_000_000, 0).Add(-quota.Lease)
	for region := range Regions {
		var list []*holder
		for n := range each {
			x := &holder{region: region, id: fmt.Sprint(region, "-", n)}
			x.h = quota.NewHolder(start, uint64(region*each+n+1), s.part(region, n), Regions*each, t)
			x.h.SetLimits(1, limits)
			x.h.SetEntryInstances(Regions*Instances, func(string) bool { return true })
			list = append(list, x)
		}
		s.holders = append(s.holders, list)
	}
	s.divider = quota.NewDivider(start, 1, s.parts(), nil)
	return s
}

// part is what has a floor of its own: a region with one holder, or each holder.
func (s *Shares) part(region, n int) string {
	if s.each == 1 {
		return fmt.Sprint("region-", region)
	}
	return fmt.Sprint("region-", region, "-", n)
}

func (s *Shares) parts() []string {
	var out []string
	for region := range Regions {
		for n := range s.each {
			out = append(out, s.part(region, n))
		}
	}
	return out
}

// Take implements Scheme.
func (s *Shares) Take(now time.Time, region, instance int, units float64) bool {
	return s.holders[region][instance%s.each].h.Consume(now, sharesWorkspace, units).Allowed
}

// Step implements Scheme.
func (s *Shares) Step(now time.Time) {
	for _, list := range s.holders {
		for _, x := range list {
			s.step(now, x)
		}
	}
}

func (s *Shares) step(now time.Time, x *holder) {
	way := near
	if x.region != leaderAt {
		way = trip
	}
	if x.report != nil && !now.Before(x.sent.Add(way)) {
		a := s.divider.Report(now, x.id, x.report)
		x.answer, x.due, x.report = &a, now.Add(way), nil
	}
	if x.answer != nil && !now.Before(x.due) {
		x.h.ApplyShares(now, x.answer)
		x.answer = nil
	}
	if x.report != nil || x.answer != nil || now.Sub(x.sent) < urgentEvery {
		return
	}
	urgent := now.Sub(x.regular) < reportEvery
	r, ok := x.h.Report(now, urgent)
	if !ok {
		return
	}
	if !urgent {
		x.regular = now
	}
	x.report, x.sent = r, now
}
