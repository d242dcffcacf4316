// Package load sends a bounded, seeded load to instances on loopback and checks
// every answer.
//
// It is an open loop: requests arrive as planned, whether or not earlier ones have
// ended, so that a slow gateway still gets the requests that its callers would
// have sent meanwhile. An arrival that finds no free sender is counted as unsent
// and not delayed.
//
// One goroutine enqueues arrivals, Config.Concurrency goroutines send, one counts
// outcomes; bounded rings connect them. Plan, caller directory, stream and history
// of a key are plain types without I/O.
package load

import (
	"errors"
	"fmt"
	"net/netip"
	"strings"
	"time"

	"github.com/gullhaven/gullhaven/bundle/strict"
)

// Bounds of a run, which keep the load bearable for one machine. Rate is in
// requests per second.
const (
	MaxRate         = 20_000
	MaxDuration     = 10 * time.Minute
	MaxConcurrency  = 4096
	MaxTokens       = 100_000
	MaxPromptTokens = 500_000
	MaxCallers      = 1024
)

// Config describes the load.
type Config struct {
	// To are the callers' addresses of instances, IP:port on loopback, that are asked
	// for the directory.
	To []string
	// Keys of workspaces, assigned to callers round-robin.
	Keys []string
	// Model to ask for completions, or Plain, the plain service to ask with requests
	// that run at most once. Exactly one is set.
	Model, Plain string
	// Region and Zone of the callers, sent to the directory; empty means unknown.
	Region, Zone string
	// Callers is the number of callers; each reads the directory itself.
	Callers int
	// Rate is the mean number of arrivals per second.
	Rate float64
	// Duration is how long requests arrive.
	Duration time.Duration
	// Concurrency bounds the requests in flight.
	Concurrency int
	// Tokens of each answer, PromptTokens of each prompt, of which the first
	// SharedPrefix are the same in all prompts.
	Tokens, PromptTokens, SharedPrefix int
	// Deadline of each request; 0 means that of the service.
	Deadline time.Duration
	// ResendShare of plain requests, 0 to 1, is sent to a second instance as well.
	ResendShare float64
	// Audit are the addresses of the plain service's stand-in targets, which are
	// asked after the run how often they ran each key.
	Audit []string
	// Baseline is the address of a stand-in engine that gets the same load directly;
	// empty means none.
	Baseline string
	// SkipTextCheck turns off the comparison of texts with the stand-in's answer.
	SkipTextCheck bool
	Seed          uint64
}

// Check returns all faults of the configuration, joined.
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
	fault(outsideRange(c.Concurrency, 1, MaxConcurrency), "concurrency: %d is not from 1 to %d", c.Concurrency, MaxConcurrency)
	fault(outsideRange(c.Callers, 1, MaxCallers), "callers: %d is not from 1 to %d", c.Callers, MaxCallers)
	fault(outsideRange(c.Tokens, 1, MaxTokens), "tokens: %d is not from 1 to %d", c.Tokens, MaxTokens)
	fault(outsideRange(c.PromptTokens, 1, MaxPromptTokens), "prompt-tokens: %d is not from 1 to %d", c.PromptTokens, MaxPromptTokens)
	fault(outsideRange(c.SharedPrefix, 0, c.PromptTokens), "shared-prefix: %d is not from 0 to prompt-tokens", c.SharedPrefix)
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

func outsideRange(n, low, high int) bool { return n < low || n > high }

// CheckLoopback returns an error for an address that is not IP:port on loopback,
// so that a wrong address can't put the load onto somebody else's machine.
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

// addressOf returns the IP:port of an instance's URL.
func addressOf(url string) string { return strings.TrimSuffix(strings.TrimPrefix(url, "http://"), "/") }
