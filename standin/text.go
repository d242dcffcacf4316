// Package standin provides small servers in place of what gullhaven talks to:
// model engines, plain services, the weight store and the list of instances.
// They speak the published protocols, count what they ran and inject faults on
// demand, for tests, measurements and gullhavend --dev.
package standin

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"
)

// defaultTokens is the length of an answer if the request sets no maximum.
const defaultTokens = 16

var words = [...]string{
	"wind", "ridge", "cloud", "crater", "harbour", "reel", "title", "route",
	"coast", "gate", "ash", "north", "frame", "licence", "ferry", "dawn",
}

// Tokens returns the answer to a prompt as n tokens, at least one. It depends on
// prompt and n only, so that a test can tell a whole answer from a part of it or
// from the answer to another prompt. The first token is a digest of the prompt.
func Tokens(prompt []byte, n int) []string {
	sum := sha256.Sum256(prompt)
	out := make([]string, max(1, n))
	out[0] = hex.EncodeToString(sum[:8])
	for i := 1; i < len(out); i++ {
		out[i] = " " + words[(int(sum[i%len(sum)])+i)%len(words)]
	}
	return out
}

// Answer returns the tokens of Tokens as one text.
func Answer(prompt []byte, n int) string { return strings.Join(Tokens(prompt, n), "") }
