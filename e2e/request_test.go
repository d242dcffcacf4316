package e2e

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/gullhaven/gullhaven/standin"
)

// send sends a request with the key of a region's workspace.
func (c *cluster) send(i *instance, method, path, region, body string, headers map[string]string) (*http.Response, error) {
	req, err := http.NewRequest(method, "http://"+i.settings.Listen.Callers+path, strings.NewReader(body))
	must(c.t, err)
	req.Header.Set("Authorization", "Bearer "+keyOf(region))
	req.Header.Set("Content-Type", "application/json")
	for name, value := range headers {
		req.Header.Set(name, value)
	}
	return c.client.Do(req)
}

// briefing requests a streamed completion and returns its text. The error is not
// nil if the stream is incomplete.
func (c *cluster) briefing(i *instance, region, prompt string, tokens int) (string, error) {
	body := fmt.Sprintf(`{"model":"briefing","stream":true,"max_tokens":%d,"prompt":%q}`, tokens, prompt)
	resp, err := c.send(i, http.MethodPost, "/v1/completions", region, body, nil)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		data, _ := io.ReadAll(resp.Body)
		return "", fmt.Errorf("status %d: %s", resp.StatusCode, data)
	}
	return readStream(resp.Body)
}

// readStream returns the text of a stream up to its end mark, and an error if there
// is none.
func readStream(r io.Reader) (string, error) {
	var text strings.Builder
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		data, isData := bytes.CutPrefix(lines.Bytes(), []byte("data: "))
		if !isData {
			continue
		}
		if string(data) == "[DONE]" {
			return text.String(), nil
		}
		var chunk struct {
			Choices []struct {
				Text string `json:"text"`
			} `json:"choices"`
			Error json.RawMessage `json:"error"`
		}
		if err := json.Unmarshal(data, &chunk); err != nil {
			return text.String(), err
		}
		if chunk.Error != nil {
			return text.String(), fmt.Errorf("error event: %s", chunk.Error)
		}
		for _, choice := range chunk.Choices {
			text.WriteString(choice.Text)
		}
	}
	return text.String(), errors.New("the stream ended without its end mark")
}

// sendBooking sends a booking and returns the status and the body of the answer.
func (c *cluster) sendBooking(i *instance, region, key, body string, headers map[string]string) (int, string, error) {
	all := map[string]string{"Idempotency-Key": key}
	for name, value := range headers {
		all[name] = value
	}
	resp, err := c.send(i, http.MethodPost, "/services/desk/bookings", region, body, all)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(data), err
}

// A request is served by separate processes for instance and target. The answer must
// be complete and belong to the prompt.
func TestRequestFromEndToEnd(t *testing.T) {
	c := startCluster(t, 2)
	for _, i := range c.instances {
		region := i.settings.Region
		prompt := "weather and route for " + i.id()
		text, err := c.briefing(i, region, prompt, 12)
		must(t, err)
		if want := standin.Answer([]byte(prompt), 12); text != want {
			t.Errorf("%s: answer %q, want %q", i.id(), text, want)
		}
		status, body, err := c.sendBooking(i, region, "booking-"+i.id(), `{"seats":2}`, nil)
		must(t, err)
		if status != http.StatusOK || !strings.Contains(body, `"execution":1`) {
			t.Errorf("%s: desk answered %d: %s", i.id(), status, body)
		}
	}
}

// Guards against double bookings by instances that know only their own attempts. The
// caller resends a booking to the same instance, to others of the region and to
// other regions, and again after the first instance was killed and restarted.
func TestBookingRunsOnce(t *testing.T) {
	c := startCluster(t, 2)
	body := `{"flight":"BR-7","seats":4}`
	status, first, err := c.sendBooking(c.instances[1], "jatim", "b-1", body, nil)
	must(t, err)
	if status != http.StatusOK {
		t.Fatalf("first attempt: %d %s", status, first)
	}
	resend := map[string]string{"Gullhaven-Resend": "true"}
	for _, i := range c.instances {
		c.expectNoSecondRun(i, body, resend)
	}
	c.instances[1].kill()
	c.instances[1].start()
	c.voter("jatim").kill()
	c.voter("jatim").start()
	for _, i := range c.instances {
		c.eventually("a resend is answered by "+i.id(), func() error {
			status, answer, err := c.sendBooking(i, "jatim", "b-1", body, resend)
			if err != nil {
				return err
			}
			if status == http.StatusServiceUnavailable {
				return errors.New(answer)
			}
			return nil
		})
		c.expectNoSecondRun(i, body, resend)
	}
}

