package bundle

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/juju/errors"
)

// HistoryLimit is the number of accepted versions that are kept: forty days at
// 2,500 changes a day, in 3.2 MB. A resend of an older one gets OutcomeTooOld and is
// never accepted again.
const HistoryLimit = 100_000

// History keeps the digests of consecutive accepted versions.
type History struct {
	// First is the version of the first sum; 0 while empty.
	First uint64 `json:"first"`
	// Sums has the 32 bytes of the SHA-256 of each version.
	Sums []byte `json:"sums"`
}

// Append records the next version and removes the oldest beyond HistoryLimit. It
// returns an error for a version that isn't the next, or an invalid digest.
func (h *History) Append(version uint64, digest Digest) error {
	sum, err := hex.DecodeString(string(digest))
	if err != nil || len(sum) != sha256.Size {
		return errors.Errorf("%q is not a digest", digest)
	}
	if last, _ := h.Last(); len(h.Sums) > 0 && version != last+1 {
		return errors.Errorf("version %d doesn't follow %d", version, last)
	}
	if len(h.Sums) == 0 {
		h.First = version
	}
	h.Sums = append(h.Sums, sum...)
	if surplus := len(h.Sums)/sha256.Size - HistoryLimit; surplus > 0 {
		h.Sums = h.Sums[surplus*sha256.Size:]
		h.First += uint64(surplus)
	}
	return nil
}

// Last returns the newest version and its digest; 0 and none while empty.
func (h *History) Last() (uint64, Digest) {
	if len(h.Sums) == 0 {
		return 0, ""
	}
	version := h.First + uint64(len(h.Sums)/sha256.Size) - 1
	digest, _ := h.Digest(version)
	return version, digest
}

// Digest returns the digest of a version, and false if it isn't kept.
func (h *History) Digest(version uint64) (Digest, bool) {
	if version < h.First || version >= h.First+uint64(len(h.Sums)/sha256.Size) {
		return "", false
	}
	at := (version - h.First) * sha256.Size
	return Digest(hex.EncodeToString(h.Sums[at : at+sha256.Size])), true
}

// Check returns an error for a history that Append can't have made.
func (h *History) Check() error {
	if len(h.Sums)%sha256.Size != 0 || (len(h.Sums) == 0) != (h.First == 0) {
		return errors.Errorf("history from version %d has %d bytes", h.First, len(h.Sums))
	}
	return nil
}
