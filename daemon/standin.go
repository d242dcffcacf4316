package daemon

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/gullhaven/gullhaven/standin"
)

// standinOptions of the command standin.
type standinOptions struct {
	Engines  string        `long:"engines" value-name:"IP:PORT,..." description:"Addresses of stand-in engines"`
	Plain    string        `long:"plain" value-name:"IP:PORT,..." description:"Addresses of stand-in plain services"`
	PerToken time.Duration `long:"per-token" default:"2ms" description:"Time that an engine takes for a token"`
}

// serving is a set of stand-ins that run together.
type serving struct {
	wg   sync.WaitGroup
	mu   sync.Mutex
	errs []error
}

// run serves the stand-ins until ctx ends.
func (o *standinOptions) run(ctx context.Context, out io.Writer) error {
	engines, plain := split(o.Engines), split(o.Plain)
	if len(engines)+len(plain) == 0 {
		return fmt.Errorf("%w: standin needs --engines or --plain", errUsage)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var s serving
	for _, address := range engines {
		cfg := standin.EngineConfig{ID: address, PerToken: o.PerToken}
		if err := s.engine(ctx, address, cfg); err != nil {
			return err
		}
	}
	for _, address := range plain {
		if err := s.plain(ctx, address); err != nil {
			return err
		}
	}
	_, _ = fmt.Fprintf(out, "ready: %d stand-in engines, %d plain services\n", len(engines), len(plain))
	s.wg.Wait()
	return errors.Join(s.errs...)
}

func split(list string) []string {
	return strings.FieldsFunc(list, func(r rune) bool { return r == ',' })
}

// engine listens on an address and serves an engine there.
func (s *serving) engine(ctx context.Context, address string, cfg standin.EngineConfig) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	s.start(func() error { return standin.Serve(ctx, l, standin.NewEngine(cfg)) })
	return nil
}

// plain listens on an address and serves a plain service there.
func (s *serving) plain(ctx context.Context, address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	s.start(func() error { return standin.Serve(ctx, l, standin.NewPlain(address)) })
	return nil
}

func (s *serving) start(serve func() error) {
	s.wg.Go(func() {
		err := serve()
		s.mu.Lock()
		defer s.mu.Unlock()
		s.errs = append(s.errs, err)
	})
}
