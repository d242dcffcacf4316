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

// Symptom: a stranger takes part in the system.
// Events: an instance starts whose key another authority has issued, under an
// id of its own and under that of an instance; others dial with such a key, or
// with none.
// Cause: an interface that trusts whoever reaches it.
func TestInstanceWithoutAValidKeyGetsNowhere(t *testing.T) {
	c := startShape(t, shape{perRegion: 2, sites: true})
	others, err := keys.NewAuthority("others", time.Now(), time.Hour)
	must(t, err)
	stranger := c.stranger("jatim-7", others)
	impostor := c.stranger("jatim-1", others)
	stranger.start()
	impostor.start()
	to := c.in("jatim")[0]
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
	// A roll reaches all that belong to the system, and so passes the time in
	// which a stranger would have joined.
	b := c.next(c.bundle, "strangers are about")
	c.mustRoll(b)
	c.mustRoll(c.next(b, "still"))
	c.gotNowhere(stranger)
	c.gotNowhere(impostor)
}

// stranger makes an instance of jatim that knows all addresses and has a key of
// another authority.
func (c *cluster) stranger(id string, authority *keys.Authority) *instance {
	c.t.Helper()
	s := *c.in("jatim")[1].settings
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

// gotNowhere checks that an instance learned of no bundle and nobody, serves no
// one, and is named by no directory.
func (c *cluster) gotNowhere(i *instance) {
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
		list, err := c.lookup(member)
		must(c.t, err)
		if strings.Contains(list, i.settings.Listen.Callers) {
			c.t.Errorf("%s names the stranger: %s", member.id(), list)
		}
	}
}

// withoutKey leaves the certificate out.
func withoutKey(c *tls.Config) *tls.Config {
	c.Certificates = nil
	return c
}

// handshake dials an instance as another one. With TLS 1.3 the other side's
// word on our certificate comes with the first read.
func (c *cluster) handshake(to *instance, config *tls.Config) error {
	conn, err := tls.Dial("tcp", to.settings.Listen.Instances, config)
	if err != nil {
		return err
	}
	defer conn.Close()
	must(c.t, conn.SetDeadline(time.Now().Add(2*time.Second)))
	_, err = conn.Read(make([]byte, 1))
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return nil // it waits for us to speak
	}
	return err
}

// Symptom: an instance passes for another.
// Events: a process is started under the settings of one instance with the key
// of another.
// Cause: a name that is taken from settings and not from the key.
func TestInstanceWithAnothersKeyDoesNotStart(t *testing.T) {
	c := startShape(t, shape{perRegion: 2, sites: true})
	i := c.in("bali")[1]
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
