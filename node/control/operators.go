package control

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"github.com/gullhaven/gullhaven/bundle/newest"
	"github.com/gullhaven/gullhaven/coord/link"
	"github.com/gullhaven/gullhaven/coord/memory"
	"github.com/gullhaven/gullhaven/coord/pieces"
	"github.com/gullhaven/gullhaven/coord/replhost"
	"github.com/gullhaven/gullhaven/coord/verdict"
	"github.com/gullhaven/gullhaven/pipeline/exchange"
)

// InvalidError says which rule a configuration breaks. The configuration was not accepted.
type InvalidError struct{ Err error }

// Error returns the broken rule.
func (e *InvalidError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *InvalidError) Unwrap() error { return e.Err }

// Offer has a configuration accepted. nil acknowledges it: it, or one of a higher version, will
// be in force. An *InvalidError says that it never will be. After any other error it may or may
// not be accepted, and the same document may be offered again at any core instance.
func (i *Instance) Offer(ctx context.Context, document []byte) error {
	table, err := i.o.Format.Parse(document)
	if err != nil {
		i.log.Info("refused a configuration", zap.Int("bytes", len(document)), zap.Error(err))
		return &InvalidError{err}
	}
	if table.Version <= i.machine.State().Version {
		// The state holds only what a majority has committed.
		return nil
	}
	layout := i.o.Format.Layout(document)
	if len(layout.Ends) != len(table.Routes) {
		// Routes that parse differently one by one than together would differ between
		// instances.
		layout = pieces.Layout{}
	}
	source, err := pieces.Cut(document, layout)
	if err != nil {
		return err
	}
	return i.offer(ctx, table.Version, source)
}

// OvertakenError says that other orders of the zone were acknowledged while each decision about
// this one was on its way. The order was not carried out.
type OvertakenError struct{ Zone string }

// Error returns the zone of the order.
func (e *OvertakenError) Error() string {
	return fmt.Sprintf("other orders of zone %q were acknowledged meanwhile", e.Zone)
}

// errSenderLeft refuses an order whose sender has left: it may have asked another core instance
// since, and for the opposite.
var errSenderLeft = errors.New("the sender of the order has left")

// maxNewDecisions is how often an order that the group refused is decided again.
const maxNewDecisions = 3

// Evacuate orders that the targets of a zone get no further work, or withdraws that order. nil
// acknowledges it. The order is decided on what this instance knows when it is called: if another
// order of the zone is acknowledged afterwards, this one is decided again, but only while its
// sender waits. Otherwise a process that was paused would undo a newer order of the same sender.
func (i *Instance) Evacuate(ctx context.Context, zone string, on bool) error {
	decided := max(i.machine.OrderIndex(), i.accepted().Index)
	for range 1 + maxNewDecisions {
		// Checked after the decision: what the sender orders elsewhere from now on has a
		// higher index.
		if exchange.CallerLeft(ctx) {
			return errSenderLeft
		}
		order := newest.Evacuation{Zone: zone, Evacuate: on, Decided: &decided}
		result, err := i.propose(ctx, newest.Command{Evacuation: &order})
		if err != nil || result.RefusedAt == 0 {
			return err
		}
		i.log.Info("an order was overtaken by another one", zap.String("zone", zone), zap.Bool("evacuate", on),
			zap.Uint64("decided", decided), zap.Uint64("refused_at", result.RefusedAt))
		decided = result.RefusedAt
	}
	return &OvertakenError{zone}
}

// Current returns the newest accepted configuration. An error says that this instance cannot be
// sure which one that is.
func (i *Instance) Current(ctx context.Context) ([]byte, error) {
	if !i.isStandby() {
		return i.current(ctx)
	}
	document, err := i.readAsStandby(ctx)
	if err == nil && !memory.Of(ctx).Take(time.Now(), int64(len(document))) {
		return nil, memory.ErrNoMemory
	}
	return document, err
}

func (i *Instance) current(ctx context.Context) ([]byte, error) {
	if err := i.confirm(ctx); err != nil {
		return nil, err
	}
	s := i.machine.State()
	if s.Version == 0 {
		return nil, errNoDocument
	}
	if !memory.Of(ctx).Take(time.Now(), int64(s.Document.Manifest.Bytes)) {
		return nil, memory.ErrNoMemory
	}
	return s.Document.Join()
}

// maxOfferRounds bounds the rounds of one offer: newer pieces may have replaced some that
// others proposed.
const maxOfferRounds = 3

// offer proposes the pieces that the group lacks, and then the configuration that consists of
// them. If the rest comes too late, committed pieces stay, and the next offer, at any core
// instance, continues from there.
func (i *Instance) offer(ctx context.Context, version uint64, source *pieces.Source) error {
	began := time.Now()
	missing := i.machine.Missing(&source.Manifest)
	missingPieces := len(missing)
	err := i.offerMissing(ctx, version, source, missing)
	i.log.Info("offered a configuration", zap.Uint64("version", version), zap.Int("bytes", source.Manifest.Bytes), zap.Int("pieces", missingPieces),
		zap.Int("of", len(source.Manifest.Digests)), zap.Duration("took", time.Since(began)), zap.Error(err))
	return err
}

