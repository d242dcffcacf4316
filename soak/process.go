package soak

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/gullhaven/gullhaven/standin/loopback"
)

// killAfter is how long a process may take to end after it was asked to.
const killAfter = 15 * time.Second

// process is one instance of the site, which may be started again and again.
type process struct {
	binary, dir string
	settings    map[string]any

	mu   sync.Mutex
	cmd  *exec.Cmd
	ends chan struct{}
	// wanted says that the process is to be there: an end by itself is a fault.
	wanted bool
	fault  func(format string, args ...any)
}

func (p *process) name() string { return p.settings["instance"].(string) }

// start runs the binary with the settings.
func (p *process) start(first bool) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		return nil
	}
	p.settings["first_start"] = first
	data, err := json.Marshal(p.settings)
	if err != nil {
		return err
	}
	file := filepath.Join(p.dir, "settings.json")
	if err := os.WriteFile(file, data, 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(p.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(p.binary, "site", "--settings", file)
	cmd.Stdout, cmd.Stderr = out, out
	if err := loopback.Start(cmd); err != nil {
		return err
	}
	ends := make(chan struct{})
	p.cmd, p.ends, p.wanted = cmd, ends, true
	go func() {
		err := cmd.Wait()
		_ = out.Close()
		p.ended(err)
		close(ends)
	}()
	return nil
}

func (p *process) ended(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.wanted {
		p.fault("%s ended by itself: %v", p.name(), err)
	}
	p.cmd = nil
}

// signal reaches the process if it runs. expected says that it may end of it.
func (p *process) signal(s syscall.Signal, expected bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return
	}
	p.wanted = p.wanted && !expected
	if err := p.cmd.Process.Signal(s); err != nil {
		// It has ended in this moment; Wait tells.
		return
	}
}

// stop ends the process and waits for its end. One that does not end when asked is a
// fault.
func (p *process) stop(s syscall.Signal) {
	p.signal(s, true)
	// A paused process ends only when it goes on.
	p.signal(syscall.SIGCONT, true)
	p.mu.Lock()
	cmd, ends := p.cmd, p.ends
	p.mu.Unlock()
	if cmd == nil {
		return
	}
	select {
	case <-ends:
	case <-time.After(killAfter):
		p.fault("%s did not end within %v of signal %v", p.name(), killAfter, s)
		p.signal(syscall.SIGKILL, true)
		<-ends
	}
}

// wipe takes the disk away.
func (p *process) wipe() error {
	disk := p.disk()
	if err := os.RemoveAll(disk); err != nil {
		return err
	}
	return os.MkdirAll(disk, 0o700)
}

// tear leaves the beginning of a record at the end of the newest file of the log, as a
// loss of power in the middle of a write does.
func (p *process) tear() error {
	segments, err := filepath.Glob(filepath.Join(p.disk(), "log", "*.wal"))
	if err != nil || len(segments) == 0 {
		return err
	}
	newest := slices.Max(segments) // They are numbered.
	f, err := os.OpenFile(newest, os.O_APPEND|os.O_WRONLY, 0)
	if err != nil {
		return err
	}
	if _, err := f.Write([]byte{0, 0, 1, 7, 42}); err != nil {
		return fmt.Errorf("tear %s: %w", newest, err)
	}
	return f.Close()
}

func (p *process) disk() string { return p.settings["data_dir"].(string) }
