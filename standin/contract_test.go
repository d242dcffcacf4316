package standin_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/gullhaven/gullhaven/coord/verdict"
	"github.com/gullhaven/gullhaven/pipeline/openai"
	"github.com/gullhaven/gullhaven/ports"
	"github.com/gullhaven/gullhaven/ports/enginehttp"
	"github.com/gullhaven/gullhaven/ports/plainhttp"
	"github.com/gullhaven/gullhaven/ports/platformhttp"
	"github.com/gullhaven/gullhaven/ports/transport"
	"github.com/gullhaven/gullhaven/standin"
)

func listen(t *testing.T, h http.Handler) (address string, tr *transport.Transports) {
	t.Helper()
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	tr = transport.NewTransports(transport.Options{})
	t.Cleanup(tr.Close)
	return strings.TrimPrefix(s.URL, "http://"), tr
}

const body = `{"model":"m","stream":true,"max_tokens":8,"messages":[{"role":"user","content":"hello"}]}`

func completion(a ports.AttemptID, stream bool) ports.Completion {
	b := body
	if !stream {
		b = strings.Replace(b, "true", "false", 1)
	}
	return ports.Completion{Attempt: a, Chat: true, Stream: stream, Body: []byte(b)}
}

// read reads an answer to its end; io.EOF as end means that it is complete.
func read(s ports.Stream, err error) (chunks int, counts ports.SequenceCounts, end error) {
	if err != nil {
		return 0, counts, err
	}
	defer s.Close()
	for {
		c, err := s.Next()
		if err != nil {
			return chunks, s.Counts(), err
		}
		chunks++
		if int(c.Seq) != chunks {
			return chunks, s.Counts(), errors.New("chunk out of order")
		}
	}
}

// Checks the contract of ports.Engine: an answer is complete and in order, or it
// ends with an error whose verdict is never too low.
func TestEngineContract(t *testing.T) {
	type fault = standin.Fault
	for _, c := range []struct {
		name    string
		fault   fault
		chunks  int
		code    verdict.Code
		verdict verdict.Verdict
		counts  ports.SequenceCounts
	}{
		{"none", fault{}, 8, "", 0, ports.SequenceCounts{}},
		{"slow", fault{Kind: standin.FaultSlow, DelayMillis: 1}, 8, "", 0, ports.SequenceCounts{}},
		{"late", fault{Kind: standin.FaultLate, DelayMillis: 5}, 8, "", 0, ports.SequenceCounts{}},
		{"duplicate", fault{Kind: standin.FaultDuplicate, Chunk: 3}, 8, "", 0, ports.SequenceCounts{Duplicates: 1}},
		{"out of order", fault{Kind: standin.FaultReorder, Chunk: 3}, 8, "", 0, ports.SequenceCounts{Reordered: 1}},
		{"foreign", fault{Kind: standin.FaultForeign, Chunk: 3}, 8, "", 0, ports.SequenceCounts{Foreign: 1}},
		{"cut", fault{Kind: standin.FaultCut, Chunk: 3}, 3, ports.CodeStreamCut, verdict.Ran, ports.SequenceCounts{}},
		{"short", fault{Kind: standin.FaultShort, Chunk: 3}, 3, ports.CodeStreamCut, verdict.Ran, ports.SequenceCounts{}},
		{"gap", fault{Kind: standin.FaultGap, Chunk: 3}, 2, ports.CodeStreamGap, verdict.Ran, ports.SequenceCounts{Reordered: 6}},
		{"wrong answer", fault{Kind: standin.FaultWrongAnswer}, 0, ports.CodeWrongAnswer, verdict.MayHaveRun, ports.SequenceCounts{}},
		{"crash", fault{Kind: standin.FaultCrash}, 0, ports.CodeStreamCut, verdict.MayHaveRun, ports.SequenceCounts{}},
		{"error", fault{Kind: standin.FaultError}, 0, ports.CodeTargetError, verdict.MayHaveRun, ports.SequenceCounts{}},
		{"reject", fault{Kind: standin.FaultReject}, 0, ports.CodeRejected, verdict.NotRun, ports.SequenceCounts{}},
	} {
		t.Run(c.name, func(t *testing.T) {
			e := standin.NewEngine(standin.EngineConfig{})
			address, tr := listen(t, e)
			e.SetFaults(c.fault)
			chunks, counts, end := read(enginehttp.New(address, tr).Complete(t.Context(), completion("a-1", true)))
			if chunks != c.chunks || counts != c.counts {
				t.Fatalf("%d chunks, %+v", chunks, counts)
			}
			checkEnd(t, end, c.code, c.verdict)
		})
	}
	t.Run("unreached", func(t *testing.T) {
		_, tr := listen(t, http.NotFoundHandler())
		_, _, end := read(enginehttp.New("127.0.0.1:1", tr).Complete(t.Context(), completion("a-1", true)))
		checkEnd(t, end, ports.CodeUnreached, verdict.NotRun)
	})
	t.Run("whole, cut", func(t *testing.T) {
		e := standin.NewEngine(standin.EngineConfig{})
		address, tr := listen(t, e)
		e.SetFaults(standin.Fault{Kind: standin.FaultCut})
		_, _, end := read(enginehttp.New(address, tr).Complete(t.Context(), completion("a-1", false)))
		checkEnd(t, end, ports.CodeStreamCut, verdict.MayHaveRun)
	})
}

