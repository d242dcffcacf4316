package exchange_test

import (
	"io"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/gullhaven/gullhaven/metrics/lines"
)

// processorTime returns the CPU time of the process so far, in microseconds.
func processorTime(b *testing.B) float64 {
	b.Helper()
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return float64(u.Utime.Sec+u.Stime.Sec)*1e6 + float64(u.Utime.Usec+u.Stime.Usec)
}

// BenchmarkRequest measures the CPU time of a plain request of 600 bytes with an answer of 800,
// including the target's, with and without its access log line.
func BenchmarkRequest(b *testing.B) {
	core := zapcore.NewCore(zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig()), zapcore.AddSync(io.Discard), zap.InfoLevel)
	for name, log := range map[string]*zap.Logger{
		"no lines": zap.NewNop(), "all lines": zap.New(core), "budget of 20": zap.New(lines.NewBudget(core, 20)),
	} {
		b.Run(name, func(b *testing.B) {
			r := newRigWith(b, "r", nil, newTarget(b, "t1", respond(200, strings.Repeat("a", 800))))
			r.setAccessLog(log)
			body := strings.Repeat("q", 600)
			b.ResetTimer()
			before := processorTime(b)
			for range b.N {
				req := r.request("/unsafe/x", body)
				req.RequestURI = "/unsafe/x"
				r.gateway.ServeHTTP(httptest.NewRecorder(), req)
			}
			b.ReportMetric((processorTime(b)-before)/float64(b.N), "us-cpu/request")
		})
	}
}

// BenchmarkEvent measures the CPU time per event of a stream of 500 events of about 30 bytes each,
// including the target's.
func BenchmarkEvent(b *testing.B) {
	const length = 500
	r := newRig(b, "r", newTarget(b, "t1", streamEvents(length, true)))
	b.ResetTimer()
	before := processorTime(b)
	for range b.N {
		if got := r.call("/stream/x", "b"); got.truncated {
			b.Fatal("the stream was truncated")
		}
	}
	b.ReportMetric((processorTime(b)-before)/float64(b.N*length), "us-cpu/event")
}
