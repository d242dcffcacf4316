package load

import (
	"fmt"
	"io"
	"time"
)

// CodeCount counts refusals and error events by code and verdict.
type CodeCount struct {
	Name  string `json:"name"`
	Count int64  `json:"count"`
}

// DestReport has the figures of one destination. Counts are of attempts, resends
// included. Times are of complete answers, the time to the first token also of
// streams that ended with an error event.
type DestReport struct {
	Sent         int64       `json:"sent"`
	Answered     int64       `json:"answered"`
	InTime       int64       `json:"in_time"`
	Refused      int64       `json:"refused"`
	CutWithEvent int64       `json:"cut_with_event"`
	Broken       int64       `json:"broken"`
	Unreached    int64       `json:"unreached"`
	Unsent       int64       `json:"unsent"`
	Unfinished   int64       `json:"unfinished"`
	Unmarked     int64       `json:"ended_without_mark"`
	Wrong        int64       `json:"wrong_answer"`
	BadRefusal   int64       `json:"bad_refusal"`
	Codes        []CodeCount `json:"codes"`
	Resends      int64       `json:"resends"`
	Failovers    int64       `json:"moved"`
	Redirected   int64       `json:"redirected"`

	RequestsPerSecond float64 `json:"requests_per_second"`
	TokensPerSecond   float64 `json:"tokens_per_second"`

	StartDelay    Quantiles `json:"wait"`
	FirstToken    Quantiles `json:"first"`
	BetweenTokens Quantiles `json:"between"`
	Total         Quantiles `json:"whole"`
}

// KeysReport counts the keys of requests that run at most once.
type KeysReport struct {
	Keys int64 `json:"keys"`
	// Answered: some attempt was answered. Ran: reported to have run, without the
	// answer. NotRun: reported by all attempts. Unknown: the rest.
	Answered int64 `json:"answered"`
	NotRun   int64 `json:"not_run"`
	Ran      int64 `json:"ran"`
	Unknown  int64 `json:"unknown"`
	// DuplicateRuns and WrongVerdicts count faults of the gateway.
	DuplicateRuns int64 `json:"doubled"`
	WrongVerdicts int64 `json:"verdict_wrong"`
	// Audited: all targets were asked after the run.
	Audited bool `json:"audited"`
}

// Overhead is what the gateway adds to the baseline, in milliseconds, as
// differences of quantiles.
type Overhead struct {
	FirstP50 float64 `json:"first_p50_ms"`
	FirstP99 float64 `json:"first_p99_ms"`
	// PerToken is the difference of the mean time between tokens.
	PerToken float64 `json:"per_token_ms"`
}

// Report is the result of a run.
type Report struct {
	Seed            uint64      `json:"seed"`
	Seconds         float64     `json:"seconds"`
	Gateway         DestReport  `json:"through"`
	Baseline        *DestReport `json:"baseline,omitempty"`
	Overhead        *Overhead   `json:"added,omitempty"`
	AtMostOnce      *KeysReport `json:"once,omitempty"`
	DirectoryFaults int64       `json:"directory_faults"`
	Notes           []string    `json:"notes"`
}

// Faults counts the faults of the gateway.
func (r *Report) Faults() int64 {
	n := r.Gateway.faults()
	if r.Baseline != nil {
		n += r.Baseline.faults()
	}
	if r.AtMostOnce != nil {
		n += r.AtMostOnce.DuplicateRuns + r.AtMostOnce.WrongVerdicts
	}
	return n
}

func (s *DestReport) faults() int64 { return s.Unmarked + s.Wrong + s.BadRefusal }

// report makes the figures of a destination; took is the length of the run.
func (s *destTally) report(took time.Duration) DestReport {
	sent := int64(0)
	for _, n := range s.kinds {
		sent += n
	}
	return DestReport{
		Sent: sent - s.kinds[Unsent], Answered: s.kinds[Answered], InTime: s.kinds[Answered] - s.late,
		Refused: s.kinds[Refused], CutWithEvent: s.kinds[CutWithEvent], Broken: s.kinds[Broken],
		Unreached: s.kinds[Unreached], Unsent: s.kinds[Unsent], Unfinished: s.kinds[Unfinished],
		Unmarked: s.kinds[Unmarked], Wrong: s.kinds[Wrong], BadRefusal: s.kinds[BadRefusal],
		Codes: s.sortedCodes(), Resends: s.resends, Failovers: s.failovers, Redirected: s.redirects,
		RequestsPerSecond: float64(s.kinds[Answered]) / took.Seconds(),
		TokensPerSecond:   float64(s.tokens) / took.Seconds(),
		StartDelay:        s.startDelay.quantiles(), FirstToken: s.firstToken.quantiles(),
		BetweenTokens: s.betweenTokens.quantiles(), Total: s.total.quantiles(),
	}
}

