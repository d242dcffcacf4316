// Package e2e tests whole systems of separate processes on loopback that are
// killed, stopped and wiped.
package e2e

import (
	"bytes"
	"crypto/ed25519"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/gullhaven/gullhaven/api/gen/operators"
	"github.com/gullhaven/gullhaven/bundle"
	"github.com/gullhaven/gullhaven/coord/keys"
	"github.com/gullhaven/gullhaven/standin/loopback"
	// TestMain builds the binary, which the test cache does not track. The
	// import makes a change of the daemon invalidate cached results.
	_ "github.com/gullhaven/gullhaven/daemon"
	"github.com/gullhaven/gullhaven/settings"
)

const (
	// waitTimeout bounds how long a test waits for a condition. It is far above
	// usual times, so that a busy machine does not change a result.
	waitTimeout = 60 * time.Second
	// pollInterval is the time between two checks of a condition.
	pollInterval = 50 * time.Millisecond
	// callerKey is the prefix of the workspaces' keys.
	callerKey = "caller-key"
	// boundWorkspace is a workspace with residency in boundRegion only.
	boundWorkspace, boundRegion = "bound", "bali"
	// maxClusters bounds the clusters that run at the same time.
	maxClusters = 3
)

// clusterSlots is a semaphore for clusters that run at the same time.
var clusterSlots = make(chan struct{}, maxClusters)

// binary is the daemon under test, built once.
var binary string

func TestMain(m *testing.M) {
	if role := os.Getenv(roleVariable); role != "" {
		os.Exit(play(role))
	}
	dir, err := os.MkdirTemp("", "gullhaven-e2e-")
	if err != nil {
		panic(err)
	}
	binary = filepath.Join(dir, "gullhavend")
	build := exec.Command("go", "build", "-o", binary, "../cmd/gullhavend")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "%v\n%s", err, out)
		os.Exit(1)
	}
	ports, err := reservePorts()
	if err != nil {
		panic(err)
	}
	code := m.Run()
	_ = ports.Close()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// instance is an instance of a cluster, a process of its own.
type instance struct {
	c        *cluster
	settings *settings.Settings
	dir      string
	cmd      *exec.Cmd
	exited   chan struct{}
	stopped  bool
}

// shape is the size of a cluster and the kind of its targets.
type shape struct {
	// perRegion is the number of instances of each region.
	perRegion int
	// voters is the number of voters by region; default 1.
	voters map[string]int
	// neighbours lets every region spill all requests to every other.
	neighbours bool
	// engines is the number of engines of each region; default 1.
	engines int
	// inProcessTargets runs the targets in the test's process, each with a server
	// of its own, so that their counters survive the loss of a server. Otherwise
	// those of each region run in one separate process.
	inProcessTargets bool
}

// cluster is a system of instances in separate processes with its targets.
type cluster struct {
	t         *testing.T
	shape     shape
	dir       string
	operator  ed25519.PrivateKey
	authority *keys.Authority
	instances []*instance
	bundle    *bundle.Bundle
	standins  []*exec.Cmd
	targets   map[string]*regionTargets
	client    *http.Client
}

// regionNames are the regions of each cluster. The first instance of each is a
// voter with a disk.
var regionNames = []string{"jatim", "bali", "jabar"}

// startCluster starts perRegion instances in each of three regions, and one process
// with each region's targets, and puts a first bundle in force.
func startCluster(t *testing.T, perRegion int) *cluster {
	t.Helper()
	return startShape(t, shape{perRegion: perRegion})
}

