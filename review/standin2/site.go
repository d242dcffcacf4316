// Command review2 plays the cases of the second review: it starts the project's own programs as
// separate processes on loopback addresses, with stand-ins of clients, runners, the operator and the
// platform.
package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports are the same on all machines of a deployment.
const (
	portFront     = 8144
	portReady     = 8140
	portControl   = 8146
	portDirectory = 8148
	portInternal  = 7660
	portMetrics   = 9464
	portCloud     = 8142
	portRunner    = 8080
)

// errNotRun says that the case could not run.
var errNotRun = errors.New("the case could not run")

// Record writes record.txt. It is safe for concurrent use.
type Record struct {
	mu    sync.Mutex
	f     *os.File
	began time.Time
}

// Printf writes one line with the time since the start.
func (r *Record) Printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.f, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// Site is a small deployment.
type Site struct {
	Record *Record
	// Net is the first three bytes of all addresses.
	Net     string
	Dir     string
	Program string
	Zones   map[string]string
	Seeds   []string
	Cloud   *Cloud
	// MemoryMB is the memory of an edge machine.
	MemoryMB int

	mu        sync.Mutex
	processes []*Process
}

// NewSite finds a free network of loopback addresses and a temporary folder.
func NewSite(r *Record, program string) (*Site, error) {
	dir, err := os.MkdirTemp("", "review2-")
	if err != nil {
		return nil, err
	}
	s := &Site{Record: r, Dir: dir, Program: program, MemoryMB: 284, Zones: map[string]string{
		"oviedo-hall": "asturias", "santander-hall": "cantabria", "bilbao-hall": "euskadi",
	}}
	for k := range 200 {
		n := fmt.Sprintf("127.%d.%d", 20+(os.Getpid()+k)%200, 1+(os.Getpid()/200+k)%250)
		if free(n) {
			s.Net = n
			return s, nil
		}
	}
	return nil, fmt.Errorf("%w: no free loopback addresses", errNotRun)
}

func free(n string) bool {
	for k := 1; k < 60; k++ {
		for _, port := range []int{portFront, portControl, portInternal, portRunner} {
			l, err := net.Listen("tcp", n+"."+strconv.Itoa(k)+":"+strconv.Itoa(port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

// At returns an address of a host of the site.
func (s *Site) At(host, port int) string {
	return s.Net + "." + strconv.Itoa(host) + ":" + strconv.Itoa(port)
}

// Process is one program of the system on a machine of its own.
type Process struct {
	Name string
	Host int
	Core bool
	Zone string

	site     *Site
	mu       sync.Mutex
	cmd      *exec.Cmd
	done     chan struct{}
	settings string
	log      *os.File
}

// Add writes the settings of a machine. Core machines have a disk and serve control.
func (s *Site) Add(name string, host int, zone string, core bool) (*Process, error) {
	p := &Process{Name: name, Host: host, Core: core, Zone: zone, site: s, settings: filepath.Join(s.Dir, name+".json")}
	log, err := os.Create(filepath.Join(s.Dir, name+".log"))
	if err != nil {
		return nil, err
	}
	p.log = log
	s.mu.Lock()
	s.processes = append(s.processes, p)
	s.mu.Unlock()
	return p, p.WriteSettings(true)
}

// WriteSettings writes the settings as the platform fills in deploy/settings.json.
func (p *Process) WriteSettings(bootstrap bool) error {
	s := p.site
	listen := map[string]any{
		"callers": "", "ready": "", "operators": "", "directory": "",
		"instances": s.At(p.Host, portInternal), "metrics": s.At(p.Host, portMetrics),
	}
	memory, cpu, dir := s.MemoryMB, 0.4, ""
	if p.Core {
		listen["operators"] = s.At(p.Host, portControl)
		memory, cpu, dir = 280, 0.24, filepath.Join(s.Dir, p.Name+".data")
		if err := os.MkdirAll(dir, 0o755); err != nil {
			return err
		}
	} else {
		listen["callers"], listen["ready"], listen["directory"] = s.At(p.Host, portFront), s.At(p.Host, portReady), s.At(p.Host, portDirectory)
	}
	data, err := json.MarshalIndent(map[string]any{
		"instance": p.Name, "region": s.Zones[p.Zone], "zone": p.Zone, "regions": s.Zones, "listen": listen,
		"seeds": s.Seeds, "first_start": bootstrap, "data_dir": dir, "instance_list": s.Cloud.Address, "instance_list_rate": 47.0,
		"retries":       map[string]any{"share": 0.2, "allowance": 58, "span_seconds": 10},
		"grace_seconds": 8, "contracts": []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "places"},
		"capacity": map[string]any{"processor": cpu, "link_mbps": 1000.0}, "hard_load": map[string]any{"weighted_directory": true}, "memory_mb": memory,
	}, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(p.settings, data, 0o644)
}

// Start starts the process with the command of the deploy file.
func (p *Process) Start() error {
	cmd := exec.Command(p.site.Program, "site")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "GULLHAVEN_CONFIG=" + p.settings}
	cmd.Stdout, cmd.Stderr = p.log, p.log
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("%w: %v", errNotRun, err)
	}
	done := make(chan struct{})
	p.mu.Lock()
	p.cmd, p.done = cmd, done
	p.mu.Unlock()
	go func() {
		err := cmd.Wait()
		p.site.Record.Printf("%s (process %d) has ended: %v", p.Name, cmd.Process.Pid, err)
		close(done)
	}()
	p.site.Record.Printf("%s started as process %d", p.Name, cmd.Process.Pid)
	return nil
}

// Signal sends a signal to the process.
func (p *Process) Signal(sig syscall.Signal) {
	p.mu.Lock()
	cmd, done := p.cmd, p.done
	p.mu.Unlock()
	if cmd == nil {
		return
	}
	select {
	case <-done:
	default:
		_ = cmd.Process.Signal(sig)
	}
}

// Kill ends the process and waits for its end.
func (p *Process) Kill() {
	p.mu.Lock()
	done := p.done
	p.mu.Unlock()
	if done == nil {
		return
	}
	p.Signal(syscall.SIGKILL)
	<-done
}

// ResidentMB returns the memory that the process uses, 0 if it has ended.
func (p *Process) ResidentMB() int {
	p.mu.Lock()
	cmd := p.cmd
	p.mu.Unlock()
	if cmd == nil {
		return 0
	}
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(data), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(rest), "kB")))
			return kb / 1024
		}
	}
	return 0
}

