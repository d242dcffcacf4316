package soak

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/gullhaven/gullhaven/platform/platformtest"
)

// Options of a World.
type Options struct {
	// Binary is the daemon's, Dir a folder for settings, disks and logs.
	Binary, Dir string
	Shape       Shape
	Log         func(format string, args ...any)
}

const (
	// zones, each a region of its own, as a zone's loss must be borne.
	zones = 3
	// work is the time that a runner takes for an answer and between two events.
	work = 30 * time.Millisecond
	// events is the length of a stream.
	events = 12
	// firstRunner is the number of the first runner's address, behind those of processes.
	firstRunner = 100
	// grace is the time that a process has to end.
	grace = 6
	// drained is how long a drained runner stays there: the time within which no request
	// comes to it any more, and that of what it runs.
	drained = 7 * time.Second
	// settle is how long after its end a fault may still have effects: what was held back
	// is sent again, links are dialled again, what was lost is missed.
	settle = 4 * time.Second
)

// World is a site of processes with stand-ins of the platform around it.
type World struct {
	o       Options
	Ledger  *Ledger
	book    *platformtest.Book
	list    *platformtest.List
	entries []*entry
	cores   []*coreInstance
	runners []*runner
	listing *http.Server
	// next numbers the ids of runners.
	next int
	mu   sync.Mutex
	wg   sync.WaitGroup
}

// behind is what stands behind a Forwarder.
type behind struct{ forwarder *Forwarder }

type entry struct {
	behind
	process
	callers, directory, region string
}

type coreInstance struct {
	behind
	process
	operators string
}

// runner is a runner's address; one after the other runs there, under new ids or the same.
type runner struct {
	behind
	service, zone string
	server        *server
	listed        platformtest.Listed
	// replacing is held while a runner is followed by another one.
	replacing sync.Mutex
}

// NewWorld starts the site and waits for nothing.
func NewWorld(o Options) (*World, error) {
	w := &World{o: o, book: &platformtest.Book{}, list: &platformtest.List{}}
	w.Ledger = &Ledger{Events: events, Runs: w.book.Runs, WrongWorkspace: w.book.Strange, Deadline: deadline, Slack: slack}
	return w, w.build()
}

// build makes the stand-ins, the forwarders and the processes, and starts them.
func (w *World) build() error {
	listen, err := w.serveList()
	if err != nil {
		return err
	}
	net := newSubnet()
	if err := w.addRunners(net); err != nil {
		return err
	}
	// All instances are reached at the same port, each at an address of its own.
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

// layout is where the instances of a World are.
type layout struct {
	net *subnet
	// port is where other instances reach each of them.
	port  int
	list  string
	seeds []string
}

// instance is the address for other instances of the n-th of all.
func (l *layout) instance(n int) string { return fmt.Sprintf("%s:%d", l.net.host(n), l.port) }

// addCore makes a core instance; they come first among all.
func (w *World) addCore(l *layout, n int) error {
	c := &coreInstance{}
	addresses, err := w.prepare(l, &c.process, &c.behind, "core", n, n)
	if err != nil {
		return err
	}
	if c.operators, err = l.net.address(l.net.host(n)); err != nil {
		return err
	}
	addresses["operators"] = c.operators
	w.cores = append(w.cores, c)
	return nil
}

// addEntry makes an entry instance.
func (w *World) addEntry(l *layout, n int) error {
	e, at := &entry{region: region(n)}, w.o.Shape.Cores+n
	addresses, err := w.prepare(l, &e.process, &e.behind, "entry", n, at)
	if err != nil {
		return err
	}
	for name, to := range map[string]*string{"callers": &e.callers, "directory": &e.directory} {
		if *to, err = l.net.address(l.net.host(at)); err != nil {
			return err
		}
		addresses[name] = *to
	}
	w.entries = append(w.entries, e)
	return nil
}

// prepare fills in what both roles have: the settings of the number-th of a role, at a
// place among all, its folder and its forwarder. It returns the addresses of the settings,
// to which the role adds its own.
func (w *World) prepare(l *layout, p *process, b *behind, role string, number, at int) (map[string]string, error) {
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
	p.binary, p.dir, p.fault = w.o.Binary, dir, w.Ledger.AddViolation
	p.settings = map[string]any{
		"instance": filepath.Base(dir), "region": region(number), "zone": zone(number),
		"regions": map[string]string{"z0": "r0", "z1": "r1", "z2": "r2"}, "listen": addresses, "seeds": l.seeds,
		"instance_list": l.list, "data_dir": disk, "grace_seconds": grace, "log_level": "debug",
		"retries": map[string]any{"share": 0.2, "allowance": 50},
	}
	b.forwarder, err = Forward(l.instance(at), bind)
	return addresses, err
}

func zone(n int) string   { return fmt.Sprint("z", n%zones) }
func region(n int) string { return fmt.Sprint("r", n%zones) }

// startAll starts what does not run.
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
	w.listing = &http.Server{Handler: w.list, ReadHeaderTimeout: settle}
	go func() { _ = w.listing.Serve(l) }()
	return l.Addr().String(), nil
}

