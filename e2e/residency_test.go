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

// Guards against data of a request with residency in a region that it must not reach.
// Its caller sends headers only, then whole requests to instances of other regions,
// which must not read, log or store a body before they know where the request may go,
// nor keep its claim.
func TestBoundRequestsAreRefusedElsewhereUnread(t *testing.T) {
	c := startShape(t, shape{perRegion: 2, inProcessTargets: true})
	const dossier, key = "secret-dossier-4711", "secret-booking-4712"
	for _, i := range c.instances {
		if i.settings.Region == boundRegion {
			continue
		}
		c.checkRefusedBeforeBody(i)
		c.checkMisdirected(i, "/v1/completions", briefingBody(dossier, 4), nil)
		c.checkMisdirected(i, "/services/desk/bookings", dossier, headers{pipeline.HeaderIdempotencyKey: key})
	}
	for region, s := range c.targets {
		if n := s.runsOf(dossier) + s.desk.Runs(key); n != 0 {
			t.Errorf("%d runs in %s", n, region)
		}
	}
	c.checkServedAtHome(dossier, key)
	digest := claim.KeyOf(boundWorkspace, "desk\x00"+key)
	for _, i := range c.instances {
		for name, data := range c.outputOf(i) {
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
	if !c.outputContains(c.voter(boundRegion), digest[:]) {
		t.Error("the home region's disk holds no digest of the claim, so its absence elsewhere proves nothing")
	}
}

func briefingBody(prompt string, tokens int) string {
	return fmt.Sprintf(`{"model":"briefing","stream":true,"max_tokens":%d,"prompt":%q}`, tokens, prompt)
}

// checkRefusedBeforeBody sends the headers of a bound request without its body, and
// checks that it is refused.
func (c *cluster) checkRefusedBeforeBody(i *instance) {
	c.t.Helper()
	conn, err := net.Dial("tcp", i.settings.Listen.Callers)
	must(c.t, err)
	defer conn.Close()
	must(c.t, conn.SetDeadline(time.Now().Add(waitTimeout)))
	_, err = fmt.Fprintf(conn, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: 1000000\r\n\r\n", keyOf(boundWorkspace))
	must(c.t, err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	must(c.t, err)
	if r, err := read(resp); err != nil || r.status != http.StatusMisdirectedRequest {
		c.t.Errorf("%s: %+v, %v", i.id(), r, err)
	}
}

// checkMisdirected sends a bound request to an instance of another region, which must
// name an instance of boundRegion.
func (c *cluster) checkMisdirected(i *instance, path, body string, h headers) {
	c.t.Helper()
	c.eventually(i.id()+" redirects to the bound region", func() error {
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
		for _, home := range c.inRegion(boundRegion) {
			if to.Host == home.settings.Listen.Callers && to.Path == path {
				return nil
			}
		}
		// Instances learn the instances of other regions within seconds of their start.
		return errors.New("Location names no instance of the bound region: " + to.String())
	})
}

// checkServedAtHome checks that boundRegion serves both requests.
func (c *cluster) checkServedAtHome(dossier, key string) {
	c.t.Helper()
	i := c.inRegion(boundRegion)[1]
	text, err := c.briefing(i, boundWorkspace, dossier, 4)
	if err != nil || text != standin.Answer([]byte(dossier), 4) {
		c.t.Errorf("at home: %q, %v", text, err)
	}
	r, err := c.request(i, http.MethodPost, "/services/desk/bookings", boundWorkspace, dossier, headers{pipeline.HeaderIdempotencyKey: key})
	must(c.t, err)
	if r.status != http.StatusOK || c.targets[boundRegion].desk.Runs(key) != 1 {
		c.t.Errorf("at home: %d %s", r.status, r.body)
	}
}

// outputOf returns all files that an instance wrote and the pages that it serves, by
// name.
func (c *cluster) outputOf(i *instance) map[string][]byte {
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
			return nil // the file was replaced meanwhile
		}
		left[strings.TrimPrefix(path, c.dir)] = data
		return err
	}))
	return left
}

// outputContains reports whether an instance's files or pages contain some bytes.
func (c *cluster) outputContains(i *instance, b []byte) bool {
	for _, data := range c.outputOf(i) {
		if bytes.Contains(data, b) {
			return true
		}
	}
	return false
}
