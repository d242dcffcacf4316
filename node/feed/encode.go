package feed

import (
	"time"

	"github.com/fxamacker/cbor/v2"
)

// EncodeListUpdate returns the encoded ListUpdate for an instance that holds the list of digest
// known, for one region or, if region is empty, all; nil if that list is the current one or there
// is none.
func (st *Store) EncodeListUpdate(now time.Time, known uint64, region string) cbor.RawMessage {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.encodeListUpdate(now, known, region)
}

func (st *Store) encodeListUpdate(now time.Time, known uint64, region string) cbor.RawMessage {
	if st.list.Digest == 0 || known == st.list.Digest {
		return nil
	}
	from := List{}
	for _, l := range st.olderLists {
		if l.Digest == known {
			from = l
		}
	}
	key := updateKey{from.Digest, region}
	cached, ok := st.encodedUpdates[key]
	if ok && now.Sub(cached.encodedAt) < encodedUpdateTTL {
		return cached.data
	}
	data, err := cbor.Marshal(diffLists(from, st.list, region).forWire(now))
	if err != nil {
		// Cannot fail: each field has a fixed type.
		panic("feed: a list update cannot be encoded: " + err.Error())
	}
	st.encodedUpdates[key] = encodedUpdate{data: data, encodedAt: now}
	return data
}
