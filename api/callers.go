package api

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"

	"github.com/gullhaven/gullhaven/api/gen/callers"
	"github.com/gullhaven/gullhaven/api/gen/health"
	"github.com/gullhaven/gullhaven/coord/verdict"
	"github.com/gullhaven/gullhaven/ports"
)

// errServedByPipeline is returned by methods whose handler is that of the pipeline.
var errServedByPipeline = errors.New("served by the request path")

// callersService implements the callers service of api/design.
type callersService struct{ d Deps }

// ChatCompletions is never called, see the package comment.
func (s *callersService) ChatCompletions(context.Context, *callers.ChatCompletionsPayload, io.ReadCloser) (*callers.CompletionAnswer, io.ReadCloser, error) {
	return nil, nil, errServedByPipeline
}

// Completions is never called, see the package comment.
func (s *callersService) Completions(context.Context, *callers.CompletionsPayload, io.ReadCloser) (*callers.CompletionAnswer, io.ReadCloser, error) {
	return nil, nil, errServedByPipeline
}

// Models lists the names that a request may give as its model.
func (s *callersService) Models(context.Context) (*callers.ModelList, error) {
	list := &callers.ModelList{Object: "list", Data: []*callers.Model{}}
	v := s.d.Pipeline.View()
	if v == nil {
		return list, nil
	}
	for _, name := range v.Models() {
		list.Data = append(list.Data, &callers.Model{ID: name, Object: "model", OwnedBy: "gullhaven"})
	}
	return list, nil
}

// Directory returns the instances that the caller should use now.
func (s *callersService) Directory(_ context.Context, p *callers.DirectoryPayload) (*callers.DirectoryAnswer, error) {
	q := ports.DirectoryQuery{Zone: valueOrEmpty(p.Zone), Region: valueOrEmpty(p.Region), Caller: valueOrEmpty(p.Caller)}
	a := s.d.Directory.Lookup(q)
	out := &callers.DirectoryAnswer{
		Instances:    []*callers.DirectoryEntry{},
		TTLMs:        a.TTL.Milliseconds(),
		CacheControl: fmt.Sprintf("max-age=%d", int(a.TTL.Seconds())),
	}
	for _, e := range a.Entries {
		out.Instances = append(out.Instances, &callers.DirectoryEntry{
			Instance: e.Instance,
			URL:      e.URL,
			Region:   e.Region,
			Zone:     e.Zone,
			Weight:   e.Weight,
		})
	}
	return out, nil
}

func valueOrEmpty(s *string) string {
	if s == nil {
		return ""
	}
	return *s
}

// healthService implements the health service of api/design.
type healthService struct{ d Deps }

// Live returns nil: the process runs.
func (s *healthService) Live(context.Context) error { return nil }

// Ready returns a refusal if the instance takes no requests.
func (s *healthService) Ready(context.Context) (*health.Readiness, error) {
	if s.d.Ready == nil {
		return &health.Readiness{Ready: true}, nil
	}
	err := s.d.Ready()
	if err == nil {
		return &health.Readiness{Ready: true}, nil
	}
	return nil, &health.Refusal{
		Name:    "unavailable",
		Verdict: verdict.NotRun.String(),
		Detail:  &health.RefusalDetail{Code: string(CodeNotReady), Verdict: verdict.NotRun.String(), Message: err.Error()},
	}
}

// Metrics returns the metrics page.
func (s *healthService) Metrics(context.Context) (*health.MetricsResult, io.ReadCloser, error) {
	var page bytes.Buffer
	if err := s.d.Metrics.WritePage(&page); err != nil {
		return nil, nil, err
	}
	return &health.MetricsResult{ContentType: "text/plain; version=0.0.4; charset=utf-8"}, io.NopCloser(&page), nil
}
