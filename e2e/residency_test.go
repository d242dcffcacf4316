package e2e

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io/fs"
	"net"
	"net/http"
	"net/url"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/gullhaven/gullhaven/coord/claim"
	"github.com/gullhaven/gullhaven/coord/verdict"
	"github.com/gullhaven/gullhaven/pipeline"
	"github.com/gullhaven/gullhaven/standin"
)

// Symptom: data of a bound request lies in a region that it must not reach.
// Events: its caller sends it to instances of other regions; only the headers
// go out at first, then whole requests.
// Cause: an instance that reads, logs or stores a body before it knows where
// the request may go, or claims that are kept at the instance that was asked.
func TestBoundRequestsAreRefusedElsewhereUnread(t *testing.T) {
	c := startShape(t, shape{perRegion: 2, sites: true})
	const dossier, key = "secret-dossier-4711", "secret-booking-4712"
	for _, i := range c.instances {
		if i.settings.Region == boundRegion {
			continue
		}
		c.refusesBeforeTheBody(i)
		c.sendsTo(i, "/v1/completions", briefingBody(dossier, 4), nil)
		c.sendsTo(i, "/services/desk/bookings", dossier, headers{pipeline.HeaderIdempotencyKey: key})
	}
	for region, s := range c.sites {
		if n := s.runsOf(dossier) + s.desk.Runs(key); n != 0 {
			t.Errorf("%d runs in %s", n, region)
		}
	}
	c.servesAtHome(dossier, key)
	digest := claim.KeyOf(boundWorkspace, "desk\x00"+key)
	for _, i := range c.instances {
		for name, data := range c.leftAt(i) {
			for _, text := range []string{dossier, key} {
				if bytes.Contains(data, []byte(text)) {
					t.Errorf("%s holds %q", name, text)
				}
			}
			if bytes.Contains(data, digest[:]) && i.settings.Region != boundRegion {
				t.Errorf("%s holds the claim", name)
			}
		}
	}
	if !c.holds(c.voter(boundRegion), digest[:]) {
		t.Error("the home's disk holds no digest of the claim; it would not be seen elsewhere either")
	}
}

func briefingBody(prompt string, tokens int) string {
	return fmt.Sprintf(`{"model":"briefing","stream":true,"max_tokens":%d,"prompt":%q}`, tokens, prompt)
}

// refusesBeforeTheBody sends the headers of a bound request and holds its body
// back: the answer must come all the same.
func (c *cluster) refusesBeforeTheBody(i *instance) {
	c.t.Helper()
	conn, err := net.Dial("tcp", i.settings.Listen.Callers)
	must(c.t, err)
	defer conn.Close()
	must(c.t, conn.SetDeadline(time.Now().Add(patience)))
	_, err = fmt.Fprintf(conn, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: 1000000\r\n\r\n", keyOf(boundWorkspace))
	must(c.t, err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	must(c.t, err)
	if r, err := read(resp); err != nil || r.status != http.StatusMisdirectedRequest {
		c.t.Errorf("%s: %+v, %v", i.id(), r, err)
	}
}

// sendsTo sends a bound request to an instance elsewhere, which must name a
// place at home.
func (c *cluster) sendsTo(i *instance, path, body string, h headers) {
	c.t.Helper()
	c.eventually(i.id()+" says where to go", func() error {
		r, err := c.request(i, http.MethodPost, path, boundWorkspace, body, h)
		must(c.t, err)
		if r.status != http.StatusMisdirectedRequest || r.header.Get(pipeline.HeaderRegions) != boundRegion {
			c.t.Errorf("%s answered %d %v %s", i.id(), r.status, r.header, r.body)
		}
		if _, keyed := h[pipeline.HeaderIdempotencyKey]; !keyed {
			r.refused(c.t, i.id(), pipeline.CodeWrongRegion, verdict.NotRun)
		}
		to, err := url.Parse(r.header.Get("Location"))
		must(c.t, err)
		for _, home := range c.in(boundRegion) {
			if to.Host == home.settings.Listen.Callers && to.Path == path {
				return nil
			}
		}
		// Instances learn of other regions within seconds of their start.
		return errors.New("no place at home: " + to.String())
	})
}

// servesAtHome has both requests served in the region that they are bound to.
func (c *cluster) servesAtHome(dossier, key string) {
	c.t.Helper()
	i := c.in(boundRegion)[1]
	text, err := c.briefing(i, boundWorkspace, dossier, 4)
	if err != nil || text != standin.Answer([]byte(dossier), 4) {
		c.t.Errorf("at home: %q, %v", text, err)
	}
	r, err := c.request(i, http.MethodPost, "/services/desk/bookings", boundWorkspace, dossier, headers{pipeline.HeaderIdempotencyKey: key})
	must(c.t, err)
	if r.status != http.StatusOK || c.sites[boundRegion].desk.Runs(key) != 1 {
		c.t.Errorf("at home: %d %s", r.status, r.body)
	}
}

// leftAt is all that an instance wrote or shows, by name.
func (c *cluster) leftAt(i *instance) map[string][]byte {
	left := map[string][]byte{}
	for _, path := range []string{"/metrics", "/operator/v1/status", "/operator/v1/burn"} {
		left[i.id()+path] = []byte(c.page(i.settings.Listen.Operators, path))
	}
	must(c.t, filepath.WalkDir(i.dir, func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() {
			return err
		}
		data, err := os.ReadFile(path)
		if errors.Is(err, fs.ErrNotExist) {
			return nil // a file that was replaced meanwhile
		}
		left[strings.TrimPrefix(path, c.dir)] = data
		return err
	}))
	return left
}

// holds reports whether an instance's disk holds some bytes.
func (c *cluster) holds(i *instance, b []byte) bool {
	for _, data := range c.leftAt(i) {
		if bytes.Contains(data, b) {
			return true
		}
	}
	return false
}
