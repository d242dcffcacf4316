package entry

import (
	"errors"
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

func newInstance(t *testing.T) *Instance {
	t.Helper()
	i, err := New(Options{
		Self: feed.Entry{ID: "127.0.0.1:1", Region: "r", Zone: "z", Callers: "127.0.0.1:2"}, Seeds: []string{"127.0.0.1:3"},
		Format: oneByte{}, Log: zap.NewNop(), Ordinary: zap.NewNop(),
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(i.hub.Close)
	return i
}

func encoded(t *testing.T, n feed.ListNews) []byte {
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

// learnWhole has an instance take in an update with a state, and then the state's document.
func learnWhole(t *testing.T, i *Instance, s *newest.State, u *feed.Update, r feed.Report) {
	t.Helper()
	u.Head = s.Head()
	i.learn("core", u, r)
	var holder pieces.Holder
	holder.Put(s.Root, s.Document)
	for {
		q, wait := i.fetcher.next(time.Now())
		if q == nil {
			if wait >= 0 {
				t.Fatal("a question failed")
			}
			return
		}
		if err := i.fetcher.transfer.HandleResponse(time.Now(), q, holder.Respond(&q.Request)); err != nil {
			t.Fatal(err)
		}
		i.adopt()
	}
}

// Symptom: a region refuses all requests that another one has to serve.
// Events: two reports are under way; one brings another list of instances, the other one,
// which was asked with the older list, brings none.
// Cause: the lack of a list was taken for an empty one.
func TestAnUpdateWithoutAListLeavesTheList(t *testing.T) {
	Convey("two updates cross", t, func() {
		i := newInstance(t)
		learnWhole(t, i, state(1, 1), &feed.Update{Entries: &feed.EntryNews{Epoch: 1, At: 1, Entries: []feed.Entry{{ID: "a", Region: "q", Ready: true}}}, List: encoded(t, feed.ListNews{Digest: 1})}, feed.Report{})
		So(len(i.gateway.View().Peers), ShouldEqual, 1)
		i.learn("core", &feed.Update{ListAgeMillis: -1}, feed.Report{})
		So(len(i.gateway.View().Peers), ShouldEqual, 1)
		i.learn("core", &feed.Update{Entries: &feed.EntryNews{Epoch: 1, Base: 1, At: 2, Gone: []string{"a"}}, ListAgeMillis: -1}, feed.Report{})
		So(i.gateway.View().Peers, ShouldBeEmpty)
	})
}

// Symptom: a region gets all that others have too much of, or choices are no numbers.
// Events: the summary of a region has figures that cannot be, as from another version; the
// load of another one is not known.
// Cause: they were taken as they came.
func TestSummariesThatCannotBeAreLeftOut(t *testing.T) {
	Convey("summaries of four regions", t, func() {
		i := newInstance(t)
		learnWhole(t, i, state(1, 1), &feed.Update{List: encoded(t, feed.ListNews{Digest: 1}), Regions: []feed.Summary{
			{Region: "good", Service: "s", Targets: 2, Slots: 8, Unread: []int{0, 5}, ReadTokens: 100, ReadMillis: 3},
			{Region: "negative", Service: "s", Targets: 2, Running: -1},
			{Region: "odd", Service: "s", Targets: 2, Unread: []int{3, -9}},
			{Region: "unknown", Service: "s", Targets: 2, Untold: true},
		}}, feed.Report{})
		regions := i.gateway.View().Regions
		So(len(regions), ShouldEqual, 2)
		good := regions[exchange.RegionService{Region: "good", Service: "s"}]
		So(good.PendingPrefill.Ahead(1), ShouldEqual, 5)
		So(good.Prefill, ShouldResemble, pick.PrefillSums{Tokens: 100, Millis: 3})
		So(regions[exchange.RegionService{Region: "unknown", Service: "s"}].LoadUnknown, ShouldBeTrue)
		So(i.metrics.SummariesInvalid.Count(), ShouldEqual, 2)
		So(i.metrics.SummariesUntold.Count(), ShouldEqual, 1)
	})
}

// Symptom: during a restart of all instances a stream is cut off twice and its caller gets
// half of an answer.
// Events: it was passed on to an instance of another region that was leaving, and when that
// ended to one of a third region that was leaving too; the caller's own instance left
// meanwhile, so that the cut counts as lost by planned work.
// Cause: instances that leave were taken for a way into their regions.
func TestNothingIsPassedOnToInstancesThatLeave(t *testing.T) {
	Convey("two instances of another region", t, func() {
		i := newInstance(t)
		one, two := feed.Entry{ID: "a", Region: "q", Ready: true}, feed.Entry{ID: "b", Region: "q", Leaving: true}
		learn := func(base uint64, entries ...feed.Entry) {
			learnWhole(t, i, state(1, 1), &feed.Update{Entries: &feed.EntryNews{Epoch: 1, Base: base, At: base + 1, Entries: entries}, List: encoded(t, feed.ListNews{Digest: 1})}, feed.Report{})
		}
		learn(0, one, two)
		So(len(i.gateway.View().Peers), ShouldEqual, 1)
		So(i.gateway.View().Peers[0].Address, ShouldEqual, "a")
		one.Ready, one.Leaving = false, true
		learn(1, one)
		So(i.gateway.View().Peers, ShouldBeEmpty)
	})
	Convey("in the own region those that leave decide where none is ready", t, func() {
		leaving := feed.Entry{ID: "a", Region: "r", Leaving: true}
		ready := feed.Entry{ID: "b", Region: "r", Ready: true}
		gone, elsewhere := feed.Entry{ID: "c", Region: "r"}, feed.Entry{ID: "d", Region: "q", Ready: true}
		So(takers([]feed.Entry{leaving, gone, elsewhere}, "r"), ShouldResemble, []string{"a"})
		So(takers([]feed.Entry{leaving, ready, gone}, "r"), ShouldResemble, []string{"b"})
	})
}

// Symptom: routes go back to an older version for a moment.
// Events: updates of core instances of which one lags arrive in any order.
// Cause: the newest message was taken for the newest state.
func TestStateAndListNeverGoBack(t *testing.T) {
	Convey("a lagging core instance answers after another one", t, func() {
		i := newInstance(t)
		fresh := []feed.Target{{ID: "new", Service: "s", Region: "q"}}
		stale := []feed.Target{{ID: "old", Service: "s", Region: "q"}}
		learnWhole(t, i, state(4, 9), &feed.Update{List: encoded(t, feed.ListNews{Digest: 1, Targets: fresh}), ListAgeMillis: 100}, feed.Report{})
		learnWhole(t, i, state(3, 7), &feed.Update{List: encoded(t, feed.ListNews{Digest: 2, Targets: stale}), ListAgeMillis: 60000}, feed.Report{})
		So(i.gateway.View().Index.Table.Version, ShouldEqual, 9)
		So(i.known.list.Targets, ShouldResemble, fresh)
	})
}

func TestLoadsOfTheOwnRegionAreKeptWhileAnotherOneAnswers(t *testing.T) {
	Convey("a core instance of another region knows no loads", t, func() {
		i := newInstance(t)
		learnWhole(t, i, state(1, 1), &feed.Update{Near: true, Loads: []feed.Load{{Target: "x", Running: 2}}, ListAgeMillis: -1}, feed.Report{})
		i.learn("core", &feed.Update{ListAgeMillis: -1}, feed.Report{})
		So(len(i.known.loads), ShouldEqual, 1)
		i.learn("core", &feed.Update{Near: true, ListAgeMillis: -1}, feed.Report{})
		So(i.known.loads, ShouldBeEmpty)
	})
}

// Symptom: requests that spill to another region stop for a moment, again and again.
// Events: a core instance that is not followed is compared with.
// Cause: what its brief answer leaves out was taken for nothing.
func TestBriefAnswersLeaveTheRest(t *testing.T) {
	Convey("sums of other regions, then a brief answer", t, func() {
		i := newInstance(t)
		sums := []feed.Summary{{Region: "q", Service: "s", Targets: 2}}
		learnWhole(t, i, state(1, 1), &feed.Update{Regions: sums, ListAgeMillis: -1}, feed.Report{})
		i.learn("core", &feed.Update{ListAgeMillis: -1}, feed.Report{Brief: true})
		So(i.known.regions, ShouldResemble, sums)
	})
}

// Symptom: an instance that has gone is named to callers for good.
// Events: news of the entry instances are lost, and the next ones build on them.
// Cause: news were added to what they are not about.
func TestNewsOfEntriesThatDoNotFitAreAskedForWhole(t *testing.T) {
	Convey("news after ones that did not come", t, func() {
		i := newInstance(t)
		known := func() feed.Report { return i.makeReport(reportWait) }
		learnWhole(t, i, state(1, 1), &feed.Update{Entries: &feed.EntryNews{Epoch: 1, At: 4, Entries: []feed.Entry{{ID: "a"}}}, ListAgeMillis: -1}, known())
		So(known().EntriesAt, ShouldEqual, 4)
		i.learn("core", &feed.Update{Entries: &feed.EntryNews{Epoch: 1, Base: 6, At: 7}, ListAgeMillis: -1}, known())
		So(known().EntriesAt, ShouldEqual, 0)
		So(len(i.known.entries.Entries), ShouldEqual, 1)
		i.learn("core", &feed.Update{Entries: &feed.EntryNews{Epoch: 1, At: 7, Entries: []feed.Entry{{ID: "b"}}}, ListAgeMillis: -1}, known())
		So(i.known.entries.Entries, ShouldResemble, []feed.Entry{{ID: "b"}})
	})
}

// Symptom: an instance that starts refuses requests for lack of targets.
// Events: it has a configuration and no list of targets yet.
// Cause: it counted as ready.
func TestNoViewWithoutAList(t *testing.T) {
	Convey("a state, and then a list", t, func() {
		i := newInstance(t)
		learnWhole(t, i, state(1, 1), &feed.Update{ListAgeMillis: -1}, feed.Report{})
		So(i.Ready(), ShouldBeFalse)
		i.learn("core", &feed.Update{List: encoded(t, feed.ListNews{Digest: 4, Targets: []feed.Target{{ID: "x"}}})}, feed.Report{})
		So(i.Ready(), ShouldBeTrue)
	})
}
