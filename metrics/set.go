package metrics

import (
	"sync"
	"sync/atomic"

	gometrics "github.com/rcrowley/go-metrics"
)

// Set is a registry with the metrics of an instance.
type Set struct {
	registry   gometrics.Registry
	mu         sync.Mutex
	metrics    map[string]Metric
	histograms map[string]*histogram
	times      map[string]*Times
	ratios     map[string]*Ratios
	// readControl reads the control plane's metrics once for each page; control holds the
	// result.
	readControl func() Control
	control     atomic.Pointer[Control]
	// onPage, if set, is called before each page.
	onPage func()

	Requests, Answered, Refused, FailedMayHaveRun, FailedRan            gometrics.Counter
	CutAnswers, CallersGone                                             gometrics.Counter
	Attempts, Retries, Hedges, Resumes, LateAnswers                     gometrics.Counter
	MovedStreams, FailedMoves                                           gometrics.Counter
	Duplicates, Reordered, Foreign, WrongAnswers, BrokenAnswers, Chunks gometrics.Counter
	BodyBytes, Spilled, Replayed, ClaimsRecorded, ClaimsUnrecorded      gometrics.Counter
	FirstByteTime, AnswerTime                                           *Times
}

// NewSet returns a Set with all metrics of the request path at zero.
func NewSet() *Set {
	s := newEmptySet()
	s.Requests = s.Counter(Requests)
	s.Answered = s.Counter(Answered)
	s.Refused = s.Counter(Refused)
	s.FailedMayHaveRun = s.Counter(FailedMayHaveRun)
	s.FailedRan = s.Counter(FailedRan)
	s.CutAnswers = s.Counter(CutAnswers)
	s.CallersGone = s.Counter(CallersGone)
	s.Attempts = s.Counter(Attempts)
	s.Retries = s.Counter(Retries)
	s.Hedges = s.Counter(Hedges)
	s.Resumes = s.Counter(Resumes)
	s.MovedStreams = s.Counter(MovedStreams)
	s.FailedMoves = s.Counter(FailedMoves)
	s.LateAnswers = s.Counter(LateAnswers)
	s.Duplicates = s.Counter(Duplicates)
	s.Reordered = s.Counter(Reordered)
	s.Foreign = s.Counter(Foreign)
	s.WrongAnswers = s.Counter(WrongAnswers)
	s.BrokenAnswers = s.Counter(BrokenAnswers)
	s.Chunks = s.Counter(Chunks)
	s.BodyBytes = s.Counter(BodyBytes)
	s.Spilled = s.Counter(Spilled)
	s.Replayed = s.Counter(Replayed)
	s.ClaimsRecorded = s.Counter(ClaimsRecorded)
	s.ClaimsUnrecorded = s.Counter(ClaimsUnrecorded)
	s.FirstByteTime = s.Times(FirstByteTime)
	s.AnswerTime = s.Times(AnswerTime)
	return s
}

func newEmptySet() *Set {
	return &Set{registry: gometrics.NewRegistry(), metrics: map[string]Metric{}, histograms: map[string]*histogram{},
		times: map[string]*Times{}, ratios: map[string]*Ratios{}}
}

// Counter registers a counter, or returns the registered one with this name.
func (s *Set) Counter(m Metric) gometrics.Counter {
	s.describe(m)
	return gometrics.GetOrRegisterCounter(m.Name, s.registry)
}

// Gauge registers a metric; read is called for each page.
func (s *Set) Gauge(m Metric, read func() int64) {
	s.describe(m)
	_ = s.registry.Register(m.Name, gometrics.NewFunctionalGauge(read))
}

// Times registers a histogram of durations, or returns the registered one with this name.
func (s *Set) Times(m Metric) *Times {
	return getOrRegister(s, m, s.times, func() (*Times, *histogram) {
		h := newHistogram(timeBoundsSeconds)
		return &Times{h}, h
	})
}

// Ratios registers a histogram of ratios, or returns the registered one with this name.
func (s *Set) Ratios(m Metric) *Ratios {
	return getOrRegister(s, m, s.ratios, func() (*Ratios, *histogram) {
		h := newHistogram(ratioBounds)
		return &Ratios{h}, h
	})
}

// getOrRegister returns the histogram with this name, and makes it if there is none.
func getOrRegister[T any](s *Set, m Metric, known map[string]T, make func() (T, *histogram)) T {
	s.describe(m)
	s.mu.Lock()
	defer s.mu.Unlock()
	if made, ok := known[m.Name]; ok {
		return made
	}
	made, h := make()
	known[m.Name], s.histograms[m.Name] = made, h
	return made
}

func (s *Set) describe(m Metric) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.metrics[m.Name] = m
}