func (i *Instance) offerMissing(ctx context.Context, version uint64, source *pieces.Source, missing []pieces.Digest) error {
	for range maxOfferRounds {
		batches := batchPieces(source.PackPieces(missing))
		commands := []newest.Command{{Offer: &newest.Offer{Version: version, Manifest: &source.Manifest}}}
		if n := len(batches); n > 0 {
			if err := i.proposeBatches(ctx, batches[:n-1]); err != nil {
				return err
			}
			commands = []newest.Command{{Pieces: &newest.Pieces{Packed: batches[n-1]}}, commands[0]}
		}
		result, err := i.propose(ctx, commands...)
		if err != nil || len(result.Missing) == 0 {
			return err
		}
		missing = result.Missing
	}
	return errors.New("pieces of the configuration were lost again and again")
}

const (
	// maxPartsBytes bounds the pieces of one proposal, so that an entry fits one chunk of a
	// link.
	maxPartsBytes = maxAppendBytes - 1<<10
	// maxPartsInFlight bounds the proposals of pieces in flight, below the queue length of a
	// link: a document that compresses badly has hundreds.
	maxPartsInFlight = 64
)

// batchPieces distributes packed pieces over proposals.
func batchPieces(packed [][]byte) (batches [][][]byte) {
	size := maxPartsBytes
	for _, p := range packed {
		if size += len(p); size > maxPartsBytes {
			batches, size = append(batches, nil), len(p)
		}
		last := &batches[len(batches)-1]
		*last = append(*last, p)
	}
	return batches
}

// proposeBatches proposes pieces, up to maxPartsInFlight proposals at once.
func (i *Instance) proposeBatches(ctx context.Context, batches [][][]byte) error {
	errs := make([]error, len(batches))
	slots := make(chan struct{}, maxPartsInFlight)
	var wg sync.WaitGroup
	for k, batch := range batches {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			_, errs[k] = i.propose(ctx, newest.Command{Pieces: &newest.Pieces{Packed: batch}})
		})
	}
	wg.Wait()
	return errors.Join(errs...)
}

// propose has commands committed one after the other, here or at the leader, and returns the result of
// the last one. Together they take one round trip to the leader and from there to a majority, as one
// command does: of the second that operators wait, two regions far apart leave room for little more.
func (i *Instance) propose(ctx context.Context, commands ...newest.Command) (newest.Result, error) {
	var encoded [][]byte
	for _, c := range commands {
		data, err := newest.Encode(c)
		if err != nil {
			return newest.Result{}, err
		}
		encoded = append(encoded, data)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	result, err := i.commit(ctx, encoded)
	if err != nil {
		return newest.Result{}, err
	}
	return newest.DecodeResult(result)
}

func (i *Instance) commit(ctx context.Context, encoded [][]byte) ([]byte, error) {
	if i.isStandby() {
		return i.commitAt(ctx, i.standby.leaderID(), encoded, i.callMember)
	}
	result, err := i.node.ProposeAll(ctx, encoded...)
	var other *replhost.NotLeaderError
	if !errors.As(err, &other) || other.Leader == "" || other.Leader == i.o.Self.ID {
		return result, err
	}
	// A command may be committed twice: the second time changes nothing.
	return i.commitAt(ctx, other.Leader, encoded, i.hub.Call)
}

// commitAt has the leader commit commands. A leader of an older release takes one at a time.
func (i *Instance) commitAt(ctx context.Context, leader string, encoded [][]byte,
	call func(ctx context.Context, to, channel string, payload []byte) ([]byte, error),
) (result []byte, err error) {
	if len(encoded) > 1 {
		payload, err := cbor.Marshal(encoded)
		if err != nil {
			return nil, err
		}
		result, err := call(ctx, leader, channelProposeAll, payload)
		var refused *verdict.Error
		if !errors.As(err, &refused) || refused.Code != link.CodeNoHandler {
			return result, err
		}
	}
	for _, data := range encoded {
		if result, err = call(ctx, leader, channelPropose, data); err != nil {
			return nil, err
		}
	}
	return result, nil
}

// servePropose proposes a command of another member. It does not forward it again.
func (i *Instance) servePropose(ctx context.Context, _ string, data []byte) ([]byte, error) {
	return i.proposeHere(ctx, data)
}

// serveProposeAll is servePropose for several commands.
func (i *Instance) serveProposeAll(ctx context.Context, _ string, payload []byte) ([]byte, error) {
	var encoded [][]byte
	if err := cbor.Unmarshal(payload, &encoded); err != nil {
		return nil, verdict.New(verdict.NotRun, "malformed_command", err.Error())
	}
	return i.proposeHere(ctx, encoded...)
}

func (i *Instance) proposeHere(ctx context.Context, encoded ...[]byte) ([]byte, error) {
	for _, data := range encoded {
		var c newest.Command
		if err := cbor.Unmarshal(data, &c); err != nil {
			return nil, verdict.New(verdict.NotRun, "malformed_command", err.Error())
		}
	}
	return i.node.ProposeAll(ctx, encoded...)
}
