package experiment

import "time"

// samplePeriod is the time between two samples of the capacity.
const samplePeriod = time.Second

// sample is the capacity of one region at one time of the day.
type sample struct {
	at          time.Duration
	partitioned bool
	// models and plain are the numbers of warm targets of both services.
	models, plain int
}

// sampleCapacity samples the number of targets that accept work, until the day is
// over. Targets that are leaving, loading or down don't count, whatever the cause,
// also a rolling change or poison requests. So the figure depends on the decider
// where the decider affects how many targets are lost.
func (w *world) sampleCapacity() {
	at := w.now.Sub(epoch)
	if at >= w.trial.Day {
		return
	}
	for i, r := range w.regions {
		s := sample{at: at, partitioned: r.partitioned}
		for _, t := range r.targets {
			switch {
			case !t.acceptsWork():
			case t.plain:
				s.plain++
			default:
				s.models++
			}
		}
		w.samples[i] = append(w.samples[i], s)
	}
	w.after(samplePeriod, w.sampleCapacity)
}

// forced returns the share of requests for which their home region had no capacity:
// if it has no target of a service, all of them; otherwise what exceeds the rate
// that its targets can serve. Requests restricted to their home region and those of
// a partitioned region can't leave and don't count. fits is the share for which the
// other regions have capacity, if all requests are of average work. Both follow from
// rates only, without queueing or randomness.
func (w *world) forced() (share, fits float64) {
	var over, moved, total float64
	for k := range w.samples[0] {
		if w.samples[0][k].at < w.warmUpEnd() {
			continue
		}
		excess, spare, plain := w.excess(k)
		over += excess + plain
		moved += min(excess, spare) + plain
		total += w.offered(k)
	}
	return over / total, moved / total
}

// offered returns the rate of all requests at sample k, per second.
func (w *world) offered(k int) float64 {
	sum := 0.0
	for r := range w.regions {
		sum += w.modelRate(r, k)
	}
	return sum / w.trial.Workload.modelShare()
}

// modelRate returns the rate of model requests of a region at sample k, per second.
func (w *world) modelRate(r, k int) float64 {
	tr := w.trial
	mean := tr.Load * float64(tr.Workload.ModelTargets) * tr.PerTarget
	return mean * tr.Workload.rate(r, w.samples[r][k].at, tr.Day)
}

// excess returns the rate of model requests that must leave, the spare capacity of the
// other regions, and the rate of plain requests that must leave, all per second.
func (w *world) excess(k int) (over, spare, plain float64) {
	tr := w.trial
	plainPart := (1 - tr.Workload.modelShare()) / tr.Workload.modelShare()
	for r := range w.regions {
		s := w.samples[r][k]
		if s.partitioned {
			continue
		}
		rate := w.modelRate(r, k)
		have := float64(s.models) * tr.PerTarget
		if rate > have {
			over += min(rate-have, rate*(1-homeOnlyShare))
		} else {
			spare += have - rate
		}
		if s.plain == 0 {
			plain += rate * plainPart * (1 - homeOnlyShare)
		}
	}
	return over, spare, plain
}
