package settings

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"math"
	"net"
	"os"
	"slices"
	"time"

	"github.com/gullhaven/gullhaven/bundle/strict"
)

// Site has the settings of one instance of a site: a deployment that routes by host and
// path, whose core instances form their group from seeds and whose targets come from the
// platform's list. Unknown fields are ignored, as the platform's template may have fields
// of other versions.
type Site struct {
	// Instance is its id, for logs. No default.
	Instance string `json:"instance"`
	// Region and Zone are its location. No default.
	Region string `json:"region"`
	Zone   string `json:"zone"`
	// Regions maps each availability zone to its region. No default.
	Regions map[string]string `json:"regions"`
	Listen  SiteAddresses     `json:"listen"`
	// Seeds are the operators' addresses of core instances, IP:port. Their addresses for
	// instances have the port of Listen.Instances. No default.
	Seeds []string `json:"seeds"`
	// FirstStart is true if the whole system starts for the first time; only then do the
	// seeds form the group. Default false.
	FirstStart bool `json:"first_start"`
	// DataDir is the folder of a core instance on its disk. No default.
	DataDir string `json:"data_dir"`
	// InstanceList is the address of the platform's list of targets, IP:port.
	InstanceList string `json:"instance_list"`
	// InstanceListRate is the number of calls a second that the platform's list accepts
	// from all instances together; 0, the default, means unknown.
	InstanceListRate float64 `json:"instance_list_rate"`
	// Retries is the retry budget of one service, for all instances together.
	Retries SiteRetries `json:"retries"`
	// LimitTolerance is what all instances together may pass beyond a workspace's limit;
	// default nothing.
	LimitTolerance SiteTolerance `json:"limit_tolerance"`
	// Capacity is what the machine gives this process; default unknown.
	Capacity SiteCapacity `json:"capacity"`
	// HardLoad switches on how the instance behaves under more load than it can serve.
	HardLoad HardLoad `json:"hard_load"`
	// Contracts are the platform's names of what it holds the site to. Package platform says which
	// switches of HardLoad they turn on; names that it does not know turn on nothing.
	Contracts []string `json:"contracts"`
	// GraceSeconds is the time between SIGTERM and SIGKILL; default 8.
	GraceSeconds float64 `json:"grace_seconds"`
	// MemoryMB is the memory limit of the process in MiB, from which the garbage collector's limit is derived, and
	// the bounds of what requests hold and of the connections of callers; 0, the default, means unknown.
	MemoryMB int `json:"memory_mb"`
	// LogLevel is debug, info, warn or error; default info.
	LogLevel string `json:"log_level"`
}

// SiteAddresses are IP:port. An entry instance has Callers, a core instance Operators.
type SiteAddresses struct {
	Callers   string `json:"callers"`
	Ready     string `json:"ready"`
	Operators string `json:"operators"`
	Directory string `json:"directory"`
	// Instances is the address for other instances, without TLS: the network between
	// the instances of a site is private.
	Instances string `json:"instances"`
	// InstancesBind is the listen address for other instances if Instances is the address
	// of a proxy in front of it; default Instances.
	InstancesBind string `json:"instances_bind"`
	// Metrics serves the metrics page; default none.
	Metrics string `json:"metrics"`
}

// SiteRetries is a retry budget.
type SiteRetries struct {
	// Share is the allowed ratio of retries to first attempts in a span, and Allowance the
	// number of retries allowed in addition.
	Share     float64 `json:"share"`
	Allowance float64 `json:"allowance"`
	// SpanSeconds is the length of the span; default 10.
	SpanSeconds float64 `json:"span_seconds"`
}

// SiteTolerance is what may pass beyond a limit in any window: Share of the units that the limit
// allows in it, and Units in addition.
type SiteTolerance struct {
	Share float64 `json:"share"`
	Units float64 `json:"units"`
	// WindowSeconds is the length of the window. No default.
	WindowSeconds float64 `json:"window_seconds"`
}

// SiteCapacity is what the machine gives a process; 0 means unknown.
type SiteCapacity struct {
	// Processor is its share of the processor, in cores.
	Processor float64 `json:"processor"`
	// LinkMbps is the throughput of its network link in each direction, in Mbit/s. It is checked
	// and not used yet.
	LinkMbps float64 `json:"link_mbps"`
}

// milliPerCore is the number of thousandths of a core in a core.
const milliPerCore = 1000

// ProcessorMilli returns the share of the processor in thousandths of a core.
func (c SiteCapacity) ProcessorMilli() float64 { return c.Processor * milliPerCore }

// Bounds of a processor share, in cores: feed.ValidCapacity ignores what is outside them.
const (
	minProcessor = 0.001
	maxProcessor = 1e6
)

// HardLoad has the switches of the behaviour under hard load, all off by default. Unlike elsewhere in a
// Site, an unknown name is a fault: a misspelled switch would be off without a sign of it.
type HardLoad struct {
	// FairAdmission refuses the requests of workspaces first that have had more than their share, while
	// more arrive than the targets can serve.
	FairAdmission bool `json:"fair_admission"`
	// UrgentFirst refuses requests that would take the room that more urgent ones need.
	UrgentFirst bool `json:"urgent_first"`
	// PromisedReturns tells the callers of refused requests a time at which they have a place.
	PromisedReturns bool `json:"promised_returns"`
	// WeightedDirectory names entry instances to callers in proportion to their capacity.
	WeightedDirectory bool `json:"weighted_directory"`

	// unknown are the names that it does not have, in order.
	unknown []string
}

