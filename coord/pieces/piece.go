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

// Digest identifies bytes by their content: the first half of their SHA-256.
type Digest [16]byte

// String returns the digest in hexadecimal, for logs.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// DigestOf returns the digest of bytes.
func DigestOf(raw []byte) Digest {
	sum := sha256.Sum256(raw)
	return Digest(sum[:len(Digest{})])
}

// MaxPieceBytes bounds the length of a piece before compression.
const MaxPieceBytes = 16 << 20

// ErrDamaged means that bytes can't be unpacked, or do not have the expected digest or
// structure.
const ErrDamaged = errors.ConstError("damaged piece")

var compressors = sync.Pool{New: func() any {
	w, err := flate.NewWriter(io.Discard, flate.BestSpeed)
	if err != nil {
		panic(err) // The level is a constant.
	}
	return w
}}

// Pack compresses a piece for storing and sending.
func Pack(raw []byte) []byte {
	w := compressors.Get().(*flate.Writer)
	defer compressors.Put(w)
	var out bytes.Buffer
	w.Reset(&out)
	// Writes to a bytes.Buffer never fail.
	_, _ = w.Write(raw)
	_ = w.Close()
	return out.Bytes()
}

// Unpack returns the bytes of a packed piece and their digest, which the caller must compare
// with the expected one. The error wraps ErrDamaged.
func Unpack(packed []byte) ([]byte, Digest, error) {
	r := flate.NewReader(bytes.NewReader(packed))
	raw, err := io.ReadAll(io.LimitReader(r, MaxPieceBytes+1))
	if err != nil {
		return nil, Digest{}, errors.Annotate(ErrDamaged, err.Error())
	}
	if len(raw) > MaxPieceBytes {
		return nil, Digest{}, errors.Annotatef(ErrDamaged, "longer than %d bytes", MaxPieceBytes)
	}
	return raw, DigestOf(raw), nil
}
