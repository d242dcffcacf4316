package soak

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/gullhaven/gullhaven/platform/platformtest"
)

// Options configures a World.
type Options struct {
	// Binary is the path of the daemon, Dir a folder for settings, disks and logs.
	Binary, Dir string
	Shape       Shape
	// Callers is the number of callers, each with one request at a time.
	Callers int
	// Budget is the retry budget in the settings of all instances, which Ledger checks.
	Budget RetryBudget
	// Poison adds a caller whose request crashes each runner that runs it, one whose unlike requests share
	// a part that does, and one of sound requests beside them.
	Poison bool
	// HardLoad switches all parts for hard load on, at instances of two sizes.
	HardLoad bool
	// LateSenders is the number of callers of each entry instance that ask no directory.
	LateSenders int
	// SlowAnswers has runners take up to slowAnswers for answers that are no streams.
	SlowAnswers bool
	// Meetings has streams begin late, and a run and its hedge begin at the same moment.
	Meetings bool
	// Crowds are played beside the faults.
	Crowds []Crowd
	// MemoryMB is the memory of each process in its settings, in MiB; 0 for none.
	MemoryMB int
	// Calm is how long callers go on after the last fault.
	Calm time.Duration
	Log  func(format string, args ...any)
}

const (
	// zones is the number of zones. Each is a region of its own, as the site must
	// tolerate the loss of a zone.
	zones = 3
	// meetingFirst and meetingSecond are the times of platformtest.Meeting.
	meetingFirst, meetingSecond = 500 * time.Millisecond, 50 * time.Millisecond
	// workTime is the time that a runner takes for an answer and between two events.
	workTime = 30 * time.Millisecond
	// streamEvents is the number of events of a stream.
	streamEvents = 12
	// firstRunner is the number of the first runner's host, after those of processes.
	firstRunner = 100
	// graceSeconds is the time that a process has to end.
	graceSeconds = 6
	// drainTime is how long a drained runner stays: the time until no more requests
	// come to it, and that of the requests that it runs.
	drainTime = 7 * time.Second
	// effectTime is how long after its end a fault may still have effects: held bytes are
	// delivered, links are dialled again, losses are detected.
	effectTime = 4 * time.Second
)

// World is a site of processes with a stand-in for the platform.
type World struct {
	o          Options
	Ledger     *Ledger
	runLog     *platformtest.RunLog
	list       *platformtest.List
	entries    []*entry
	cores      []*coreInstance
	runners    []*runner
	listServer *http.Server
	meeting    platformtest.Meeting
	// nextID numbers the IDs of runners.
	nextID int
	mu     sync.Mutex
	wg     sync.WaitGroup
}

// forwarded is embedded in everything behind a Forwarder.
type forwarded struct{ forwarder *Forwarder }

type entry struct {
	forwarded
	process
	callers, directory, region string
}

type coreInstance struct {
	forwarded
	process
	operators string
}

// runner is a runner's address, where one runner after the other runs, under a new ID or
// the same.
type runner struct {
	forwarded
	service, zone string
	// number is the runner's number in faults.
	number int
	// successors counts the runners of other IDs that have run there after the first one.
	successors int
	server     *server
	handler    *platformtest.Runner
	listEntry  platformtest.ListEntry
	// replacing is held while a runner is replaced.
	replacing sync.Mutex
}

// NewWorld starts the site without waiting until it serves. The caller must call End, unless an
// error is returned: then nothing is left behind.
func NewWorld(o Options) (*World, error) {
	w := &World{o: o, runLog: &platformtest.RunLog{}, list: &platformtest.List{}}
	w.meeting.First, w.meeting.Second = meetingFirst, meetingSecond
	w.Ledger = &Ledger{Events: streamEvents, Runs: w.runLog.Runs, WrongWorkspace: w.runLog.WrongWorkspace, Deadline: deadline, Slack: slack, Budget: o.Budget}
	if err := w.build(); err != nil {
		w.End()
		return nil, err
	}
	return w, nil
}

