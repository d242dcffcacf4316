// Package lines writes log lines without ever blocking the logging goroutine.
//
// A Sink puts lines into a bounded ring that one goroutine writes out; lines that find the
// ring full are dropped and counted. A Budget limits the lines a second of ordinary outcomes
// and counts the others. Both counts are logged.
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
	// ringLines bounds the lines that wait for the writer: 0.6 MB of typical lines.
	ringLines = 2048
	// reportInterval is the time between two lines with counts.
	reportInterval = time.Second
	// flushTimeout bounds the wait for the last lines at the end of the process.
	flushTimeout = 200 * time.Millisecond
)

// Sink is a zapcore.WriteSyncer in front of a writer that may stall. It is safe for
// concurrent use.
type Sink struct {
	lines *ring.Ring[[]byte]
	out   io.Writer
	// written counts lines given to the writer.
	written atomic.Uint64
}

// NewSink returns a Sink. Run must be called to write its lines.
func NewSink(out io.Writer) *Sink {
	return &Sink{lines: ring.New[[]byte](ringLines), out: out}
}

// Write queues a copy of a line, or drops it if the ring is full. It never blocks and returns
// no error.
func (s *Sink) Write(line []byte) (int, error) {
	// zap reuses its buffer.
	s.lines.TryPush(append([]byte(nil), line...))
	return len(line), nil
}

// Sync waits up to flushTimeout until the lines queued before it are written.
func (s *Sink) Sync() error {
	target := s.lines.Stats().Pushed
	tick := time.NewTicker(time.Millisecond)
	defer tick.Stop()
	for end := time.Now().Add(flushTimeout); s.written.Load() < target && time.Now().Before(end); {
		<-tick.C
	}
	return nil
}

// Dropped returns the number of lines that found the ring full.
func (s *Sink) Dropped() uint64 { return s.lines.Stats().Refused }

// Run writes lines until ctx ends. A writer that stalls stalls only this goroutine.
func (s *Sink) Run(ctx context.Context) {
	for {
		line, err := s.lines.Pop(ctx)
		if err != nil {
			return
		}
		// A failed write cannot be logged; the line counts as written.
		_, _ = s.out.Write(line)
		s.written.Add(1)
	}
}

// Budget is a zapcore.Core that passes a bounded number of lines a second.
type Budget struct {
	zapcore.Core
	perSecond int64
	state     *budgetState
}

// budgetState is shared by a Budget and those that With returns.
type budgetState struct {
	// second is the Unix time of the current second, inSecond the number of lines in it.
	second   atomic.Int64
	inSecond atomic.Int64
	skipped  atomic.Uint64
}

// NewBudget returns a Budget of perSecond lines a second in front of core.
func NewBudget(core zapcore.Core, perSecond int) *Budget {
	return &Budget{Core: core, perSecond: int64(perSecond), state: &budgetState{}}
}

// With returns a Budget with fields that shares the count of lines.
func (b *Budget) With(fields []zapcore.Field) zapcore.Core {
	return &Budget{Core: b.Core.With(fields), perSecond: b.perSecond, state: b.state}
}

// Check passes a line if the budget of the second is not used up.
func (b *Budget) Check(e zapcore.Entry, c *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if !b.Enabled(e.Level) {
		return c
	}
	if !b.state.allow(e.Time.Unix(), b.perSecond) {
		b.state.skipped.Add(1)
		return c
	}
	return c.AddCore(e, b.Core)
}

// allow counts a line and reports whether it is within the budget. Two goroutines at the start
// of a second may pass a line too many, which does no harm.
func (s *budgetState) allow(second, perSecond int64) bool {
	if s.second.Swap(second) != second {
		s.inSecond.Store(0)
	}
	return s.inSecond.Add(1) <= perSecond
}

// Skipped returns the number of lines beyond the budget.
func (b *Budget) Skipped() uint64 { return b.state.skipped.Load() }

// Counts reports missing lines.
type Counts interface {
	// Missing returns the number of lines dropped by the Sink and skipped by the Budget.
	Missing() (dropped, skipped uint64)
}

// ReportMissing logs the number of new dropped and skipped lines, if any, each reportInterval
// until ctx ends.
func ReportMissing(ctx context.Context, log *zap.Logger, s *Sink, b *Budget) {
	tick := time.NewTicker(reportInterval)
	defer tick.Stop()
	var dropped, skipped uint64
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		d, l := s.Dropped(), b.Skipped()
		if d != dropped || l != skipped {
			log.Info("log lines missing", zap.Uint64("dropped", d-dropped), zap.Uint64("left_out", l-skipped))
		}
		dropped, skipped = d, l
	}
}
