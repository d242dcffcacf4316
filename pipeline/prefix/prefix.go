// Package prefix computes the chained digests of a prompt's blocks, by which
// prefix caches are recognised.
package prefix

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/gullhaven/gullhaven/pipeline/openai"
	"github.com/gullhaven/gullhaven/route"
)

// BlockBytes is the length of one block in bytes.
const BlockBytes = route.PrefixBlockTokens * openai.BytesPerToken

// MaxBlocks bounds the digests of one prompt; what follows is not told apart.
const MaxBlocks = 512

// Digests returns one digest for each whole block of the prompt. Each covers
// its block and all blocks before, and the model, so that equal digests mean
// equal prefixes for the same model up to collisions of 64 bits.
func Digests(model string, prompt []byte) []uint64 {
	blocks := min(len(prompt)/BlockBytes, MaxBlocks)
	if blocks == 0 {
		return nil
	}
	out := make([]uint64, blocks)
	chain := xxhash.Sum64String(model)
	var buf [8 + BlockBytes]byte
	for i := range out {
		binary.LittleEndian.PutUint64(buf[:8], chain)
		copy(buf[8:], prompt[i*BlockBytes:(i+1)*BlockBytes])
		chain = xxhash.Sum64(buf[:])
		out[i] = chain
	}
	return out
}
