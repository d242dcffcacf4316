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

// Symptom: a request travels between regions until its deadline.
// Events: all regions may spill all they have; every engine seems well and
// refuses each request, so that each region holds the others for better.
// Cause: a hop that is not written, or not checked by the next instance.
func TestSpillCrossesOnce(t *testing.T) {
	c := startShape(t, shape{perRegion: 2, neighbours: true, sites: true})
	c.awaitSpill("jatim")
	c.sites["jatim"].engines[0].up()
	c.awaitHome("jatim")
	for _, s := range c.sites {
		s.setFaults(standin.Fault{Kind: standin.FaultReject})
	}
	// Each is taken where its caller sent it, and once more if it was passed on.
	const requests, most = 30, 2
	passedOn := 0
	for n := range requests {
		before := c.requestsTaken()
		i := c.in(regionNames[n%3])[n/3%2]
		r, err := c.request(i, http.MethodPost, "/v1/completions", i.settings.Region, briefingBody("nowhere "+strconv.Itoa(n), 4), nil)
		must(t, err)
		if r.refusal.Verdict != verdict.NotRun || r.refusal.RetryAfterMillis == 0 {
			t.Errorf("%s answered %d %s; want a refusal with when to come back", i.id(), r.status, r.body)
		}
		taken := c.requestsTaken() - before
		if taken > most {
			t.Errorf("request %d was taken %d times", n, taken)
		}
		passedOn += taken - 1
		// Grants grow with time, and summaries come each second.
		time.Sleep(pollInterval)
	}
	if passedOn == 0 {
		t.Error("no request was passed on, so that none could loop")
	}
	t.Logf("%d of %d requests were passed on", passedOn, requests)
}

// requestsTaken counts the requests that all instances took in, those of other
// instances included.
func (c *cluster) requestsTaken() int {
	c.t.Helper()
	sum := 0
	for _, i := range c.instances {
		n, err := strconv.Atoi(c.metric(i, metrics.Requests.Name))
		must(c.t, err)
		sum += n
	}
	return sum
}

// Symptom: a caller gets around the check of loops, or an instance speaks for
// another.
// Events: hops that are forged by a caller, left out by an instance, or name
// another sender, this instance, or a crossing too many.
// Cause: a hop header that is believed.
func TestForgedHopsAreRefused(t *testing.T) {
	c := startShape(t, shape{perRegion: 2, neighbours: true, sites: true})
	to := c.in("bali")[0]
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
		r, err := c.passOn("jatim-0", to, forged.hops)
		must(t, err)
		r.refused(t, forged.what, forged.code, verdict.NotRun)
	}
	r, err = c.passOn("jatim-0", to, "jatim-0@jatim")
	must(t, err)
	if !strings.Contains(r.body, "[DONE]") {
		t.Errorf("a true hop: %d %s", r.status, r.body)
	}
	// What has crossed once goes no further, although jabar is well.
	c.sites["bali"].engines[0].down()
	c.awaitSpill("bali")
	runs := c.sites["jabar"].runsOf("passed on")
	r, err = c.passOn("jatim-0", to, "jatim-0@jatim")
	must(t, err)
	if r.refusal.Verdict != verdict.NotRun || c.sites["jabar"].runsOf("passed on") != runs {
		t.Errorf("a request that crossed before: %d %s", r.status, r.body)
	}
}

// passOn sends a request as an instance of another region would.
func (c *cluster) passOn(as string, to *instance, hops string) (*reply, error) {
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
	resp, err := (&http.Client{Transport: transport, Timeout: patience}).Do(req)
	if err != nil {
		return nil, err
	}
	return read(resp)
}

// awaitSpill loses the engine of a region and waits until each of its instances
// has a request answered by a neighbour.
func (c *cluster) awaitSpill(region string) {
	c.t.Helper()
	c.sites[region].engines[0].down()
	spills := 0
	for _, i := range c.in(region) {
		c.eventually(i.id()+" spills", func() error {
			// A request that ran when the engine went is suspected of it.
			spills++
			_, err := c.briefing(i, region, "spilled "+strconv.Itoa(spills), 4)
			return err
		})
	}
}

