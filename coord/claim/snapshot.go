package claim

import (
	"bytes"
	"cmp"
	"encoding/binary"
	"fmt"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"github.com/gullhaven/gullhaven/coord/verdict"
)

// snapshotFormat must be raised whenever the layout below changes.
const snapshotFormat = 1

// recordBytes is the size of a record in a snapshot: the four digests, four
// uint32 (expiry, heldUntil, lifetime, owner), a uint16 status and two bytes
// (verdict, state), big-endian.
const recordBytes = 32 + 16 + 16 + 16 + 4*4 + 2 + 2

// snapshotData is a snapshot. Everything is sorted, so that replicas
// which applied the same entries write the same bytes.
type snapshotData struct {
	Format  int            `cbor:"1,keyasint"`
	Clock   int64          `cbor:"2,keyasint"`
	Applied uint64         `cbor:"3,keyasint"`
	Owners  []Instance     `cbor:"4,keyasint"`
	Lost    []lostInstance `cbor:"5,keyasint"`
	// Records of recordBytes each, sorted by key; owners index Owners from 1, 0 is none.
	Records []byte `cbor:"6,keyasint"`
}

type lostInstance struct {
	Instance Instance `cbor:"1,keyasint"`
	// Until is in Unix seconds on the table's clock.
	Until uint32 `cbor:"2,keyasint"`
}

// Snapshot encodes the whole table.
func (t *Table) Snapshot() ([]byte, error) {
	im := snapshotData{Format: snapshotFormat, Clock: t.clock, Applied: t.applied}
	im.Owners = make([]Instance, 0, len(t.owners.byInstance))
	for l := range t.owners.byInstance {
		im.Owners = append(im.Owners, l)
	}
	slices.SortFunc(im.Owners, compareInstances)
	ownerNumbers := make(map[Instance]uint32, len(im.Owners))
	for i, l := range im.Owners {
		ownerNumbers[l] = uint32(i + 1)
	}
	for id, l := range t.lost {
		im.Lost = append(im.Lost, lostInstance{Instance{ID: id, Incarnation: l.incarnation}, l.until})
	}
	slices.SortFunc(im.Lost, func(a, b lostInstance) int { return compareInstances(a.Instance, b.Instance) })
	im.Records = t.packRecords(ownerNumbers)
	return cbor.Marshal(im)
}

func compareInstances(a, b Instance) int {
	return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.Incarnation, b.Incarnation))
}

// packRecords encodes all records, sorted by key, with their owners as numbers.
func (t *Table) packRecords(ownerNumbers map[Instance]uint32) []byte {
	slots := make([]int32, 0, len(t.byKey))
	for _, s := range t.byKey {
		slots = append(slots, s)
	}
	slices.SortFunc(slots, func(a, b int32) int {
		return bytes.Compare(t.records[a].key[:], t.records[b].key[:])
	})
	out := make([]byte, 0, len(slots)*recordBytes)
	for _, s := range slots {
		r := &t.records[s]
		out = appendRecord(out, r, ownerNumbers[t.owners.at(r.owner)])
	}
	return out
}

func appendRecord(b []byte, r *record, owner uint32) []byte {
	b = append(b, r.key[:]...)
	b = append(b, r.body[:]...)
	b = append(b, r.attempt[:]...)
	b = append(b, r.answer[:]...)
	b = binary.BigEndian.AppendUint32(b, r.expiry)
	b = binary.BigEndian.AppendUint32(b, r.heldUntil)
	b = binary.BigEndian.AppendUint32(b, r.lifetime)
	b = binary.BigEndian.AppendUint32(b, owner)
	b = binary.BigEndian.AppendUint16(b, r.status)
	return append(b, byte(r.verdict), byte(r.state))
}

// Restore replaces the table's contents with a snapshot. On an error the table is unchanged.
func (t *Table) Restore(snapshot []byte) error {
	var im snapshotData
	if err := cbor.Unmarshal(snapshot, &im); err != nil {
		return fmt.Errorf("claims snapshot: %w", err)
	}
	if im.Format != snapshotFormat {
		return fmt.Errorf("claims snapshot: format is %d, want %d", im.Format, snapshotFormat)
	}
	if len(im.Records)%recordBytes != 0 || len(im.Records)/recordBytes > MaxRecords {
		return fmt.Errorf("claims snapshot: %d bytes of records, want whole records and no more than MaxRecords", len(im.Records))
	}
	n := NewTable()
	n.clock, n.applied = im.Clock, im.Applied
	for _, l := range im.Lost {
		n.lost[l.Instance.ID] = lostIncarnation{incarnation: l.Instance.Incarnation, until: l.Until}
	}
	for b := im.Records; len(b) > 0; b = b[recordBytes:] {
		if err := n.restoreRecord(b[:recordBytes], im.Owners); err != nil {
			return fmt.Errorf("claims snapshot: %w", err)
		}
	}
	*t = *n
	return nil
}

func (t *Table) restoreRecord(b []byte, instances []Instance) error {
	var r record
	owner := binary.BigEndian.Uint32(b[92:])
	r.key, r.body = Key(b[:32]), Digest(b[32:48])
	r.attempt, r.answer = AttemptID(b[48:64]), Digest(b[64:80])
	r.expiry, r.heldUntil = binary.BigEndian.Uint32(b[80:]), binary.BigEndian.Uint32(b[84:])
	r.lifetime = binary.BigEndian.Uint32(b[88:])
	r.status = binary.BigEndian.Uint16(b[96:])
	r.verdict, r.state = verdict.Verdict(b[98]), recordState(b[99])
	if r.verdict > verdict.Ran || r.state > stateDone || int(owner) > len(instances) {
		return fmt.Errorf("record %x is malformed", r.key[:4])
	}
	if _, duplicate := t.byKey[r.key]; duplicate {
		return fmt.Errorf("record %x stands twice", r.key[:4])
	}
	r.owner = noOwner
	if owner > 0 {
		r.owner = t.owners.intern(instances[owner-1])
	}
	t.insert(r)
	return nil
}
