package api

import (
	"time"

	"github.com/gullhaven/gullhaven/api/gen/operators"
	"github.com/gullhaven/gullhaven/metrics/served"
)

// ServiceStatuses converts the figures of an instance in a region to the form of
// api/design.
func ServiceStatuses(region string, figures []served.Figures) []*operators.ServiceStatus {
	list := []*operators.ServiceStatus{}
	for _, f := range figures {
		list = append(list, &operators.ServiceStatus{
			Service:       f.Service,
			Region:        region,
			WindowS:       f.Window.Seconds(),
			Requests:      f.Requests,
			Refused:       f.Refused,
			Failed:        f.Failed,
			SentAway:      f.SentAway,
			TargetSeconds: f.TargetSeconds,
			Cost:          f.Cost,
			FirstByteMs: &operators.Quantiles{
				P50: milliseconds(f.P50), P90: milliseconds(f.P90), P99: milliseconds(f.P99), P999: milliseconds(f.P999),
			},
		})
	}
	return list
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
