package link

import (
	"bytes"
	"io"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"github.com/gullhaven/gullhaven/coord/verdict"
)

const (
	// chunkBytes bounds the payload of one frame. Longer bulk payloads are split
	// into chunks, so that an urgent message waits behind at most one batch.
	chunkBytes = 16 << 10
	// batchBytes is the length from which a batch of frames is sent; its last
	// frame may exceed it.
	batchBytes = 32 << 10
	// maxBatchBytes bounds a received batch: a full one, one more frame and its
	// header.
	maxBatchBytes = batchBytes + chunkBytes + 4<<10
	// maxChannelNameBytes bounds the name of a channel.
	maxChannelNameBytes = 64
)

// frameKind is the type of a frame.
type frameKind uint8

const (
	// frameMessage is sent without an answer.
	frameMessage frameKind = iota
	// frameCall asks for an answer or a failure with the same ID.
	frameCall
	// frameAnswer ends a call with a result.
	frameAnswer
	// frameFailure ends a call with an encoded failure.
	frameFailure
	// frameChunk continues an earlier frame that was sent with More.
	frameChunk
	frameKinds
)

// frame is the unit on the wire; a WebSocket message is a CBOR sequence of them.
type frame struct {
	_       struct{} `cbor:",toarray"`
	Kind    frameKind
	Channel string
	// ID of the call; 0 for messages and chunks.
	ID uint64
	// Budget is how long the caller still waits, in milliseconds; 0 means
	// without a limit.
	Budget uint32
	// More is set if chunks follow.
	More    bool
	Payload []byte
}

// failure is the payload of a frameFailure.
type failure struct {
	_          struct{} `cbor:",toarray"`
	Verdict    verdict.Verdict
	Code       verdict.Code
	Message    string
	RetryAfter time.Duration
}

var (
	encoder = must(cbor.EncOptions{}.UserBufferEncMode())
	decoder = must(cbor.DecOptions{MaxArrayElements: 16, MaxNestedLevels: 4}.DecMode())
)

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// encodeFailure encodes an error for a caller. It replaces invalid UTF-8, as the
// decoder would reject the whole failure for it and lose the verdict.
func encodeFailure(e *verdict.Error) ([]byte, error) {
	return encoder.Marshal(failure{
		Verdict:    e.Verdict,
		Code:       verdict.Code(validText(string(e.Code))),
		Message:    validText(e.Message),
		RetryAfter: e.RetryAfter,
	})
}

func validText(s string) string { return strings.ToValidUTF8(s, "?") }

func decodeFailure(b []byte) *verdict.Error {
	var f failure
	if err := decoder.Unmarshal(b, &f); err != nil || f.Verdict > verdict.Ran {
		return verdict.New(verdict.MayHaveRun, CodeBadAnswer, "the peer's answer can't be read")
	}
	return &verdict.Error{Verdict: f.Verdict, Code: f.Code, Message: f.Message, RetryAfter: f.RetryAfter}
}

// assembler decodes the batches of one connection into whole frames.
type assembler struct {
	maxMessage int
	// partial is the frame whose chunks are being received; nil if there is
	// none.
	partial *frame
}

// read decodes a batch and calls deliver for each whole frame. An error means
// that the peer violated the format and the connection must be closed.
func (a *assembler) read(batch []byte, deliver func(*frame)) error {
	for len(batch) > 0 {
		f := new(frame)
		rest, err := decoder.UnmarshalFirst(batch, f)
		if err != nil {
			return errors.Annotate(err, "frame")
		}
		batch = rest
		if err := a.add(f, deliver); err != nil {
			return err
		}
	}
	return nil
}

func (a *assembler) add(f *frame, deliver func(*frame)) error {
	if f.Kind >= frameKinds || len(f.Channel) > maxChannelNameBytes {
		return errors.NotValidf("frame of kind %d with a channel name of %d bytes", f.Kind, len(f.Channel))
	}
	switch {
	case f.Kind == frameChunk && a.partial == nil:
		return errors.NotValidf("chunk without a first frame")
	case f.Kind == frameChunk:
		a.partial.Payload = append(a.partial.Payload, f.Payload...)
		a.partial.More = f.More
		f = a.partial
	case f.More && a.partial != nil:
		return errors.NotValidf("second chunked frame before the end of the first one")
	}
	if len(f.Payload) > a.maxMessage {
		return errors.NotValidf("payload longer than %d bytes", a.maxMessage)
	}
	if f.More {
		a.partial = f
		return nil
	}
	if f == a.partial {
		a.partial = nil
	}
	deliver(f)
	return nil
}

// appendFrame appends the encoding of f to a batch.
func appendFrame(batch *bytes.Buffer, f *frame) error {
	return encoder.MarshalToBuffer(f, batch)
}

// readAll replaces the content of buf by all of r.
func readAll(buf *bytes.Buffer, r io.Reader) error {
	buf.Reset()
	_, err := buf.ReadFrom(r)
	return err
}
