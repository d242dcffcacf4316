package metrics

import (
	"github.com/gullhaven/gullhaven/coord/memory"
	"github.com/gullhaven/gullhaven/ports/serve"
)

// Metrics of what clients take up.
var (
	IntakeLimit        = Metric{"gullhaven_requests_limit_bytes", Gauge, "bytes", "What all requests in progress may hold together: their heads, bodies and answers."}
	IntakeHeld         = Metric{"gullhaven_requests_held_bytes", Gauge, "bytes", "What all requests in progress hold together."}
	IntakeYielded      = Metric{"gullhaven_requests_yielded_total", Counter, "requests", "Requests that were ended before they ran, or whose callers did not read their answers, to make room for others."}
	IntakeRefused      = Metric{"gullhaven_requests_without_memory_total", Counter, "requests", "Requests and answers for which there was no memory: the request was refused, or its answer dropped."}
	IntakeConns        = Metric{"gullhaven_client_connections", Gauge, "connections", "Open connections at the ports that clients reach."}
	IntakeConnsEnded   = Metric{"gullhaven_client_connections_ended_total", Counter, "connections", "Connections that were ended for others because their clients were the slowest to send or read."}
	IntakeConnsRefused = Metric{"gullhaven_client_connections_refused_total", Counter, "connections", "Connections that were closed before a byte was read, as all others wait for this process, and heads that were refused as too long or for want of memory."}
)

// intakeMetrics are those of Intake, in the order of its values.
var intakeMetrics = []Metric{IntakeLimit, IntakeHeld, IntakeYielded, IntakeRefused, IntakeConns, IntakeConnsEnded, IntakeConnsRefused}

// Intake is what clients take up of a process.
type Intake struct {
	Memory memory.Stats
	Conns  serve.ConnStats
}

// values returns the values of intakeMetrics.
func (i *Intake) values() []int64 {
	m, c := i.Memory, i.Conns
	return []int64{m.Limit, m.Held, m.Yielded, m.Refused, c.Open, c.Ended, c.Refused}
}

// Pressed is how often clients were ended or refused since the start because of what others take up.
func (i *Intake) Pressed() int64 {
	return i.Memory.Yielded + i.Memory.Refused + i.Conns.Ended + i.Conns.Refused
}

// SumIntake returns what clients take up at servers that share a budget.
func SumIntake(b *memory.Budget, servers []*serve.Server) Intake {
	out := Intake{Memory: b.Stats()}
	for _, s := range servers {
		c := s.Stats()
		out.Conns.Open += c.Open
		out.Conns.Ended += c.Ended
		out.Conns.Refused += c.Refused
	}
	return out
}

// RegisterIntake adds what read returns to the page.
func (s *Set) RegisterIntake(read func() Intake) {
	for k, m := range intakeMetrics {
		s.Gauge(m, func() int64 {
			i := read()
			return i.values()[k]
		})
	}
}