func checkEnd(t *testing.T, end error, code verdict.Code, v verdict.Verdict) {
	t.Helper()
	if code == "" {
		if end != io.EOF {
			t.Fatalf("ended with %v", end)
		}
		return
	}
	var e *verdict.Error
	if !errors.As(end, &e) || e.Code != code || e.Verdict != v || errors.Is(end, io.EOF) {
		t.Fatalf("ended with %v", end)
	}
}

func TestEngineResumesWhereItWasCut(t *testing.T) {
	e := standin.NewEngine(standin.EngineConfig{})
	address, tr := listen(t, e)
	other, _ := listen(t, standin.NewEngine(standin.EngineConfig{}))
	c := enginehttp.New(address, tr)
	e.SetFaults(standin.Fault{Kind: standin.FaultCut, Chunk: 3, Count: 1})
	m := completion("a-1", true)
	if chunks, _, _ := read(c.Complete(t.Context(), m)); chunks != 3 {
		t.Fatalf("%d chunks before the cut", chunks)
	}
	kv, err := c.ExportKV(t.Context(), "a-1")
	if err != nil {
		t.Fatal(err)
	}
	defer kv.Close()
	moved := enginehttp.New(other, tr)
	if err := moved.ImportKV(t.Context(), "a-1", kv); err != nil {
		t.Fatal(err)
	}
	for name, engine := range map[string]ports.Engine{"same": c, "moved": moved} {
		s, err := engine.Resume(t.Context(), m, 3)
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		first, err := s.Next()
		if err != nil || first.Seq != 4 {
			t.Fatalf("%s: resumed at %d, %v", name, first.Seq, err)
		}
		s.Close()
	}
	_, err = c.Resume(t.Context(), completion("never", true), 1)
	checkEnd(t, err, ports.CodeUnknownAttempt, verdict.NotRun)
	if err := c.Cancel(t.Context(), "never"); err != nil {
		t.Fatalf("cancel of an unknown attempt: %v", err)
	}
}

// Guards against an engine that keeps working for a caller that has left: the
// stream is closed before its end.
func TestEngineCancelsOnDisconnect(t *testing.T) {
	e := standin.NewEngine(standin.EngineConfig{PerToken: time.Millisecond})
	address, tr := listen(t, e)
	m := completion("a-1", true)
	m.Body = []byte(strings.Replace(body, `"max_tokens":8`, `"max_tokens":100000`, 1))
	s, err := enginehttp.New(address, tr).Complete(t.Context(), m)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := s.Next(); err != nil {
		t.Fatal(err)
	}
	s.Close()
	for e.Counts().Cancelled != 1 {
		time.Sleep(time.Millisecond) // bounded by the test's own timeout
	}
}

// One request crashes the engine while another runs. The other must get an error
// too, and the load report must show a new start time; without it the
// cause of the lost batch can't be detected.
func TestCrashAbortsTheBatchAndStartsANewIncarnation(t *testing.T) {
	e := standin.NewEngine(standin.EngineConfig{PerToken: time.Hour})
	e.SetFaults(standin.Fault{Kind: standin.FaultCrash, Match: "poison"})
	address, tr := listen(t, e)
	c := enginehttp.New(address, tr)
	before, _ := c.Load(t.Context())
	other, err := c.Complete(t.Context(), completion("a-1", true))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := other.Next(); err != nil {
		t.Fatal(err)
	}
	poison := completion("a-2", true)
	poison.Body = []byte(strings.Replace(body, "hello", "poison", 1))
	_, _, end := read(c.Complete(t.Context(), poison))
	checkEnd(t, end, ports.CodeStreamCut, verdict.MayHaveRun)
	_, end = other.Next()
	checkEnd(t, end, ports.CodeStreamCut, verdict.Ran)
	if after, err := c.Load(t.Context()); err != nil || !after.Started.After(before.Started) || after.Running > 1 {
		t.Fatalf("%+v, then %+v, %v", before, after, err)
	}
}

