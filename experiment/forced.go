package experiment

import "time"

// samplePeriod is the time between two samples of the capacity.
const samplePeriod = time.Second

// sample is what of one region takes work at one moment of the day.
type sample struct {
	at  time.Duration
	cut bool
	// models and plain are the warm targets of both services.
	models, plain int
}

// sampleCapacity notes which targets take work, until the day is over. What
// leaves, loads or is down is missing, whatever the cause: also the targets that
// a rolling change or killers take, and so the figure depends on the decider
// where the decider has a part in how many are lost.
func (w *world) sampleCapacity() {
	at := w.now.Sub(epoch)
	if at >= w.trial.Day {
		return
	}
	for i, r := range w.regions {
		s := sample{at: at, cut: r.cut}
		for _, t := range r.targets {
			switch {
			case !t.takesWork():
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

// forced returns the share of requests that their home had no capacity for:
// where the home has no target of a service, all of them; else what exceeds the
// rate that its targets carry. Requests bound to their home and those of a region
// that is cut off can't leave and don't count. It also returns the part that the
// spare capacity of the other regions carries if all requests are of average
// work. Rates only: no queueing, no chance.
func (w *world) forced() (share, fits float64) {
	var over, moved, total float64
	for k := range w.samples[0] {
		if w.samples[0][k].at < w.warmTime() {
			continue
		}
		excess, spare, plain := w.excess(k)
		over += excess + plain
		moved += min(excess, spare) + plain
		total += w.offered(k)
	}
	return over / total, moved / total
}

// offered is the rate of all requests at sample k, per second.
func (w *world) offered(k int) float64 {
	sum := 0.0
	for r := range w.regions {
		sum += w.modelRate(r, k)
	}
	return sum / w.trial.Workload.modelShare()
}

// modelRate is the rate of model requests of a region at sample k, per second.
func (w *world) modelRate(r, k int) float64 {
	tr := w.trial
	mean := tr.Load * float64(tr.Workload.ModelTargets) * tr.PerTarget
	return mean * tr.Workload.rate(r, w.samples[r][k].at, tr.Day)
}

// excess returns the rates of model requests that must leave, of those that the
// other regions have room for, and of plain requests that must leave.
func (w *world) excess(k int) (over, spare, plain float64) {
	tr := w.trial
	plainPart := (1 - tr.Workload.modelShare()) / tr.Workload.modelShare()
	for r := range w.regions {
		s := w.samples[r][k]
		if s.cut {
			continue
		}
		rate := w.modelRate(r, k)
		have := float64(s.models) * tr.PerTarget
		if rate > have {
			over += min(rate-have, rate*(1-boundShare))
		} else {
			spare += have - rate
		}
		if s.plain == 0 {
			plain += rate * plainPart * (1 - boundShare)
		}
	}
	return over, spare, plain
}
