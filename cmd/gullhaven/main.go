// Command gullhaven is the operators' command line; see package cli.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/gullhaven/gullhaven/operate"
	"github.com/gullhaven/gullhaven/operate/cli"
)

func main() {
	os.Exit(run())
}

func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	env := &cli.Env{Context: ctx, Out: os.Stdout, Err: os.Stderr, Now: time.Now, Sleep: operate.Sleep}
	return cli.Run(env, os.Args[1:])
}
