package pieces

import (
	"bytes"
	"compress/flate"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"sync"

	"github.com/juju/errors"
)

// Digest names bytes by their content: the first half of their SHA-256.
type Digest [16]byte

// String is the digest in hexadecimal, for logs.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// DigestOf returns the digest of bytes.
func DigestOf(raw []byte) Digest {
	sum := sha256.Sum256(raw)
	return Digest(sum[:len(Digest{})])
}

// MaxPieceBytes bounds a piece as it is before its compression.
const MaxPieceBytes = 16 << 20

// ErrDamaged: bytes do not have the content by which they are named.
const ErrDamaged = errors.ConstError("damaged piece")

var packers = sync.Pool{New: func() any {
	w, err := flate.NewWriter(io.Discard, flate.BestSpeed)
	if err != nil {
		panic(err) // The level is a constant.
	}
	return w
}}

// Pack compresses a piece, as it is kept and sent.
func Pack(raw []byte) []byte {
	w := packers.Get().(*flate.Writer)
	defer packers.Put(w)
	var out bytes.Buffer
	w.Reset(&out)
	// A bytes.Buffer takes all that is written.
	_, _ = w.Write(raw)
	_ = w.Close()
	return out.Bytes()
}

// Unpack returns the bytes and the digest of a packed piece. The error wraps ErrDamaged.
func Unpack(packed []byte) ([]byte, Digest, error) {
	r := flate.NewReader(bytes.NewReader(packed))
	raw, err := io.ReadAll(io.LimitReader(r, MaxPieceBytes+1))
	if err != nil {
		return nil, Digest{}, errors.Annotate(ErrDamaged, err.Error())
	}
	if len(raw) > MaxPieceBytes {
		return nil, Digest{}, errors.Annotatef(ErrDamaged, "over %d bytes", MaxPieceBytes)
	}
	return raw, DigestOf(raw), nil
}