// build creates and starts the stand-ins, the forwarders and the processes.
func (w *World) build() error {
	listen, err := w.serveList()
	if err != nil {
		return err
	}
	net := newSubnet()
	if err := w.addRunners(net); err != nil {
		return err
	}
	// All instances use the same port, each at its own IP.
	port, err := net.port(w.o.Shape.Cores + w.o.Shape.Entries)
	if err != nil {
		return err
	}
	l := layout{net: net, port: port, list: listen}
	for n := range min(zones, w.o.Shape.Cores) {
		l.seeds = append(l.seeds, l.instance(n))
	}
	for n := range w.o.Shape.Cores {
		if err := w.addCore(&l, n); err != nil {
			return err
		}
	}
	for n := range w.o.Shape.Entries {
		if err := w.addEntry(&l, n); err != nil {
			return err
		}
	}
	return w.startAll(true)
}

// layout holds the addresses of a World.
type layout struct {
	net *subnet
	// port is the port at which other instances reach each instance.
	port  int
	list  string
	seeds []string
}

// instance returns the address for other instances of instance n, core instances first.
func (l *layout) instance(n int) string { return fmt.Sprintf("%s:%d", l.net.host(n), l.port) }

// addCore adds core instance n. Core instances have the first hosts, entry instances the next.
func (w *World) addCore(l *layout, n int) error {
	c := &coreInstance{}
	w.cores = append(w.cores, c)
	addresses, err := w.prepare(l, &c.process, &c.forwarded, "core", n, n)
	if err != nil {
		return err
	}
	if c.operators, err = l.net.address(l.net.host(n)); err != nil {
		return err
	}
	addresses["operators"] = c.operators
	return nil
}

// addEntry adds entry instance n.
func (w *World) addEntry(l *layout, n int) error {
	e, at := &entry{region: region(n)}, w.o.Shape.Cores+n
	w.entries = append(w.entries, e)
	addresses, err := w.prepare(l, &e.process, &e.forwarded, "entry", n, at)
	if err != nil {
		return err
	}
	for name, to := range map[string]*string{"callers": &e.callers, "directory": &e.directory} {
		if *to, err = l.net.address(l.net.host(at)); err != nil {
			return err
		}
		addresses[name] = *to
	}
	w.Ledger.AddEntry(e.callers, e.region)
	return nil
}

// prepare sets up what both roles have: the settings, the folder and the forwarder of the
// instance with this number in its role and index at among all. It returns the addresses of
// the settings, to which the caller adds those of the role.
func (w *World) prepare(l *layout, p *process, b *forwarded, role string, number, at int) (map[string]string, error) {
	dir := filepath.Join(w.o.Dir, fmt.Sprint(role, "-", number))
	disk := filepath.Join(dir, "disk")
	if err := os.MkdirAll(disk, 0o700); err != nil {
		return nil, err
	}
	bind, err := l.net.address(l.net.host(at))
	if err != nil {
		return nil, err
	}
	addresses := map[string]string{"instances": l.instance(at), "instances_bind": bind}
	p.binary, p.dir, p.violation = w.o.Binary, dir, w.Ledger.AddViolation
	p.settings = map[string]any{
		"instance": filepath.Base(dir), "region": region(number), "zone": zone(number),
		"regions": map[string]string{"z0": "r0", "z1": "r1", "z2": "r2"}, "listen": addresses, "seeds": l.seeds,
		"instance_list": l.list, "data_dir": disk, "grace_seconds": graceSeconds, "log_level": "debug",
		"retries": map[string]any{"share": w.o.Budget.Share, "allowance": w.o.Budget.Allowance, "span_seconds": w.o.Budget.Span.Seconds()},
	}
	if w.o.MemoryMB > 0 {
		p.settings["memory_mb"] = w.o.MemoryMB
	}
	if w.o.HardLoad {
		p.settings["hard_load"] = map[string]any{"fair_admission": true, "urgent_first": true, "promised_returns": true, "weighted_directory": true}
		// Instances of two sizes.
		p.settings["capacity"] = map[string]any{"processor": 0.5 * float64(1+number%2)}
	}
	b.forwarder, err = Forward(l.instance(at), bind)
	return addresses, err
}

