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

// standinTokenTime is the time that an engine of a site takes for a token.
const standinTokenTime = 2 * time.Millisecond

// headers of a request.
type headers map[string]string

// Marks of a sending.
var (
	firstSending = headers{pipeline.HeaderResend: "false"}
	resent       = headers{pipeline.HeaderResend: "true"}
)

// reply is a whole answer, read to its end.
type reply struct {
	status int
	header http.Header
	body   string
	// refusal is empty for an answer of a target.
	refusal pipeline.RefusalDetail
}

// told is the verdict that a reply gives its caller.
func (r *reply) told() verdict.Verdict {
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

// request sends any request with the key of a workspace. The error is of a
// connection that gave no whole answer.
func (c *cluster) request(i *instance, method, path, workspace, body string, h headers) (*reply, error) {
	resp, err := c.ask(i, method, path, workspace, body, h)
	if err != nil {
		return nil, err
	}
	return read(resp)
}

// book sends a booking under a key.
func (c *cluster) book(i *instance, workspace, key string, h headers) (*reply, error) {
	all := headers{pipeline.HeaderIdempotencyKey: key}
	for name, value := range h {
		all[name] = value
	}
	return c.request(i, http.MethodPost, "/services/desk/bookings/"+key, workspace, `{"booking":"`+key+`"}`, all)
}

// mustBook is book where an answer must come.
func (c *cluster) mustBook(i *instance, workspace, key string, h headers) *reply {
	c.t.Helper()
	r, err := c.book(i, workspace, key, h)
	must(c.t, err)
	return r
}

// metric reads a counter or gauge of an instance.
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

// page reads a page of an interface of an instance.
func (c *cluster) page(address, path string) string {
	c.t.Helper()
	resp, err := c.client.Get("http://" + address + path)
	must(c.t, err)
	r, err := read(resp)
	must(c.t, err)
	return r.body
}

// in are the instances of a region.
func (c *cluster) in(region string) []*instance {
	var list []*instance
	for _, i := range c.instances {
		if i.settings.Region == region {
			list = append(list, i)
		}
	}
	return list
}
