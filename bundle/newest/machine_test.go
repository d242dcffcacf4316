package newest_test

import (
	"bytes"
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/gullhaven/gullhaven/bundle/newest"
)

func entry(t rapid.TB, c newest.Command) []byte {
	data, err := newest.Encode(c)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func offer(t rapid.TB, version uint64, document string) []byte {
	return entry(t, newest.Command{Offer: &newest.Offer{Version: version, Document: []byte(document)}})
}

func textOf(t rapid.TB, s *newest.State) string {
	if s.Document == nil {
		return ""
	}
	text, err := s.Document.Join()
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// Guards against instances that run different routes under one version, or go back to an older
// one, while operators race with any versions and older offers arrive again. It happens if the
// last offer wins instead of the first one of the highest version.
func TestHighestVersionWinsAndFirstContentStays(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newest.NewMachine(nil)
		var version uint64
		document := ""
		for index := range rapid.IntRange(1, 40).Draw(t, "entries") {
			v := rapid.Uint64Range(1, 9).Draw(t, "version")
			text := fmt.Sprintf("document %d", index)
			m.Apply(uint64(index+1), offer(t, v, text))
			if v > version {
				version, document = v, text
			}
			if s := m.State(); s.Version != version || textOf(t, s) != document {
				t.Fatalf("version %d with %q, want %d with %q", s.Version, textOf(t, s), version, document)
			}
		}
	})
}

// Guards against evacuations that a snapshot loses or that can't be cancelled, and against
// commands or snapshots that can't be decoded and change the state.
func TestEvacuationsAreTakenBackAndSurviveSnapshots(t *testing.T) {
	Convey("a machine with a configuration and two evacuations", t, func() {
		calls := 0
		m := newest.NewMachine(func(*newest.State) { calls++ })
		m.Apply(1, offer(t, 7, "seven"))
		m.Apply(2, entry(t, newest.Command{Evacuation: &newest.Evacuation{Zone: "b", Evacuate: true}}))
		m.Apply(3, entry(t, newest.Command{Evacuation: &newest.Evacuation{Zone: "a", Evacuate: true}}))
		m.Apply(4, entry(t, newest.Command{Evacuation: &newest.Evacuation{Zone: "a", Evacuate: true}}))
		So(m.State().Zones(), ShouldResemble, []string{"a", "b"})
		So(calls, ShouldEqual, 3)

		Convey("keeps all in a snapshot", func() {
			data, err := m.Snapshot()
			So(err, ShouldBeNil)
			other := newest.NewMachine(nil)
			So(other.Restore(data), ShouldBeNil)
			So(other.State(), ShouldResemble, m.State())
		})
		Convey("takes one back", func() {
			m.Apply(5, entry(t, newest.Command{Evacuation: &newest.Evacuation{Zone: "a"}}))
			So(m.State().Zones(), ShouldResemble, []string{"b"})
			So(m.State().Index, ShouldEqual, 5)
		})
		Convey("skips what it cannot read", func() {
			before := m.State()
			m.Apply(5, bytes.Repeat([]byte{0xff}, 9))
			So(m.State(), ShouldEqual, before)
		})
		Convey("refuses a snapshot that it cannot read", func() {
			before := m.State()
			So(m.Restore([]byte{0xff}), ShouldNotBeNil)
			So(m.State(), ShouldEqual, before)
		})
	})
}