// addRunners adds the runners of both services by turns to all zones.
func (w *World) addRunners(net *subnet) error {
	for n := range w.o.Shape.Runners {
		service := platformtest.ServiceDesk
		if n/zones%2 == 1 {
			service = platformtest.ServiceEngine
		}
		r := &runner{service: service, zone: zone(n)}
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
	w.next++
	return fmt.Sprint("i-", w.next)
}

// serve starts a runner under an id and lists it.
func (w *World) serve(r *runner, id string) error {
	server, err := serve(r.forwarder.to, &platformtest.Runner{ID: id, Book: w.book, Work: work, Events: events})
	if err != nil {
		return err
	}
	listed := platformtest.Listed{ID: id, Service: r.service, Address: r.forwarder.Address(), Zone: r.zone, Slots: 16, Born: time.Now().UnixMilli()}
	w.mu.Lock()
	r.server, r.listed = server, listed
	w.mu.Unlock()
	w.list.Add(listed)
	return nil
}

// held is what a runner is now.
func (w *World) held(r *runner) (*server, string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return r.server, r.listed.ID
}

// Play carries out faults, each at its time, and returns when all are over.
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
			if err := w.carryOut(f); err != nil {
				w.Ledger.AddViolation("%v: %v", f, err)
			}
			d.To = time.Now().Add(settle)
			w.Ledger.AddDisturbance(d)
		})
	}
	wg.Wait()
}

func (w *World) carryOut(f Fault) error {
	if f.Kind.network() {
		f.trouble(w.forwarder(f))
		return nil
	}
	switch f.Role {
	case RoleList:
		w.troubleList(f)
		return nil
	case RoleRunner:
		return w.replace(w.runners[f.Number], f)
	case RoleCore:
		return w.cores[f.Number].befall(f)
	default:
		return w.entries[f.Number].befall(f)
	}
}

// foreignEntries have fields of another type or none, and states and services that are not
// known.
var foreignEntries = []string{
	`{"id":7,"service":["x"],"address":null}`, `"i-1"`, `{}`, `null`,
	`{"id":"i-1","service":"desk","address":"127.0.0.1:1","zone":"z0","slots":4,"state":"resting","coldRemainingMs":0}`,
	`{"id":"w-1","service":"elsewhere","address":"127.0.0.1:1","zone":"z9","slots":"many","state":"ready","born":"now"}`,
}

// troubleList makes a fault of the platform's list.
func (w *World) troubleList(f Fault) {
	if f.Kind == ForeignEntries {
		w.list.Foreign(foreignEntries...)
		time.Sleep(f.For)
		w.list.Foreign()
		return
	}
	w.list.Refuse(http.StatusTooManyRequests)
	time.Sleep(f.For)
	w.list.Refuse(0)
}

// forwarder is the one that a fault of the network concerns.
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

// trouble makes a fault of the network.
func (f Fault) trouble(x *Forwarder) {
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

// befall makes a fault of a process.
func (p *process) befall(f Fault) error {
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
		err = p.tear()
	}
	time.Sleep(f.For)
	return errors.Join(err, p.start(false))
}

// replace ends a runner, by a crash or as planned, and starts another one there.
func (w *World) replace(r *runner, f Fault) error {
	server, id := w.held(r)
	if f.Kind == Drain {
		w.list.Drain(id)
		time.Sleep(drained)
	}
	if err := server.end(); err != nil {
		return err
	}
	time.Sleep(f.For)
	if f.Kind != RestartRunner {
		id = w.newID()
	}
	return w.succeed(r, server, id)
}

// succeed starts a runner in the place of one that has ended, unless another fault has
// done so.
func (w *World) succeed(r *runner, ended *server, id string) error {
	r.replacing.Lock()
	defer r.replacing.Unlock()
	if now, _ := w.held(r); now != ended {
		return nil
	}
	w.list.Remove(r.listed.ID)
	return w.serve(r, id)
}

// End stops all processes and stand-ins. Nothing runs afterwards.
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
		server, _ := w.held(r)
		_ = server.end()
	}
	_ = w.listing.Close()
}
