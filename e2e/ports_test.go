package e2e

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/gullhaven/gullhaven/standin/loopback"
)

// Ports are allocated below the ephemeral range: a free port of that range can be
// taken by any connection before the process for which it is meant, or that
// restarts, listens. Each run of the tests reserves a block by listening on its
// first port.
const (
	firstPort = 15000
	blockSize = 2000
	blocks    = 8
)

// nextPort is the port that was allocated last.
var nextPort atomic.Int64

// reservePorts reserves a block of ports until the listener is closed.
func reservePorts() (net.Listener, error) {
	var err error
	for n := range blocks {
		first := firstPort + (os.Getpid()+n)%blocks*blockSize
		var l net.Listener
		if l, err = net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", first)); err == nil {
			nextPort.Store(int64(first))
			return l, nil
		}
	}
	return nil, fmt.Errorf("every block of ports is held by another run: %w", err)
}

// freeAddress returns a loopback address with a free port. No port is allocated
// twice.
func freeAddress(t *testing.T) string {
	t.Helper()
	for {
		port := nextPort.Add(1)
		if port%blockSize == firstPort%blockSize {
			t.Fatal("the block of ports is used up")
		}
		address := fmt.Sprintf("127.0.0.1:%d", port)
		if loopback.CheckAvailable(address) == nil {
			return address
		}
	}
}

// Guards against a target that can't listen on its free port ("address already in use")
// although nothing uses it: while other tests start processes, a starting process holds a
// copy of the listener that checked the port.
func TestFoundPortIsFreeWhileProcessesStart(t *testing.T) {
	const starters, ports = 3, 200
	done := make(chan struct{})
	var wg sync.WaitGroup
	for range starters {
		wg.Go(func() {
			for {
				select {
				case <-done:
					return
				default:
				}
				cmd := exec.Command("true")
				if err := loopback.Start(cmd); err != nil {
					t.Error(err)
					return
				}
				_ = cmd.Wait()
			}
		})
	}
	for range ports {
		x := target{t: t, address: freeAddress(t), handler: http.NotFoundHandler()}
		if err := x.tryUp(); err != nil {
			t.Error(err)
			break
		}
		x.down()
		if err := x.tryUp(); err != nil {
			t.Errorf("after its loss: %v", err)
			break
		}
		x.down()
	}
	close(done)
	wg.Wait()
}