// startShape waits for a slot, starts a cluster and puts a first bundle in force.
func startShape(t *testing.T, s shape) *cluster {
	t.Helper()
	t.Parallel()
	clusterSlots <- struct{}{}
	t.Cleanup(func() { <-clusterSlots })
	_, operator, err := ed25519.GenerateKey(nil)
	must(t, err)
	s.engines = max(1, s.engines)
	// On an idle connection, the client would retry a request with an idempotency
	// key by itself, unnoticed by the test.
	client := &http.Client{Timeout: waitTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	c := &cluster{t: t, shape: s, dir: t.TempDir(), operator: operator, client: client}
	t.Cleanup(c.end)
	c.makeInstances(s.perRegion)
	c.makeBundle()
	if s.inProcessTargets {
		c.startInProcessTargets()
	} else {
		c.startStandins()
	}
	for _, i := range c.instances {
		i.start()
	}
	c.mustRoll(c.bundle)
	c.awaitClaims()
	return c
}

// awaitClaims waits until each region accepts bookings. A region's claims are
// registered at the global group within seconds of the first bundle; a region that
// is partitioned before that refuses them (see coord/registry).
func (c *cluster) awaitClaims() {
	c.t.Helper()
	for _, region := range regionNames {
		i := c.inRegion(region)[0]
		c.eventually("claims of "+region+" are taken", func() error {
			status, answer, err := c.sendBooking(i, region, "first-of-"+region, "{}", nil)
			if err == nil && status != http.StatusOK {
				err = fmt.Errorf("%d: %s", status, answer)
			}
			return err
		})
	}
}

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

func (c *cluster) makeInstances(perRegion int) {
	authority, err := keys.NewAuthority("e2e", time.Now(), time.Hour)
	must(c.t, err)
	c.authority = authority
	for _, region := range regionNames {
		for n := range perRegion {
			c.instances = append(c.instances, c.newInstance(region, n))
		}
	}
	var voters, seeds []settings.Peer
	for _, i := range c.instances {
		peer := settings.Peer{ID: i.id(), Region: i.settings.Region, Zone: i.settings.Zone, Address: i.settings.Listen.Instances}
		seeds = append(seeds, peer)
		if i.settings.Voter {
			voters = append(voters, peer)
		}
	}
	for _, i := range c.instances {
		i.settings.Voters, i.settings.Seeds = voters, seeds
		i.writeKeys(authority)
		i.writeSettings()
	}
}

func (c *cluster) newInstance(region string, n int) *instance {
	id := fmt.Sprintf("%s-%d", region, n)
	dir := filepath.Join(c.dir, id)
	must(c.t, os.MkdirAll(dir, 0o755))
	s := settings.Default()
	s.Instance, s.Region, s.Zone = id, region, region+"-hall"
	s.Listen = settings.Addresses{Callers: freeAddress(c.t), Instances: freeAddress(c.t), Operators: freeAddress(c.t)}
	s.Advertise = s.Listen
	s.Bootstrap = settings.Bootstrap{Operators: []bundle.Operator{c.operatorEntry()}, SignOffs: 1}
	s.Keys = settings.Keys{Authority: "authority.pem", Certificate: "instance.pem", Key: "instance.key"}
	if n < max(1, c.shape.voters[region]) {
		s.Voter, s.DataDir = true, "data"
	}
	return &instance{c: c, settings: s, dir: dir}
}

func (c *cluster) operatorEntry() bundle.Operator {
	public := c.operator.Public().(ed25519.PublicKey)
	return bundle.Operator{ID: "ayu", PublicKey: base64.StdEncoding.EncodeToString(public)}
}

func (i *instance) id() string { return i.settings.Instance }

func (i *instance) writeKeys(authority *keys.Authority) {
	i.writeKey(i.c.issue(authority, keys.Identity{Instance: i.id(), Region: i.settings.Region}))
}

// issue issues a key of an instance.
func (c *cluster) issue(authority *keys.Authority, id keys.Identity) *keys.Key {
	key, err := authority.Issue(id, []string{"127.0.0.1"}, time.Now(), time.Hour)
	must(c.t, err)
	return key
}

func (i *instance) writeKey(key *keys.Key) {
	t := i.c.t
	certificate, private, root, err := key.PEM()
	must(t, err)
	for name, data := range map[string][]byte{"authority.pem": root, "instance.pem": certificate, "instance.key": private} {
		must(t, os.WriteFile(filepath.Join(i.dir, name), data, 0o600))
	}
}

func (i *instance) writeSettings() {
	data, err := json.Marshal(i.settings)
	must(i.c.t, err)
	must(i.c.t, os.WriteFile(filepath.Join(i.dir, "settings.json"), data, 0o600))
}

// start starts the process, with its log in a file next to its settings.
func (i *instance) start() {
	t := i.c.t
	t.Helper()
	log, err := os.OpenFile(filepath.Join(i.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must(t, err)
	defer log.Close()
	i.cmd = command(binary, "--settings", filepath.Join(i.dir, "settings.json"))
	i.cmd.Stderr, i.cmd.Stdout = log, log
	must(t, loopback.Start(i.cmd))
	i.exited = make(chan struct{})
	go func(cmd *exec.Cmd, exited chan struct{}) {
		_ = cmd.Wait()
		close(exited)
	}(i.cmd, i.exited)
}

// signal sends a signal to the process. SIGSTOP stops one thread after another, so
// signal waits until all are stopped.
func (i *instance) signal(s syscall.Signal) {
	_ = i.cmd.Process.Signal(s)
	i.stopped = s == syscall.SIGSTOP
	if i.stopped {
		i.c.eventually(i.id()+" is stopped", func() error { return threadsStopped(i.cmd.Process.Pid) })
	}
}

// kill kills the process and waits for its end.
func (i *instance) kill() {
	i.signal(syscall.SIGKILL)
	<-i.exited
}

// wipe removes the data of a process that has ended.
func (i *instance) wipe() { must(i.c.t, os.RemoveAll(filepath.Join(i.dir, "data"))) }

// end kills all processes and targets that still run.
func (c *cluster) end() {
	for _, i := range c.instances {
		if i.exited == nil {
			continue
		}
		select {
		case <-i.exited:
		default:
			i.kill()
		}
	}
	for _, s := range c.targets {
		s.end()
	}
	for _, s := range c.standins {
		_ = s.Process.Kill()
		_ = s.Wait()
	}
	if c.t.Failed() {
		c.dumpLogs()
	}
}

// dumpLogs logs the end of each instance's log.
func (c *cluster) dumpLogs() {
	const tail = 1500
	for _, i := range c.instances {
		data, _ := os.ReadFile(filepath.Join(i.dir, "log"))
		c.t.Logf("%s:\n%s", i.id(), data[max(0, len(data)-tail):])
	}
}

// makeBundle makes a bundle with engines, a booking desk and a title catalogue in
// each region.
func (c *cluster) makeBundle() {
	b := &bundle.Bundle{
		Version: 1, Operators: []bundle.Operator{c.operatorEntry()}, SignOffs: 1,
		Models: []bundle.Model{{ID: "scribe", ContextTokens: 32768, Versions: []bundle.ModelVersion{{ID: "v1", Weights: "scribe/v1", SizeBytes: 1e6}}}},
		Services: []bundle.Service{
			{ID: "briefing", Kind: bundle.KindModel, Model: "scribe", Version: "v1", DefaultDeadlineMillis: 60000, Objective: bundle.Objective{FirstTokenMillis: 1400, BetweenTokensMillis: 76, Share: 0.95}},
			{ID: "desk", Kind: bundle.KindPlain, NonIdempotent: true, DefaultDeadlineMillis: 10000, Objective: bundle.Objective{FirstTokenMillis: 500, Share: 0.99}},
			{ID: "titles", Kind: bundle.KindPlain, DefaultDeadlineMillis: 10000, Objective: bundle.Objective{FirstTokenMillis: 500, Share: 0.99}},
		},
		Rules: bundle.Rules{MaxAttempts: 3, RetryBudget: 0.2, ClaimLifetimeSeconds: 3600, DrainSeconds: 30, WeightStoreBytesPerSecond: 1e9, MaxConcurrentLoads: 1},
	}
	for _, region := range regionNames {
		b.Regions = append(b.Regions, bundle.Region{ID: region, Zones: []string{region + "-hall"}, Neighbours: c.neighboursOf(region)})
		for n := range c.shape.engines {
			b.Targets = append(b.Targets, bundle.Target{ID: engineID(region, n), Service: "briefing", Region: region, Zone: region + "-hall", State: bundle.TargetActive, Role: bundle.RoleBoth, Address: freeAddress(c.t), Slots: 8, PrefillTokensPerSecond: 20000, DecodeTokensPerSecond: 4000, CostPerSecond: 1, OrderExpiryMillis: 1000})
		}
		for _, service := range []string{"desk", "titles"} {
			b.Targets = append(b.Targets, bundle.Target{ID: service + "-" + region, Service: service, Region: region, Zone: region + "-hall", State: bundle.TargetActive, Address: freeAddress(c.t), Slots: 64, CostPerSecond: 0.1, OrderExpiryMillis: 1000})
		}
		b.Workspaces = append(b.Workspaces, bundle.Workspace{ID: "agency-" + region, Home: region, MaxPriority: 9, Weight: 1, KeyHashes: []string{keyHash(region)}})
	}
	b.Workspaces = append(b.Workspaces, bundle.Workspace{ID: boundWorkspace, Home: boundRegion, Residency: []string{boundRegion}, MaxPriority: 9, Weight: 1, KeyHashes: []string{keyHash(boundWorkspace)}})
	c.bundle = b
}

func engineID(region string, n int) string { return fmt.Sprintf("engine-%s-%d", region, n) }

// neighboursOf returns all other regions, if the cluster's regions may spill.
func (c *cluster) neighboursOf(region string) []bundle.Neighbour {
	var list []bundle.Neighbour
	for _, other := range regionNames {
		if c.shape.neighbours && other != region {
			list = append(list, bundle.Neighbour{Region: other, OneWayMillis: 1, MaxShare: 1})
		}
	}
	return list
}

// keyOf returns the key of the workspace whose home region is given, or of
// boundWorkspace.
func keyOf(region string) string { return callerKey + "-" + region }

func keyHash(region string) string {
	sum := sha256.Sum256([]byte(keyOf(region)))
	return hex.EncodeToString(sum[:])
}

// startStandins starts a process with the targets of each region.
func (c *cluster) startStandins() {
	data, err := json.Marshal(c.bundle)
	must(c.t, err)
	file := filepath.Join(c.dir, "bundle.json")
	must(c.t, os.WriteFile(file, data, 0o600))
	for _, region := range regionNames {
		cmd := exec.Command(binary, "standin", "--bundle", file, "--region", region)
		out, err := cmd.StdoutPipe()
		must(c.t, err)
		must(c.t, loopback.Start(cmd))
		c.standins = append(c.standins, cmd)
		_, err = io.ReadFull(out, make([]byte, len("ready")))
		must(c.t, err)
	}
}

// sign returns a bundle encoded with the operator's signature.
func (c *cluster) sign(b *bundle.Bundle) []byte {
	id, err := b.Identity()
	must(c.t, err)
	data, err := bundle.EncodeSigned(&bundle.Signed{Bundle: *b, Signatures: []bundle.Signature{bundle.Sign(id, "ayu", c.operator)}})
	must(c.t, err)
	return data
}

// next returns the bundle that follows b, with a note.
func (c *cluster) next(b *bundle.Bundle, note string) *bundle.Bundle {
	id, err := b.Identity()
	must(c.t, err)
	n := *b
	n.Version, n.Parent, n.Note = b.Version+1, id.Digest, note
	return &n
}

// rollAnswer is a response of the operators' interface to a roll.
type rollAnswer struct {
	status  int
	version uint64
	digest  string
	body    string
}

// roll sends signed bytes to one instance.
func (c *cluster) roll(i *instance, signed []byte) (rollAnswer, error) {
	resp, err := c.client.Post("http://"+i.settings.Listen.Operators+"/operator/v1/bundles", "application/json", bytes.NewReader(signed))
	if err != nil {
		return rollAnswer{}, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return rollAnswer{}, err
	}
	var accepted struct {
		Version uint64 `json:"version"`
		Digest  string `json:"digest"`
	}
	_ = json.Unmarshal(body, &accepted)
	return rollAnswer{status: resp.StatusCode, version: accepted.Version, digest: accepted.Digest, body: string(body)}, nil
}

// mustRoll rolls a bundle as an operator would: it sends the same bytes to one
// instance after another until one accepts them, and waits until the bundle is in
// force at every running instance.
func (c *cluster) mustRoll(b *bundle.Bundle) {
	c.t.Helper()
	signed := c.sign(b)
	var last error
	c.eventually(fmt.Sprintf("version %d accepted", b.Version), func() error {
		for _, i := range c.running() {
			a, err := c.roll(i, signed)
			if err == nil && a.status == http.StatusOK {
				return nil
			}
			last = errors.Join(err, fmt.Errorf("%s answered %d: %s", i.id(), a.status, a.body))
		}
		return last
	})
	c.awaitInForce(b)
}

// awaitInForce waits until a bundle is in force at every running instance.
func (c *cluster) awaitInForce(b *bundle.Bundle) {
	c.t.Helper()
	id, err := b.Identity()
	must(c.t, err)
	c.eventually(fmt.Sprintf("version %d in force", b.Version), func() error {
		for _, i := range c.running() {
			s, err := c.status(i)
			if err != nil {
				return err
			}
			if s.Digest != string(id.Digest) {
				return fmt.Errorf("%s has version %d, digest %s", i.id(), s.Version, s.Digest)
			}
		}
		return nil
	})
}

// running returns the instances whose process runs and is not stopped.
func (c *cluster) running() []*instance {
	var list []*instance
	for _, i := range c.instances {
		select {
		case <-i.exited:
		default:
			if !i.stopped {
				list = append(list, i)
			}
		}
	}
	return list
}

// status returns the status report of an instance.
func (c *cluster) status(i *instance) (*operators.InstanceReport, error) {
	client := &http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + i.settings.Listen.Operators + "/operator/v1/status")
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	s := new(operators.InstanceReport)
	return s, json.NewDecoder(resp.Body).Decode(s)
}

// eventually waits until check returns nil, and fails the test after waitTimeout.
func (c *cluster) eventually(what string, check func() error) {
	c.t.Helper()
	end := time.Now().Add(waitTimeout)
	for {
		err := check()
		if err == nil {
			return
		}
		if time.Now().After(end) {
			c.t.Fatalf("%s: not within %v: %v", what, waitTimeout, err)
		}
		time.Sleep(pollInterval)
	}
}

// voter returns the voter of a region.
func (c *cluster) voter(region string) *instance {
	for _, i := range c.instances {
		if i.settings.Region == region && i.settings.Voter {
			return i
		}
	}
	c.t.Fatalf("no voter in %s", region)
	return nil
}

// leader waits until a running voter reports a running leader of the global group,
// and returns it.
func (c *cluster) leader() *instance {
	c.t.Helper()
	var found *instance
	c.eventually("a leader", func() error {
		for _, i := range c.running() {
			if !i.settings.Voter {
				continue
			}
			s, err := c.status(i)
			if err != nil {
				return err
			}
			if found = c.byID(s.Leader); found != nil {
				return nil
			}
		}
		return errors.New("no voter names one")
	})
	return found
}

func (c *cluster) byID(id string) *instance {
	for _, i := range c.running() {
		if i.id() == id {
			return i
		}
	}
	return nil
}
