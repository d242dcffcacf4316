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

func newAcceptedFileOn(fs *faultfs.FS) *acceptedFile {
	if err := fs.MkdirAll("/d"); err != nil {
		panic(err)
	}
	return newAcceptedFile(fs, "/d", zap.NewNop())
}

func stateOf(version uint64, text string) *newest.State {
	source, err := pieces.Cut([]byte(text), pieces.Layout{})
	if err != nil {
		panic(err)
	}
	d := source.Pack()
	return &newest.State{Index: version, Version: version, Document: d, Root: d.Manifest.Root()}
}

// Guards against a truncated or unsynced file: after a power loss during a write, requests
// would be refused until a leader is elected, or served with a configuration that was never
// accepted.
func TestAcceptedFileSurvivesPowerLoss(t *testing.T) {
	Convey("power is lost at each operation of the second write", t, func() {
		rng := rand.New(rand.NewPCG(1, 2))
		for budget := 0; ; budget++ {
			fs := faultfs.New()
			k := newAcceptedFileOn(fs)
			So(k.write(stateOf(1, "one")), ShouldBeNil)
			fs.CrashAfter(budget)
			err := k.write(stateOf(2, "two"))
			fs.ClearFaults()
			fs.PowerLoss(rng.IntN)
			s, readErr := newAcceptedFileOn(fs).read()
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

func TestDamagedAcceptedFileIsNotRead(t *testing.T) {
	Convey("no file, and a damaged one", t, func() {
		fs := faultfs.New()
		k := newAcceptedFileOn(fs)
		s, err := k.read()
		So(err, ShouldBeNil)
		So(s, ShouldBeNil)
		f, err := fs.Create("/d/" + acceptedName)
		So(err, ShouldBeNil)
		_, err = f.WriteAt([]byte("neither a checksum nor a state"), 0)
		So(err, ShouldBeNil)
		_, err = k.read()
		So(err, ShouldNotBeNil)
	})
}

func TestAcceptedFileSavesTheNewest(t *testing.T) {
	k := newAcceptedFileOn(faultfs.New())
	for v := range uint64(5) {
		k.save(&newest.State{Version: v})
	}
	if s := <-k.next; s.Version != 4 {
		t.Fatalf("version %d", s.Version)
	}
}
