package e2e

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/gullhaven/gullhaven/coord/verdict"
	"github.com/gullhaven/gullhaven/pipeline"
	"github.com/gullhaven/gullhaven/standin"
)

// Guards against retries and resends of a poison request that crashes target after
// target with all requests there. A prompt crashes every engine that runs it, while
// many callers send other prompts; its caller resends it through every instance, each
// time as a new request.
func TestPoisonRequestCrashesTwoEnginesAtMost(t *testing.T) {
	c := startShape(t, shape{perRegion: 3, engines: 4, inProcessTargets: true})
	const poison = "this prompt kills engines"
	targets, region := c.targets["jatim"], c.inRegion("jatim")
	targets.setFaults(standin.Fault{Kind: standin.FaultCrash, Match: poison})
	stop := make(chan struct{})
	var wg sync.WaitGroup
	answered := make([]int, 6)
	for n := range answered {
		wg.Go(func() { answered[n] = c.runBystander(region[n%len(region)], n, stop) })
	}
	var last *reply
	const resends = 12
	for n := range resends {
		r, err := c.request(region[n%len(region)], http.MethodPost, "/v1/completions", "jatim", briefingBody(poison, 20), headers{pipeline.HeaderIdempotencyKey: fmt.Sprint("new-id-", n), pipeline.HeaderResend: "false"})
		must(t, err)
		if r.refusal.Code == "" && r.status == http.StatusOK && len(r.body) > 0 && !isErrorStream(r.body) {
			t.Errorf("attempt %d was answered: %s", n, r.body)
		}
		last = r
	}
	close(stop)
	wg.Wait()
	if n := targets.runsOf(poison); n < 1 || n > 2 {
		t.Errorf("it started at engines %d times", n)
	}
	last.refused(t, "at last", pipeline.CodeSuspected, verdict.NotRun)
	for n, count := range answered {
		if count == 0 {
			t.Errorf("bystander %d got no answer", n)
		}
	}
	// The requests that shared an engine with it must be answered afterwards.
	for n := range answered {
		for k := range answered[n] {
			c.eventually("a bystander is answered", func() error {
				prompt := bystanderPrompt(n, k)
				text, err := c.briefing(region[k%len(region)], "jatim", prompt, 30)
				if err == nil && text != standin.Answer([]byte(prompt), 30) {
					t.Errorf("%s: %q", prompt, text)
				}
				return err
			})
			if k == 3 {
				break
			}
		}
	}
}

// isErrorStream reports whether a stream ended with an error event.
func isErrorStream(body string) bool {
	_, err := readStream(strings.NewReader(body))
	return err != nil
}

func bystanderPrompt(caller, n int) string { return fmt.Sprintf("innocent %d of caller %d", n, caller) }

// runBystander requests one briefing after another, each until its answer is complete,
// and returns their number. It ends at stop, but not before its first answer, as only a
// missing answer is a failure and a late one isn't on a busy machine. Without a first
// answer it ends after waitTimeout.
func (c *cluster) runBystander(i *instance, caller int, stop <-chan struct{}) int {
	end := time.Now().Add(waitTimeout)
	for n := 0; ; n++ {
		prompt := bystanderPrompt(caller, n)
		for {
			text, err := c.briefing(i, "jatim", prompt, 30)
			if err == nil {
				if text != standin.Answer([]byte(prompt), 30) {
					c.t.Errorf("%s: %q", prompt, text)
				}
				break
			}
			if stopped(stop) && (n > 0 || time.Now().After(end)) {
				return n
			}
		}
		if stopped(stop) {
			return n + 1
		}
	}
}

func stopped(stop <-chan struct{}) bool {
	select {
	case <-stop:
		return true
	default:
		return false
	}
}
