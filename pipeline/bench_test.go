package pipeline

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"runtime"
	"runtime/debug"
	"runtime/pprof"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/gullhaven/gullhaven/standin"
)

// The benchmarks run instance and engine in processes of their own, on loopback.
// In the same run they measure the same client directly at the engine. The
// instance has benchCores cores.
const (
	benchRole  = "GULLHAVEN_BENCH_ROLE"
	benchCores = 4
	// slowEngineRole keeps streams open: it sends one token a minute.
	slowEngineRole = "engine-slow"
	// benchProfile is the file that the instance writes its CPU profile to.
	benchProfile = "GULLHAVEN_BENCH_CPUPROFILE"
)

func TestMain(m *testing.M) {
	if role := os.Getenv(benchRole); role != "" {
		runRole(role)
		return
	}
	os.Exit(m.Run())
}

// runRole serves until its standard input ends.
func runRole(role string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	var h http.Handler
	switch role {
	case "engine":
		h = standin.NewEngine(standin.EngineConfig{Slots: 1 << 16})
	case slowEngineRole:
		h = standin.NewEngine(standin.EngineConfig{Slots: 1 << 16, PerToken: time.Minute})
	default:
		runtime.GOMAXPROCS(benchCores)
		h = benchInstance(role)
		defer profile()()
	}
	mux := http.NewServeMux()
	mux.Handle("/", h)
	mux.HandleFunc("/usage", func(w http.ResponseWriter, _ *http.Request) { _ = json.NewEncoder(w).Encode(usageNow()) })
	fmt.Println(l.Addr())
	ctx, stop := context.WithCancel(context.Background())
	go func() { _, _ = io.Copy(io.Discard, os.Stdin); stop() }()
	_ = standin.Serve(ctx, l, mux)
}

// profile starts a CPU profile if benchProfile is set, and returns the function
// that stops it.
func profile() func() {
	name := os.Getenv(benchProfile)
	if name == "" {
		return func() {}
	}
	f, err := os.Create(name)
	if err != nil {
		panic(err)
	}
	if err := pprof.StartCPUProfile(f); err != nil {
		panic(err)
	}
	return func() { pprof.StopCPUProfile(); f.Close() }
}

// benchInstance returns the handler of an instance whose only target is the
// engine at an address.
func benchInstance(engine string) http.Handler {
	t := &testing.B{}
	r := newRig(t, withEngines(0, standin.EngineConfig{}))
	r.addTarget("briefing-llm", "runner", "http://"+engine)
	r.b.Targets[len(r.b.Targets)-1].Slots = 1 << 16
	r.b.Targets[len(r.b.Targets)-1].PrefillTokensPerSecond = 1e12
	r.b.Targets[len(r.b.Targets)-1].DecodeTokensPerSecond = 1e12
	r.p.SetView(NewView(r.b, "", "jatim"))
	return r.handler()
}

// usage is the resource usage of a process.
type usage struct {
	CPU time.Duration
	// Bytes of heap and stacks in use, after a collection.
	Bytes uint64
	// Resident bytes.
	Resident uint64
}

func usageNow() usage {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	debug.FreeOSMemory()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	statm, _ := os.ReadFile("/proc/self/statm")
	var size, pages uint64
	_, _ = fmt.Sscan(string(statm), &size, &pages)
	return usage{
		CPU:      time.Duration(u.Utime.Nano() + u.Stime.Nano()),
		Bytes:    m.HeapInuse + m.StackInuse,
		Resident: pages * uint64(os.Getpagesize()),
	}
}

// start runs a role and returns its URL.
func start(b *testing.B, role string) string {
	b.Helper()
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), benchRole+"="+role)
	cmd.Stderr = os.Stderr
	in, err := cmd.StdinPipe()
	if err != nil {
		b.Fatal(err)
	}
	out, err := cmd.StdoutPipe()
	if err != nil {
		b.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { in.Close(); _ = cmd.Wait() })
	address, err := bufio.NewReader(out).ReadString('\n')
	if err != nil {
		b.Fatal(err)
	}
	return "http://" + strings.TrimSpace(address)
}

func startBoth(b *testing.B, engineRole string) (engine, instance string) {
	engine = start(b, engineRole)
	return engine, start(b, strings.TrimPrefix(engine, "http://"))
}

var benchClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4096}}

// ask sends a streamed request, reads it to its end and returns the time to the
// first byte of the body and to the end.
func ask(b *testing.B, url, body string) (first, whole time.Duration) {
	begin := time.Now()
	resp := open(b, url, body)
	defer resp.Body.Close()
	buf := make([]byte, 16<<10)
	for {
		n, err := resp.Body.Read(buf)
		if first == 0 && n > 0 {
			first = time.Since(begin)
		}
		if err == io.EOF {
			return first, time.Since(begin)
		}
		if err != nil {
			b.Error(err)
			return first, time.Since(begin)
		}
	}
}

func open(b *testing.B, url, body string) *http.Response {
	req, err := http.NewRequest(http.MethodPost, url+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		b.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+testKey)
	req.Header.Set("Content-Type", "application/json")
	resp, err := benchClient.Do(req)
	if err != nil {
		b.Fatal(err)
	}
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(resp.Body)
		b.Fatalf("%d %s", resp.StatusCode, text)
	}
	return resp
}

