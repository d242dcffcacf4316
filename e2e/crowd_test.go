package e2e

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

const (
	// crowdSize is the number of clients of a crowd, and crowdMemoryMB the memory of gullhavend --dev in MiB.
	crowdSize, crowdMemoryMB = 200, 284
	// crowdBody is the limit of a body in bytes.
	crowdBody = 4 << 20
	// crowdSendTimeout ends a client that the process neither reads nor refuses.
	crowdSendTimeout = 15 * time.Second
)

// Guards against a gateway of bundles that runs out of memory because of clients that stop short of the end of a body
// or a head, at the callers' and at the operators' port.
func TestGatewayOutlivesClientsThatStopShort(t *testing.T) {
	chunk := fmt.Sprintf("10000\r\n%s\r\n", strings.Repeat("x", 1<<16))
	lines := strings.Builder{}
	for n := range 100_000 {
		fmt.Fprintf(&lines, "X%05x: b\r\n", n)
	}
	const caller = "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer dev-key\r\n"
	for name, c := range map[string]struct{ address, sent string }{
		"chunks":    {"127.0.0.1:8080", caller + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat(chunk, crowdBody>>16)},
		"announced": {"127.0.0.1:8080", caller + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", crowdBody, strings.Repeat("x", crowdBody-1))},
		"heads":     {"127.0.0.1:8080", caller + lines.String()},
		"bundles":   {"127.0.0.1:8082", fmt.Sprintf("POST /operator/v1/bundles HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", crowdBody, strings.Repeat("x", crowdBody-1))},
	} {
		t.Run(name, func(t *testing.T) {
			cmd := startDev(t)
			var wg sync.WaitGroup
			for range crowdSize {
				conn, err := net.Dial("tcp", c.address)
				must(t, err)
				t.Cleanup(func() { _ = conn.Close() })
				wg.Go(func() {
					_ = conn.SetWriteDeadline(time.Now().Add(crowdSendTimeout))
					// A client that is refused stops.
					_, _ = io.WriteString(conn, c.sent)
				})
			}
			wg.Wait()
			awaitEcho(t)
			if peak := peakMB(t, cmd); peak > crowdMemoryMB {
				t.Errorf("the process used %d MiB of %d", peak, crowdMemoryMB)
			}
		})
	}
}

// startDev starts gullhavend --dev and waits until it is ready.
func startDev(t *testing.T) *exec.Cmd {
	t.Helper()
	cmd, out := launchDev(t)
	t.Cleanup(func() {
		_ = cmd.Process.Signal(syscall.SIGTERM)
		_ = cmd.Wait()
	})
	if line, err := bufio.NewReader(out).ReadString('\n'); !strings.HasPrefix(line, "ready: ") {
		t.Fatalf("it said %q, %v", line, err)
	}
	return cmd
}

// awaitEcho sends ordinary requests until one is answered.
func awaitEcho(t *testing.T) {
	t.Helper()
	var err error
	for until := time.Now().Add(crowdSendTimeout); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		q, _ := http.NewRequest(http.MethodGet, "http://127.0.0.1:8080/services/echo/hello", nil)
		q.Header.Set("Authorization", "Bearer dev-key")
		q.Close = true
		var res *http.Response
		if res, err = http.DefaultClient.Do(q); err != nil {
			continue
		}
		_ = res.Body.Close()
		if res.StatusCode == http.StatusOK {
			return
		}
		err = fmt.Errorf("status %d", res.StatusCode)
	}
	t.Errorf("no ordinary request was answered: %v", err)
}

// peakMB returns the most memory that a process has used, in MiB.
func peakMB(t *testing.T, cmd *exec.Cmd) int {
	t.Helper()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", cmd.Process.Pid))
	must(t, err)
	for line := range strings.Lines(string(data)) {
		if value, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kb, err := strconv.Atoi(strings.Fields(value)[0])
			must(t, err)
			return kb >> 10
		}
	}
	t.Fatal("the process has no VmHWM")
	return 0
}
