package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Bounds of the sheets, as in sites/acca-gullhaven.toml.
const (
	contactTime      = 6 * time.Second
	evacuateTime     = 5 * time.Second
	graceSeconds     = 8
	budgetWindowS    = 10
	budgetSlack      = 58
	retryBudgetRatio = 0.2
	listRate         = 47
)

// ports are the same on all machines.
type ports struct{ front, ready, directory, control, internal, metrics int }

// machine is one machine of the site, with one process.
type machine struct {
	name, ip, zone string
	core           bool
	cmd            *exec.Cmd
	exited         chan struct{}
}

// site is a small deployment: processes of the project, each on a loopback address of its own.
type site struct {
	rec      *record
	dir      string
	root     string
	subnet   string
	ports    ports
	region   map[string]string // by zone
	machines []*machine
	list     *list
}

func (s *site) ip(n int) string { return fmt.Sprintf("%s.%d", s.subnet, n) }

// newSite finds a free loopback subnet and starts the platform's list.
func newSite(rec *record, root string, region map[string]string) (*site, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	s := &site{rec: rec, dir: dir, root: root, region: region}
	s.subnet = fmt.Sprintf("127.%d.%d", 10+rand.IntN(200), 1+rand.IntN(250))
	var free []int
	for range 6 {
		l, err := net.Listen("tcp", s.ip(1)+":0")
		if err != nil {
			return nil, err
		}
		defer l.Close()
		free = append(free, l.Addr().(*net.TCPAddr).Port)
	}
	s.ports = ports{free[0], free[1], free[2], free[3], free[4], free[5]}
	s.list, err = startList(s.ip(250) + ":0")
	return s, err
}

// add adds a machine. Call it before start.
func (s *site) add(name, zone string, core bool) *machine {
	m := &machine{name: name, zone: zone, core: core, ip: s.ip(10 + len(s.machines))}
	s.machines = append(s.machines, m)
	return m
}

func (s *site) cores() (out []*machine) {
	for _, m := range s.machines {
		if m.core {
			out = append(out, m)
		}
	}
	return out
}

func (s *site) edges() (out []*machine) {
	for _, m := range s.machines {
		if !m.core {
			out = append(out, m)
		}
	}
	return out
}

func (s *site) at(m *machine, port int) string { return fmt.Sprintf("%s:%d", m.ip, port) }

// writeSettings fills in what deploy/settings.json asks for.
func (s *site) writeSettings(m *machine, bootstrap bool) (string, error) {
	listen := map[string]string{"callers": "", "ready": "", "operators": "", "directory": "",
		"instances": s.at(m, s.ports.internal), "metrics": s.at(m, s.ports.metrics)}
	dataDir := ""
	if m.core {
		listen["operators"] = s.at(m, s.ports.control)
		dataDir = filepath.Join(s.dir, m.name)
	} else {
		listen["callers"], listen["ready"], listen["directory"] = s.at(m, s.ports.front), s.at(m, s.ports.ready), s.at(m, s.ports.directory)
	}
	var seeds []string
	for _, c := range s.cores() {
		if len(seeds) < 3 {
			seeds = append(seeds, s.at(c, s.ports.control))
		}
	}
	data, err := json.MarshalIndent(map[string]any{
		"instance": m.name, "region": s.region[m.zone], "zone": m.zone, "regions": s.region, "listen": listen, "seeds": seeds,
		"first_start": bootstrap, "data_dir": dataDir, "instance_list": s.list.address, "instance_list_rate": listRate,
		"retries":       map[string]any{"share": retryBudgetRatio, "allowance": budgetSlack, "span_seconds": budgetWindowS},
		"grace_seconds": graceSeconds, "memory_mb": 284,
	}, "", " ")
	if err != nil {
		return "", err
	}
	path := filepath.Join(s.dir, m.name+".json")
	return path, os.WriteFile(path, data, 0o600)
}

// start starts a machine's process with the command of the deploy file.
func (s *site) start(m *machine, bootstrap bool) error {
	settings, err := s.writeSettings(m, bootstrap)
	if err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(s.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	m.cmd = exec.Command("target/gullhavend", "site")
	m.cmd.Dir = s.root
	m.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + s.dir, "GULLHAVEN_CONFIG=" + settings}
	m.cmd.Stdout, m.cmd.Stderr = log, log
	if err := m.cmd.Start(); err != nil {
		return err
	}
	m.exited = make(chan struct{})
	go func(cmd *exec.Cmd, exited chan struct{}) {
		_ = cmd.Wait()
		_ = log.Close()
		close(exited)
	}(m.cmd, m.exited)
	s.rec.add("%s starts", m.name)
	return nil
}

func (s *site) startAll() error {
	for _, m := range s.machines {
		if err := s.start(m, true); err != nil {
			return err
		}
	}
	return nil
}

func (s *site) signal(m *machine, sig syscall.Signal) {
	s.rec.add("%s gets %v", m.name, sig)
	_ = m.cmd.Process.Signal(sig)
}

// stop ends all processes and removes the temporary folder. KEEP=1 keeps the folder.
func (s *site) stop() {
	var wg sync.WaitGroup
	for _, m := range s.machines {
		if m.cmd == nil || m.cmd.Process == nil {
			continue
		}
		wg.Go(func() {
			_ = m.cmd.Process.Kill()
			<-m.exited
		})
	}
	wg.Wait()
	if os.Getenv("KEEP") != "" {
		fmt.Println("logs are kept in", s.dir)
		return
	}
	_ = os.RemoveAll(s.dir)
}

// awaitReady waits until all edge machines answer their readiness check with 200.
func (s *site) awaitReady(limit time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		ready := 0
		for _, m := range s.edges() {
			res, err := client.Get("http://" + s.at(m, s.ports.ready) + "/api/ready")
			if err == nil {
				_ = res.Body.Close()
				if res.StatusCode == http.StatusOK {
					ready++
				}
			}
		}
		if ready == len(s.edges()) {
			return nil
		}
	}
	return fmt.Errorf("the edge machines are not ready after %v", limit)
}

// list is the platform's list of runners.
type list struct {
	address string
	mu      sync.Mutex
	entries []map[string]any
}

func startList(address string) (*list, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &list{address: l.Addr().String()}
	go func() { _ = http.Serve(l, p) }()
	return p, nil
}

// set replaces the entries.
func (p *list) set(entries ...map[string]any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.entries = entries
}

// ServeHTTP serves GET /instances. All entries fit one page.
func (p *list) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodGet || !strings.HasPrefix(r.URL.Path, "/instances") {
		http.NotFound(w, r)
		return
	}
	zone := r.URL.Query().Get("zone")
	p.mu.Lock()
	entries := []map[string]any{}
	for _, e := range p.entries {
		if zone == "" || e["zone"] == zone {
			entries = append(entries, e)
		}
	}
	p.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"instances": entries, "next": nil})
}
