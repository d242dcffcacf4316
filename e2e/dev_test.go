package e2e

import (
	"bufio"
	"io"
	"net"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"

	"github.com/gullhaven/gullhaven/standin/loopback"
)

// devAddresses are the fixed addresses of gullhavend --dev.
var devAddresses = []string{"127.0.0.1:8080", "127.0.0.1:8081", "127.0.0.1:8082", "127.0.0.1:8091", "127.0.0.1:8092", "127.0.0.1:8093"}

// gullhavend --dev must print that it is ready, and each command that it prints must
// work as printed.
func TestDevPrintsWhatWorks(t *testing.T) {
	cmd, out := launchDev(t)
	lines := bufio.NewScanner(out)
	var said, tries []string
	for lines.Scan() && len(tries) < 2 {
		said = append(said, lines.Text())
		if line := strings.TrimSpace(lines.Text()); strings.HasPrefix(line, "curl ") {
			tries = append(tries, line)
		}
		if len(tries) == 2 {
			break
		}
	}
	if len(tries) != 2 || !strings.HasPrefix(said[0], "ready: ") {
		t.Fatalf("it said %q", said)
	}
	for n, want := range []string{"data: [DONE]", `"execution":1`} {
		answer, err := exec.Command("sh", "-c", tries[n]).CombinedOutput()
		if err != nil || !strings.Contains(string(answer), want) {
			t.Errorf("%s\n%v: %s", tries[n], err, answer)
		}
	}
	must(t, cmd.Process.Signal(syscall.SIGTERM))
	if err := cmd.Wait(); err != nil {
		t.Errorf("it ended with %v", err)
	}
}

// launchDev starts gullhavend --dev and returns its output. The process is killed after the test.
func launchDev(t *testing.T) (*exec.Cmd, io.Reader) {
	t.Helper()
	for _, address := range devAddresses {
		l, err := net.Listen("tcp", address)
		if err != nil {
			t.Skipf("--dev has fixed addresses, and %s is taken on this machine: %v", address, err)
		}
		must(t, l.Close())
	}
	cmd := exec.Command(binary, "--dev")
	out, err := cmd.StdoutPipe()
	must(t, err)
	cmd.Stderr = os.Stderr
	must(t, loopback.Start(cmd))
	t.Cleanup(func() { _ = cmd.Process.Kill() })
	return cmd, out
}
