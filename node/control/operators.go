package control

import (
	"context"
	"errors"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"github.com/gullhaven/gullhaven/bundle/newest"
	"github.com/gullhaven/gullhaven/coord/replhost"
	"github.com/gullhaven/gullhaven/coord/verdict"
)

// InvalidError says which rule a configuration breaks. It was not taken.
type InvalidError struct{ Err error }

// Error returns the reason.
func (e *InvalidError) Error() string { return e.Err.Error() }

// Unwrap returns the reason.
func (e *InvalidError) Unwrap() error { return e.Err }

// Offer has a configuration accepted. nil acknowledges it: it, or one of a higher
// version, will be in force. An *InvalidError says that it never will be; with any
// other error it may or may not be, and the same may be offered again anywhere.
func (i *Instance) Offer(ctx context.Context, document []byte) error {
	table, err := i.o.Parse(document)
	if err != nil {
		i.log.Info("refused a configuration", zap.Int("bytes", len(document)), zap.Error(err))
		return &InvalidError{err}
	}
	if table.Version <= i.machine.State().Version {
		// The state holds only what a majority has committed.
		return nil
	}
	return i.propose(ctx, newest.Command{Offer: &newest.Offer{Version: table.Version, Document: document}})
}

// Evacuate orders that the targets of a zone get nothing more, or takes that back.
// nil acknowledges it.
func (i *Instance) Evacuate(ctx context.Context, zone string, on bool) error {
	return i.propose(ctx, newest.Command{Zone: &newest.Zone{Name: zone, Evacuate: on}})
}

// Current returns the newest accepted configuration. The error says that this
// instance cannot be sure which one that is.
func (i *Instance) Current(ctx context.Context) ([]byte, error) {
	if i.isOutside() {
		return i.readOutside(ctx)
	}
	return i.current(ctx)
}

func (i *Instance) current(ctx context.Context) ([]byte, error) {
	if err := i.confirm(ctx); err != nil {
		return nil, err
	}
	s := i.machine.State()
	if s.Version == 0 {
		return nil, errNoDocument
	}
	return s.Document, nil
}

// propose has a command committed, here or at the leader.
func (i *Instance) propose(ctx context.Context, c newest.Command) error {
	data, err := newest.Encode(c)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	if i.isOutside() {
		_, err = i.callMember(ctx, i.outside.leaderID(), channelPropose, data)
		return err
	}
	_, err = i.node.Propose(ctx, data)
	var other *replhost.NotLeaderError
	if !errors.As(err, &other) || other.Leader == "" || other.Leader == i.o.Self.ID {
		return err
	}
	// Commands may be committed twice: the second time changes nothing.
	_, err = i.hub.Call(ctx, other.Leader, channelPropose, data)
	return err
}

// servePropose takes a command of another member. It is not passed on again.
func (i *Instance) servePropose(ctx context.Context, _ string, data []byte) ([]byte, error) {
	var c newest.Command
	if err := cbor.Unmarshal(data, &c); err != nil {
		return nil, verdict.New(verdict.NotRun, "malformed_command", err.Error())
	}
	_, err := i.node.Propose(ctx, data)
	return nil, err
}
