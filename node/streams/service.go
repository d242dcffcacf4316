// Package streams lets entry instances know which software version began a stream that its caller
// takes up at another instance: events of two versions do not fit together.
//
// The instance that passes on the first event of a stream sends its origin to a few others, the
// keepers, of its own region and of the others. An instance at which a caller takes the stream up
// asks these. If none knows the origin the stream must be refused, as any choice would be a guess.
package streams

import (
	"context"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"github.com/gullhaven/gullhaven/coord/link"
	"github.com/gullhaven/gullhaven/pipeline/exchange"
)

// Link channels.
const (
	channelBegun  = "stream-begun"
	channelOrigin = "stream-origin"
)

const (
	// askTimeout bounds the questions for an origin: two round trips between regions, one of them to
	// make a link.
	askTimeout = 400 * time.Millisecond
	askWorkers = 16
)

// Channels returns the link channels whose messages are urgent.
func Channels() []string { return []string{channelBegun, channelOrigin} }

// begun tells a keeper what began a stream.
type begun struct {
	Key    string          `cbor:"1,keyasint"`
	Origin exchange.Origin `cbor:"2,keyasint"`
}

// Options of a Service.
type Options struct {
	Self Instance
	Hub  *link.Hub
	// Instances returns the other entry instances that accept requests.
	Instances func() []Instance
	Log       *zap.Logger
}

// Service records and finds the origins of streams. It is safe for concurrent use.
type Service struct {
	o Options

	mu    sync.Mutex
	table Table
}

// New returns a Service and registers its channels at the hub.
func New(o Options) *Service {
	s := &Service{o: o}
	o.Hub.Handle(channelBegun, s.handleBegun)
	o.Hub.Serve(channelOrigin, askWorkers, s.serveOrigin)
	return s
}

// Began implements exchange.Streams: it records what began a stream, here and at the keepers.
func (s *Service) Began(key string, o exchange.Origin) {
	s.put(key, o)
	payload, err := cbor.Marshal(begun{key, o})
	if err != nil {
		s.o.Log.Error("the origin of a stream cannot be encoded", zap.Error(err))
		return
	}
	for _, id := range copiesOf(s.o.Instances(), s.o.Self.Region, key) {
		// The other copies make up for a lost one.
		s.o.Hub.Send(id, channelBegun, payload)
	}
}

// Origin implements exchange.Streams: it returns what began a stream, and asks the keepers if this instance does not know; false if
// none knows.
func (s *Service) Origin(ctx context.Context, key string) (exchange.Origin, bool) {
	if o, ok := s.get(key); ok {
		return o, true
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	asked := askedFor(s.o.Instances(), s.o.Self.Region, key)
	answers := make(chan *exchange.Origin, len(asked))
	for _, id := range asked {
		go func() { answers <- s.ask(ctx, id, key) }()
	}
	for range asked {
		if o := <-answers; o != nil {
			s.put(key, *o)
			return *o, true
		}
	}
	return exchange.Origin{}, false
}

// ask returns what an instance knows; nil for nothing.
func (s *Service) ask(ctx context.Context, id, key string) *exchange.Origin {
	answer, err := s.o.Hub.Call(ctx, id, channelOrigin, []byte(key))
	if err != nil || len(answer) == 0 {
		return nil
	}
	var o exchange.Origin
	if err := cbor.Unmarshal(answer, &o); err != nil {
		s.o.Log.Warn("the origin of a stream cannot be read", zap.String("from", id), zap.Error(err))
		return nil
	}
	return &o
}

func (s *Service) put(key string, o exchange.Origin) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.Put(time.Now(), key, o)
}

func (s *Service) get(key string) (exchange.Origin, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Get(key)
}

func (s *Service) handleBegun(from string, payload []byte) {
	var b begun
	if err := cbor.Unmarshal(payload, &b); err != nil {
		s.o.Log.Warn("the origin of a stream cannot be read", zap.String("from", from), zap.Error(err))
		return
	}
	s.put(b.Key, b.Origin)
}

// serveOrigin answers with nothing if the origin is not known.
func (s *Service) serveOrigin(_ context.Context, _ string, payload []byte) ([]byte, error) {
	o, ok := s.get(string(payload))
	if !ok {
		return nil, nil
	}
	return cbor.Marshal(o)
}
