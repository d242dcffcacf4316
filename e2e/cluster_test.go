// Package e2e runs whole systems of separate processes on loopback and kills,
// stops and wipes them.
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
	"net"
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
	"github.com/gullhaven/gullhaven/settings"
)

const (
	// patience bounds how long a test waits for what must come about. It is
	// far above what is measured, so that a busy machine changes no verdict.
	patience = 60 * time.Second
	// pollInterval is the time between two looks.
	pollInterval = 50 * time.Millisecond
	// callerKey is the key of the one workspace.
	callerKey = "caller-key"
)

// binary is the daemon under test, built once.
var binary string

func TestMain(m *testing.M) {
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
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// instance is one process of a cluster.
type instance struct {
	c        *cluster
	settings *settings.Settings
	dir      string
	cmd      *exec.Cmd
	exited   chan struct{}
	stopped  bool
}

// cluster is a system of instances in separate processes, with stand-ins of
// its targets in one more.
type cluster struct {
	t         *testing.T
	dir       string
	operator  ed25519.PrivateKey
	instances []*instance
	bundle    *bundle.Bundle
	standins  *exec.Cmd
	client    *http.Client
}

// regionNames of clusters; the first instance of each is a voter with a disk.
var regionNames = []string{"jatim", "bali", "jabar"}

// startCluster runs perRegion instances in each of three regions and puts a
// first bundle in force.
func startCluster(t *testing.T, perRegion int) *cluster {
	t.Helper()
	_, operator, err := ed25519.GenerateKey(nil)
	must(t, err)
	c := &cluster{t: t, dir: t.TempDir(), operator: operator, client: &http.Client{Timeout: patience}}
	c.makeInstances(perRegion)
	c.makeBundle()
	c.startStandins()
	for _, i := range c.instances {
		i.start()
	}
	t.Cleanup(c.end)
	c.mustRoll(c.bundle)
	return c
}

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// freeAddress finds a port of loopback that nothing listens on.
func freeAddress(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(t, err)
	defer l.Close()
	return l.Addr().String()
}

func (c *cluster) makeInstances(perRegion int) {
	authority, err := keys.NewAuthority("e2e", time.Now(), time.Hour)
	must(c.t, err)
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
	if n == 0 {
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
	t := i.c.t
	key, err := authority.Issue(keys.Identity{Instance: i.id(), Region: i.settings.Region}, []string{"127.0.0.1"}, time.Now(), time.Hour)
	must(t, err)
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

// start runs the process; its log goes to a file beside its settings.
func (i *instance) start() {
	t := i.c.t
	t.Helper()
	log, err := os.OpenFile(filepath.Join(i.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must(t, err)
	defer log.Close()
	i.cmd = exec.Command(binary, "--settings", filepath.Join(i.dir, "settings.json"))
	i.cmd.Stderr, i.cmd.Stdout = log, log
	must(t, i.cmd.Start())
	i.exited = make(chan struct{})
	go func(cmd *exec.Cmd, exited chan struct{}) {
		_ = cmd.Wait()
		close(exited)
	}(i.cmd, i.exited)
}

// signal sends a signal to the process.
func (i *instance) signal(s syscall.Signal) {
	_ = i.cmd.Process.Signal(s)
	i.stopped = s == syscall.SIGSTOP
}

// kill ends the process at once and waits for it to be gone.
func (i *instance) kill() {
	i.signal(syscall.SIGKILL)
	<-i.exited
}

// wipe removes what the disk of a process that has ended holds.
func (i *instance) wipe() { must(i.c.t, os.RemoveAll(filepath.Join(i.dir, "data"))) }

// end kills all that still runs.
func (c *cluster) end() {
	for _, i := range c.instances {
		select {
		case <-i.exited:
		default:
			i.kill()
		}
	}
	_ = c.standins.Process.Kill()
	_ = c.standins.Wait()
	if c.t.Failed() {
		c.dumpLogs()
	}
}

// dumpLogs shows the end of each instance's log.
func (c *cluster) dumpLogs() {
	const tail = 1500
	for _, i := range c.instances {
		data, _ := os.ReadFile(filepath.Join(i.dir, "log"))
		c.t.Logf("%s:\n%s", i.id(), data[max(0, len(data)-tail):])
	}
}

// makeBundle describes one engine and one booking desk in each region.
func (c *cluster) makeBundle() {
	b := &bundle.Bundle{
		Version: 1, Operators: []bundle.Operator{c.operatorEntry()}, SignOffs: 1,
		Models: []bundle.Model{{ID: "scribe", ContextTokens: 32768, Versions: []bundle.ModelVersion{{ID: "v1", Weights: "scribe/v1", SizeBytes: 1e6}}}},
		Services: []bundle.Service{
			{ID: "briefing", Kind: bundle.KindModel, Model: "scribe", Version: "v1", DefaultDeadlineMillis: 60000, Objective: bundle.Objective{FirstTokenMillis: 1400, BetweenTokensMillis: 76, Share: 0.95}},
			{ID: "desk", Kind: bundle.KindPlain, NonIdempotent: true, DefaultDeadlineMillis: 10000, Objective: bundle.Objective{FirstTokenMillis: 500, Share: 0.99}},
		},
		Rules: bundle.Rules{MaxAttempts: 3, RetryBudget: 0.2, ClaimLifetimeSeconds: 3600, DrainSeconds: 30, WeightStoreBytesPerSecond: 1e9, MaxConcurrentLoads: 1},
	}
	for _, region := range regionNames {
		b.Regions = append(b.Regions, bundle.Region{ID: region, Zones: []string{region + "-hall"}})
		b.Targets = append(b.Targets,
			bundle.Target{ID: "engine-" + region, Service: "briefing", Region: region, Zone: region + "-hall", State: bundle.TargetActive, Role: bundle.RoleBoth, Address: freeAddress(c.t), Slots: 8, PrefillTokensPerSecond: 20000, DecodeTokensPerSecond: 4000, CostPerSecond: 1, OrderExpiryMillis: 1000},
			bundle.Target{ID: "desk-" + region, Service: "desk", Region: region, Zone: region + "-hall", State: bundle.TargetActive, Address: freeAddress(c.t), Slots: 64, CostPerSecond: 0.1, OrderExpiryMillis: 1000},
		)
		b.Workspaces = append(b.Workspaces, bundle.Workspace{ID: "agency-" + region, Home: region, MaxPriority: 9, Weight: 1, KeyHashes: []string{keyHash(region)}})
	}
	c.bundle = b
}

// keyOf is the key of the workspace that is at home in a region.
func keyOf(region string) string { return callerKey + "-" + region }

func keyHash(region string) string {
	sum := sha256.Sum256([]byte(keyOf(region)))
	return hex.EncodeToString(sum[:])
}

// startStandins runs all targets in one process.
func (c *cluster) startStandins() {
	var engines, plain string
	for _, target := range c.bundle.Targets {
		if target.Service == "briefing" {
			engines += target.Address + ","
		} else {
			plain += target.Address + ","
		}
	}
	c.standins = exec.Command(binary, "standin", "--engines", engines, "--plain", plain)
	out, err := c.standins.StdoutPipe()
	must(c.t, err)
	must(c.t, c.standins.Start())
	_, err = io.ReadFull(out, make([]byte, len("ready")))
	must(c.t, err)
}

// sign makes the operator's signed form of a bundle.
func (c *cluster) sign(b *bundle.Bundle) []byte {
	id, err := b.Identity()
	must(c.t, err)
	data, err := bundle.EncodeSigned(&bundle.Signed{Bundle: *b, Signatures: []bundle.Signature{bundle.Sign(id, "ayu", c.operator)}})
	must(c.t, err)
	return data
}

// next makes the bundle that follows another, with a note.
func (c *cluster) next(b *bundle.Bundle, note string) *bundle.Bundle {
	id, err := b.Identity()
	must(c.t, err)
	n := *b
	n.Version, n.Parent, n.Note = b.Version+1, id.Digest, note
	return &n
}

// rollAnswer is what the operators' interface said.
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

// mustRoll rolls a bundle as an operator would, sending the same bytes to one
// instance after another until an answer comes, and waits until it is in force
// at every instance that runs.
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
	c.inForce(b)
}

// inForce waits until a bundle is in force at every instance that runs.
func (c *cluster) inForce(b *bundle.Bundle) {
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

// running are the instances whose process runs and is not stopped.
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

// status reads what an instance reports.
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

// eventually waits until check finds nothing wrong.
func (c *cluster) eventually(what string, check func() error) {
	c.t.Helper()
	end := time.Now().Add(patience)
	for {
		err := check()
		if err == nil {
			return
		}
		if time.Now().After(end) {
			c.t.Fatalf("%s: not within %v: %v", what, patience, err)
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

// leader waits until the voters that run agree on a leader of the global group.
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
