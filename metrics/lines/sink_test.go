package lines_test

import (
	"bytes"
	"context"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/gullhaven/gullhaven/metrics/lines"
)

// stalledWriter blocks until release is closed.
type stalledWriter struct {
	release chan struct{}
	mu      sync.Mutex
	buf     bytes.Buffer
}

func (s *stalledWriter) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.buf.Write(p)
}

// Guards against requests that hang while nothing reads the standard output: the reader of the
// log stalls, many lines are logged, and it continues.
func TestStalledReaderDoesNotDelayLogging(t *testing.T) {
	Convey("five thousand lines without a reader", t, func() {
		out := &stalledWriter{release: make(chan struct{})}
		sink := lines.NewSink(out)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go sink.Run(ctx)
		const n = 5000
		for range n {
			_, err := sink.Write([]byte("line\n"))
			So(err, ShouldBeNil)
		}
		dropped := sink.Dropped()
		So(dropped, ShouldBeGreaterThan, 2000)
		close(out.release)
		for end := time.Now().Add(20 * time.Second); time.Now().Before(end); {
			So(sink.Sync(), ShouldBeNil)
			out.mu.Lock()
			got := strings.Count(out.buf.String(), "line\n")
			out.mu.Unlock()
			if got == int(n-dropped) {
				return
			}
		}
		t.Error("lines that were queued are missing")
	})
}

func TestBudgetCountsSkippedLines(t *testing.T) {
	Convey("ten ordinary lines in a second of four", t, func() {
		var buf bytes.Buffer
		core := zapcore.NewCore(zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig()), zapcore.AddSync(&buf), zap.InfoLevel)
		b := lines.NewBudget(core, 4)
		clock := fixedClock{at: time.Unix(1000, 0)}
		log := zap.New(b, zap.WithClock(&clock)).With(zap.String("instance", "i"))
		for range 10 {
			log.Info("served")
		}
		log.Debug("below the level")
		So(strings.Count(buf.String(), "served"), ShouldEqual, 4)
		So(b.Skipped(), ShouldEqual, 6)
		clock.at = clock.at.Add(time.Second)
		log.Info("served")
		So(strings.Count(buf.String(), "served"), ShouldEqual, 5)
	})
}

// fixedClock is a clock that is set by the test.
type fixedClock struct{ at time.Time }

func (f *fixedClock) Now() time.Time { return f.at }

func (f *fixedClock) NewTicker(d time.Duration) *time.Ticker { return time.NewTicker(d) }
