// Package loopback starts processes beside listeners whose addresses are used again.
//
// A process that is being started has a copy of every open file until it runs its program.
// What goes wrong without this package: a listener that is closed meanwhile lives on in the
// copy, and the next one at its address fails with "address already in use".
package loopback

import (
	"io"
	"net"
	"os/exec"
	"sync"
)

// starting is held while a process is started and while a listener is closed.
var starting sync.Mutex

// Start starts a process. Beside listeners whose addresses are used again no other way may
// be taken.
func Start(cmd *exec.Cmd) error {
	starting.Lock()
	defer starting.Unlock()
	return cmd.Start()
}

// Close closes a listener, or a server with those that it serves: their addresses are free
// afterwards.
func Close(c io.Closer) error {
	starting.Lock()
	defer starting.Unlock()
	return c.Close()
}

// Try listens at an address for a moment, and reports why that is not possible.
func CheckAvailable(address string) error {
	starting.Lock()
	defer starting.Unlock()
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	return l.Close()
}
