package api

import (
	"time"

	"github.com/gullhaven/gullhaven/api/gen/operators"
	"github.com/gullhaven/gullhaven/bundle"
	"github.com/gullhaven/gullhaven/metrics"
)

// BurnReport reports the burn of each service as an instance has seen it. A
// service without an objective is left out.
func BurnReport(instance string, services []bundle.Service, b *metrics.Burn, now time.Time) *operators.BurnReport {
	report := &operators.BurnReport{Instance: instance, Services: []*operators.ServiceBurn{}}
	for i := range services {
		s := &services[i]
		if s.Objective.Share <= 0 {
			continue
		}
		report.Services = append(report.Services, serviceBurn(s, b, now))
	}
	return report
}

func serviceBurn(s *bundle.Service, b *metrics.Burn, now time.Time) *operators.ServiceBurn {
	out := &operators.ServiceBurn{
		Service:      s.ID,
		Objective:    s.Objective.Share,
		FirstTokenMs: s.Objective.FirstTokenMillis,
		Windows:      []*operators.BurnWindow{},
	}
	for _, r := range b.Rates(now, s.ID, s.Objective.Share) {
		out.Windows = append(out.Windows, &operators.BurnWindow{
			WindowMs: r.Window.Milliseconds(),
			Requests: r.Requests,
			Missed:   r.Missed,
			Rate:     r.Rate,
		})
	}
	return out
}
