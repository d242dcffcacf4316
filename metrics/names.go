// Package metrics holds the counters of an instance, each with its name, unit
// and meaning in one place, and writes them in the text form that scrapers read.
package metrics

// Kind tells how a metric moves.
type Kind string

// Kinds of metrics.
const (
	// Counter only rises.
	Counter Kind = "counter"
	// Gauge rises and falls.
	Gauge Kind = "gauge"
	// Histogram counts values in buckets.
	Histogram Kind = "histogram"
)

// Metric describes one metric.
type Metric struct {
	Name    string
	Kind    Kind
	Unit    string
	Meaning string
}

// Metrics of the request path.
var (
	Requests         = Metric{"gullhaven_requests_total", Counter, "requests", "Requests that came in."}
	InFlight         = Metric{"gullhaven_in_flight", Gauge, "requests", "Requests under way."}
	Answered         = Metric{"gullhaven_answered_total", Counter, "requests", "Requests that got a whole answer."}
	Refused          = Metric{"gullhaven_refused_total", Counter, "requests", "Requests refused or failed with the verdict not_run."}
	FailedMayHaveRun = Metric{"gullhaven_failed_may_have_run_total", Counter, "requests", "Requests failed with the verdict may_have_run."}
	FailedRan        = Metric{"gullhaven_failed_ran_total", Counter, "requests", "Requests failed with the verdict ran."}
	CutAnswers       = Metric{"gullhaven_cut_answers_total", Counter, "requests", "Answers that ended with an error event after they had begun."}
	CallersGone      = Metric{"gullhaven_callers_gone_total", Counter, "requests", "Requests whose caller left before the end."}
	Attempts         = Metric{"gullhaven_attempts_total", Counter, "attempts", "Sendings to targets."}
	Retries          = Metric{"gullhaven_retries_total", Counter, "attempts", "Sendings after a failed one."}
	Hedges           = Metric{"gullhaven_hedges_total", Counter, "attempts", "Second sendings before the first token."}
	Resumes          = Metric{"gullhaven_resumes_total", Counter, "streams", "Cut streams taken up again."}
	LateAnswers      = Metric{"gullhaven_late_answers_total", Counter, "answers", "Answers of abandoned attempts, dropped."}
	Duplicates       = Metric{"gullhaven_chunks_duplicate_total", Counter, "chunks", "Chunks given twice, dropped."}
	Reordered        = Metric{"gullhaven_chunks_reordered_total", Counter, "chunks", "Chunks that came early and were put in order."}
	Foreign          = Metric{"gullhaven_chunks_foreign_total", Counter, "chunks", "Chunks of another attempt, dropped."}
	WrongAnswers     = Metric{"gullhaven_wrong_answers_total", Counter, "answers", "Answers of another attempt, dropped."}
	Chunks           = Metric{"gullhaven_chunks_total", Counter, "chunks", "Chunks passed on to callers."}
	BodyBytes        = Metric{"gullhaven_body_bytes_total", Counter, "bytes", "Bytes of bodies read."}
	Spilled          = Metric{"gullhaven_spilled_total", Counter, "requests", "Requests passed on to another region."}
	Replayed         = Metric{"gullhaven_replayed_total", Counter, "requests", "Resends answered from a kept answer or joined to a running attempt."}
	ClaimsRecorded   = Metric{"gullhaven_claims_recorded_total", Counter, "claims", "Ends of claimed requests recorded."}
	ClaimsUnrecorded = Metric{"gullhaven_claims_unrecorded_total", Counter, "claims", "Ends of claimed requests given up unrecorded; they count as may_have_run."}
	FirstByteTime    = Metric{"gullhaven_first_byte_seconds", Histogram, "seconds", "Time from arrival to the first byte of the answer."}
	AnswerTime       = Metric{"gullhaven_answer_seconds", Histogram, "seconds", "Time from arrival to the end of the answer."}
)