// expectNoSecondRun resends a booking that ran and checks that the answer is the
// first one, or an error that the booking ran.
func (c *cluster) expectNoSecondRun(i *instance, body string, headers map[string]string) {
	c.t.Helper()
	status, answer, err := c.sendBooking(i, "jatim", "b-1", body, headers)
	must(c.t, err)
	if strings.Contains(answer, `"execution":2`) {
		c.t.Errorf("%s ran it again: %s", i.id(), answer)
	}
	replayed := status == http.StatusOK && strings.Contains(answer, `"execution":1`)
	ran := strings.Contains(answer, `"verdict":"ran"`)
	if !replayed && !ran {
		c.t.Errorf("%s: resend answered %d: %s", i.id(), status, answer)
	}
}

// Guards against a request path that depends on another region: a region must serve
// its callers while all instances of the other regions are stopped, the leader of the
// global group among them.
func TestRegionAloneServesItsCallers(t *testing.T) {
	c := startCluster(t, 2)
	for _, i := range c.instances {
		if i.settings.Region != "bali" {
			i.signal(syscall.SIGSTOP)
		}
	}
	for n := range 20 {
		for _, i := range c.running() {
			prompt := fmt.Sprintf("briefing %d at %s", n, i.id())
			text, err := c.briefing(i, "bali", prompt, 8)
			must(t, err)
			if want := standin.Answer([]byte(prompt), 8); text != want {
				t.Errorf("%s: answer %q, want %q", i.id(), text, want)
			}
			status, answer, err := c.sendBooking(i, "bali", fmt.Sprintf("alone-%s-%d", i.id(), n), "{}", nil)
			must(t, err)
			if status != http.StatusOK {
				t.Errorf("%s: booking answered %d: %s", i.id(), status, answer)
			}
		}
	}
	for _, i := range c.instances {
		i.signal(syscall.SIGCONT)
	}
	c.mustRoll(c.next(c.bundle, "after the cut"))
}

// Guards against a planned stop that interrupts answers: SIGTERM arrives while
// answers are streamed, and connections in use must not be closed.
func TestGracefulStopCutsOffNothing(t *testing.T) {
	c := startCluster(t, 2)
	i := c.instances[1]
	const streams = 8
	results := make(chan error, streams)
	started := make(chan struct{}, streams)
	for n := range streams {
		go func() { results <- c.slowBriefing(i, n, started) }()
	}
	for range streams {
		<-started
	}
	i.signal(syscall.SIGTERM)
	for range streams {
		if err := <-results; err != nil {
			t.Error(err)
		}
	}
	<-i.exited
	if code := i.cmd.ProcessState.ExitCode(); code != 0 {
		t.Errorf("exit code %d", code)
	}
	text, err := c.briefing(c.instances[0], "jatim", "still served", 4)
	if err != nil || text != standin.Answer([]byte("still served"), 4) {
		t.Errorf("the other instance: %q, %v", text, err)
	}
}

// slowBriefing reads a stream of about a second and checks that it is complete.
func (c *cluster) slowBriefing(i *instance, n int, started chan<- struct{}) error {
	prompt := fmt.Sprint("long briefing ", n)
	const tokens = 400
	body := fmt.Sprintf(`{"model":"briefing","stream":true,"max_tokens":%d,"prompt":%q}`, tokens, prompt)
	resp, err := c.send(i, http.MethodPost, "/v1/completions", i.settings.Region, body, nil)
	started <- struct{}{}
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	text, err := readStream(resp.Body)
	if err != nil {
		return fmt.Errorf("stream %d: %w", n, err)
	}
	if text != standin.Answer([]byte(prompt), tokens) {
		return fmt.Errorf("stream %d: the answer is another", n)
	}
	return nil
}

// Guards against a directory with stale entries: after an instance is killed, the
// directory must not list it, and must list it again after its restart.
func TestDirectoryFollowsTheMembers(t *testing.T) {
	c := startCluster(t, 3)
	gone := c.instances[2]
	gone.kill()
	c.eventually("the directory leaves it out", func() error {
		list, err := c.directory(c.instances[1])
		if err != nil {
			return err
		}
		if strings.Contains(list, gone.settings.Listen.Callers) {
			return errors.New(list)
		}
		return nil
	})
	gone.start()
	c.eventually("the directory takes it up again", func() error {
		list, err := c.directory(c.instances[1])
		if err == nil && !strings.Contains(list, gone.settings.Listen.Callers) {
			err = errors.New(list)
		}
		return err
	})
}

func (c *cluster) directory(i *instance) (string, error) {
	client := &http.Client{Timeout: 5 * time.Second}
	resp, err := client.Get("http://" + i.settings.Listen.Callers + "/v1/directory")
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return string(data), err
}
