package registered

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"
	"go.uber.org/zap"

	"github.com/gullhaven/gullhaven/coord/registry"
	"github.com/gullhaven/gullhaven/coord/replhost"
)

// registerTimeout bounds the question to the global group, which takes a few
// round trips between regions.
const registerTimeout = 3 * time.Second

// Proposer has a registration committed by the global group.
type Proposer interface {
	Propose(ctx context.Context, entry []byte) ([]byte, error)
}

// Options of a Registrar.
type Options struct {
	// Name of the region's group.
	Name string
	// Node is this instance's member of it.
	Node   *replhost.Node
	Table  *Table
	Global Proposer
	// Lifetime of claims in the bundle in force at this instance; 0 if there is
	// none. Without one nothing can be claimed, and nothing is registered.
	Lifetime func() time.Duration
	Log      *zap.Logger
}

// Registrar registers the region's group while this instance leads it. It has a
// single owner.
type Registrar struct {
	o Options
	// told is what the log was last told.
	told told
}

// told is a state that is worth a line when it changes.
type told uint8

const (
	toldNothing told = iota
	toldUnreached
	toldReplaced
	toldWaiting
	toldOpen
)

// NewRegistrar makes a Registrar.
func NewRegistrar(o Options) *Registrar { return &Registrar{o: o} }

// Step does what is due; the leader calls it each claim.ExpireInterval. Once the group is
// admitted it asks for nothing more.
func (r *Registrar) Step(ctx context.Context) {
	if r.o.Table.Status().State == Unregistered && r.o.Lifetime() > 0 {
		r.register(ctx)
	}
	r.report()
}

// register asks the global group and writes the admission to the own log. If
// the answer is lost, or this instance stops before the admission is committed,
// the next leader asks again and gets the same answer.
func (r *Registrar) register(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	res, err := r.ask(ctx)
	switch {
	case err != nil:
		r.once(toldUnreached, func() {
			r.o.Log.Warn("region group is not registered; claims are refused", zap.String("group", r.o.Name), zap.Error(err))
		})
	case res.Reply == registry.Granted:
		r.admit(ctx, res)
	default:
		r.once(toldReplaced, func() {
			r.o.Log.Error("region group can't be registered; claims are refused", zap.String("group", r.o.Name),
				zap.Stringer("reply", res.Reply), zap.Uint64("holder", res.Group), zap.String("message", res.Message))
		})
	}
}

func (r *Registrar) ask(ctx context.Context) (registry.Result, error) {
	group := r.o.Node.Status().Core.Group
	seconds := (r.o.Lifetime() + time.Second - 1) / time.Second
	entry, err := registry.Encode(registry.Register{
		Name: r.o.Name, Group: group, Now: time.Now().UnixMilli(), LifetimeSeconds: uint32(seconds),
	})
	if err != nil {
		return registry.Result{}, err
	}
	answer, err := r.o.Global.Propose(ctx, entry)
	if err != nil {
		return registry.Result{}, err
	}
	res, err := registry.DecodeResult(answer)
	if err == nil && res.Reply == registry.Granted && res.Group != group {
		err = errors.Errorf("registered group %016x, got an answer for %016x", group, res.Group)
	}
	return res, err
}

// admit writes the answer to the region's own log. A failure is tried again
// with the next Step.
func (r *Registrar) admit(ctx context.Context, res registry.Result) {
	body := must(cbor.Marshal(admission{
		Group: res.Group, WaitSeconds: res.WaitSeconds, Losses: res.Losses, Lost: res.Lost,
	}))
	_, _ = r.o.Node.Propose(ctx, append([]byte{tag}, body...))
}

// report writes a line when claims begin to be refused or taken.
func (r *Registrar) report() {
	s := r.o.Table.Status()
	switch s.State {
	case Waiting:
		r.once(toldWaiting, func() {
			r.o.Log.Warn("claims of the region were lost; new ones are refused", zap.String("group", r.o.Name),
				zap.Duration("for", s.Remaining), zap.Uint64("lost", s.LostGroup), zap.Uint32("losses", s.Losses))
		})
	case Open:
		r.once(toldOpen, func() { r.o.Log.Info("claims of the region are taken", zap.String("group", r.o.Name)) })
	}
}

// once calls tell if it is not what was told last.
func (r *Registrar) once(what told, tell func()) {
	if r.told != what {
		r.told = what
		tell()
	}
}
