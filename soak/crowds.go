package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/gullhaven/gullhaven/node/duty"
	"github.com/gullhaven/gullhaven/platform/platformtest"
)

// CrowdKind is what the clients of a Crowd do.
type CrowdKind uint8

const (
	// ChunkedBodies stop short of the end of a large body in chunks, SmallChunks of one in small chunks, and
	// AnnouncedBodies of one with a length.
	ChunkedBodies CrowdKind = iota
	SmallChunks
	AnnouncedBodies
	// EndlessHeads send a head without an end.
	EndlessHeads
	// Connections send nothing.
	Connections
	// Configurations stop short of the end of a configuration.
	Configurations

	crowdKinds = 6
)

var crowdNames = [crowdKinds]string{"chunked bodies", "small chunks", "announced bodies", "endless heads", "connections", "configurations"}

// String returns the name of the kind.
func (k CrowdKind) String() string { return crowdNames[k] }

// Crowd is a number of clients that stop short at an instance.
type Crowd struct {
	// At is the time of the first one after the start of the faults, and For how long they stay.
	At, For time.Duration
	Kind    CrowdKind
	// Number is that of the entry instance, or of the core instance for Configurations.
	Number, Clients int
}

const (
	// crowdBody is the size of a body of a crowd in bytes: just inside the limit.
	crowdBody = 4<<20 - 1
	// crowdDeadline is the deadline of a request of a crowd.
	crowdDeadline = 6 * time.Second
	// crowdInterval is the mean time between two crowds.
	crowdInterval = 700 * time.Millisecond
	// minCrowd and maxCrowd bound the clients of a crowd, minCrowdStay and maxCrowdStay how long they stay.
	minCrowd, maxCrowd         = 20, 150
	minCrowdStay, maxCrowdStay = 200 * time.Millisecond, 3 * time.Second
)

// DrawCrowds returns the crowds of a seed, which begin within span and overlap.
func DrawCrowds(seed uint64, shape Shape, span time.Duration) (out []Crowd) {
	r := rand.New(rand.NewPCG(seed, crowdKinds))
	for at := time.Duration(0); at < span; at += time.Duration(r.Int64N(int64(2 * crowdInterval))) {
		c := Crowd{
			At: at, For: minCrowdStay + time.Duration(r.Int64N(int64(maxCrowdStay-minCrowdStay))),
			Kind: CrowdKind(r.IntN(crowdKinds)), Number: r.IntN(shape.Entries), Clients: minCrowd + r.IntN(maxCrowd-minCrowd),
		}
		if c.Kind == Configurations {
			c.Number = r.IntN(shape.Cores)
		}
		out = append(out, c)
	}
	return out
}

// PlayCrowds plays crowds, each at its time, and returns when all have left.
func (w *World) PlayCrowds(ctx context.Context, crowds []Crowd) {
	began := time.Now()
	var wg sync.WaitGroup
	for _, c := range crowds {
		wg.Go(func() {
			_ = duty.Pause(ctx, time.Until(began.Add(c.At)))
			w.o.Log("%v: %d clients, %v, at %d for %v", c.At, c.Clients, c.Kind, c.Number, c.For)
			w.play(ctx, c)
		})
	}
	wg.Wait()
}

// beginCrowds plays the crowds of the options and watches the memory, and returns a function that waits for their end.
func (w *World) beginCrowds(ctx context.Context) (end func()) {
	if w.o.MemoryMB <= 0 {
		return func() {}
	}
	ctx, cancel := context.WithCancel(ctx)
	var crowds, watch sync.WaitGroup
	crowds.Go(func() { w.PlayCrowds(ctx, w.o.Crowds) })
	watch.Go(func() { w.o.Log("the most memory of a process: %d of %d MiB", w.WatchMemory(ctx), w.o.MemoryMB) })
	return func() {
		crowds.Wait()
		cancel()
		watch.Wait()
	}
}

// play connects the clients of a crowd and closes their connections at its end.
func (w *World) play(ctx context.Context, c Crowd) {
	address := w.entries[c.Number%len(w.entries)].callers
	if c.Kind == Configurations {
		address = w.cores[c.Number%len(w.cores)].operators
	}
	until := time.Now().Add(c.For)
	var wg sync.WaitGroup
	for k := range c.Clients {
		wg.Go(func() {
			conn, err := net.DialTimeout("tcp", address, c.For)
			if err != nil {
				// The instance is down, or closes what it has no room for.
				return
			}
			defer conn.Close()
			_ = conn.SetDeadline(until)
			// One that is refused stops, but stays.
			_ = c.Kind.send(conn, k)
			_ = duty.Pause(ctx, time.Until(until))
		})
	}
	wg.Wait()
}

// send sends what client k of a crowd sends.
func (k CrowdKind) send(to io.Writer, client int) error {
	const largeChunk, smallChunk, headLines = 64 << 10, 16, 100_000
	if k == Connections {
		return nil
	}
	if k == Configurations {
		if err := platformtest.WritePutHead(to, crowdBody); err != nil {
			return err
		}
		return repeat(to, strings.Repeat("x", largeChunk), crowdBody/largeChunk)
	}
	if err := platformtest.WriteHead(to, fmt.Sprint("crowd-", client), platformtest.PathUnsafe+"x", crowdDeadline); err != nil {
		return err
	}
	more, size := "Transfer-Encoding: chunked\r\n\r\n", largeChunk
	switch k {
	case EndlessHeads:
		return repeat(to, "X-Filler: b\r\n", headLines)
	case AnnouncedBodies:
		more = fmt.Sprintf("Content-Length: %d\r\n\r\n", crowdBody)
	case SmallChunks:
		size = smallChunk
	}
	if _, err := io.WriteString(to, more); err != nil {
		return err
	}
	text := strings.Repeat("x", size)
	if k != AnnouncedBodies {
		text = fmt.Sprintf("%x\r\n%s\r\n", size, text)
	}
	return repeat(to, text, crowdBody/size)
}

// repeat writes a text n times, several at once.
func repeat(to io.Writer, text string, n int) error {
	const batchBytes = 32 << 10
	batch := max(1, batchBytes/len(text))
	texts := strings.Repeat(text, batch)
	for n > 0 {
		m := min(n, batch)
		if _, err := io.WriteString(to, texts[:m*len(text)]); err != nil {
			return err
		}
		n -= m
	}
	return nil
}

// memoryInterval is the time between two looks at the memory of processes.
const memoryInterval = 50 * time.Millisecond

// WatchMemory records a violation for each process that uses more than the memory of its settings, until ctx ends.
// It returns the most that one used, in MiB.
func (w *World) WatchMemory(ctx context.Context) (most int) {
	tick := time.NewTicker(memoryInterval)
	defer tick.Stop()
	over := map[string]bool{}
	for {
		select {
		case <-ctx.Done():
			return most
		case <-tick.C:
		}
		for _, p := range w.processes() {
			mb := p.peakMB()
			most = max(most, mb)
			if mb > w.o.MemoryMB && !over[p.name()] {
				over[p.name()] = true
				w.Ledger.AddViolation("%s uses %d MiB of %d", p.name(), mb, w.o.MemoryMB)
			}
		}
	}
}

// peakMB returns the most memory that the running process has used, in MiB; 0 if it does not run.
func (p *process) peakMB() int {
	p.mu.Lock()
	cmd := p.cmd
	p.mu.Unlock()
	if cmd == nil {
		return 0
	}
	// The process may have ended.
	data, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", cmd.Process.Pid))
	for line := range strings.Lines(string(data)) {
		if value, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(value)[0])
			return kb >> 10
		}
	}
	return 0
}
