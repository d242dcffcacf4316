package daemon

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/gullhaven/gullhaven/bundle"
	"github.com/gullhaven/gullhaven/standin"
)

// standinOptions of the command standin.
type standinOptions struct {
	Engines  string        `long:"engines" value-name:"IP:PORT,..." description:"Addresses of stand-in engines"`
	Plain    string        `long:"plain" value-name:"IP:PORT,..." description:"Addresses of stand-in plain services"`
	Bundle   string        `long:"bundle" value-name:"FILE" description:"Run the targets of a bundle, with its models loaded"`
	Region   string        `long:"region" value-name:"ID" description:"With --bundle: only the targets of this region"`
	PerToken time.Duration `long:"per-token" default:"2ms" description:"Time that an engine takes for a token"`
}

// standinSet is a set of running stand-ins and the errors with which they ended.
type standinSet struct {
	wg   sync.WaitGroup
	mu   sync.Mutex
	errs []error
}

// run serves the stand-ins until ctx ends.
func (o *standinOptions) run(ctx context.Context, out io.Writer) error {
	engines, plain, err := o.loadTargets()
	if err != nil {
		return err
	}
	if len(engines)+len(plain) == 0 {
		return fmt.Errorf("%w: standin needs --bundle, --engines or --plain", errUsage)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var s standinSet
	for _, e := range engines {
		if err := s.startEngine(ctx, e.address, e.config); err != nil {
			return err
		}
	}
	for _, address := range plain {
		if err := s.startPlain(ctx, address); err != nil {
			return err
		}
	}
	_, _ = fmt.Fprintf(out, "ready: %d stand-in engines, %d plain services\n", len(engines), len(plain))
	s.wg.Wait()
	return errors.Join(s.errs...)
}

// engineAt is an engine and its listen address.
type engineAt struct {
	address string
	config  standin.EngineConfig
}

// loadTargets returns the engines and the addresses of plain services.
func (o *standinOptions) loadTargets() ([]engineAt, []string, error) {
	var engines []engineAt
	for _, address := range splitList(o.Engines) {
		engines = append(engines, engineAt{address, standin.EngineConfig{PerToken: o.PerToken}})
	}
	plain := splitList(o.Plain)
	if o.Bundle == "" {
		return engines, plain, nil
	}
	data, err := os.ReadFile(o.Bundle)
	if err != nil {
		return nil, nil, err
	}
	b, err := bundle.Decode(data)
	if err != nil {
		return nil, nil, fmt.Errorf("%s: %w", o.Bundle, err)
	}
	bundleEngines, bundlePlain := o.bundleTargets(b)
	return append(engines, bundleEngines...), append(plain, bundlePlain...), nil
}

// bundleTargets returns the targets of a bundle; engines have the models of their services
// loaded.
func (o *standinOptions) bundleTargets(b *bundle.Bundle) (engines []engineAt, plain []string) {
	services := map[string]bundle.Service{}
	for _, s := range b.Services {
		services[s.ID] = s
	}
	for _, t := range b.Targets {
		service := services[t.Service]
		switch {
		case o.Region != "" && t.Region != o.Region:
		case service.Kind == bundle.KindPlain:
			plain = append(plain, t.Address)
		default:
			engines = append(engines, engineAt{t.Address, standin.EngineConfig{
				PerToken: o.PerToken, Slots: t.Slots, IgnoresFence: !t.ChecksFence,
				Model: service.Model, Version: service.Version, Role: string(t.Role), Adapters: service.Adapters,
			}})
		}
	}
	return engines, plain
}

func splitList(list string) []string {
	return strings.FieldsFunc(list, func(r rune) bool { return r == ',' })
}

// startEngine listens on an address and serves an engine.
func (s *standinSet) startEngine(ctx context.Context, address string, cfg standin.EngineConfig) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	s.start(func() error { return standin.Serve(ctx, l, standin.NewEngine(cfg)) })
	return nil
}

// startPlain listens on an address and serves a plain service.
func (s *standinSet) startPlain(ctx context.Context, address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	s.start(func() error { return standin.Serve(ctx, l, standin.NewPlain(address)) })
	return nil
}

func (s *standinSet) start(serve func() error) {
	s.wg.Go(func() {
		err := serve()
		s.mu.Lock()
		defer s.mu.Unlock()
		s.errs = append(s.errs, err)
	})
}
