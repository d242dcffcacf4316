package e2e

import (
	"crypto/tls"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/gullhaven/gullhaven/coord/keys"
	"github.com/gullhaven/gullhaven/pipeline"
)

// Guards against an interface that trusts any peer. Instances start with a key of another
// authority, under a new ID and under that of an instance; others dial with such a key, or
// with none.
func TestInstanceWithoutAValidKeyGetsNowhere(t *testing.T) {
	c := startShape(t, shape{perRegion: 2, inProcessTargets: true})
	others, err := keys.NewAuthority("others", time.Now(), time.Hour)
	must(t, err)
	foreign := c.foreignInstance("jatim-7", others)
	impostor := c.foreignInstance("jatim-1", others)
	foreign.start()
	impostor.start()
	to := c.inRegion("jatim")[0]
	key := c.issue(others, keys.Identity{Instance: "jatim-1", Region: "jatim"})
	for what, config := range map[string]*tls.Config{
		"another authority's key": key.ClientConfig(to.id()),
		"no key":                  withoutKey(c.issue(c.authority, keys.Identity{Instance: "jatim-1", Region: "jatim"}).ClientConfig(to.id())),
	} {
		if err := c.handshake(to, config); err == nil {
			t.Errorf("%s was let in", what)
		}
	}
	valid := c.issue(c.authority, keys.Identity{Instance: "jatim-1", Region: "jatim"})
	must(t, c.handshake(to, valid.ClientConfig(to.id())))
	// A roll reaches all members, so an instance of another authority would have
	// joined in that time.
	b := c.next(c.bundle, "strangers are about")
	c.mustRoll(b)
	c.mustRoll(c.next(b, "still"))
	c.checkIsolated(foreign)
	c.checkIsolated(impostor)
}

// foreignInstance returns an instance of jatim that knows all addresses and has a key of
// another authority.
func (c *cluster) foreignInstance(id string, authority *keys.Authority) *instance {
	c.t.Helper()
	s := *c.inRegion("jatim")[1].settings
	s.Instance = id
	s.Listen.Callers, s.Listen.Instances, s.Listen.Operators = freeAddress(c.t), freeAddress(c.t), freeAddress(c.t)
	s.Advertise = s.Listen
	i := &instance{c: c, settings: &s, dir: filepath.Join(c.dir, "stranger-"+id)}
	must(c.t, os.MkdirAll(i.dir, 0o755))
	i.writeKeys(authority)
	i.writeSettings()
	c.t.Cleanup(i.kill)
	return i
}

// checkIsolated checks that an instance has no bundle, knows no other instances, serves no
// requests and is in no directory.
func (c *cluster) checkIsolated(i *instance) {
	c.t.Helper()
	s, err := c.status(i)
	must(c.t, err)
	if s.Version != 0 || len(s.Instances) > 1 {
		c.t.Errorf("%s has version %d and knows %d instances", i.dir, s.Version, len(s.Instances))
	}
	r, err := c.request(i, "POST", "/v1/completions", "jatim", briefingBody("p", 4), nil)
	must(c.t, err)
	if r.refusal.Code != pipeline.CodeNoBundle {
		c.t.Errorf("%s answered %d %s", i.dir, r.status, r.body)
	}
	for _, member := range c.instances {
		list, err := c.directory(member)
		must(c.t, err)
		if strings.Contains(list, i.settings.Listen.Callers) {
			c.t.Errorf("%s names the stranger: %s", member.id(), list)
		}
	}
}

// withoutKey removes the certificate from c.
func withoutKey(c *tls.Config) *tls.Config {
	c.Certificates = nil
	return c
}

// handshake dials an instance with config. With TLS 1.3 the peer's rejection of the
// certificate arrives with the first read.
func (c *cluster) handshake(to *instance, config *tls.Config) error {
	conn, err := tls.Dial("tcp", to.settings.Listen.Instances, config)
	if err != nil {
		return err
	}
	defer conn.Close()
	must(c.t, conn.SetDeadline(time.Now().Add(2*time.Second)))
	_, err = conn.Read(make([]byte, 1))
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return nil // accepted: the peer waits for data
	}
	return err
}

// Guards against an instance that impersonates another, if its name is taken from the
// settings and not from the key: a process is started with the settings of one instance
// and the key of another.
func TestInstanceWithAnothersKeyDoesNotStart(t *testing.T) {
	c := startShape(t, shape{perRegion: 2, inProcessTargets: true})
	i := c.inRegion("bali")[1]
	i.kill()
	i.writeKey(c.issue(c.authority, keys.Identity{Instance: "bali-0", Region: "bali"}))
	i.start()
	c.eventually("it ends", func() error {
		select {
		case <-i.exited:
			return nil
		default:
			return errorString("it runs")
		}
	})
	log, err := os.ReadFile(filepath.Join(i.dir, "log"))
	must(t, err)
	if code := i.cmd.ProcessState.ExitCode(); code != 1 || !strings.Contains(string(log), `the key is that of instance "bali-0"`) {
		t.Errorf("exit code %d: %s", code, log)
	}
}
