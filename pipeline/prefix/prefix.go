// Package prefix computes the chained digests of a prompt's blocks, which identify
// cached prefixes.
package prefix

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/gullhaven/gullhaven/pipeline/openai"
	"github.com/gullhaven/gullhaven/route"
)

// BlockBytes is the length of one block in bytes.
const BlockBytes = route.PrefixBlockTokens * openai.BytesPerToken

// MaxBlocks bounds the digests of one prompt. Prompts that differ only in later
// blocks have the same digests.
const MaxBlocks = 512

// Digests returns one digest for each whole block of the prompt, up to MaxBlocks;
// nil if there is none. Each digest covers the model, its block and all blocks
// before it, so that equal digests mean equal prefixes for the same model, apart
// from collisions of 64 bits.
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
