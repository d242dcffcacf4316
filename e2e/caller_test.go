package e2e

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/gullhaven/gullhaven/coord/verdict"
	"github.com/gullhaven/gullhaven/pipeline"
)

// standinTokenTime is the time per token of an engine in the test's process.
const standinTokenTime = 2 * time.Millisecond

// headers of a request.
type headers map[string]string

// Marks of an attempt.
var (
	markedFirst  = headers{pipeline.HeaderResend: "false"}
	markedResend = headers{pipeline.HeaderResend: "true"}
)

// reply is a complete answer.
type reply struct {
	status int
	header http.Header
	body   string
	// refusal is zero for an answer of a target.
	refusal pipeline.RefusalDetail
}

// callerVerdict returns the verdict that a reply gives its caller.
func (r *reply) callerVerdict() verdict.Verdict {
	if r.refusal.Code == "" {
		return verdict.Ran
	}
	return r.refusal.Verdict
}

// refused checks the code and verdict of a refusal.
func (r *reply) refused(t *testing.T, what string, code verdict.Code, v verdict.Verdict) {
	t.Helper()
	if r.refusal.Code != code || r.refusal.Verdict != v {
		t.Errorf("%s: answered %d %s; want code %s, verdict %v", what, r.status, r.body, code, v)
	}
}

// read reads an answer to its end.
func read(resp *http.Response) (*reply, error) {
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, err
	}
	r := &reply{status: resp.StatusCode, header: resp.Header, body: string(data)}
	var refusal pipeline.Refusal
	if json.Unmarshal(data, &refusal) == nil {
		r.refusal = refusal.Error
	}
	return r, nil
}

// request sends any request with the key of a workspace. It returns an error if the
// connection gave no complete answer.
func (c *cluster) request(i *instance, method, path, workspace, body string, h headers) (*reply, error) {
	resp, err := c.send(i, method, path, workspace, body, h)
	if err != nil {
		return nil, err
	}
	return read(resp)
}

// book sends a booking with an idempotency key.
func (c *cluster) book(i *instance, workspace, key string, h headers) (*reply, error) {
	all := headers{pipeline.HeaderIdempotencyKey: key}
	for name, value := range h {
		all[name] = value
	}
	return c.request(i, http.MethodPost, "/services/desk/bookings/"+key, workspace, `{"booking":"`+key+`"}`, all)
}

// mustBook is book; the test fails if there is no reply.
func (c *cluster) mustBook(i *instance, workspace, key string, h headers) *reply {
	c.t.Helper()
	r, err := c.book(i, workspace, key, h)
	must(c.t, err)
	return r
}

// metric returns the value of a counter or gauge of an instance.
func (c *cluster) metric(i *instance, name string) string {
	c.t.Helper()
	for line := range strings.Lines(c.page(i.settings.Listen.Operators, "/metrics")) {
		if value, found := strings.CutPrefix(line, name+" "); found {
			return strings.TrimSpace(value)
		}
	}
	c.t.Fatalf("%s has no metric %s", i.id(), name)
	return ""
}

// page returns the body of a page of an instance.
func (c *cluster) page(address, path string) string {
	c.t.Helper()
	resp, err := c.client.Get("http://" + address + path)
	must(c.t, err)
	r, err := read(resp)
	must(c.t, err)
	return r.body
}

// inRegion returns the instances of a region.
func (c *cluster) inRegion(region string) []*instance {
	var list []*instance
	for _, i := range c.instances {
		if i.settings.Region == region {
			list = append(list, i)
		}
	}
	return list
}
