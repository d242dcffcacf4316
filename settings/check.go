package settings

import (
	"net/netip"
	"slices"

	"github.com/gullhaven/gullhaven/bundle"
	"github.com/gullhaven/gullhaven/bundle/strict"
	"github.com/gullhaven/gullhaven/coord/keys"
)

// logLevels are the valid values of Log.Level.
var logLevels = []string{"debug", "info", "warn", "error"}

// Check returns all faults, each with the path of the wrong field.
func (s *Settings) Check() []Problem {
	c := checker{s: s}
	c.identity()
	c.id("zone", s.Zone)
	c.listen()
	c.voters()
	c.regionVoters()
	c.peers("seeds", s.Seeds)
	c.keys()
	c.bootstrap()
	c.platform()
	c.require(s.MemoryMB >= 0, "memory_mb", "is %d, but must not be negative", s.MemoryMB)
	c.require(slices.Contains(logLevels, s.Log.Level), "log.level", "%q is none of %q", s.Log.Level, logLevels)
	return c.problems
}

// checker collects problems.
type checker struct {
	s        *Settings
	problems Problems
}

// require adds a fault at path unless ok.
func (c *checker) require(ok bool, path, format string, args ...any) {
	if !ok {
		c.problems.Add(path, format, args...)
	}
}

// id requires a well-formed id.
func (c *checker) id(path, id string) {
	if err := strict.CheckID(id); err != nil {
		c.problems.Add(path, "%v", err)
	}
}

// identity requires an instance id and a region that certificates can hold.
func (c *checker) identity() {
	const anyName = "any"
	if err := (keys.Identity{Instance: c.s.Instance, Region: anyName}).Check(); err != nil {
		c.problems.Add("instance", "%v", err)
	}
	if err := (keys.Identity{Instance: anyName, Region: c.s.Region}).Check(); err != nil {
		c.problems.Add("region", "%v", err)
	}
}

// address requires IP:port.
func (c *checker) address(path, address string) bool {
	err := strict.CheckAddress(address)
	if err != nil {
		c.problems.Add(path, "%v", err)
	}
	return err == nil
}

// listen checks the addresses of the three interfaces. An unspecified IP is valid for
// listening, but must not be advertised.
func (c *checker) listen() {
	seen := map[string]string{}
	names := []string{"callers", "instances", "operators"}
	advertised := c.s.Advertise.list()
	for i, address := range c.s.Listen.list() {
		path := "listen." + names[i]
		if !c.address(path, address) {
			continue
		}
		other, taken := seen[address]
		c.require(!taken, path, "%s is %s too", address, other)
		seen[address] = path
		c.reachable("advertise."+names[i], path, advertised[i])
	}
}

// reachable requires an address that others can use.
func (c *checker) reachable(path, listen, address string) {
	if !c.address(path, address) {
		return
	}
	ip := netip.MustParseAddrPort(address).Addr()
	c.require(!ip.IsUnspecified(), path, "%s can't be reached by others; give the IP that %s has for them", address, listen)
}

// list returns the addresses in the order callers, instances, operators.
func (a Addresses) list() []string {
	return []string{a.Callers, a.Instances, a.Operators}
}

// voters checks the global group. A voter without a disk loses its votes and
// acknowledgements in a restart, so that accepted bundles could be lost.
func (c *checker) voters() {
	c.require(len(c.s.Voters) > 0, "voters", "is empty; name the group that accepts bundles")
	c.require(len(c.s.Voters)%2 == 1 || len(c.s.Voters) == 0, "voters",
		"has %d members; an even number survives no more losses than one less", len(c.s.Voters))
	c.peers("voters", c.s.Voters)
	at := slices.IndexFunc(c.s.Voters, func(p Peer) bool { return p.ID == c.s.Instance })
	c.require(!c.s.Voter || c.s.DataDir != "", "data_dir", "is missing; a voter needs a disk")
	c.require(!c.s.Voter || at >= 0, "voter", "is true, but %q is not among voters", c.s.Instance)
	c.require(c.s.Voter || at < 0, "voter", "is false, but %q is among voters", c.s.Instance)
	if at >= 0 {
		c.require(c.s.Voters[at].Region == c.s.Region, strict.Index("voters", at)+".region",
			"is %q, but this instance is in %q", c.s.Voters[at].Region, c.s.Region)
	}
}

// regionVoters checks the groups of the regions, by the rules of voters for each region.
func (c *checker) regionVoters() {
	c.peers("region_voters", c.s.RegionVoters)
	for _, region := range c.s.VoterRegions() {
		n := len(c.s.VotersOf(region))
		c.require(n%2 == 1 || len(c.s.RegionVoters) == 0, "region_voters",
			"names %d voters of region %q; an even number survives no more losses than one less", n, region)
	}
	for i, p := range c.s.RegionVoters {
		if p.ID != c.s.Instance {
			continue
		}
		at := strict.Index("region_voters", i)
		c.require(p.Region == c.s.Region, at+".region", "is %q, but this instance is in %q", p.Region, c.s.Region)
		c.require(c.s.DataDir != "", "data_dir", "is missing; a voter needs a disk")
	}
}

// peers checks a list of other instances.
func (c *checker) peers(path string, peers []Peer) {
	ids := map[string]bool{}
	owners := map[string]string{}
	for i, peer := range peers {
		at := strict.Index(path, i)
		c.id(at+".id", peer.ID)
		c.require(!ids[peer.ID], at+".id", "%q stands twice", peer.ID)
		ids[peer.ID] = true
		c.id(at+".region", peer.Region)
		if peer.Zone != "" {
			c.id(at+".zone", peer.Zone)
		}
		if !c.address(at+".address", peer.Address) {
			continue
		}
		owner, taken := owners[peer.Address]
		c.require(!taken, at+".address", "%s is the address of %q too", peer.Address, owner)
		owners[peer.Address] = peer.ID
	}
}

// keys requires all key files.
func (c *checker) keys() {
	k := c.s.Keys
	c.require(k.Authority != "", "keys.authority", "is missing; make a set with `gullhaven keygen`")
	c.require(k.Certificate != "", "keys.certificate", "is missing; make a set with `gullhaven keygen`")
	c.require(k.Key != "", "keys.key", "is missing; make a set with `gullhaven keygen`")
}

// bootstrap checks the operators that may sign the first bundle.
func (c *checker) bootstrap() {
	b := c.s.Bootstrap
	c.require(len(b.Operators) > 0, "bootstrap.operators", "is empty; nobody could sign the first bundle")
	c.require(b.SignOffs >= 1 && b.SignOffs <= max(len(b.Operators), 1), "bootstrap.sign_offs",
		"is %d, but must be from 1 to the number of operators, %d", b.SignOffs, len(b.Operators))
	c.problems = append(c.problems, bundle.CheckOperators("bootstrap.operators", b.Operators)...)
}

// platform checks the optional address.
func (c *checker) platform() {
	if list := c.s.Platform.InstanceList; list != "" {
		c.address("platform.instance_list", list)
	}
}
