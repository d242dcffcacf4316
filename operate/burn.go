package operate

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/gullhaven/gullhaven/metrics/burn"
)

// BurnPath answers GET with a BurnAnswer.
const BurnPath = "/operator/v1/burn"

// BurnAnswer is the burn that one instance knows, in the form of api/design.
type BurnAnswer struct {
	Instance string `json:"instance"`
	Region   string `json:"region"`
	// Version of the bundle that the objectives come from.
	Version uint64 `json:"version"`
	// AtMillis is the clock of the instance, in Unix milliseconds.
	AtMillis int64           `json:"at_ms"`
	Services []BurnObjective `json:"services"`
	// History is an encoded burn.Snapshot.
	History []byte `json:"history"`
}

// BurnObjective is the objective of one service in a BurnAnswer.
type BurnObjective struct {
	Service          string  `json:"service"`
	Objective        float64 `json:"objective"`
	FirstTokenMillis float64 `json:"first_token_ms"`
}

// Unreachable is an address without a readable answer, and the reason.
type Unreachable struct {
	Address string `json:"address"`
	Error   string `json:"error"`
}

// BurnReport is the burn over all instances that answered.
type BurnReport struct {
	burn.Report
	// Version of the bundle that the objectives come from: the newest reported.
	Version uint64 `json:"version"`
	// Unreachable instances: requests that only they have seen are missing.
	Unreachable []Unreachable `json:"silent,omitempty"`
}

// Burn asks all addresses concurrently and merges their histories. The error
// wraps ErrUnreachable if none answers.
func (c *Client) Burn(ctx context.Context) (*BurnReport, error) {
	answers := make([]BurnAnswer, len(c.Addresses))
	failures := make([]error, len(c.Addresses))
	var wg sync.WaitGroup
	for i, address := range c.Addresses {
		wg.Go(func() { failures[i] = c.call(ctx, http.MethodGet, address, BurnPath, nil, &answers[i]) })
	}
	wg.Wait()
	return mergeBurn(c.Addresses, answers, failures)
}

// mergeBurn makes the report from the answers with a readable history.
func mergeBurn(addresses []string, answers []BurnAnswer, failures []error) (*BurnReport, error) {
	report := &BurnReport{}
	var joined burn.Snapshot
	var objectives []burn.Objective
	var at int64
	for i := range answers {
		snapshot, err := burn.Decode(answers[i].History)
		if failures[i] != nil {
			err = failures[i]
		}
		if err != nil {
			report.Unreachable = append(report.Unreachable, Unreachable{Address: addresses[i], Error: err.Error()})
			continue
		}
		joined = burn.Merge(joined, snapshot)
		at = max(at, answers[i].AtMillis)
		if objectives == nil || answers[i].Version > report.Version {
			report.Version, objectives = answers[i].Version, answers[i].objectives()
		}
	}
	if len(report.Unreachable) == len(addresses) {
		return nil, errors.Annotatef(ErrUnreachable, "%s", report.Unreachable[0].Error)
	}
	now := time.UnixMilli(at)
	report.Report = burn.NewReport(joined.Since(now), objectives, now)
	return report, nil
}

// objectives never returns nil.
func (a *BurnAnswer) objectives() []burn.Objective {
	list := []burn.Objective{}
	for _, s := range a.Services {
		list = append(list, burn.Objective{Service: s.Service, Share: s.Objective, FirstTokenMillis: s.FirstTokenMillis})
	}
	return list
}

// Worst returns the worst verdict of a service, in a region or in all. Workspaces
// don't count: a few misses of a workspace with little traffic are no alarm.
func (r *BurnReport) Worst() burn.Verdict {
	order := []burn.Verdict{burn.Idle, burn.Fine, burn.Slow, burn.Fast}
	worst := 0
	for _, row := range r.Rows {
		if row.Workspace == "" {
			worst = max(worst, slices.Index(order, row.Verdict))
		}
	}
	return order[worst]
}
