package api

import (
	"time"

	"github.com/gullhaven/gullhaven/api/gen/operators"
	"github.com/gullhaven/gullhaven/bundle"
	"github.com/gullhaven/gullhaven/metrics/burn"
)

// maxBurnHistory bounds the history in an answer, in bytes. It holds the history of a
// region with about thirty instances at full size.
const maxBurnHistory = 8 << 20

// BurnSource is the input of BurnReportOf.
type BurnSource struct {
	Instance, Region string
	// Version and Services of the bundle in force.
	Version  uint64
	Services []bundle.Service
	// Snapshot of the requests that this instance has seen, and of those that its
	// neighbours have handed over.
	Snapshot burn.Snapshot
}

// BurnReportOf returns the burn of each service with an objective, over all regions,
// and the encoded history. The error is burn.ErrTooLarge.
func BurnReportOf(s BurnSource, now time.Time) (*operators.BurnReport, error) {
	history, err := s.Snapshot.Since(now).Encode(maxBurnHistory)
	if err != nil {
		return nil, err
	}
	out := &operators.BurnReport{
		Instance: s.Instance,
		Region:   s.Region,
		Version:  s.Version,
		AtMs:     now.UnixMilli(),
		Services: []*operators.ServiceBurn{},
		History:  history,
	}
	objectives := objectivesOf(s.Services)
	for _, row := range burn.NewReport(s.Snapshot, objectives, now).Rows {
		if row.Region == "" {
			out.Services = append(out.Services, serviceBurn(row, objectives))
		}
	}
	return out, nil
}

func objectivesOf(services []bundle.Service) []burn.Objective {
	var list []burn.Objective
	for i := range services {
		o := services[i].Objective
		list = append(list, burn.Objective{Service: services[i].ID, Share: o.Share, FirstTokenMillis: o.FirstTokenMillis})
	}
	return list
}

func serviceBurn(row burn.Row, objectives []burn.Objective) *operators.ServiceBurn {
	out := &operators.ServiceBurn{
		Service: row.Service,
		Verdict: string(row.Verdict),
		Windows: []*operators.BurnWindow{},
		Causes:  []*operators.BurnCause{},
	}
	for _, o := range objectives {
		if o.Service == row.Service {
			out.Objective, out.FirstTokenMs = o.Share, o.FirstTokenMillis
		}
	}
	for _, w := range row.Windows {
		out.Windows = append(out.Windows, &operators.BurnWindow{
			WindowMs: int64(w.Seconds * 1000), Requests: w.Requests, Missed: w.Missed, Rate: w.Rate,
		})
	}
	for _, c := range row.Causes {
		out.Causes = append(out.Causes, &operators.BurnCause{Cause: c.Cause, Requests: c.Requests})
	}
	return out
}