// Log returns what the process has written.
func (p *Process) Log() string {
	data, _ := os.ReadFile(p.log.Name())
	return string(data)
}

// Close ends all processes and removes the temporary folder.
func (s *Site) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.processes {
		p.Kill()
		_ = p.log.Close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.Dir)
	} else {
		fmt.Println("kept", s.Dir)
	}
}

var control = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// Order sends an operator's order to one machine after the other until one gives a clear answer.
func (s *Site) Order(method, path string, body []byte, hosts []int, within time.Duration) (int, error) {
	end := time.Now().Add(within)
	for k := 0; time.Now().Before(end); k++ {
		status, _, err := s.Call(method, path, body, hosts[k%len(hosts)])
		if err == nil && status != 408 && status != 429 && status < 500 {
			return status, nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return 0, fmt.Errorf("no clear answer to %s %s in %v", method, path, within)
}

// Call sends one order to one machine.
func (s *Site) Call(method, path string, body []byte, host int) (int, string, error) {
	req, err := http.NewRequest(method, "http://"+s.At(host, portControl)+path, bytes.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	res, err := control.Do(req)
	if err != nil {
		s.Record.Printf("operator: %s %s at host %d: %v", method, path, host, err)
		return 0, "", err
	}
	defer res.Body.Close()
	answer, err := io.ReadAll(res.Body)
	s.Record.Printf("operator: %s %s (%d bytes) at host %d: %d, %d bytes", method, path, len(body), host, res.StatusCode, len(answer))
	return res.StatusCode, string(answer), err
}

// AwaitReady waits until a machine answers on its ready address.
func (s *Site) AwaitReady(host int, within time.Duration) error {
	end := time.Now().Add(within)
	for time.Now().Before(end) {
		res, err := control.Get("http://" + s.At(host, portReady) + "/api/ready")
		if err == nil {
			_ = res.Body.Close()
			if res.StatusCode == 200 {
				return nil
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("%w: host %d is not ready after %v", errNotRun, host, within)
}
