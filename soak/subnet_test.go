package soak

import (
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"testing"

	"github.com/gullhaven/gullhaven/standin/loopback"
)

// Guards against the successor of a runner that can't listen ("address already in use")
// seconds after the runner has ended: if its port is an ephemeral one, another program can
// take it in between.
func TestPortsAreNotThoseThatTheSystemGivesOut(t *testing.T) {
	data, err := os.ReadFile("/proc/sys/net/ipv4/ip_local_port_range")
	if err != nil {
		t.Skip("the range is not known here: ", err)
	}
	least, err := strconv.Atoi(strings.Fields(string(data))[0])
	if err != nil {
		t.Fatal(err)
	}
	s, seen := newSubnet(), map[string]bool{}
	for n := range 60 {
		address, err := s.address(s.host(n % 3))
		if err != nil {
			t.Fatal(err)
		}
		_, text, _ := net.SplitHostPort(address)
		port, err := strconv.Atoi(text)
		if err != nil || port >= least || seen[text] {
			t.Fatalf("%s, the system gives out ports from %d on: %v", address, least, err)
		}
		seen[text] = true
	}
}

// Guards against the same failure when processes are started while the server of a runner is
// closed: a starting process holds a copy of the listener.
func TestAddressIsFreeOnceItsServerIsClosed(t *testing.T) {
	s := newSubnet()
	address, err := s.address(s.host(0))
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	var wg sync.WaitGroup
	for range 4 {
		wg.Go(func() {
			for {
				select {
				case <-done:
					return
				default:
				}
				if cmd := exec.Command("true"); loopback.Start(cmd) == nil {
					_ = cmd.Wait()
				}
			}
		})
	}
	defer wg.Wait()
	defer close(done)
	for n := range 300 {
		runner, err := serve(address, http.NotFoundHandler())
		if err != nil {
			t.Fatalf("round %d: %v", n, err)
		}
		if err := runner.end(); err != nil {
			t.Fatal(err)
		}
	}
}