// Symptom: a region that lost its targets refuses what its neighbours could
// answer, or goes on sending away what it could answer again; or a booking runs
// where its claim is not.
// Events: the targets of jatim are gone, then come back.
// Cause: grants that never come, or no way back from spilling.
func TestRegionWithoutTargetsSpills(t *testing.T) {
	c := startShape(t, shape{perRegion: 2, neighbours: true, sites: true})
	home := c.sites["jatim"]
	c.awaitSpill("jatim")
	home.titles.down()
	home.desk.down()
	for _, i := range c.in("jatim") {
		c.eventually(i.id()+" has lookups answered elsewhere", func() error {
			r, err := c.request(i, http.MethodGet, "/services/titles/7", "jatim", "", nil)
			return failure(r, err)
		})
	}
	for n := range 20 {
		i := c.in("jatim")[n%2]
		key := "no-desk-" + strconv.Itoa(n)
		r := c.mustBook(i, "jatim", key, firstSending)
		if r.told() != verdict.NotRun || r.refusal.RetryAfterMillis == 0 || c.bookingRuns(key) != 0 {
			t.Errorf("booking without a desk: %d %s, %d runs", r.status, r.body, c.bookingRuns(key))
		}
	}
	for _, x := range []*target{&home.engines[0].target, &home.titles.target, &home.desk.target} {
		x.up()
	}
	c.awaitHome("jatim")
	spilled := c.spilled("jatim")
	const after = 30
	for n := range after {
		i := c.in("jatim")[n%2]
		prompt := "home again " + strconv.Itoa(n)
		text, err := c.briefing(i, "jatim", prompt, 4)
		if err != nil || text != standin.Answer([]byte(prompt), 4) || home.runsOf(prompt) != 1 {
			t.Errorf("%s: %q, %v; %d runs at home", i.id(), text, err, home.runsOf(prompt))
		}
		r, err := c.request(i, http.MethodGet, "/services/titles/"+strconv.Itoa(n), "jatim", "", nil)
		if err := failure(r, err); err != nil {
			t.Error(err)
		}
		if r := c.mustBook(i, "jatim", prompt, firstSending); r.told() != verdict.Ran {
			t.Errorf("booking at home: %d %s", r.status, r.body)
		}
	}
	if n := c.spilled("jatim") - spilled; n != 0 {
		t.Errorf("%d of %d requests were sent away after the targets were back", n, 3*after)
	}
}

// awaitHome waits until all instances of a region have three requests in turn
// answered at home.
func (c *cluster) awaitHome(region string) {
	c.t.Helper()
	home := c.sites[region]
	for _, i := range c.in(region) {
		c.eventually(i.id()+" serves at home", func() error {
			for n := range 3 {
				prompt := "back " + i.id() + strconv.Itoa(n) + time.Now().String()
				if _, err := c.briefing(i, region, prompt, 4); err != nil {
					return err
				}
				if home.runsOf(prompt) == 0 {
					return errorString("a briefing was sent away")
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

// spilled counts the requests that a region sent away.
func (c *cluster) spilled(region string) int {
	c.t.Helper()
	sum := 0
	for _, i := range c.in(region) {
		n, err := strconv.Atoi(c.metric(i, metrics.Spilled.Name))
		must(c.t, err)
		sum += n
	}
	return sum
}

// failure is why a reply is not a target's answer of status 200.
func failure(r *reply, err error) error {
	if err == nil && r.status != http.StatusOK {
		err = errorString(r.body)
	}
	return err
}

// Symptom: a caller waits up to its deadline for an answer that can't come.
// Events: the only engine of a region goes while it runs a request; the caller
// sends the request again, now suspected of having taken the engine down.
// Cause: waiting for the very target that has gone to be idle, to run the
// suspect alone.
func TestSuspectIsRefusedAtOnceWhereNoTargetIsLeft(t *testing.T) {
	c := startShape(t, shape{perRegion: 2, sites: true})
	engine, i := c.sites["jatim"].engines[0], c.in("jatim")[0]
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
	// The caller asks again at once and again, on both sides of the moment at
	// which the instances find out that the engine has gone. The deadline is far
	// beyond the patience of the test's client.
	const resends = 40
	var wg sync.WaitGroup
	for n := range resends {
		wg.Go(func() {
			i := c.in("jatim")[n%2]
			r, err := c.request(i, http.MethodPost, "/v1/completions", "jatim", briefingBody(prompt, 5000), headers{pipeline.HeaderDeadline: "600000"})
			if err != nil || r.refusal.Code == "" || r.refusal.RetryAfterMillis == 0 {
				t.Errorf("%s: %+v, %v; want a refusal with when to come back", i.id(), r, err)
			}
		})
		time.Sleep(pollInterval)
	}
	wg.Wait()
	if err := <-broken; err == nil {
		t.Error("an answer that was cut is taken for a whole one")
	}
	for _, i := range c.in("jatim") {
		r, err := c.request(i, http.MethodPost, "/v1/completions", "jatim", briefingBody(prompt, 5000), nil)
		must(t, err)
		r.refused(t, i.id(), pipeline.CodeSuspected, verdict.NotRun)
	}
}

// Symptom: a region that lost its targets refuses although its neighbours idle.
// Events: a region loses its engine before its neighbours have served anything
// since their start.
// Cause: a neighbour that knows no speed of its own yet, and so grants nothing.
func TestIdleNeighboursTakeSpill(t *testing.T) {
	c := startShape(t, shape{perRegion: 2, neighbours: true, sites: true})
	c.sites["jatim"].engines[0].down()
	n := 0
	c.eventually("an idle neighbour answers", func() error {
		n++
		_, err := c.briefing(c.in("jatim")[0], "jatim", "spilled "+strconv.Itoa(n), 4)
		return err
	})
}