func zone(n int) string   { return fmt.Sprint("z", n%zones) }
func region(n int) string { return fmt.Sprint("r", n%zones) }

// regionOfZone returns the region of a zone: each zone is a region of its own.
func regionOfZone(zone string) string { return "r" + strings.TrimPrefix(zone, "z") }

// startAll starts all processes that don't run. first is their setting first_start.
func (w *World) startAll(first bool) error {
	for _, p := range w.processes() {
		if err := p.start(first); err != nil {
			return err
		}
	}
	return nil
}

func (w *World) processes() []*process {
	var out []*process
	for _, c := range w.cores {
		out = append(out, &c.process)
	}
	for _, e := range w.entries {
		out = append(out, &e.process)
	}
	return out
}

func (w *World) serveList() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	w.listServer = &http.Server{Handler: w.list, ReadHeaderTimeout: effectTime}
	go func() { _ = w.listServer.Serve(l) }()
	return l.Addr().String(), nil
}

// serviceOf returns the service of a runner.
func serviceOf(number int) string {
	if number/zones%2 == 1 {
		return platformtest.ServiceEngine
	}
	return platformtest.ServiceDesk
}

// addRunners adds runners of both services to all zones in turn.
func (w *World) addRunners(net *subnet) error {
	for n := range w.o.Shape.Runners {
		r := &runner{service: serviceOf(n), zone: zone(n), number: n}
		to, err := net.address(net.host(firstRunner + n))
		if err != nil {
			return err
		}
		listen, err := net.address(net.host(firstRunner + n))
		if err != nil {
			return err
		}
		if r.forwarder, err = Forward(listen, to); err != nil {
			return err
		}
		w.runners = append(w.runners, r)
		if err := w.serve(r, w.newID()); err != nil {
			return err
		}
	}
	return nil
}

func (w *World) newID() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.nextID++
	return fmt.Sprint("i-", w.nextID)
}

// softwareOf returns the software version of a runner. Two versions serve side by side in each region
// that has two runners of a service, and every other successor is of the other one.
func softwareOf(number, successors int) string {
	return fmt.Sprint("v", 1+(number/(2*zones)+successors/2)%2)
}

// serve starts a runner with this ID and lists it.
func (w *World) serve(r *runner, id string) error {
	w.mu.Lock()
	if r.listEntry.ID != "" && r.listEntry.ID != id {
		r.successors++
	}
	software := softwareOf(r.number, r.successors)
	w.mu.Unlock()
	runner := &platformtest.Runner{ID: id, RunLog: w.runLog, WorkTime: workTime, Events: streamEvents, Software: software, Crash: w.crashUnder(r), Unframed: unframed}
	if w.o.SlowAnswers {
		runner.AnswerTime = answerTime
	}
	if w.o.Meetings {
		runner.Meeting = &w.meeting
	}
	target := w.Ledger.AddTarget(r.number, r.service, regionOfZone(r.zone), software, time.Now())
	runner.Arrived = func(a platformtest.Arrival) { w.Ledger.AddArrival(target, a) }
	server, err := serve(r.forwarder.to, runner)
	if err != nil {
		return err
	}
	listed := platformtest.ListEntry{ID: id, Service: r.service, Address: r.forwarder.Address(), Zone: r.zone, Slots: 16, Version: software, Born: time.Now().UnixMilli()}
	w.mu.Lock()
	r.server, r.listEntry, r.handler = server, listed, runner
	w.mu.Unlock()
	w.list.Add(listed)
	return nil
}

