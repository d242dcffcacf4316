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

// Ports are handed out below the range that the system takes the local ports of
// connections from: a port found free up there can be taken by any connection
// before the process that it is meant for, or that starts again, listens. Each
// run of the tests has a block of its own, which it holds by its first port.
const (
	firstPort = 15000
	blockSize = 2000
	blocks    = 8
)

// nextPort was handed out last.
var nextPort atomic.Int64

// holdPorts takes a block of ports until the listener is closed.
func holdPorts() (net.Listener, error) {
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

// freeAddress finds a port of loopback that nothing listens on. None is handed
// out twice.
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

// Symptom: a target of a test could not listen on the port that had been found free for
// it: "address already in use", though nothing in the system used it.
// Events: ports are found, and listened on at once, while other tests start processes.
// Cause: a process that was being started held a copy of the listener that had found the
// port free.
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
