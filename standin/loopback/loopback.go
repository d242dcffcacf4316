// Package loopback starts processes next to listeners whose addresses are reused.
//
// Between fork and exec a child process holds a copy of every open file. Without this
// package, a listener closed during that time stays open in the child, and the next one at
// its address fails with "address already in use".
package loopback

import (
	"io"
	"net"
	"os/exec"
	"sync"
)

// starting is held while a process is started and while a listener is closed.
var starting sync.Mutex

// Start starts a process. Next to listeners whose addresses are reused, processes must not
// be started in any other way.
func Start(cmd *exec.Cmd) error {
	starting.Lock()
	defer starting.Unlock()
	return cmd.Start()
}

// Close closes a listener, or a server with its listeners. Their addresses are free
// afterwards.
func Close(c io.Closer) error {
	starting.Lock()
	defer starting.Unlock()
	return c.Close()
}

// CheckAvailable opens and closes a TCP listener at address, and returns the error if that
// is not possible.
func CheckAvailable(address string) error {
	starting.Lock()
	defer starting.Unlock()
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	return l.Close()
}
