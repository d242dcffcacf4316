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

// stopTimeout is how long a process may take to end after a signal.
const stopTimeout = 15 * time.Second

// process is an instance of the site. It can be restarted any number of times.
type process struct {
	binary, dir string
	settings    map[string]any

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
	// shouldRun means that it is a violation if the process ends.
	shouldRun bool
	violation func(format string, args ...any)
}

func (p *process) name() string { return p.settings["instance"].(string) }

// start starts the binary with the settings, unless it runs. first is the setting
// first_start.
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
	p.cmd, p.exited, p.shouldRun = cmd, ends, true
	go func() {
		err := cmd.Wait()
		_ = out.Close()
		p.handleExit(err)
		close(ends)
	}()
	return nil
}

func (p *process) handleExit(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.shouldRun {
		p.violation("%s ended by itself: %v", p.name(), err)
	}
	p.cmd = nil
}

// signal sends a signal to the process if it runs. expected means that it may end by it.
func (p *process) signal(s syscall.Signal, expected bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return
	}
	p.shouldRun = p.shouldRun && !expected
	if err := p.cmd.Process.Signal(s); err != nil {
		// It has just ended; Wait reports that.
		return
	}
}

// stop sends a signal to the process and waits for its end. If it does not end within
// stopTimeout, that is a violation, and it is killed.
func (p *process) stop(s syscall.Signal) {
	p.signal(s, true)
	// A paused process ends only after it continues.
	p.signal(syscall.SIGCONT, true)
	p.mu.Lock()
	cmd, ends := p.cmd, p.exited
	p.mu.Unlock()
	if cmd == nil {
		return
	}
	select {
	case <-ends:
	case <-time.After(stopTimeout):
		p.violation("%s did not end within %v of signal %v", p.name(), stopTimeout, s)
		p.signal(syscall.SIGKILL, true)
		<-ends
	}
}

// wipe empties the disk.
func (p *process) wipe() error {
	disk := p.disk()
	if err := os.RemoveAll(disk); err != nil {
		return err
	}
	return os.MkdirAll(disk, 0o700)
}

// interruptWrite appends the beginning of a record to the newest file of the log, as a power
// loss during a write does.
func (p *process) interruptWrite() error {
	segments, err := filepath.Glob(filepath.Join(p.disk(), "log", "*.wal"))
	if err != nil || len(segments) == 0 {
		return err
	}
	newest := slices.Max(segments) // Their names are numbers.
	f, err := os.OpenFile(newest, os.O_APPEND|os.O_WRONLY, 0)
	if err != nil {
		return err
	}
	if _, err := f.Write([]byte{0, 0, 1, 7, 42}); err != nil {
		return fmt.Errorf("append a partial record to %s: %w", newest, err)
	}
	return f.Close()
}

func (p *process) disk() string { return p.settings["data_dir"].(string) }
