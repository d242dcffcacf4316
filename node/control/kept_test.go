package control

import (
	"fmt"
	"math/rand/v2"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"

	"github.com/gullhaven/gullhaven/bundle/newest"
	"github.com/gullhaven/gullhaven/coord/pieces"
	"github.com/gullhaven/gullhaven/coord/wal/faultfs"
)

func newKeptOn(fs *faultfs.FS) *kept {
	if err := fs.MkdirAll("/d"); err != nil {
		panic(err)
	}
	return newKept(fs, "/d", zap.NewNop())
}

func stateOf(version uint64, text string) *newest.State {
	source, err := pieces.Cut([]byte(text), pieces.Layout{})
	if err != nil {
		panic(err)
	}
	d := source.Pack()
	return &newest.State{Index: version, Version: version, Document: d, Root: d.Manifest.Root()}
}

// Symptom: after a loss of power all requests are refused until a leader is elected,
// or are served by a configuration that was never accepted.
// Events: power is lost at any operation of the writing of a state.
// Cause: the file was torn, or held what was not synced.
func TestKeptStateSurvivesAnyLossOfPower(t *testing.T) {
	Convey("power is lost at each operation of the second writing", t, func() {
		rng := rand.New(rand.NewPCG(1, 2))
		for budget := 0; ; budget++ {
			fs := faultfs.New()
			k := newKeptOn(fs)
			So(k.write(stateOf(1, "one")), ShouldBeNil)
			fs.CrashAfter(budget)
			err := k.write(stateOf(2, "two"))
			fs.ClearFaults()
			fs.PowerLoss(rng.IntN)
			s, readErr := newKeptOn(fs).read()
			So(readErr, ShouldBeNil)
			text, joinErr := s.Document.Join()
			So(joinErr, ShouldBeNil)
			So(fmt.Sprint(s.Version, string(text)), ShouldBeIn, "1one", "2two")
			if err == nil {
				So(s.Version, ShouldEqual, 2)
				return
			}
		}
	})
}

func TestKeptStateIsReadOnlyIfWhole(t *testing.T) {
	Convey("no file, and a damaged one", t, func() {
		fs := faultfs.New()
		k := newKeptOn(fs)
		s, err := k.read()
		So(err, ShouldBeNil)
		So(s, ShouldBeNil)
		f, err := fs.Create("/d/" + keptName)
		So(err, ShouldBeNil)
		_, err = f.WriteAt([]byte("neither a checksum nor a state"), 0)
		So(err, ShouldBeNil)
		_, err = k.read()
		So(err, ShouldNotBeNil)
	})
}

func TestKeptTakesTheNewest(t *testing.T) {
	k := newKeptOn(faultfs.New())
	for v := range uint64(5) {
		k.put(&newest.State{Version: v})
	}
	if s := <-k.next; s.Version != 4 {
		t.Fatalf("version %d", s.Version)
	}
}