// Guards against a replaced leader that drains targets: it sends an order with
// its old fencing number, or an expired one.
func TestOrders(t *testing.T) {
	now := time.Now()
	order := func(id string, fence uint64) ports.Order {
		return ports.Order{ID: id, Kind: ports.OrderDrain, Fence: fence, Expires: now.Add(time.Hour)}
	}
	for _, ignores := range []bool{false, true} {
		e := standin.NewEngine(standin.EngineConfig{IgnoresFence: ignores})
		address, tr := listen(t, e)
		c := enginehttp.New(address, tr)
		if _, err := c.Order(t.Context(), order("new", 7)); err != nil {
			t.Fatal(err)
		}
		_, err := c.Order(t.Context(), order("old", 6))
		if ignores && err != nil {
			t.Fatalf("an engine that ignores fences refused: %v", err)
		}
		if !ignores {
			checkEnd(t, err, ports.CodeOldFence, verdict.NotRun)
		}
		late := order("late", 8)
		late.Expires = now.Add(-time.Second)
		_, err = c.Order(t.Context(), late)
		checkEnd(t, err, ports.CodeOrderExpired, verdict.NotRun)
		if _, err := c.Order(t.Context(), order("new", 7)); err != nil {
			t.Fatalf("the same order again: %v", err)
		}
		if n := len(e.Orders()); n != 1 && !ignores {
			t.Fatalf("%d orders taken", n)
		}
		if l, err := c.Load(t.Context()); err != nil || !l.Draining {
			t.Fatalf("load %+v, %v", l, err)
		}
	}
}

func TestCacheEventsComeWithGaps(t *testing.T) {
	e := standin.NewEngine(standin.EngineConfig{CacheGapEvery: 2})
	address, tr := listen(t, e)
	c := enginehttp.New(address, tr)
	for _, text := range []string{"a", "b", "c"} {
		m := completion("a-"+ports.AttemptID(text), true)
		m.Body = []byte(strings.Replace(body, "hello", strings.Repeat(text, 600), 1))
		if _, _, end := read(c.Complete(t.Context(), m)); end != io.EOF {
			t.Fatal(end)
		}
	}
	events, err := c.CacheEvents(t.Context(), 0)
	if err != nil || len(events) != 2 || events[0].Seq != 1 || events[1].Seq != 3 || len(events[0].Stored) != 2 {
		t.Fatalf("%+v, %v", events, err)
	}
	if events, _ = c.CacheEvents(t.Context(), 1); len(events) != 1 {
		t.Fatalf("after 1: %+v", events)
	}
}

// Checks the contract of ports.Plain.
func TestPlainContract(t *testing.T) {
	for _, c := range []struct {
		kind    standin.FaultKind
		status  int
		code    verdict.Code
		verdict verdict.Verdict
		cut     bool
	}{
		{"", 200, "", 0, false},
		{standin.FaultError, 500, "", 0, false},
		{standin.FaultReject, 503, "", 0, false},
		{standin.FaultCut, 200, "", 0, true},
		{standin.FaultCrash, 0, ports.CodeStreamCut, verdict.MayHaveRun, false},
	} {
		for _, once := range []bool{false, true} {
			p := standin.NewPlain("desk")
			address, tr := listen(t, p)
			p.SetFaults(standin.Fault{Kind: c.kind})
			r := ports.PlainRequest{Attempt: "a", Method: http.MethodPost, Path: "/x", Body: strings.NewReader("seat"), Length: 4, Once: once}
			a, err := plainhttp.New(address, tr).Do(t.Context(), r)
			if c.code != "" {
				checkEnd(t, err, c.code, c.verdict)
				continue
			}
			if err != nil || a.Status != c.status {
				t.Fatalf("%s: %+v, %v", c.kind, a, err)
			}
			if _, err := io.ReadAll(a.Body); (err != nil) != c.cut {
				t.Fatalf("%s: body ended with %v", c.kind, err)
			}
			a.Body.Close()
		}
	}
}

