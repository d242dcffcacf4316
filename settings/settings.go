// Package settings reads what one instance must know before it can learn
// anything: who and where it is, its addresses, disk, keys and first peers.
// All that operators decide for the whole system stands in the bundle instead.
package settings

import (
	"slices"

	"github.com/gullhaven/gullhaven/bundle"
)

// Settings of one instance, one JSON file.
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
	// Advertise is what others are told to use; each empty address is that of
	// Listen. Needed where Listen has an unspecified IP such as 0.0.0.0.
	Advertise Addresses `json:"advertise"`
	// DataDir is the folder on a disk that keeps what is synced; empty, the
	// default, is an instance without a disk.
	DataDir string `json:"data_dir,omitempty"`
	// Voter makes the instance one of Voters; it needs a DataDir. Default false.
	Voter bool `json:"voter,omitempty"`
	// Voters of the global group that accepts bundles: all of them, the same
	// list in the same order on every instance. An odd number, in different
	// regions where possible. No default.
	Voters []Peer `json:"voters"`
	// RegionVoters are the voters of the regions' own groups, of all regions: the
	// same list in the same order on every instance. The voters of a region
	// keep its claims and elect the one that gives orders to its targets; each
	// needs a DataDir. A region without any has its claims kept by the region
	// that the bundle names as claims_home. Default: Voters.
	RegionVoters []Peer `json:"region_voters,omitempty"`
	// Seeds are instances to join through; the own id is skipped. At least one
	// other instance of the own region helps a region that is cut off to find
	// itself. Default none: the instance waits to be found.
	Seeds []Peer `json:"seeds,omitempty"`
	// Keys for the links between instances. No default.
	Keys Keys `json:"keys"`
	// Bootstrap says who may sign version 1 of the bundle. No default.
	Bootstrap Bootstrap `json:"bootstrap"`
	// Platform names interfaces of the surroundings. Default none.
	Platform Platform `json:"platform"`
	// Log says what is written to standard error.
	Log Log `json:"log"`
}

// VotersOf are the voters of a region's own group, in the order of the list.
func (s *Settings) VotersOf(region string) []Peer {
	list := s.RegionVoters
	if len(list) == 0 {
		list = s.Voters
	}
	elsewhere := func(p Peer) bool { return p.Region != region }
	return slices.DeleteFunc(slices.Clone(list), elsewhere)
}

// VoterRegions are the regions with a group of their own, in the order of the list.
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

// Addresses of the interfaces, each IP:port. Names are refused: an instance
// must start while no name service answers.
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
	// ID is the other's Instance.
	ID string `json:"id"`
	// Region of the other.
	Region string `json:"region"`
	// Zone of the other.
	Zone string `json:"zone,omitempty"`
	// Address is IP:port of its interface for instances.
	Address string `json:"address"`
}

// Keys are files in PEM form; a relative path counts from the settings file.
type Keys struct {
	// Authority holds the certificates of the cluster's authority.
	Authority string `json:"authority,omitempty"`
	// Certificate is that of this instance.
	Certificate string `json:"certificate,omitempty"`
	// Key is the private key of this instance, readable by it alone.
	Key string `json:"key,omitempty"`
}

// Bootstrap is the trust before the first bundle; afterwards the bundle in
// force says who may sign.
type Bootstrap struct {
	// Operators who may sign version 1.
	Operators []bundle.Operator `json:"operators"`
	// SignOffs is how many of them must; default 1.
	SignOffs int `json:"sign_offs"`
}

// Trust is the same for the bundle's rule.
func (b Bootstrap) Trust() bundle.Trust {
	return bundle.Trust{Operators: b.Operators, SignOffs: b.SignOffs}
}

// Platform names interfaces of the surroundings.
type Platform struct {
	// InstanceList is IP:port of the platform's lagging list of live and
	// leaving instances, taken as a hint only. Default none.
	InstanceList string `json:"instance_list,omitempty"`
}

// Log says what is written.
type Log struct {
	// Level is debug, info, warn or error; default info.
	Level string `json:"level"`
}

// Default are the settings before a file is read.
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
