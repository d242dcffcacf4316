package daemon

import (
	"context"
	"crypto/ed25519"
	"crypto/rand"
	"crypto/sha256"
	_ "embed"
	"encoding/base64"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"os"
	"time"

	"go.uber.org/zap"

	"github.com/gullhaven/gullhaven/bundle"
	"github.com/gullhaven/gullhaven/coord/keys"
	"github.com/gullhaven/gullhaven/node"
	"github.com/gullhaven/gullhaven/settings"
	"github.com/gullhaven/gullhaven/standin"
)

// Embedded defaults of --dev.
const (
	devInstance    = "dev-1"
	devRegion      = "dev"
	devZone        = "dev-a"
	devCallers     = "127.0.0.1:8080"
	devInstances   = "127.0.0.1:8081"
	devOperators   = "127.0.0.1:8082"
	devEngine      = "127.0.0.1:8091"
	devEcho        = "127.0.0.1:8092"
	devOrders      = "127.0.0.1:8093"
	devKey         = "dev-key"
	devOperator    = "dev"
	devValidity    = 30 * 24 * time.Hour
	devRollTimeout = 20 * time.Second
	// devMemoryMB is its memory in MiB.
	devMemoryMB = 256
)

// devEngineConfig is the engine with the model of the embedded bundle loaded.
var devEngineConfig = standin.EngineConfig{
	PerToken: 5 * time.Millisecond, Slots: 16, Model: "dev-model", Version: "v1", Role: string(bundle.RoleBoth),
}

// devBundle is the bundle of --dev, without the operator's and the workspaces' keys.
//
//go:embed dev.json
var devBundle []byte

// runDev runs one instance with a stand-in engine and two plain services in this
// process. Its disk is a folder that is removed at the end.
func runDev(ctx context.Context, out, errOut io.Writer) error {
	log, err := newLogger(errOut, "warn")
	if err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", "gullhaven-dev-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	targets, cancel := context.WithCancel(context.Background())
	var s standinSet
	defer s.wg.Wait()
	defer cancel()
	if err := s.startEngine(targets, devEngine, devEngineConfig); err != nil {
		return err
	}
	for _, address := range []string{devEcho, devOrders} {
		if err := s.startPlain(targets, address); err != nil {
			return err
		}
	}
	return runDevInstance(ctx, dir, log, out)
}

func runDevInstance(ctx context.Context, dir string, log *zap.Logger, out io.Writer) error {
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return err
	}
	key, err := devInstanceKey()
	if err != nil {
		return err
	}
	operator := bundle.Operator{ID: devOperator, PublicKey: base64.StdEncoding.EncodeToString(public)}
	limitHeap(devMemoryMB)
	n, err := node.New(node.Options{Settings: devSettings(dir, operator), Key: key, Log: log})
	if err != nil {
		return err
	}
	if err := n.Start(); err != nil {
		return err
	}
	signed, err := signDevBundle(operator, private)
	if err == nil {
		err = rollDevBundle(ctx, n, signed)
	}
	if err != nil {
		n.Stop()
		return err
	}
	printReady(out)
	<-ctx.Done()
	return stopNode(n, log)
}

// devInstanceKey creates an authority for this run and issues the instance's key.
func devInstanceKey() (*keys.Key, error) {
	authority, err := keys.NewAuthority("dev", time.Now(), devValidity)
	if err != nil {
		return nil, err
	}
	host, _, err := net.SplitHostPort(devInstances)
	if err != nil {
		return nil, err
	}
	id := keys.Identity{Instance: devInstance, Region: devRegion}
	return authority.Issue(id, []string{host}, time.Now(), devValidity)
}

func devSettings(dir string, operator bundle.Operator) *settings.Settings {
	s := settings.Default()
	s.Instance, s.Region, s.Zone = devInstance, devRegion, devZone
	s.Listen = settings.Addresses{Callers: devCallers, Instances: devInstances, Operators: devOperators}
	s.Advertise = s.Listen
	s.DataDir, s.Voter, s.MemoryMB = dir, true, devMemoryMB
	s.Voters = []settings.Peer{{ID: devInstance, Region: devRegion, Zone: devZone, Address: devInstances}}
	s.Bootstrap = settings.Bootstrap{Operators: []bundle.Operator{operator}, SignOffs: 1}
	return s
}

// signDevBundle completes and signs the embedded bundle.
func signDevBundle(operator bundle.Operator, key ed25519.PrivateKey) ([]byte, error) {
	b, err := bundle.Decode(devBundle)
	if err != nil {
		return nil, err
	}
	b.Operators = []bundle.Operator{operator}
	sum := sha256.Sum256([]byte(devKey))
	for i := range b.Workspaces {
		b.Workspaces[i].KeyHashes = []string{hex.EncodeToString(sum[:])}
	}
	if problems := bundle.Check(b); len(problems) > 0 {
		return nil, problems
	}
	id, err := b.Identity()
	if err != nil {
		return nil, err
	}
	return bundle.EncodeSigned(&bundle.Signed{
		Bundle:     *b,
		Signatures: []bundle.Signature{bundle.Sign(id, operator.ID, key)},
	})
}

// rollDevBundle rolls the bundle and waits until it is in force.
func rollDevBundle(ctx context.Context, n *node.Node, signed []byte) error {
	ctx, cancel := context.WithTimeout(ctx, devRollTimeout)
	defer cancel()
	tick := time.NewTicker(50 * time.Millisecond)
	defer tick.Stop()
	var err error
	for n.Ready() != nil {
		// The group has no leader at first; rolling the same bytes again is safe.
		_, err = n.Roll(ctx, signed)
		select {
		case <-tick.C:
		case <-ctx.Done():
			return fmt.Errorf("the embedded bundle is not in force after %v: %w", devRollTimeout, err)
		}
	}
	return nil
}

func printReady(out io.Writer) {
	_, _ = fmt.Fprintf(out, `ready: callers http://%s, operators http://%s
Try:
  curl -sN http://%s/v1/chat/completions -H 'Authorization: Bearer %s' -d '{"model":"dev-llm","stream":true,"max_tokens":16,"messages":[{"role":"user","content":"hello"}]}'
  curl -s http://%s/services/echo/hello -H 'Authorization: Bearer %s'
`, devCallers, devOperators, devCallers, devKey, devCallers, devKey)
}
