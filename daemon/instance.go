package daemon

import (
	"context"
	"fmt"
	"io"
	"os"

	"go.uber.org/zap"

	"github.com/gullhaven/gullhaven/coord/keys"
	"github.com/gullhaven/gullhaven/node"
	"github.com/gullhaven/gullhaven/settings"
)

// runInstance runs the instance of a settings file until ctx ends, or checks the settings.
func runInstance(ctx context.Context, o options, out, errOut io.Writer) error {
	s, err := settings.Load(o.Settings)
	if err != nil {
		return fmt.Errorf("%s: %w", o.Settings, err)
	}
	key, err := loadKey(s.Keys)
	if err != nil {
		return err
	}
	if key.Identity.Instance != s.Instance || key.Identity.Region != s.Region {
		return fmt.Errorf("the key is that of instance %q of region %q", key.Identity.Instance, key.Identity.Region)
	}
	if o.Check {
		_, err := fmt.Fprintf(out, "%s: settings of instance %s are in order\n", o.Settings, s.Instance)
		return err
	}
	log, err := newLogger(errOut, s.Log.Level)
	if err != nil {
		return err
	}
	log = log.With(zap.String("instance", s.Instance))
	limitHeap(s.MemoryMB)
	n, err := node.New(node.Options{Settings: s, Key: key, Log: log})
	if err != nil {
		return err
	}
	if err := n.Start(); err != nil {
		return err
	}
	log.Info("started", zap.String("callers", s.Listen.Callers), zap.String("operators", s.Listen.Operators))
	<-ctx.Done()
	return stopNode(n, log)
}

// stopNode stops an instance gracefully. Requests that are cut off are an error.
func stopNode(n *node.Node, log *zap.Logger) error {
	log.Info("leaving")
	cut := n.Stop()
	if cut > 0 {
		return fmt.Errorf("%d requests in progress were cut off", cut)
	}
	log.Info("ended")
	return nil
}

// loadKey reads the instance's key from its files.
func loadKey(k settings.Keys) (*keys.Key, error) {
	var pem [3][]byte
	for i, path := range []string{k.Certificate, k.Key, k.Authority} {
		data, err := os.ReadFile(path)
		if err != nil {
			return nil, err
		}
		pem[i] = data
	}
	return keys.Load(pem[0], pem[1], pem[2])
}
