package e2e

import (
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/gullhaven/gullhaven/coord/keys"
	"github.com/gullhaven/gullhaven/coord/verdict"
	"github.com/gullhaven/gullhaven/metrics"
	"github.com/gullhaven/gullhaven/pipeline"
	"github.com/gullhaven/gullhaven/standin"
)

// Guards against a request that is forwarded between regions until its deadline, if a hop
// is not written or not checked by the next instance. All regions may spill everything;
// every engine seems healthy but rejects each request, so that each region prefers the
// others.
func TestSpillCrossesOnce(t *testing.T) {
	c := startShape(t, shape{perRegion: 2, neighbours: true, inProcessTargets: true})
	c.awaitSpill("jatim")
	c.targets["jatim"].engines[0].up()
	c.awaitServedAtHome("jatim")
	for _, s := range c.targets {
		s.setFaults(standin.Fault{Kind: standin.FaultReject})
	}
	// Each is received where its caller sent it, and once more if it was forwarded.
	const requests, most = 30, 2
	forwarded := 0
	for n := range requests {
		before := c.requestsReceived()
		i := c.inRegion(regionNames[n%3])[n/3%2]
		r, err := c.request(i, http.MethodPost, "/v1/completions", i.settings.Region, briefingBody("nowhere "+strconv.Itoa(n), 4), nil)
		must(t, err)
		if r.refusal.Verdict != verdict.NotRun || r.refusal.RetryAfterMillis == 0 {
			t.Errorf("%s answered %d %s; want a refusal with a time to retry after", i.id(), r.status, r.body)
		}
		taken := c.requestsReceived() - before
		if taken > most {
			t.Errorf("request %d was taken %d times", n, taken)
		}
		forwarded += taken - 1
		// Grants grow with time, and summaries come each second.
		time.Sleep(pollInterval)
	}
	if forwarded == 0 {
		t.Error("no request was forwarded, so that none could loop")
	}
	t.Logf("%d of %d requests were forwarded", forwarded, requests)
}

// requestsReceived returns the number of requests that all instances received, including
// those from other instances.
func (c *cluster) requestsReceived() int {
	c.t.Helper()
	sum := 0
	for _, i := range c.instances {
		n, err := strconv.Atoi(c.metric(i, metrics.Requests.Name))
		must(c.t, err)
		sum += n
	}
	return sum
}

// Guards against a trusted hop header, with which a caller bypasses the loop check or an
// instance impersonates another. Hops are forged by a caller, omitted by an instance, or
// name another sender, the receiver, or a second region crossing.
func TestForgedHopsAreRefused(t *testing.T) {
	c := startShape(t, shape{perRegion: 2, neighbours: true, inProcessTargets: true})
	to := c.inRegion("bali")[0]
	r, err := c.request(to, http.MethodPost, "/v1/completions", "jatim", briefingBody("p", 4), headers{pipeline.HeaderHop: "jatim-0@jatim"})
	must(t, err)
	r.refused(t, "a caller's hop", pipeline.CodeHopNotAllowed, verdict.NotRun)
	for _, forged := range []struct {
		what, hops string
		code       verdict.Code
	}{
		{"no hop", "", pipeline.CodeHopNotAllowed},
		{"malformed", "jatim-0", pipeline.CodeHopNotAllowed},
		{"another sender", "jatim-1@jatim", pipeline.CodeHopNotAllowed},
		{"was here", "bali-0@bali, jatim-0@jatim", pipeline.CodeLoop},
		{"was in the region", "bali-1@bali, jatim-0@jatim", pipeline.CodeLoop},
		{"crossed before", "jabar-0@jabar, jatim-0@jatim", pipeline.CodeLoop},
		{"too long", "jabar-0@jabar, jabar-1@jabar, jatim-1@jatim, jatim-0@jatim", pipeline.CodeHopNotAllowed},
	} {
		r, err := c.forward("jatim-0", to, forged.hops)
		must(t, err)
		r.refused(t, forged.what, forged.code, verdict.NotRun)
	}
	r, err = c.forward("jatim-0", to, "jatim-0@jatim")
	must(t, err)
	if !strings.Contains(r.body, "[DONE]") {
		t.Errorf("a true hop: %d %s", r.status, r.body)
	}
	// A forwarded request is not forwarded again, although jabar is healthy.
	c.targets["bali"].engines[0].down()
	c.awaitSpill("bali")
	runs := c.targets["jabar"].runsOf("passed on")
	r, err = c.forward("jatim-0", to, "jatim-0@jatim")
	must(t, err)
	if r.refusal.Verdict != verdict.NotRun || c.targets["jabar"].runsOf("passed on") != runs {
		t.Errorf("a request that crossed before: %d %s", r.status, r.body)
	}
}