// current returns the server and the ID that run at a runner's address.
func (w *World) current(r *runner) (*server, string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return r.server, r.listEntry.ID
}

// InjectFaults injects faults, each at its time, and returns when all are over. faults must
// be sorted by At.
func (w *World) InjectFaults(ctx context.Context, faults []Fault) {
	began := time.Now()
	var wg sync.WaitGroup
	for _, f := range faults {
		select {
		case <-time.After(time.Until(began.Add(f.At))):
		case <-ctx.Done():
		}
		w.o.Log("%v", f)
		wg.Go(func() {
			d := Disturbance{Fault: f, From: time.Now()}
			if f.Role == RoleEntry {
				d.Entry = w.entries[f.Number].callers
			}
			if err := w.inject(f); err != nil {
				w.Ledger.AddViolation("%v: %v", f, err)
			}
			d.To = time.Now().Add(effectTime)
			w.Ledger.AddDisturbance(d)
		})
	}
	wg.Wait()
}

func (w *World) inject(f Fault) error {
	if f.Kind.network() {
		f.injectNetworkFault(w.forwarder(f))
		return nil
	}
	switch f.Role {
	case RoleList:
		w.injectListFault(f)
		return nil
	case RoleRunner:
		switch f.Kind {
		case TurnAway:
			w.turnAway(w.runners[f.Number], f.For, restValues[f.At.Milliseconds()%int64(len(restValues))])
			return nil
		case Reject:
			w.turnAway(w.runners[f.Number], f.For, "")
			return nil
		case Silence, SpoilResumed, RefuseConns, Double, StopHeads:
			return w.strain(w.runners[f.Number], f)
		}
		return w.replace(w.runners[f.Number], f)
	case RoleCore:
		return w.cores[f.Number].inject(f)
	default:
		return w.entries[f.Number].inject(f)
	}
}

// foreignEntries have fields of other types or none, and unknown states and services.
var foreignEntries = []string{
	`{"id":7,"service":["x"],"address":null}`, `"i-1"`, `{}`, `null`,
	`{"id":"i-1","service":"desk","address":"127.0.0.1:1","zone":"z0","slots":4,"state":"resting","coldRemainingMs":0}`,
	`{"id":"w-1","service":"elsewhere","address":"127.0.0.1:1","zone":"z9","slots":"many","state":"ready","born":"now"}`,
}

// injectListFault injects a fault of the platform's list.
func (w *World) injectListFault(f Fault) {
	if f.Kind == ForeignEntries {
		w.list.SetForeignEntries(foreignEntries...)
		time.Sleep(f.For)
		w.list.SetForeignEntries()
		return
	}
	w.list.Refuse(http.StatusTooManyRequests)
	time.Sleep(f.For)
	w.list.Refuse(0)
}

// forwarder returns the forwarder for a network fault.
func (w *World) forwarder(f Fault) *Forwarder {
	switch f.Role {
	case RoleRunner:
		return w.runners[f.Number].forwarder
	case RoleCore:
		return w.cores[f.Number].forwarder
	default:
		return w.entries[f.Number].forwarder
	}
}

// injectNetworkFault injects a network fault at a forwarder.
func (f Fault) injectNetworkFault(x *Forwarder) {
	if f.Kind == ResetConns {
		x.Reset()
		return
	}
	x.SetImpairment(map[Kind]Impairment{
		Delay: {Delay: 60 * time.Millisecond}, HoldIn: {HoldIn: true}, HoldOut: {HoldOut: true}, Cut: {HoldIn: true, HoldOut: true},
	}[f.Kind])
	time.Sleep(f.For)
	x.SetImpairment(Impairment{})
}

