package cli

import (
	"net/netip"
	"os"
	"path/filepath"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/gullhaven/gullhaven/coord/keys"
	"github.com/gullhaven/gullhaven/settings"
)

// Files of a cluster's authority in its folder.
const (
	authorityCertificate = "authority.pem"
	authorityKey         = "authority.key"
)

const day = 24 * time.Hour

var _ = Register(Command{
	Path:  "keygen cluster",
	Short: "Make the authority of a cluster",
	Long: `Writes authority.pem, which each instance needs, and authority.key, which only
the making of instances' keys needs; keep it elsewhere.

Example: gullhaven keygen cluster keys --name sukmajaya`,
	New: func(env *Env) flags.Commander { return &keygenCluster{env: env} },
})

var _ = Register(Command{
	Path:  "keygen instance",
	Short: "Make the keys of instances from their settings",
	Long: `Writes the authority's certificate, the certificate and the private key of each
instance to the files that its settings name.

Example: gullhaven keygen instance --authority keys settings/malang-1.json`,
	New: func(env *Env) flags.Commander { return &keygenInstance{env: env} },
})

// keygenCluster is the command `keygen cluster`.
type keygenCluster struct {
	env  *Env
	Name string `long:"name" default:"gullhaven" value-name:"TEXT" description:"name of the cluster, for people"`
	Days int    `long:"days" default:"3650" description:"days of validity"`
	Args struct {
		Dir string `positional-arg-name:"DIR" description:"folder for the authority"`
	} `positional-args:"yes" required:"yes"`
}

// Execute makes an authority.
func (c *keygenCluster) Execute([]string) error {
	authority, err := keys.NewAuthority(c.Name, c.env.Now(), time.Duration(c.Days)*day)
	if err != nil {
		return err
	}
	certificate, key, err := authority.PEM()
	if err != nil {
		return err
	}
	if err := writeNewFile(filepath.Join(c.Args.Dir, authorityKey), key, privateMode); err != nil {
		return err
	}
	return writeNewFile(filepath.Join(c.Args.Dir, authorityCertificate), certificate, publicMode)
}

// keygenInstance is the command `keygen instance`.
type keygenInstance struct {
	env       *Env
	Authority string `long:"authority" required:"yes" value-name:"DIR" description:"folder made by keygen cluster"`
	Days      int    `long:"days" default:"365" description:"days of validity"`
	Args      struct {
		Settings []string `positional-arg-name:"SETTINGS" required:"1" description:"settings files of instances"`
	} `positional-args:"yes" required:"yes"`
}

// Execute makes the keys of the instance of each settings file.
func (c *keygenInstance) Execute([]string) error {
	certificate, err := os.ReadFile(filepath.Join(c.Authority, authorityCertificate))
	if err != nil {
		return err
	}
	key, err := os.ReadFile(filepath.Join(c.Authority, authorityKey))
	if err != nil {
		return err
	}
	authority, err := keys.LoadAuthority(certificate, key)
	if err != nil {
		return err
	}
	for _, path := range c.Args.Settings {
		if err := c.issue(authority, path); err != nil {
			return annotateFile(path, err)
		}
	}
	return nil
}

// issue makes the keys of one instance.
func (c *keygenInstance) issue(authority *keys.Authority, path string) error {
	s, err := settings.Load(path)
	if err != nil {
		return err
	}
	address, err := netip.ParseAddrPort(s.Advertise.Instances)
	if err != nil {
		return err
	}
	id := keys.Identity{Instance: s.Instance, Region: s.Region}
	issued, err := authority.Issue(id, []string{address.Addr().String()}, c.env.Now(), time.Duration(c.Days)*day)
	if err != nil {
		return err
	}
	certificate, key, root, err := issued.PEM()
	if err != nil {
		return err
	}
	if err := writeNewFile(s.Keys.Key, key, privateMode); err != nil {
		return err
	}
	if err := writeFile(s.Keys.Certificate, certificate, publicMode); err != nil {
		return err
	}
	c.env.Printf("%s: key of %s\n", path, s.Instance)
	return writeFile(s.Keys.Authority, root, publicMode)
}
