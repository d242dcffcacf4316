// Package lines writes log lines without ever blocking who logs.
//
// A Sink takes lines into a bounded ring that one goroutine drains; what finds the ring
// full is dropped and counted. A Budget lets so many lines a second of ordinary outcomes
// through and counts the others. Both counts come as lines of their own.
package lines

import (
	"context"
	"io"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/gullhaven/gullhaven/coord/ring"
)

const (
	// ringLines bounds the lines that wait for the writer: 0.6 MB of common ones.
	ringLines = 2048
	// tellInterval is the time between two lines with counts.
	tellInterval = time.Second
	// flushTime bounds the wait for the last lines at the end of the process.
	flushTime = 200 * time.Millisecond
)

// Sink is a zapcore.WriteSyncer before a writer that may stall.
type Sink struct {
	lines *ring.Ring[[]byte]
	out   io.Writer
	// written counts lines that the writer has taken.
	written atomic.Uint64
}

// NewSink makes a Sink; Run drains it.
func NewSink(out io.Writer) *Sink {
	return &Sink{lines: ring.New[[]byte](ringLines), out: out}
}

// Write takes a line. It never blocks and never fails.
func (s *Sink) Write(line []byte) (int, error) {
	// zap uses its buffer again.
	s.lines.TryPush(append([]byte(nil), line...))
	return len(line), nil
}

// Sync waits a short while for the lines that were taken before.
func (s *Sink) Sync() error {
	target := s.lines.Stats().Pushed
	tick := time.NewTicker(time.Millisecond)
	defer tick.Stop()
	for end := time.Now().Add(flushTime); s.written.Load() < target && time.Now().Before(end); {
		<-tick.C
	}
	return nil
}

// Dropped is the number of lines that found the ring full.
func (s *Sink) Dropped() uint64 { return s.lines.Stats().Refused }

// Run writes lines until ctx ends. A writer that stalls stalls only this goroutine.
func (s *Sink) Run(ctx context.Context) {
	for {
		line, err := s.lines.Pop(ctx)
		if err != nil {
			return
		}
		// A line that cannot be written has nowhere to be told; it counts as taken.
		_, _ = s.out.Write(line)
		s.written.Add(1)
	}
}

// Budget is a core that lets a bounded number of lines a second through.
type Budget struct {
	zapcore.Core
	perSecond int64
	state     *budgetState
}

type budgetState struct {
	second  atomic.Int64
	used    atomic.Int64
	leftOut atomic.Uint64
}

// NewBudget wraps a core.
func NewBudget(core zapcore.Core, perSecond int) *Budget {
	return &Budget{Core: core, perSecond: int64(perSecond), state: &budgetState{}}
}

// With keeps the budget for loggers with fields.
func (b *Budget) With(fields []zapcore.Field) zapcore.Core {
	return &Budget{Core: b.Core.With(fields), perSecond: b.perSecond, state: b.state}
}

// Check lets a line through as long as the second's budget lasts.
func (b *Budget) Check(e zapcore.Entry, c *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if !b.Enabled(e.Level) {
		return c
	}
	if !b.state.take(e.Time.Unix(), b.perSecond) {
		b.state.leftOut.Add(1)
		return c
	}
	return c.AddCore(e, b.Core)
}

// take counts a line in. Two goroutines at the turn of a second may let a line too many
// through, which matters to nobody.
func (s *budgetState) take(second, most int64) bool {
	if s.second.Swap(second) != second {
		s.used.Store(0)
	}
	return s.used.Add(1) <= most
}

// LeftOut is the number of lines beyond the budget.
func (b *Budget) Skipped() uint64 { return b.state.leftOut.Load() }

// Counts tells of missing lines.
type Counts interface {
	// Missing is how many lines were dropped and left out.
	Missing() (dropped, leftOut uint64)
}

// Tell logs what was dropped and left out, whenever it has grown, until ctx ends.
func ReportMissing(ctx context.Context, log *zap.Logger, s *Sink, b *Budget) {
	tick := time.NewTicker(tellInterval)
	defer tick.Stop()
	var dropped, leftOut uint64
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		d, l := s.Dropped(), b.Skipped()
		if d != dropped || l != leftOut {
			log.Info("log lines missing", zap.Uint64("dropped", d-dropped), zap.Uint64("left_out", l-leftOut))
		}
		dropped, leftOut = d, l
	}
}
