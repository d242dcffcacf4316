package wal

import (
	"encoding/binary"
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// All numbers on disk are little-endian. Sizes are in bytes.
const (
	segmentMagic     = "GHWSEG01"
	snapshotMagic    = "GHWSNP01"
	incarnationMagic = "GHWINC01"
	magicSize        = 8
	sumSize          = 8

	incarnationName = "INCARNATION"
	lockName        = "LOCK"
	segmentSuffix   = ".wal"
	snapshotSuffix  = ".snap"
	tempSuffix      = ".tmp"
	nameDigits      = 16

	segmentHeaderSize   = magicSize + 4*8 + IncarnationSize + sumSize
	snapshotHeaderSize  = magicSize + 5*8 + IncarnationSize
	incarnationFileSize = magicSize + IncarnationSize + sumSize

	frameMagic       = 0xa7d3f1c5
	frameHeaderSize  = 3*4 + 4*8 + 4
	recordHeaderSize = 5
)

// IncarnationSize is the length of an Incarnation in bytes.
const IncarnationSize = 16

// Incarnation is the random id of a folder, from its creation until it is wiped. The host
// draws it; a folder that was wiped gets another one.
type Incarnation [IncarnationSize]byte

// String returns the id in hexadecimal.
func (i Incarnation) String() string { return fmt.Sprintf("%x", i[:]) }

// Record is one entry of the log. The host defines the meaning of Type and Data.
type Record struct {
	Type uint8
	Data []byte
}

type frameKind uint32

const (
	batchFrame frameKind = 1
	markFrame  frameKind = 2
)

// frame is the header of a frame; for Offset, Synced and Chain see the package comment.
type frame struct {
	Kind   frameKind
	Offset uint64
	Synced uint64
	// Seq is the number of the batch, or in a mark that of the batch before it.
	Seq   uint64
	Chain uint64
	// Count is the number of records, Length that of their bytes.
	Count  uint32
	Length uint32
}

// segmentHeader is at the start of a segment. NextSeq is the number of its first batch.
// PrevEnd is where the synced frames of the segment before it end, and Chain the checksum
// of the last of them; bytes after that are a lost mark or a truncated tail.
type segmentHeader struct {
	Segment uint64
	NextSeq uint64
	Chain   uint64
	PrevEnd uint64
}

// snapshotHeader is at the start of a snapshot file. Base is the first segment that is
// read besides the snapshot, Index the host's, and Seq the last batch that was synced
// when the snapshot was saved.
type snapshotHeader struct {
	Number uint64
	Base   uint64
	Index  uint64
	Seq    uint64
	Length uint64
}

// checksumSeed binds checksums to folder and file, so that a frame copied from
// elsewhere, or record data that looks like a frame, is not accepted as one.
func checksumSeed(id Incarnation, number uint64) uint64 {
	return xxhash.Sum64(binary.LittleEndian.AppendUint64(id[:], number))
}

func checksum(seed uint64, b []byte) uint64 {
	d := xxhash.NewWithSeed(seed)
	_, _ = d.Write(b) // a digest's Write never fails
	return d.Sum64()
}

func appendSum(b []byte, seed uint64) []byte {
	return binary.LittleEndian.AppendUint64(b, checksum(seed, b))
}

// splitSum verifies the checksum at the end of b and returns what precedes it.
func splitSum(b []byte, seed uint64) ([]byte, bool) {
	if len(b) < sumSize {
		return nil, false
	}
	body := b[:len(b)-sumSize]
	return body, checksum(seed, body) == binary.LittleEndian.Uint64(b[len(body):])
}

func appendNumbers(b []byte, numbers ...uint64) []byte {
	for _, n := range numbers {
		b = binary.LittleEndian.AppendUint64(b, n)
	}
	return b
}

// uint64At returns the number at position i of those encoded in b.
func uint64At(b []byte, i int) uint64 { return binary.LittleEndian.Uint64(b[8*i:]) }

// sealFrame fills in the header at the start of b, which already holds the payload, and
// appends the checksum.
func sealFrame(b []byte, f frame, seed uint64) []byte {
	h := binary.LittleEndian.AppendUint32(b[:0], frameMagic)
	h = binary.LittleEndian.AppendUint32(h, uint32(f.Kind))
	h = appendNumbers(h, f.Offset, f.Synced, f.Seq, f.Chain)
	h = binary.LittleEndian.AppendUint32(h, f.Count)
	binary.LittleEndian.AppendUint32(h, uint32(len(b)-frameHeaderSize))
	return appendSum(b, seed)
}

// readFrame reads the frame at offset off of a segment. It reports false if there is no
// complete valid frame.
func readFrame(b []byte, off int, seed uint64) (f frame, payload []byte, ok bool) {
	if len(b)-off < frameHeaderSize+sumSize {
		return f, nil, false
	}
	h := b[off : off+frameHeaderSize]
	if binary.LittleEndian.Uint32(h) != frameMagic {
		return f, nil, false
	}
	f = frame{
		Kind:   frameKind(binary.LittleEndian.Uint32(h[4:])),
		Offset: uint64At(h[8:], 0),
		Synced: uint64At(h[8:], 1),
		Seq:    uint64At(h[8:], 2),
		Chain:  uint64At(h[8:], 3),
		Count:  binary.LittleEndian.Uint32(h[40:]),
		Length: binary.LittleEndian.Uint32(h[44:]),
	}
	size := frameHeaderSize + int(f.Length) + sumSize
	if f.Offset != uint64(off) || size > len(b)-off {
		return f, nil, false
	}
	body, ok := splitSum(b[off:off+size], seed)
	if !ok {
		return f, nil, false
	}
	return f, body[frameHeaderSize:], true
}

func (f frame) end() int64 {
	return int64(f.Offset) + frameHeaderSize + int64(f.Length) + sumSize
}

func appendRecord(b []byte, r Record) []byte {
	b = append(b, r.Type)
	b = binary.LittleEndian.AppendUint32(b, uint32(len(r.Data)))
	return append(b, r.Data...)
}

// readRecords appends the records of a batch to out; their data shares payload's
// memory. It reports false if the records do not match payload exactly.
func readRecords(out []Record, payload []byte, count uint32) ([]Record, bool) {
	for range count {
		if len(payload) < recordHeaderSize {
			return out, false
		}
		n := int(binary.LittleEndian.Uint32(payload[1:]))
		end := recordHeaderSize + n
		if end > len(payload) {
			return out, false
		}
		out = append(out, Record{Type: payload[0], Data: payload[recordHeaderSize:end:end]})
		payload = payload[end:]
	}
	return out, len(payload) == 0
}

func encodeSegmentHeader(h segmentHeader, id Incarnation) []byte {
	b := appendNumbers([]byte(segmentMagic), h.Segment, h.NextSeq, h.Chain, h.PrevEnd)
	return appendSum(append(b, id[:]...), checksumSeed(id, h.Segment))
}

func decodeSegmentHeader(b []byte, id Incarnation, segment uint64) (segmentHeader, bool) {
	if len(b) < segmentHeaderSize {
		return segmentHeader{}, false
	}
	body, ok := splitSum(b[:segmentHeaderSize], checksumSeed(id, segment))
	if !ok || string(body[:magicSize]) != segmentMagic {
		return segmentHeader{}, false
	}
	n := body[magicSize:]
	h := segmentHeader{Segment: uint64At(n, 0), NextSeq: uint64At(n, 1), Chain: uint64At(n, 2), PrevEnd: uint64At(n, 3)}
	return h, h.Segment == segment
}

func encodeSnapshot(h snapshotHeader, id Incarnation, data []byte) []byte {
	b := make([]byte, 0, snapshotHeaderSize+len(data)+sumSize)
	b = appendNumbers(append(b, snapshotMagic...), h.Number, h.Base, h.Index, h.Seq, h.Length)
	b = append(append(b, id[:]...), data...)
	return appendSum(b, checksumSeed(id, h.Number))
}

func decodeSnapshot(b []byte, id Incarnation, num uint64) (snapshotHeader, []byte, bool) {
	body, ok := splitSum(b, checksumSeed(id, num))
	if !ok || len(body) < snapshotHeaderSize || string(body[:magicSize]) != snapshotMagic {
		return snapshotHeader{}, nil, false
	}
	n := body[magicSize:]
	h := snapshotHeader{Number: uint64At(n, 0), Base: uint64At(n, 1), Index: uint64At(n, 2), Seq: uint64At(n, 3), Length: uint64At(n, 4)}
	data := body[snapshotHeaderSize:]
	return h, data, h.Number == num && h.Length == uint64(len(data))
}

func encodeIncarnation(id Incarnation) []byte {
	return appendSum(append([]byte(incarnationMagic), id[:]...), 0)
}

func decodeIncarnation(b []byte) (id Incarnation, ok bool) {
	body, ok := splitSum(b, 0)
	if !ok || len(b) != incarnationFileSize || string(body[:magicSize]) != incarnationMagic {
		return id, false
	}
	copy(id[:], body[magicSize:])
	return id, true
}

func fileName(num uint64, suffix string) string {
	return fmt.Sprintf("%0*x%s", nameDigits, num, suffix)
}

// parseName returns the number in the name of a segment or snapshot.
func parseName(name, suffix string) (uint64, bool) {
	digits, found := strings.CutSuffix(name, suffix)
	if !found || len(digits) != nameDigits {
		return 0, false
	}
	num, err := strconv.ParseUint(digits, 16, 64)
	return num, err == nil && fileName(num, suffix) == name
}