// inject injects a fault into a process.
func (p *process) inject(f Fault) error {
	switch f.Kind {
	case Pause:
		p.signal(syscall.SIGSTOP, false)
		time.Sleep(f.For)
		p.signal(syscall.SIGCONT, false)
		return nil
	case Reload:
		p.signal(syscall.SIGHUP, false)
		return nil
	case Restart:
		p.stop(syscall.SIGTERM)
		return p.start(false)
	}
	p.stop(syscall.SIGKILL)
	var err error
	switch f.Kind {
	case Wipe:
		err = p.wipe()
	case InterruptWrite:
		err = p.interruptWrite()
	}
	time.Sleep(f.For)
	return errors.Join(err, p.start(false))
}

// restValues are the values of Retry-After that runners send, some of which are malformed. The
// milliseconds of the fault's time choose one.
var restValues = []string{"1", "0.6", "2.5", "", "soon", "-3", "1e9"}

// turnAway has a runner turn requests away for a time and ask for a rest; none if it is empty.
func (w *World) turnAway(r *runner, during time.Duration, rest string) {
	w.mu.Lock()
	handler := r.handler
	w.mu.Unlock()
	handler.TurnAway(true, rest)
	time.Sleep(during)
	handler.TurnAway(false, "")
}

// silentTime is how long a silent runner pauses in the middle of a stream: longer than the site waits before
// it looks for another place, and short enough to finish before the callers' deadline.
const silentTime = 2300 * time.Millisecond

// strain has a runner do for a time what must lose no request.
func (w *World) strain(r *runner, f Fault) error {
	w.mu.Lock()
	handler, server := r.handler, r.server
	w.mu.Unlock()
	switch f.Kind {
	case RefuseConns:
		return r.forwarder.RefuseConns(f.For)
	case Silence:
		handler.SetSilence(silentTime)
		time.Sleep(f.For)
		handler.SetSilence(0)
	case SpoilResumed:
		handler.SpoilResumed(true)
		time.Sleep(f.For)
		handler.SpoilResumed(false)
	case StopHeads:
		handler.StopHeads(true)
		time.Sleep(f.For)
		handler.StopHeads(false)
	case Double:
		handler.Shed(true)
		server.doubling.on.Store(true)
		time.Sleep(f.For)
		server.doubling.on.Store(false)
		handler.Shed(false)
	}
	return nil
}

// listLag is how much later the list says that a runner drains than the runner itself.
const listLag = 2 * time.Second

// replace ends a runner, by a crash or as planned, and starts another one at its address.
func (w *World) replace(r *runner, f Fault) error {
	server, id := w.current(r)
	switch f.Kind {
	case Leave:
		w.mu.Lock()
		r.handler.SetLeaving("1")
		w.mu.Unlock()
		time.Sleep(listLag)
		fallthrough
	case Drain:
		w.list.Drain(id)
		time.Sleep(drainTime)
	}
	if err := server.end(); err != nil {
		return err
	}
	time.Sleep(f.For)
	if f.Kind != RestartRunner {
		id = w.newID()
	}
	return w.startSuccessor(r, server, id)
}

// startSuccessor starts a runner at the address of one that has ended, unless another fault
// has already done so.
func (w *World) startSuccessor(r *runner, ended *server, id string) error {
	r.replacing.Lock()
	defer r.replacing.Unlock()
	if now, _ := w.current(r); now != ended {
		return nil
	}
	w.list.Remove(r.listEntry.ID)
	return w.serve(r, id)
}

// End stops all processes and stand-ins that have started, and waits for them.
func (w *World) End() {
	var wg sync.WaitGroup
	for _, p := range w.processes() {
		wg.Go(func() { p.stop(syscall.SIGTERM) })
	}
	wg.Wait()
	for _, c := range w.cores {
		c.forwarder.Close()
	}
	for _, e := range w.entries {
		e.forwarder.Close()
	}
	for _, r := range w.runners {
		r.forwarder.Close()
		if server, _ := w.current(r); server != nil {
			_ = server.end()
		}
	}
	if w.listServer != nil {
		_ = w.listServer.Close()
	}
}
