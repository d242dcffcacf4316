// Package settings reads the local settings that an instance needs to start: its
// identity, location, addresses, disk, keys and first peers. Everything that holds for
// the whole system is in the bundle instead.
package settings

import (
	"slices"

	"github.com/gullhaven/gullhaven/bundle"
)

// Settings of one instance, in one JSON file.
type Settings struct {
	// Instance is its id, unique over all regions: 1 to 48 letters, digits, "-"
	// or "_", as in its key. No default.
	Instance string `json:"instance"`
	// Region is the id of its region, as in the bundle. No default.
	Region string `json:"region"`
	// Zone is the id of its availability zone, as in the bundle. No default.
	Zone string `json:"zone"`
	// Listen addresses of its three interfaces.
	Listen Addresses `json:"listen"`
	// Advertise has the addresses for others; an empty one is that of Listen.
	// Required where Listen has an unspecified IP such as 0.0.0.0.
	Advertise Addresses `json:"advertise"`
	// DataDir is the folder for durable data; empty, the default, is an instance
	// without a disk.
	DataDir string `json:"data_dir,omitempty"`
	// Voter makes the instance one of Voters; it needs a DataDir. Default false.
	Voter bool `json:"voter,omitempty"`
	// Voters of the global group that accepts bundles: all of them, the same
	// list in the same order on every instance. An odd number, in different
	// regions where possible. No default.
	Voters []Peer `json:"voters"`
	// RegionVoters are the voters of all regions' own groups: the same list in the
	// same order on every instance. The voters of a region keep its claims and elect
	// the one that sends orders to its targets; each needs a DataDir. The claims of a
	// region without any are kept by its claims_home in the bundle. Default: Voters.
	RegionVoters []Peer `json:"region_voters,omitempty"`
	// Seeds are instances to join through; the own id is skipped. With at least one
	// other instance of the own region, the instances of a partitioned region find each
	// other. Default none: the instance waits to be contacted.
	Seeds []Peer `json:"seeds,omitempty"`
	// Keys for the links between instances. No default.
	Keys Keys `json:"keys"`
	// Bootstrap has the operators that may sign version 1 of the bundle. No default.
	Bootstrap Bootstrap `json:"bootstrap"`
	// Platform has the platform's interfaces. Default none.
	Platform Platform `json:"platform"`
	// MemoryMB is the memory limit of the process in MiB, from which the bounds of what requests hold and of the
	// connections of callers are derived, and the garbage collector's limit; 0, the default, means unknown.
	MemoryMB int `json:"memory_mb,omitempty"`
	// Log configures the log on standard error.
	Log Log `json:"log"`
}

// VotersOf returns the voters of a region's own group, in the order of the list.
func (s *Settings) VotersOf(region string) []Peer {
	list := s.RegionVoters
	if len(list) == 0 {
		list = s.Voters
	}
	elsewhere := func(p Peer) bool { return p.Region != region }
	return slices.DeleteFunc(slices.Clone(list), elsewhere)
}

// VoterRegions returns the regions with a group of their own, in the order of the list.
func (s *Settings) VoterRegions() []string {
	list := s.RegionVoters
	if len(list) == 0 {
		list = s.Voters
	}
	var regions []string
	for _, p := range list {
		if !slices.Contains(regions, p.Region) {
			regions = append(regions, p.Region)
		}
	}
	return regions
}

// Addresses of the interfaces, each IP:port. Host names are invalid: an instance must be
// able to start without a name service.
type Addresses struct {
	// Callers send requests here; default 0.0.0.0:8080 to listen.
	Callers string `json:"callers,omitempty"`
	// Instances talk to each other here, over WebSocket with TLS; default
	// 0.0.0.0:8081 to listen.
	Instances string `json:"instances,omitempty"`
	// Operators roll bundles, read status and scrape metrics here; default
	// 127.0.0.1:8082 to listen, as it is not for callers.
	Operators string `json:"operators,omitempty"`
}

// Peer is another instance, reached at its Instances address.
type Peer struct {
	// ID is its Settings.Instance.
	ID     string `json:"id"`
	Region string `json:"region"`
	// Zone may be empty.
	Zone string `json:"zone,omitempty"`
	// Address is IP:port of its interface for instances.
	Address string `json:"address"`
}

// Keys are PEM files; a path is relative to the folder of the settings file.
type Keys struct {
	// Authority holds the certificates of the cluster's authority.
	Authority string `json:"authority,omitempty"`
	// Certificate of this instance.
	Certificate string `json:"certificate,omitempty"`
	// Key is the private key of this instance, readable by it alone.
	Key string `json:"key,omitempty"`
}

// Bootstrap has the trusted operators before the first bundle; afterwards those of the
// bundle in force count.
type Bootstrap struct {
	// Operators that may sign version 1.
	Operators []bundle.Operator `json:"operators"`
	// SignOffs is the number of signatures required; default 1.
	SignOffs int `json:"sign_offs"`
}

// Trust returns b as a bundle.Trust.
func (b Bootstrap) Trust() bundle.Trust {
	return bundle.Trust{Operators: b.Operators, SignOffs: b.SignOffs}
}

// Platform has the platform's interfaces.
type Platform struct {
	// InstanceList is IP:port of the platform's lagging list of live and leaving
	// instances, which is used as a hint only. Default none.
	InstanceList string `json:"instance_list,omitempty"`
}

// Log configures the log.
type Log struct {
	// Level is debug, info, warn or error; default info.
	Level string `json:"level"`
}

// Default returns the settings before a file is read.
func Default() *Settings {
	return &Settings{
		Listen: Addresses{
			Callers:   "0.0.0.0:8080",
			Instances: "0.0.0.0:8081",
			Operators: "127.0.0.1:8082",
		},
		Bootstrap: Bootstrap{SignOffs: 1},
		Log:       Log{Level: "info"},
	}
}
