package experiment

import (
	"bytes"
	"testing"
	"time"
)

func quick() Options {
	o := DefaultOptions()
	o.Seeds, o.Workers, o.Day = 1, 2, time.Minute
	o.Loads = []float64{0.95}
	return o
}

func table(t *testing.T, o Options) (string, *Result) {
	t.Helper()
	res, err := Run(o)
	if err != nil {
		t.Fatal(err)
	}
	var b bytes.Buffer
	if err := res.WriteTable(&b); err != nil {
		t.Fatal(err)
	}
	if err := res.WriteJSON(&b); err != nil {
		t.Fatal(err)
	}
	return b.String(), res
}

// Symptom: a run can't be repeated. Events: the same options twice, on another
// number of workers. Cause: order of maps, of goroutines, or a clock.
func TestSameSeedsGiveTheSameTable(t *testing.T) {
	o := quick()
	o.Faults = []Fault{AllLost, Killer}
	first, _ := table(t, o)
	o.Workers = 1
	second, _ := table(t, o)
	if first != second {
		t.Fatal("two runs of the same seeds differ")
	}
}

// Symptom: figures look good because requests went missing. Events: every
// fault. Cause: a path of a call that ends without an answer, or with two.
func TestEveryArrivalEndsOnce(t *testing.T) {
	_, res := table(t, quick())
	for i := range res.Rows {
		r := &res.Rows[i]
		f := r.Seeds[0]
		if f.Arrivals == 0 || f.Answered+f.Refused+f.Failed != f.Arrivals || f.Lost != 0 {
			t.Errorf("%s %s %s: %d arrivals, %d answered, %d refused, %d failed, %d lost",
				r.Workload, r.Fault, r.Decider, f.Arrivals, f.Answered, f.Refused, f.Failed, f.Lost)
		}
		if f.Doubled != 0 || f.Violations != 0 {
			t.Errorf("%s %s %s: %d doubled, %d violations", r.Workload, r.Fault, r.Decider, f.Doubled, f.Violations)
		}
	}
}

func TestBadOptionsAreRefused(t *testing.T) {
	for name, spoil := range map[string]func(*Options){
		"workload": func(o *Options) { o.Workloads = []string{"nobody"} },
		"decider":  func(o *Options) { o.Deciders = []string{"oracle"} },
		"fault":    func(o *Options) { o.Faults = []Fault{"flood"} },
		"load":     func(o *Options) { o.Loads = []float64{-1} },
		"seeds":    func(o *Options) { o.Seeds = 0 },
	} {
		o := quick()
		spoil(&o)
		if _, err := Run(o); err == nil {
			t.Errorf("bad %s was taken", name)
		}
	}
}