// forward sends a request as an instance of another region would.
func (c *cluster) forward(as string, to *instance, hops string) (*reply, error) {
	key := c.issue(c.authority, keys.Identity{Instance: as, Region: "jatim"})
	transport := &http.Transport{TLSClientConfig: key.ClientConfig(to.id())}
	defer transport.CloseIdleConnections()
	req, err := http.NewRequest(http.MethodPost, "https://"+to.settings.Listen.Instances+"/v1/completions", strings.NewReader(briefingBody("passed on", 4)))
	must(c.t, err)
	req.Header.Set("Authorization", "Bearer "+keyOf("jatim"))
	req.Header.Set("Content-Type", "application/json")
	if hops != "" {
		req.Header.Set(pipeline.HeaderHop, hops)
	}
	resp, err := (&http.Client{Transport: transport, Timeout: waitTimeout}).Do(req)
	if err != nil {
		return nil, err
	}
	return read(resp)
}

// awaitSpill stops the engine of a region and waits until each of its instances has a
// request answered by a neighbour.
func (c *cluster) awaitSpill(region string) {
	c.t.Helper()
	c.targets[region].engines[0].down()
	spills := 0
	for _, i := range c.inRegion(region) {
		c.eventually(i.id()+" spills", func() error {
			// A request that ran when the engine stopped is a suspect, so each is new.
			spills++
			_, err := c.briefing(i, region, "spilled "+strconv.Itoa(spills), 4)
			return err
		})
	}
}

// Guards against a region without targets that refuses requests which its neighbours
// could answer, or still spills when it has targets again, if grants never come or
// spilling never ends; and against bookings that run in a region without their claim. The
// targets of jatim stop and start again.
func TestRegionWithoutTargetsSpills(t *testing.T) {
	c := startShape(t, shape{perRegion: 2, neighbours: true, inProcessTargets: true})
	home := c.targets["jatim"]
	c.awaitSpill("jatim")
	home.titles.down()
	home.desk.down()
	for _, i := range c.inRegion("jatim") {
		c.eventually(i.id()+" has lookups answered elsewhere", func() error {
			r, err := c.request(i, http.MethodGet, "/services/titles/7", "jatim", "", nil)
			return failure(r, err)
		})
	}
	for n := range 20 {
		i := c.inRegion("jatim")[n%2]
		key := "no-desk-" + strconv.Itoa(n)
		r := c.mustBook(i, "jatim", key, markedFirst)
		if r.callerVerdict() != verdict.NotRun || r.refusal.RetryAfterMillis == 0 || c.bookingRuns(key) != 0 {
			t.Errorf("booking without a desk: %d %s, %d runs", r.status, r.body, c.bookingRuns(key))
		}
	}
	for _, x := range []*target{&home.engines[0].target, &home.titles.target, &home.desk.target} {
		x.up()
	}
	c.awaitServedAtHome("jatim")
	spilled := c.spilled("jatim")
	const after = 30
	for n := range after {
		i := c.inRegion("jatim")[n%2]
		prompt := "home again " + strconv.Itoa(n)
		text, err := c.briefing(i, "jatim", prompt, 4)
		if err != nil || text != standin.Answer([]byte(prompt), 4) || home.runsOf(prompt) != 1 {
			t.Errorf("%s: %q, %v; %d runs at home", i.id(), text, err, home.runsOf(prompt))
		}
		r, err := c.request(i, http.MethodGet, "/services/titles/"+strconv.Itoa(n), "jatim", "", nil)
		if err := failure(r, err); err != nil {
			t.Error(err)
		}
		if r := c.mustBook(i, "jatim", prompt, markedFirst); r.callerVerdict() != verdict.Ran {
			t.Errorf("booking at home: %d %s", r.status, r.body)
		}
	}
	if n := c.spilled("jatim") - spilled; n != 0 {
		t.Errorf("%d of %d requests were spilled after the targets were back", n, 3*after)
	}
}

