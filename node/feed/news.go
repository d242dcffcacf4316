package feed

import (
	"time"

	"github.com/fxamacker/cbor/v2"
)

// News tells what an instance that knows the list of a digest lacks, in one region or in
// all, as encoded ListNews; nil if it lacks nothing.
func (b *Store) EncodeListUpdate(now time.Time, known uint64, region string) cbor.RawMessage {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.news(now, known, region)
}

func (b *Store) news(now time.Time, known uint64, region string) cbor.RawMessage {
	if b.list.Digest == 0 || known == b.list.Digest {
		return nil
	}
	from := List{}
	for _, l := range b.older {
		if l.Digest == known {
			from = l
		}
	}
	key := listKey{from.Digest, region}
	told, ok := b.told[key]
	if ok && now.Sub(told.at) < toldLife {
		return told.data
	}
	data, err := cbor.Marshal(news(from, b.list, region).sent(now))
	if err != nil {
		// Each field has a fixed type.
		panic("feed: news of a list cannot be encoded: " + err.Error())
	}
	b.told[key] = toldNews{data: data, at: now}
	return data
}