// keysReport counts keys by result and adds examples of faults to the notes.
func (t *tally) keysReport(audited bool) *KeysReport {
	k := &KeysReport{Keys: int64(len(t.keys)), Audited: audited}
	for _, h := range t.keys {
		switch {
		case h.answered != nil:
			k.Answered++
		case h.reportedRun:
			k.Ran++
		case h.allNotRun:
			k.NotRun++
		default:
			k.Unknown++
		}
		if h.duplicateRun != "" {
			k.DuplicateRuns++
			t.note("doubled: " + h.duplicateRun)
		}
		if h.wrongVerdict != "" {
			k.WrongVerdicts++
			t.note("wrong verdict: " + h.wrongVerdict)
		}
	}
	return k
}

func (t *tally) report(c *Config, took time.Duration, audited bool) *Report {
	r := &Report{Seed: c.Seed, Seconds: took.Seconds(), Gateway: t.dests[ToGateway].report(took)}
	if c.Baseline != "" {
		b := t.dests[ToEngine].report(took)
		r.Baseline = &b
		r.Overhead = &Overhead{
			FirstP50: r.Gateway.FirstToken.P50 - b.FirstToken.P50,
			FirstP99: r.Gateway.FirstToken.P99 - b.FirstToken.P99,
			PerToken: r.Gateway.BetweenTokens.Mean - b.BetweenTokens.Mean,
		}
	}
	if c.Plain != "" {
		r.AtMostOnce = t.keysReport(audited)
	}
	r.Notes = append([]string{}, t.notes...)
	return r
}

// Write prints the report for people.
func (r *Report) Write(out io.Writer) {
	p := func(format string, args ...any) { _, _ = fmt.Fprintf(out, format+"\n", args...) }
	p("seed %d, %.1f s", r.Seed, r.Seconds)
	r.Gateway.write(p, "through the gateway")
	if r.Baseline != nil {
		r.Baseline.write(p, "straight to the engine")
		p("added by the gateway: first token p50 %.3f ms, p99 %.3f ms; between tokens %.4f ms on average",
			r.Overhead.FirstP50, r.Overhead.FirstP99, r.Overhead.PerToken)
	}
	if k := r.AtMostOnce; k != nil {
		p("keys: %d; answered %d, told that they ran %d, not run %d, unknown %d; doubled %d, wrong verdicts %d; targets asked: %t",
			k.Keys, k.Answered, k.Ran, k.NotRun, k.Unknown, k.DuplicateRuns, k.WrongVerdicts, k.Audited)
	}
	if r.DirectoryFaults > 0 {
		p("directory: %d readings failed", r.DirectoryFaults)
	}
	for _, note := range r.Notes {
		p("  %s", note)
	}
}

func (s *DestReport) write(p func(string, ...any), name string) {
	p("%s: %d sendings, %d of them resends, %d arrivals unsent", name, s.Sent, s.Resends, s.Unsent)
	p("  answered %d (in time %d), refused %d, cut with an error event %d, broken %d, unreached %d, unfinished %d",
		s.Answered, s.InTime, s.Refused, s.CutWithEvent, s.Broken, s.Unreached, s.Unfinished)
	p("  ended without a mark %d, wrong answer %d, bad refusal %d", s.Unmarked, s.Wrong, s.BadRefusal)
	for _, c := range s.Codes {
		p("  %d x %s", c.Count, c.Name)
	}
	p("  moved on from an instance %d times, sent to another region by a refusal %d times", s.Failovers, s.Redirected)
	p("  %.1f requests/s, %.1f tokens/s", s.RequestsPerSecond, s.TokensPerSecond)
	p("  ms             p50       p95       p99     p99.9       max")
	for _, row := range []struct {
		name string
		q    Quantiles
	}{{"start delay", s.StartDelay}, {"first token", s.FirstToken}, {"between", s.BetweenTokens}, {"whole", s.Total}} {
		p("  %-11s %9.3f %9.3f %9.3f %9.3f %9.3f", row.name, row.q.P50, row.q.P95, row.q.P99, row.q.P999, row.q.Max)
	}
}
