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

// Symptom: the successor of a runner cannot listen, "address already in use", seconds after
// the runner has ended.
// Events: a runner ends; before its successor starts, another program listens at any port.
// Cause: the port was one of those that the system gives out.
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

// Symptom: the same.
// Events: processes are started while the server of a runner is closed.
// Cause: a process that was being started held a copy of the closed listener.
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
