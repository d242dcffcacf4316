// Package load sends a bounded, seeded load to instances on loopback and checks
// every answer.
//
// It is an open loop: requests arrive when the plan says, whether or not
// earlier ones have ended, so that a slow gateway is not spared the requests
// that its callers would have sent meanwhile. What finds no free sender is
// counted as unsent and not put off.
//
// The duties are joined by bounded rings: one goroutine hands out arrivals,
// Concurrency of them send, one tallies. Decisions (Plan, directory, stream,
// history of a key) are plain types without I/O.
package load

import (
	"errors"
	"fmt"
	"net/netip"
	"strings"
	"time"

	"github.com/gullhaven/gullhaven/bundle/strict"
)

// Bounds of a run. It is a tool for one machine, not for breaking one.
const (
	MaxRate         = 20_000
	MaxDuration     = 10 * time.Minute
	MaxConcurrency  = 4096
	MaxTokens       = 100_000
	MaxPromptTokens = 500_000
	MaxCallers      = 1024
)

// Config is what to send.
type Config struct {
	// To are callers' addresses, IP:port on loopback, whose directory is asked.
	To []string
	// Keys of workspaces; callers take them in turn.
	Keys []string
	// Model is asked for completions, or, if Plain is set, that plain service
	// for requests that run at most once.
	Model, Plain string
	// Region and Zone of the callers, for the directory; empty means unknown.
	Region, Zone string
	// Callers is the number of callers, each with a directory of its own.
	Callers int
	// Rate is the mean of arrivals per second.
	Rate float64
	// For is how long requests arrive.
	Duration time.Duration
	// Concurrency bounds the requests under way.
	Concurrency int
	// Tokens of each answer, PromptTokens of each prompt, SharedPrefix of them
	// the same in all prompts.
	Tokens, PromptTokens, SharedPrefix int
	// Deadline of each request; zero leaves it to the service.
	Deadline time.Duration
	// ResendShare of plain requests, 0 to 1, is sent again to another instance.
	ResendShare float64
	// Audit are the addresses of the plain service's stand-in targets. After the
	// run each is asked how often it ran each key.
	Audit []string
	// Baseline is a stand-in engine that gets the same load straight.
	Baseline string
	// UncheckedText leaves out the comparison with the stand-in's answer.
	SkipTextCheck bool
	Seed          uint64
}

// Check names all faults at once.
func (c *Config) Check() error {
	var faults []error
	fault := func(wrong bool, format string, args ...any) {
		if wrong {
			faults = append(faults, fmt.Errorf(format, args...))
		}
	}
	fault(len(c.To) == 0, "to: no address")
	fault(len(c.Keys) == 0, "key: no workspace key")
	fault((c.Model == "") == (c.Plain == ""), "give either a model or a plain service")
	fault(!(c.Rate > 0 && c.Rate <= MaxRate), "rate: %g is not above 0 and at most %d a second", c.Rate, MaxRate)
	fault(c.Duration <= 0 || c.Duration > MaxDuration, "for: %v is not above 0 and at most %v", c.Duration, MaxDuration)
	fault(outside(c.Concurrency, 1, MaxConcurrency), "concurrency: %d is not from 1 to %d", c.Concurrency, MaxConcurrency)
	fault(outside(c.Callers, 1, MaxCallers), "callers: %d is not from 1 to %d", c.Callers, MaxCallers)
	fault(outside(c.Tokens, 1, MaxTokens), "tokens: %d is not from 1 to %d", c.Tokens, MaxTokens)
	fault(outside(c.PromptTokens, 1, MaxPromptTokens), "prompt-tokens: %d is not from 1 to %d", c.PromptTokens, MaxPromptTokens)
	fault(outside(c.SharedPrefix, 0, c.PromptTokens), "shared-prefix: %d is not from 0 to prompt-tokens", c.SharedPrefix)
	fault(c.Deadline < 0, "deadline-ms: below 0")
	fault(!(c.ResendShare >= 0 && c.ResendShare <= 1), "resend: %g is not from 0 to 1", c.ResendShare)
	fault(c.Baseline != "" && c.Model == "", "baseline: only for a model")
	fault(len(c.Audit) > 0 && c.Plain == "", "audit: only for a plain service")
	for _, address := range c.addresses() {
		if err := CheckLoopback(address); err != nil {
			faults = append(faults, err)
		}
	}
	return errors.Join(faults...)
}

func (c *Config) addresses() []string {
	list := append(append([]string{}, c.To...), c.Audit...)
	if c.Baseline != "" {
		list = append(list, c.Baseline)
	}
	return list
}

func outside(n, low, high int) bool { return n < low || n > high }

// CheckLoopback refuses an address that is not IP:port on loopback. A wrong
// address would put the load onto a machine of somebody else.
func CheckLoopback(address string) error {
	if err := strict.CheckAddress(address); err != nil {
		return err
	}
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return err
	}
	if !parsed.Addr().Unmap().IsLoopback() {
		return fmt.Errorf("%q is not on loopback; load goes to loopback only", address)
	}
	return nil
}

// hostOf is the address in an instance's URL.
func hostOf(url string) string { return strings.TrimSuffix(strings.TrimPrefix(url, "http://"), "/") }
