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

// registerTimeout bounds a registration at the global group, which takes a few round trips
// between regions.
const registerTimeout = 3 * time.Second

// Proposer has a registration committed by the global group.
type Proposer interface {
	Propose(ctx context.Context, entry []byte) ([]byte, error)
}

// Options of a Registrar.
type Options struct {
	// Name of the region's group.
	Name string
	// Node is this instance's member of that group.
	Node   *replhost.Node
	Table  *Table
	Global Proposer
	// Lifetime returns the claim lifetime of the bundle in force at this instance; 0 if there
	// is no bundle. Then nothing can be claimed, and nothing is registered.
	Lifetime func() time.Duration
	Log      *zap.Logger
}

// Registrar registers the region's group while this instance leads it. It must be used by one
// goroutine only.
type Registrar struct {
	o Options
	// logged is the state that was logged last.
	logged loggedState
}

// loggedState is a state whose start is logged.
type loggedState uint8

const (
	loggedNothing loggedState = iota
	loggedUnreachable
	loggedReplaced
	loggedWaiting
	loggedOpen
)

// NewRegistrar returns a Registrar.
func NewRegistrar(o Options) *Registrar { return &Registrar{o: o} }

// Step registers the group if it is not admitted yet, and logs changes of state. The leader
// calls it each claim.ExpireInterval. Once the group is admitted it sends no more requests.
func (r *Registrar) Step(ctx context.Context) {
	if r.o.Table.Status().State == Unregistered && r.o.Lifetime() > 0 {
		r.register(ctx)
	}
	r.logState()
}

// register asks the global group and writes the admission to the region's own log. If the
// answer is lost, or this instance stops before the admission is committed, the next leader
// asks again and gets the same answer.
func (r *Registrar) register(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	res, err := r.requestRegistration(ctx)
	switch {
	case err != nil:
		r.logOnce(loggedUnreachable, func() {
			r.o.Log.Warn("region group is not registered; claims are refused", zap.String("group", r.o.Name), zap.Error(err))
		})
	case res.Reply == registry.Granted:
		r.admit(ctx, res)
	default:
		r.logOnce(loggedReplaced, func() {
			r.o.Log.Error("region group can't be registered; claims are refused", zap.String("group", r.o.Name),
				zap.Stringer("reply", res.Reply), zap.Uint64("holder", res.Group), zap.String("message", res.Message))
		})
	}
}

func (r *Registrar) requestRegistration(ctx context.Context) (registry.Result, error) {
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

// admit writes the admission to the region's own log. After a failure, the next Step retries.
func (r *Registrar) admit(ctx context.Context, res registry.Result) {
	body := must(cbor.Marshal(admission{
		Group: res.Group, WaitSeconds: res.WaitSeconds, Losses: res.Losses, Lost: res.Lost,
	}))
	_, _ = r.o.Node.Propose(ctx, append([]byte{tag}, body...))
}

// logState logs when claims begin to be refused or taken.
func (r *Registrar) logState() {
	s := r.o.Table.Status()
	switch s.State {
	case Waiting:
		r.logOnce(loggedWaiting, func() {
			r.o.Log.Warn("claims of the region were lost; new ones are refused", zap.String("group", r.o.Name),
				zap.Duration("for", s.Remaining), zap.Uint64("lost", s.LostGroup), zap.Uint32("losses", s.Losses))
		})
	case Open:
		r.logOnce(loggedOpen, func() { r.o.Log.Info("claims of the region are taken", zap.String("group", r.o.Name)) })
	}
}

// logOnce calls log unless state was the last one logged.
func (r *Registrar) logOnce(state loggedState, log func()) {
	if r.logged != state {
		r.logged = state
		log()
	}
}
