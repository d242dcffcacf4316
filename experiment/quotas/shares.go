package quotas

import (
	"fmt"
	"time"

	"github.com/gullhaven/gullhaven/coord/limit"
	"github.com/gullhaven/gullhaven/node/quota"
)

// Shares is the scheme of leased shares, which the leader grants by demand: to one holder per
// region that all instances of the region call, or to each instance.
type Shares struct {
	load    *Load
	each    int
	holders [][]*simulatedHolder
	divider *quota.Divider
}

// leaderRegion is the region of the leader.
const leaderRegion = 0

type simulatedHolder struct {
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
	workspace      = "w"
	reportInterval = 200 * time.Millisecond
	urgentInterval = 50 * time.Millisecond
)

// NewShares returns the scheme with each holders per region; with 1, all instances of a region
// share a holder.
func NewShares(l *Load, each int, t quota.Tolerance) *Shares {
	s := &Shares{load: l, each: each}
	limits := func(string) (limit.Limit, bool) { return l.Limit, true }
	start := time.Unix(1_800_000_000, 0).Add(-quota.Lease)
	for region := range Regions {
		var list []*simulatedHolder
		for n := range each {
			x := &simulatedHolder{region: region, id: fmt.Sprint(region, "-", n)}
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

// part names what has a floor of its own: a region with one holder, or each holder.
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
	return s.holders[region][instance%s.each].h.Consume(now, workspace, units).Allowed
}

// Step implements Scheme.
func (s *Shares) Step(now time.Time) {
	for _, list := range s.holders {
		for _, x := range list {
			s.step(now, x)
		}
	}
}

func (s *Shares) step(now time.Time, x *simulatedHolder) {
	delay := inRegionDelay
	if x.region != leaderRegion {
		delay = crossRegionDelay
	}
	if x.report != nil && !now.Before(x.sent.Add(delay)) {
		a := s.divider.Report(now, x.id, x.report)
		x.answer, x.due, x.report = &a, now.Add(delay), nil
	}
	if x.answer != nil && !now.Before(x.due) {
		x.h.ApplyShares(now, x.answer)
		x.answer = nil
	}
	if x.report != nil || x.answer != nil || now.Sub(x.sent) < urgentInterval {
		return
	}
	urgent := now.Sub(x.regular) < reportInterval
	r, ok := x.h.Report(now, urgent)
	if !ok {
		return
	}
	if !urgent {
		x.regular = now
	}
	x.report, x.sent = r, now
}