// awaitServedAtHome waits until all instances of a region have three requests in a row
// answered in the region.
func (c *cluster) awaitServedAtHome(region string) {
	c.t.Helper()
	home := c.targets[region]
	for _, i := range c.inRegion(region) {
		c.eventually(i.id()+" serves at home", func() error {
			for n := range 3 {
				prompt := "back " + i.id() + strconv.Itoa(n) + time.Now().String()
				if _, err := c.briefing(i, region, prompt, 4); err != nil {
					return err
				}
				if home.runsOf(prompt) == 0 {
					return errorString("a briefing was spilled")
				}
				path := "/lookup-" + prompt[:10]
				r, err := c.request(i, http.MethodGet, "/services/titles"+strings.ReplaceAll(path, " ", "-"), region, "", nil)
				if err := failure(r, err); err != nil {
					return err
				}
			}
			return nil
		})
	}
}

// spilled returns the number of requests that a region spilled.
func (c *cluster) spilled(region string) int {
	c.t.Helper()
	sum := 0
	for _, i := range c.inRegion(region) {
		n, err := strconv.Atoi(c.metric(i, metrics.Spilled.Name))
		must(c.t, err)
		sum += n
	}
	return sum
}

// failure returns an error unless the reply has status 200.
func failure(r *reply, err error) error {
	if err == nil && r.status != http.StatusOK {
		err = errorString(r.body)
	}
	return err
}

// Guards against a caller that waits until its deadline for an answer that can't come. The
// only engine of a region stops while it runs a request, which its caller resends as a
// suspect: the instance must not wait for the stopped target to become idle for a lone run.
func TestSuspectIsRefusedAtOnceWhereNoTargetIsLeft(t *testing.T) {
	c := startShape(t, shape{perRegion: 2, inProcessTargets: true})
	engine, i := c.targets["jatim"].engines[0], c.inRegion("jatim")[0]
	const prompt = "a long briefing"
	engine.SetFaults(standin.Fault{Kind: standin.FaultHang})
	broken := make(chan error, 1)
	go func() {
		_, err := c.briefing(i, "jatim", prompt, 5000)
		broken <- err
	}()
	c.eventually("it runs", func() error {
		if engine.RunsOf(prompt) == 0 {
			return errorString("not yet")
		}
		return nil
	})
	engine.down()
	// The caller resends repeatedly, before and after the instances detect that the
	// engine has stopped. The deadline is far beyond the timeout of the test's client.
	const resends = 40
	var wg sync.WaitGroup
	for n := range resends {
		wg.Go(func() {
			i := c.inRegion("jatim")[n%2]
			r, err := c.request(i, http.MethodPost, "/v1/completions", "jatim", briefingBody(prompt, 5000), headers{pipeline.HeaderDeadline: "600000"})
			if err != nil || r.refusal.Code == "" || r.refusal.RetryAfterMillis == 0 {
				t.Errorf("%s: %+v, %v; want a refusal with a time to retry after", i.id(), r, err)
			}
		})
		time.Sleep(pollInterval)
	}
	wg.Wait()
	if err := <-broken; err == nil {
		t.Error("an answer that was cut is taken for a whole one")
	}
	for _, i := range c.inRegion("jatim") {
		r, err := c.request(i, http.MethodPost, "/v1/completions", "jatim", briefingBody(prompt, 5000), nil)
		must(t, err)
		r.refused(t, i.id(), pipeline.CodeSuspected, verdict.NotRun)
	}
}

// Guards against a region without targets that refuses requests although its neighbours
// are idle: if they have served nothing since their start, they don't know their speed yet
// and must grant spillover all the same.
func TestIdleNeighboursTakeSpill(t *testing.T) {
	c := startShape(t, shape{perRegion: 2, neighbours: true, inProcessTargets: true})
	c.targets["jatim"].engines[0].down()
	n := 0
	c.eventually("an idle neighbour answers", func() error {
		n++
		_, err := c.briefing(c.inRegion("jatim")[0], "jatim", "spilled "+strconv.Itoa(n), 4)
		return err
	})
}
