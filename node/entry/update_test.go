package entry

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"

	"github.com/gullhaven/gullhaven/bundle/newest"
	"github.com/gullhaven/gullhaven/bundle/routes"
	"github.com/gullhaven/gullhaven/coord/pieces"
	"github.com/gullhaven/gullhaven/node/feed"
	"github.com/gullhaven/gullhaven/pipeline/exchange"
	"github.com/gullhaven/gullhaven/route/pick"
)

func newInstance(t *testing.T) *Instance { return newWeightedInstance(t, false) }

// newWeightedInstance returns an instance with a capacity of 192 thousandths of a core.
func newWeightedInstance(t *testing.T, weighted bool) *Instance {
	t.Helper()
	i, err := New(Options{
		Self:              feed.Entry{ID: "127.0.0.1:1", Region: "r", Zone: "z", CallerAddress: "127.0.0.1:2", Capacity: 192},
		WeightedDirectory: weighted, Seeds: []string{"127.0.0.1:3"},
		Format: oneByte{}, Log: zap.NewNop(), AccessLog: zap.NewNop(),
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(i.hub.Close)
	return i
}

func encode(t *testing.T, n feed.ListUpdate) []byte {
	t.Helper()
	data, err := cbor.Marshal(n)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// oneByte is a format of documents that consist of their version.
type oneByte struct{}

func (oneByte) Parse(document []byte) (*routes.Table, error) {
	return &routes.Table{Version: uint64(document[0])}, nil
}
func (oneByte) Layout([]byte) pieces.Layout                { return pieces.Layout{} }
func (oneByte) ParseRoutes([]byte) ([]routes.Route, error) { return nil, errors.New("no routes") }

func state(index uint64, version byte) *newest.State {
	source, err := pieces.Cut([]byte{version}, pieces.Layout{})
	if err != nil {
		panic(err)
	}
	d := source.Pack()
	return &newest.State{Index: index, Version: uint64(version), Document: d, Root: d.Manifest.Root()}
}

// applyWhole applies an update with a state to an instance, and then transfers the state's
// document.
func applyWhole(t *testing.T, i *Instance, s *newest.State, u *feed.Update, r feed.Report) {
	t.Helper()
	u.Head = s.Head()
	i.applyUpdate("core", u, r)
	var holder pieces.Holder
	holder.Put(s.Root, s.Document)
	for {
		q, wait := i.fetcher.next(time.Now())
		if q == nil {
			if wait >= 0 {
				t.Fatal("a request failed")
			}
			return
		}
		if err := i.fetcher.transfer.HandleResponse(time.Now(), q, holder.Respond(&q.Request)); err != nil {
			t.Fatal(err)
		}
		i.activate()
	}
}

// Guards against a region that refuses all requests that another one must serve: two reports are in
// flight, the answer to one brings another list of instances, the other one, sent with the older
// list, brings none, and a missing list is taken for an empty one.
func TestUpdateWithoutListKeepsList(t *testing.T) {
	Convey("two updates cross", t, func() {
		i := newInstance(t)
		applyWhole(t, i, state(1, 1), &feed.Update{Entries: &feed.EntriesUpdate{Epoch: 1, At: 1, Entries: []feed.Entry{{ID: "a", Region: "q", Ready: true}}}, List: encode(t, feed.ListUpdate{Digest: 1})}, feed.Report{})
		So(len(i.gateway.View().Peers), ShouldEqual, 1)
		i.applyUpdate("core", &feed.Update{ListAgeMillis: -1}, feed.Report{})
		So(len(i.gateway.View().Peers), ShouldEqual, 1)
		i.applyUpdate("core", &feed.Update{Entries: &feed.EntriesUpdate{Epoch: 1, Base: 1, At: 2, Removed: []string{"a"}}, ListAgeMillis: -1}, feed.Report{})
		So(i.gateway.View().Peers, ShouldBeEmpty)
	})
}

// Guards against a region that gets all spillover of the others, or costs that are not numbers: the
// summary of a region has impossible figures, as from another version, or the load of a region is
// unknown, and they are used as received.
func TestInvalidSummariesAreIgnored(t *testing.T) {
	Convey("summaries of four regions", t, func() {
		i := newInstance(t)
		applyWhole(t, i, state(1, 1), &feed.Update{List: encode(t, feed.ListUpdate{Digest: 1}), Regions: []feed.Summary{
			{Region: "good", Service: "s", Targets: 2, Slots: 8, PendingPrefill: []int{0, 5}, PrefillSumTokens: 100, PrefillSumMillis: 3},
			{Region: "negative", Service: "s", Targets: 2, Running: -1},
			{Region: "odd", Service: "s", Targets: 2, PendingPrefill: []int{3, -9}},
			{Region: "unknown", Service: "s", Targets: 2, LoadUnknown: true},
		}}, feed.Report{})
		regions := i.gateway.View().Regions
		So(len(regions), ShouldEqual, 2)
		good := regions[exchange.RegionService{Region: "good", Service: "s"}]
		So(good.PendingPrefill.Ahead(1), ShouldEqual, 5)
		So(good.Prefill, ShouldResemble, pick.PrefillSums{Tokens: 100, Millis: 3})
		So(regions[exchange.RegionService{Region: "unknown", Service: "s"}].LoadUnknown, ShouldBeTrue)
		So(i.metrics.SummariesInvalid.Count(), ShouldEqual, 2)
		So(i.metrics.SummariesUnknown.Count(), ShouldEqual, 1)
	})
}

// Guards against a stream that is cut off twice during a restart of all instances, so that its
// caller gets half of an answer: it is forwarded to a leaving instance of another region, and when
// that ends to a leaving one of a third region; the caller's own instance leaves meanwhile, so that
// the cut counts as lost by planned work.
func TestNothingIsForwardedToLeavingInstances(t *testing.T) {
	Convey("two instances of another region", t, func() {
		i := newInstance(t)
		one, two := feed.Entry{ID: "a", Region: "q", Ready: true}, feed.Entry{ID: "b", Region: "q", Leaving: true}
		learn := func(base uint64, entries ...feed.Entry) {
			applyWhole(t, i, state(1, 1), &feed.Update{Entries: &feed.EntriesUpdate{Epoch: 1, Base: base, At: base + 1, Entries: entries}, List: encode(t, feed.ListUpdate{Digest: 1})}, feed.Report{})
		}
		learn(0, one, two)
		So(len(i.gateway.View().Peers), ShouldEqual, 1)
		So(i.gateway.View().Peers[0].Address, ShouldEqual, "a")
		one.Ready, one.Leaving = false, true
		learn(1, one)
		So(i.gateway.View().Peers, ShouldBeEmpty)
	})
	Convey("in the own region leaving ones are used if none is ready", t, func() {
		leaving := feed.Entry{ID: "a", Region: "r", Leaving: true}
		ready := feed.Entry{ID: "b", Region: "r", Ready: true}
		gone, elsewhere := feed.Entry{ID: "c", Region: "r"}, feed.Entry{ID: "d", Region: "q", Ready: true}
		So(acceptingEntries([]feed.Entry{leaving, gone, elsewhere}, "r"), ShouldResemble, []string{"a"})
		So(acceptingEntries([]feed.Entry{leaving, ready, gone}, "r"), ShouldResemble, []string{"b"})
	})
}

// Guards against lists and reports that change where the weighted directory is off, also while
// instances with another setting report their capacities; and against capacities that do not reach the
// directory or the choice of an instance of another region.
func TestCapacitiesApplyOnlyIfEnabled(t *testing.T) {
	for _, weighted := range []bool{false, true} {
		Convey(fmt.Sprintf("one large instance in each region, enabled: %v", weighted), t, func() {
			i := newWeightedInstance(t, weighted)
			applyWhole(t, i, state(1, 1), &feed.Update{Entries: &feed.EntriesUpdate{Epoch: 1, At: 1, Entries: []feed.Entry{
				{ID: "a", Region: "r", Zone: "z", CallerAddress: "large", Ready: true, Capacity: 576},
				{ID: "b", Region: "q", Zone: "y", Ready: true, Capacity: 576}, {ID: "c", Region: "q", Zone: "y", Ready: true},
				{ID: "d", Region: "q", Zone: "y", Ready: true, Capacity: 192},
			}}, List: encode(t, feed.ListUpdate{Digest: 1})}, feed.Report{})
			peers, list, report := i.gateway.View().Peers, i.CallerAddresses("h.example", "r"), i.newReport(0)
			data, err := cbor.Marshal(report.Self)
			So(err, ShouldBeNil)
			var sent map[int]any
			So(cbor.Unmarshal(data, &sent), ShouldBeNil)
			if !weighted {
				So(sent, ShouldNotContainKey, 10)
				So(list, ShouldResemble, []string{"127.0.0.1:2", "large"})
				So(peers, ShouldResemble, []exchange.Peer{{Address: "b", Region: "q"}, {Address: "c", Region: "q"}, {Address: "d", Region: "q"}})
				return
			}
			So(list, ShouldResemble, []string{"large", "127.0.0.1:2", "large", "large"})
			So(peers, ShouldResemble, []exchange.Peer{
				{Address: "b", Region: "q", Capacity: 576}, {Address: "c", Region: "q", Capacity: 384}, {Address: "d", Region: "q", Capacity: 192},
			})
			So(sent[10], ShouldEqual, 192)
		})
	}
}

// Guards against routes that return to an older version for a moment: updates of core instances,
// one of which lags, arrive in any order, and the newest message is taken for the newest state.
func TestStateAndListNeverGoBack(t *testing.T) {
	Convey("a lagging core instance answers after another one", t, func() {
		i := newInstance(t)
		fresh := []feed.Target{{ID: "new", Service: "s", Region: "q"}}
		stale := []feed.Target{{ID: "old", Service: "s", Region: "q"}}
		applyWhole(t, i, state(4, 9), &feed.Update{List: encode(t, feed.ListUpdate{Digest: 1, Targets: fresh}), ListAgeMillis: 100}, feed.Report{})
		applyWhole(t, i, state(3, 7), &feed.Update{List: encode(t, feed.ListUpdate{Digest: 2, Targets: stale}), ListAgeMillis: 60000}, feed.Report{})
		So(i.gateway.View().Index.Table.Version, ShouldEqual, 9)
		So(i.known.list.Targets, ShouldResemble, fresh)
	})
}

func TestLoadsOfOwnRegionAreKept(t *testing.T) {
	Convey("a core instance of another region knows no loads", t, func() {
		i := newInstance(t)
		applyWhole(t, i, state(1, 1), &feed.Update{SameRegion: true, Loads: []feed.Load{{Target: "x", Running: 2}}, ListAgeMillis: -1}, feed.Report{})
		i.applyUpdate("core", &feed.Update{ListAgeMillis: -1}, feed.Report{})
		So(len(i.known.loads), ShouldEqual, 1)
		i.applyUpdate("core", &feed.Update{SameRegion: true, ListAgeMillis: -1}, feed.Report{})
		So(i.known.loads, ShouldBeEmpty)
	})
}

// Guards against spillover to another region that stops repeatedly for a moment: a core instance
// that is not followed is compared with, and what its brief answer omits is taken for empty.
func TestBriefAnswersKeepTheRest(t *testing.T) {
	Convey("sums of other regions, then a brief answer", t, func() {
		i := newInstance(t)
		sums := []feed.Summary{{Region: "q", Service: "s", Targets: 2}}
		applyWhole(t, i, state(1, 1), &feed.Update{Regions: sums, ListAgeMillis: -1}, feed.Report{})
		i.applyUpdate("core", &feed.Update{ListAgeMillis: -1}, feed.Report{Brief: true})
		So(i.known.regions, ShouldResemble, sums)
	})
}

// Guards against a removed instance that is named to callers forever: an update of the entry
// instances is lost, and the next one, which is based on it, is applied.
func TestMissedEntriesUpdateIsFetchedWhole(t *testing.T) {
	Convey("an update after one that was lost", t, func() {
		i := newInstance(t)
		known := func() feed.Report { return i.newReport(reportWait) }
		applyWhole(t, i, state(1, 1), &feed.Update{Entries: &feed.EntriesUpdate{Epoch: 1, At: 4, Entries: []feed.Entry{{ID: "a"}}}, ListAgeMillis: -1}, known())
		So(known().EntriesAt, ShouldEqual, 4)
		i.applyUpdate("core", &feed.Update{Entries: &feed.EntriesUpdate{Epoch: 1, Base: 6, At: 7}, ListAgeMillis: -1}, known())
		So(known().EntriesAt, ShouldEqual, 0)
		So(len(i.known.entries.Entries), ShouldEqual, 1)
		i.applyUpdate("core", &feed.Update{Entries: &feed.EntriesUpdate{Epoch: 1, At: 7, Entries: []feed.Entry{{ID: "b"}}}, ListAgeMillis: -1}, known())
		So(i.known.entries.Entries, ShouldResemble, []feed.Entry{{ID: "b"}})
	})
}

// Guards against an instance that refuses requests during its start for lack of targets: it has a
// configuration and no list of targets yet, and counts as ready.
func TestNoViewWithoutAList(t *testing.T) {
	Convey("a state, and then a list", t, func() {
		i := newInstance(t)
		applyWhole(t, i, state(1, 1), &feed.Update{ListAgeMillis: -1}, feed.Report{})
		So(i.Ready(), ShouldBeFalse)
		i.applyUpdate("core", &feed.Update{List: encode(t, feed.ListUpdate{Digest: 4, Targets: []feed.Target{{ID: "x"}}})}, feed.Report{})
		So(i.Ready(), ShouldBeTrue)
	})
}

// Guards against targets that look idle to the others while an instance leaves: its last report of
// its own accord must have its loads.
func TestReportOfALeavingInstanceHasItsLoads(t *testing.T) {
	i := newInstance(t)
	now := time.Now()
	i.pool.Update(now, pick.Snapshot{Targets: []pick.Target{{ID: "t", Service: "s"}}, Entries: []string{i.o.Self.ID}})
	if c, _ := i.pool.Pick(now, pick.Call{Service: "s"}); c == nil {
		t.Fatal("no target")
	}
	if loads := i.drainReport().Self.Loads; len(loads) != 1 || loads[0].Running != 1 {
		t.Errorf("loads %v", loads)
	}
}

// Guards against an instance that tells callers that a route does not exist, while it knows of a newer
// configuration or no longer hears from a core instance with a leader.
func TestConfigurationIsOutdatedUntilConfirmed(t *testing.T) {
	Convey("an instance with a configuration", t, func() {
		i := newInstance(t)
		list := encode(t, feed.ListUpdate{Digest: 1})
		outdated := func(at time.Time) bool { return !at.Before(i.gateway.View().OutdatedAt) }
		applyWhole(t, i, state(1, 1), &feed.Update{List: list}, feed.Report{})
		So(outdated(time.Now()), ShouldBeTrue)
		i.applyUpdate("core", &feed.Update{HasLeader: true, Behind: true, ListAgeMillis: -1}, feed.Report{})
		So(outdated(time.Now()), ShouldBeTrue)
		i.applyUpdate("core", &feed.Update{HasLeader: true, ListAgeMillis: -1}, feed.Report{})
		So(outdated(time.Now()), ShouldBeFalse)
		So(outdated(time.Now().Add(confirmedFor)), ShouldBeTrue)
		i.applyUpdate("core", &feed.Update{HasLeader: true, ListAgeMillis: -1, Head: state(2, 2).Head()}, feed.Report{})
		So(outdated(time.Now()), ShouldBeTrue)
		applyWhole(t, i, state(2, 2), &feed.Update{HasLeader: true, ListAgeMillis: -1}, feed.Report{})
		So(outdated(time.Now()), ShouldBeFalse)
	})
}