// Guards against a booking that runs twice though it was sent once: the target
// closes an idle connection just as a request with an Idempotency-Key is sent on
// it, and net/http retries such a request by itself.
func TestOnceIsNotSentAgainByTheTransport(t *testing.T) {
	p := standin.NewPlain("desk")
	address, tr := listen(t, p)
	c := plainhttp.New(address, tr)
	send := func(once bool) (*ports.PlainAnswer, error) {
		return c.Do(t.Context(), ports.PlainRequest{
			Attempt: "a", Method: http.MethodPost, Path: "/x", Once: once, Length: 4,
			Header: http.Header{"Idempotency-Key": {"k"}}, Body: bytes.NewReader([]byte("seat")),
		})
	}
	for range 2 {
		a, err := send(false) // fills the pool of idle connections
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, a.Body)
		a.Body.Close()
	}
	p.SetFaults(standin.Fault{Kind: standin.FaultCrash, Count: 2})
	before := p.Runs("k")
	_, err := send(true)
	checkEnd(t, err, ports.CodeStreamCut, verdict.MayHaveRun)
	if n := p.Runs("k") - before; n != 1 {
		t.Fatalf("ran %d times", n)
	}
}

// Checks the contract of ports.WeightStore.
func TestWeightStoreContract(t *testing.T) {
	s := standin.NewWeightStore(standin.WeightStoreConfig{Sizes: map[string]int64{"w": 200_000}, MaxReads: 1})
	address, tr := listen(t, s)
	c := platformhttp.NewWeightStore(address, tr)
	if n, err := c.Size(t.Context(), "w"); n != 200_000 || err != nil {
		t.Fatalf("size %d, %v", n, err)
	}
	if _, err := c.Size(t.Context(), "none"); !errors.Is(err, platformhttp.ErrObjectNotFound) {
		t.Fatal(err)
	}
	whole := readObject(t, c, 0, nil)
	s.SetFaults(standin.Fault{Kind: standin.FaultCut, Count: 1})
	half := readObject(t, c, 0, platformhttp.ErrTruncated)
	rest := readObject(t, c, int64(len(half)), nil)
	if !bytes.Equal(append(half, rest...), whole) || len(whole) != 200_000 {
		t.Fatalf("%d and %d bytes of %d", len(half), len(rest), len(whole))
	}
	s.SetFaults(standin.Fault{Kind: standin.FaultReject, Count: 1})
	_, err := c.Read(t.Context(), "w", 0)
	checkEnd(t, err, ports.CodeRejected, verdict.NotRun)
}

func readObject(t *testing.T, c *platformhttp.WeightStore, offset int64, want error) []byte {
	t.Helper()
	r, err := c.Read(t.Context(), "w", offset)
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	b, err := io.ReadAll(r)
	if !errors.Is(err, want) {
		t.Fatalf("ended with %v", err)
	}
	return b
}

// Checks the contract of ports.InstanceList: it lags, and reports its age.
func TestInstanceListContract(t *testing.T) {
	now := time.Unix(1000, 0)
	l := standin.NewInstanceList(3*time.Second, func() time.Time { return now })
	address, tr := listen(t, l)
	c := platformhttp.NewInstanceList(address, tr)
	states := func() string {
		s, err := c.Instances(context.Background())
		if err != nil {
			t.Fatal(err)
		}
		out := ""
		for _, i := range s.Instances {
			out += i.ID + string(i.State) + " "
		}
		return out
	}
	l.Set(ports.Instance{ID: "a", State: ports.InstanceLive})
	now = now.Add(4 * time.Second)
	l.Set(ports.Instance{ID: "a", State: ports.InstanceLeaving})
	if got := states(); got != "alive " {
		t.Fatalf("%q", got)
	}
	now = now.Add(4 * time.Second)
	if got := states(); got != "aleaving " {
		t.Fatalf("%q", got)
	}
}

func TestAnswerIsAFunctionOfThePrompt(t *testing.T) {
	req, err := openai.Parse(openai.Chat, []byte(body))
	if err != nil {
		t.Fatal(err)
	}
	if a, b := standin.Answer(req.Prompt, 8), standin.Answer([]byte("other"), 8); a == b {
		t.Fatalf("both %q", a)
	}
}
