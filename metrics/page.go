package metrics

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"

	gometrics "github.com/rcrowley/go-metrics"
)

// contentType is that of the Prometheus text exposition format, version 0.0.4.
const contentType = "text/plain; version=0.0.4; charset=utf-8"

// WritePage writes all metrics, sorted by name.
func (s *Set) WritePage(w io.Writer) error {
	s.readState()
	s.mu.Lock()
	names := make([]string, 0, len(s.metrics))
	for n := range s.metrics {
		names = append(names, n)
	}
	s.mu.Unlock()
	slices.Sort(names)
	for _, n := range names {
		if err := s.write(w, n); err != nil {
			return err
		}
	}
	return nil
}

func (s *Set) write(w io.Writer, name string) error {
	s.mu.Lock()
	m, histogram := s.metrics[name], s.histograms[name]
	s.mu.Unlock()
	if _, err := fmt.Fprintf(w, "# HELP %s %s Unit: %s.\n# TYPE %s %s\n", name, m.Meaning, m.Unit, name, m.Kind); err != nil {
		return err
	}
	if histogram != nil {
		return histogram.write(w, name)
	}
	var value int64
	switch v := s.registry.Get(name).(type) {
	case gometrics.Counter:
		value = v.Count()
	case gometrics.Gauge:
		value = v.Value()
	}
	_, err := fmt.Fprintf(w, "%s %d\n", name, value)
	return err
}

func (h *histogram) write(w io.Writer, name string) error {
	var sum int64
	for i := range h.buckets {
		sum += h.buckets[i].Load()
		le := "+Inf"
		if i < len(h.bounds) {
			le = strconv.FormatFloat(h.bounds[i], 'g', -1, 64)
		}
		if _, err := fmt.Fprintf(w, "%s_bucket{le=\"%s\"} %d\n", name, le, sum); err != nil {
			return err
		}
	}
	total := float64(h.sumNanos.Load()) / 1e9
	_, err := fmt.Fprintf(w, "%s_sum %g\n%s_count %d\n", name, total, name, sum)
	return err
}

// ServeHTTP writes the page.
func (s *Set) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", contentType)
	_ = s.WritePage(w)
}
