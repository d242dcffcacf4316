package control

import (
	"math/rand/v2"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/gullhaven/gullhaven/coord/suspect"
	"github.com/gullhaven/gullhaven/coord/wal/faultfs"
)

// Guards against requests that crash two more targets after a power loss of all machines, and a damaged
// file that keeps a core instance from starting.
func TestQuarantinedRequestsSurvivePowerLoss(t *testing.T) {
	fs := faultfs.New()
	if err := fs.MkdirAll("/d"); err != nil {
		t.Fatal(err)
	}
	entries := []suspect.Entry{{Digest: suspect.Digest{1}, Crash: suspect.Crash{Target: "t"}, Until: time.Unix(1_800_000_000, 0), SentAt: 1, CrashedAt: 2}}
	k := newSuspectsFile(fs, "/d", zap.NewNop())
	if got := k.read(); got != nil {
		t.Errorf("%v without a file", got)
	}
	if err := k.write(entries); err != nil {
		t.Fatal(err)
	}
	fs.PowerLoss(rand.New(rand.NewPCG(1, 2)).IntN)
	got := newSuspectsFile(fs, "/d", zap.NewNop()).read()
	if len(got) != 1 || got[0].Digest != entries[0].Digest || got[0].CrashedAt != 2 || !got[0].Until.Equal(entries[0].Until) {
		t.Errorf("%+v after a power loss", got)
	}
	damaged := newSuspectsFile(fs, "/d", zap.NewNop())
	if err := (&checkedFile{fs: fs, dir: "/d", name: suspectsName}).write([]byte("no entries")); err != nil {
		t.Fatal(err)
	}
	if got := damaged.read(); got != nil {
		t.Errorf("%v of a damaged file", got)
	}
}
