package place

import "time"

const (
	// maxProcessorLoad is the share of an instance's processor time above which it is overloaded: near
	// the whole, requests wait for the processor and each answer is late.
	maxProcessorLoad = 0.95
	// processorWindow is the time over which the load is measured, and the longest time for which
	// requests are refused in a row. It is ten periods in which the kernel grants processor time.
	processorWindow = time.Second
)

// ProcessorLoad decides from an instance's processor time whether it is overloaded and refuses new
// requests, which another instance can serve. It is not safe for concurrent use.
type ProcessorLoad struct {
	// cores is the share of the processor, in cores.
	cores   float64
	samples []processorSample
	// refusedFrom is when it last began to refuse.
	refusedFrom time.Time
	overloaded  bool
}

// processorSample is the processor time that the process had used until a time.
type processorSample struct {
	at   time.Time
	used time.Duration
}

// NewProcessorLoad returns the load of an instance with a share of the processor, in cores, above 0.
func NewProcessorLoad(cores float64) *ProcessorLoad { return &ProcessorLoad{cores: cores} }

// Observe records the processor time that the process has used until now, and reports whether the
// instance is overloaded: it has used more than maxProcessorLoad of its share over the last second.
func (p *ProcessorLoad) Observe(now time.Time, used time.Duration) bool {
	p.samples = append(p.samples, processorSample{now, used})
	// The first sample stays the newest one that is at least a window old.
	for len(p.samples) > 1 && now.Sub(p.samples[1].at) >= processorWindow {
		p.samples = p.samples[1:]
	}
	first := p.samples[0]
	span := now.Sub(first.at)
	p.overloaded = span >= processorWindow && float64(used-first.used) > maxProcessorLoad*p.cores*float64(span)
	// It accepts for at least as long as it refuses: the load that it measures meanwhile is not that
	// of refusing.
	if p.overloaded && now.Sub(p.refusedFrom) >= 2*processorWindow {
		p.refusedFrom = now
	}
	return p.overloaded
}

// RefuseUntil returns the time until which new requests are to be refused, if other instances of the
// region can take them; it is in the past if they are not, and at most a second ahead.
func (p *ProcessorLoad) RefuseUntil() time.Time {
	if !p.overloaded {
		return time.Time{}
	}
	return p.refusedFrom.Add(processorWindow)
}