// UnmarshalJSON implements json.Unmarshaler. Unknown names are faults of check.
func (h *HardLoad) UnmarshalJSON(data []byte) error {
	var values map[string]json.RawMessage
	if err := json.Unmarshal(data, &values); err != nil {
		return fmt.Errorf("hard_load: %w", err)
	}
	switches := map[string]*bool{
		"fair_admission": &h.FairAdmission, "urgent_first": &h.UrgentFirst, "promised_returns": &h.PromisedReturns, "weighted_directory": &h.WeightedDirectory,
	}
	for _, name := range slices.Sorted(maps.Keys(values)) {
		on, known := switches[name]
		if !known {
			h.unknown = append(h.unknown, name)
			continue
		}
		if err := json.Unmarshal(values[name], on); err != nil {
			return fmt.Errorf("hard_load.%s: %w", name, err)
		}
	}
	return nil
}

// Window returns the length of the window.
func (t SiteTolerance) Window() time.Duration { return seconds(t.WindowSeconds) }

// Span returns the length of the span.
func (r SiteRetries) Span() time.Duration { return seconds(r.SpanSeconds) }

// Grace returns the time between SIGTERM and SIGKILL.
func (s *Site) Grace() time.Duration { return seconds(s.GraceSeconds) }

func seconds(n float64) time.Duration { return time.Duration(n * float64(time.Second)) }

// Defaults of a Site.
const (
	defaultGraceSeconds = 8
	defaultSpanSeconds  = 10
)

// LoadSite reads and checks the settings of a site's instance. Wrong values are an error of
// type Problems with all faults.
func LoadSite(path string) (*Site, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	s := &Site{GraceSeconds: defaultGraceSeconds, LogLevel: "info", Retries: SiteRetries{SpanSeconds: defaultSpanSeconds}}
	if err := json.Unmarshal(data, s); err != nil {
		return nil, fmt.Errorf("settings cannot be read: %w", err)
	}
	if problems := s.check(); len(problems) > 0 {
		return nil, problems
	}
	return s, nil
}

func (s *Site) check() Problems {
	var p Problems
	require := func(ok bool, path, format string, args ...any) {
		if !ok {
			p.Add(path, format, args...)
		}
	}
	address := func(path, value string, needed bool) {
		if value == "" {
			require(!needed, path, "is missing")
			return
		}
		if err := strict.CheckAddress(value); err != nil {
			p.Add(path, "%v", err)
		}
	}
	require(s.Instance != "", "instance", "is missing")
	require(s.Region != "", "region", "is missing")
	require(s.Zone != "", "zone", "is missing")
	address("listen.callers", s.Listen.Callers, false)
	address("listen.ready", s.Listen.Ready, false)
	address("listen.operators", s.Listen.Operators, false)
	address("listen.directory", s.Listen.Directory, false)
	address("listen.instances", s.Listen.Instances, true)
	address("listen.instances_bind", s.Listen.InstancesBind, false)
	address("listen.metrics", s.Listen.Metrics, false)
	require((s.Listen.Callers == "") != (s.Listen.Operators == ""), "listen",
		"needs either callers, for an entry instance, or operators, for a core instance")
	require(s.Listen.Operators == "" || s.DataDir != "", "data_dir", "is missing; a core instance needs a disk")
	require(len(s.Seeds) > 0, "seeds", "is empty")
	for i, seed := range s.Seeds {
		address(strict.Index("seeds", i), seed, true)
	}
	address("instance_list", s.InstanceList, s.Listen.Operators != "")
	require(s.InstanceListRate >= 0, "instance_list_rate", "is %v, but must not be negative", s.InstanceListRate)
	require(s.Retries.Share >= 0 && s.Retries.Allowance >= 0, "retries", "must not be negative")
	t := s.LimitTolerance
	require(t.Share >= 0 && t.Units >= 0 && t.WindowSeconds >= 0, "limit_tolerance", "must not be negative")
	require(t.WindowSeconds > 0 || t.Share == 0 && t.Units == 0, "limit_tolerance.window_seconds", "is missing")
	for _, name := range s.HardLoad.unknown {
		p.Add(strict.Field("hard_load", name), "is not known")
	}
	cores := s.Capacity.Processor
	require(cores == 0 || cores >= minProcessor && cores <= maxProcessor, "capacity.processor",
		"is %v, but must be 0 or from %v to %v cores", cores, minProcessor, maxProcessor)
	require(s.Capacity.LinkMbps >= 0 && !math.IsInf(s.Capacity.LinkMbps, 1), "capacity.link_mbps", "is %v, but must be finite and not negative", s.Capacity.LinkMbps)
	require(s.MemoryMB >= 0, "memory_mb", "is %v, but must not be negative", s.MemoryMB)
	require(s.GraceSeconds > 0, "grace_seconds", "is %v, but must be above 0", s.GraceSeconds)
	return p
}

// BindInstances returns the listen address for other instances.
func (a *SiteAddresses) BindInstances() string { return cmp.Or(a.InstancesBind, a.Instances) }

// SeedIDs returns the seeds' addresses for instances, which are their ids.
func (s *Site) SeedIDs() []string {
	_, port, _ := net.SplitHostPort(s.Listen.Instances)
	out := make([]string, 0, len(s.Seeds))
	for _, seed := range s.Seeds {
		host, _, _ := net.SplitHostPort(seed)
		out = append(out, net.JoinHostPort(host, port))
	}
	return out
}

// RegionNames returns the sorted regions of the site.
func (s *Site) RegionNames() []string {
	names := slices.Sorted(maps.Values(s.Regions))
	return slices.Compact(names)
}