// benchPrompt has about a thousand tokens.
var benchPrompt = strings.Repeat("wind at the ridge ", 220)

// BenchmarkAddedFirstToken sends one request at a time, directly to the engine
// and through the instance in turn.
func BenchmarkAddedFirstToken(b *testing.B) {
	engine, instance := startBoth(b, "engine")
	body := chat(benchPrompt, true, 4)
	for range 200 {
		ask(b, engine, body)
		ask(b, instance, body)
	}
	straight, through := hdrhistogram.New(1, 1e10, 3), hdrhistogram.New(1, 1e10, 3)
	for b.Loop() {
		t, _ := ask(b, engine, body)
		_ = straight.RecordValue(int64(t))
		t, _ = ask(b, instance, body)
		_ = through.RecordValue(int64(t))
	}
	for _, q := range []float64{50, 99} {
		s, t := straight.ValueAtQuantile(q), through.ValueAtQuantile(q)
		b.ReportMetric(float64(s)/1e3, fmt.Sprintf("straight-p%g-us", q))
		b.ReportMetric(float64(t-s)/1e3, fmt.Sprintf("added-p%g-us", q))
	}
}

// BenchmarkThroughput has 64 concurrent callers and answers of one token.
func BenchmarkThroughput(b *testing.B) { measureLoad(b, chat(benchPrompt, true, 1), 1) }

// BenchmarkTokens has 64 concurrent callers and answers of 200 tokens.
func BenchmarkTokens(b *testing.B) { measureLoad(b, chat("p", true, 200), 200) }

func measureLoad(b *testing.B, body string, tokens int) {
	const callers = 64
	engine, instance := startBoth(b, "engine")
	for _, c := range []struct{ name, url string }{{"straight", engine}, {"through", instance}} {
		b.Run(c.name, func(b *testing.B) {
			runCallers(b, c.url, body, callers, 500)
			before, engineBefore, own := readUsage(b, instance), readUsage(b, engine), usageNow()
			begin := time.Now()
			runCallers(b, c.url, body, callers, b.N)
			took := time.Since(begin)
			cpu := readUsage(b, instance).CPU - before.CPU
			b.ReportMetric(float64(b.N)/took.Seconds(), "requests/s")
			b.ReportMetric(float64(b.N*tokens)/took.Seconds(), "tokens/s")
			b.ReportMetric((readUsage(b, engine).CPU-engineBefore.CPU).Seconds()/took.Seconds(), "engine-cores")
			b.ReportMetric((usageNow().CPU-own.CPU).Seconds()/took.Seconds(), "client-cores")
			if c.url == instance {
				b.ReportMetric(float64(b.N)/cpu.Seconds(), "requests/s/core")
				b.ReportMetric(float64(b.N*tokens)/cpu.Seconds(), "tokens/s/core")
				b.ReportMetric(cpu.Seconds()/took.Seconds(), "cores")
			}
		})
	}
}

func runCallers(b *testing.B, url, body string, callers, n int) {
	var wait sync.WaitGroup
	left := make(chan struct{}, n)
	for range n {
		left <- struct{}{}
	}
	close(left)
	for range callers {
		wait.Go(func() {
			for range left {
				ask(b, url, body)
			}
		})
	}
	wait.Wait()
}

// BenchmarkAddedPerToken reads one stream, directly and through the instance.
func BenchmarkAddedPerToken(b *testing.B) {
	engine, instance := startBoth(b, "engine")
	const tokens = 20000
	body := chat("p", true, tokens)
	var straight, through time.Duration
	for b.Loop() {
		first, whole := ask(b, engine, body)
		straight += whole - first
		first, whole = ask(b, instance, body)
		through += whole - first
	}
	n := float64(b.N * tokens)
	b.ReportMetric(float64(straight)/n, "straight-ns/token")
	b.ReportMetric(float64(through-straight)/n, "added-ns/token")
}

// BenchmarkOpenStreams measures the instance's memory for each stream that is
// open and idle after its first token.
func BenchmarkOpenStreams(b *testing.B) { measureOpen(b, chat("p", true, 100)) }

// BenchmarkOpenLongPrompts does the same with prompts of about four thousand
// tokens.
func BenchmarkOpenLongPrompts(b *testing.B) {
	measureOpen(b, chat(strings.Repeat(benchPrompt, 4), true, 100))
}

func measureOpen(b *testing.B, body string) {
	const streams = 2000
	_, instance := startBoth(b, slowEngineRole)
	for b.Loop() {
		before := readUsage(b, instance)
		var responses []*http.Response
		for range streams {
			resp := open(b, instance, body)
			_, _ = resp.Body.Read(make([]byte, 1))
			responses = append(responses, resp)
		}
		after := readUsage(b, instance)
		for _, r := range responses {
			r.Body.Close()
		}
		b.ReportMetric(float64(after.Bytes-before.Bytes)/streams, "bytes/stream")
		b.ReportMetric((float64(after.Resident)-float64(before.Resident))/streams, "resident-bytes/stream")
	}
}

func readUsage(b *testing.B, instance string) usage {
	resp, err := benchClient.Get(instance + "/usage")
	if err != nil {
		b.Fatal(err)
	}
	defer resp.Body.Close()
	var u usage
	if err := json.NewDecoder(resp.Body).Decode(&u); err != nil {
		b.Fatal(err)
	}
	return u
}
