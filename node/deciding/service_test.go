package deciding_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"

	"github.com/gullhaven/gullhaven/coord/link"
	"github.com/gullhaven/gullhaven/node/deciding"
	"github.com/gullhaven/gullhaven/pipeline/exchange"
	"github.com/gullhaven/gullhaven/route/pick"
)

// instance is one entry instance with its pool.
type instance struct {
	id   string
	pool *pick.Pool
	s    *deciding.Service
	hub  *link.Hub
}

// start starts n instances that know each other and the targets.
func start(t *testing.T, n int) []*instance {
	t.Helper()
	return startWith(t, n, func() *deciding.Admission { return nil })
}

// startWith is start for instances that decide on admissions.
func startWith(t *testing.T, n int, admission func() *deciding.Admission) []*instance {
	t.Helper()
	var all []*instance
	var ids []string
	for k := range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		i := &instance{id: l.Addr().String()}
		i.hub, err = link.New(link.Options{
			PlaintextID: i.id, Address: func(id string) (string, bool) { return id, true }, UrgentChannels: deciding.Channels(),
			Rand: rand.New(rand.NewPCG(1, uint64(k))),
		})
		if err != nil {
			t.Fatal(err)
		}
		i.pool = pick.New(i.id)
		i.s = deciding.NewWithAdmission(i.id, i.hub, i.pool, zap.NewNop(), admission())
		server := &http.Server{Handler: i.hub.Handler(), ReadHeaderTimeout: time.Minute}
		go func() { _ = server.Serve(l) }()
		t.Cleanup(func() { i.hub.Close(); _ = server.Close() })
		all, ids = append(all, i), append(ids, i.id)
	}
	for _, i := range all {
		i.pool.Update(time.Now(), snapshot(ids))
	}
	return all
}

func snapshot(entries []string) pick.Snapshot {
	s := pick.Snapshot{Entries: entries, Rules: map[string]pick.ServiceRules{"s": {Engine: true}}}
	for k := range 5 {
		s.Targets = append(s.Targets, pick.Target{ID: fmt.Sprint("t", k), Service: "s", Address: fmt.Sprint("a", k), Zone: "z", Slots: 4})
	}
	return s
}

func call(subject uint64) pick.Call {
	return pick.Call{Service: "s", Model: "m", PromptTokens: 9000, Parts: []pick.Part{
		{ID: 1, Tokens: 2500}, {ID: subject, Tokens: 3800}, {ID: subject*1000 + 7, Tokens: 2700},
	}}
}

// split returns the group owner of call(1) and another instance.
func split(all []*instance) (owner, other *instance) {
	id := all[0].pool.Owner(call(1))
	for _, i := range all {
		if i.id == id {
			owner = i
		} else {
			other = i
		}
	}
	return owner, other
}

// decide asks for a target until the link is up; end reports the end of the request.
func (i *instance) decide(t *testing.T, c pick.Call) (target string, end func()) {
	t.Helper()
	d := i.ask(t, c)
	return d.Target, func() { i.s.ReportEnd(d, pick.Good) }
}

// ask is decide with the whole decision.
func (i *instance) ask(t *testing.T, c pick.Call) exchange.Decision {
	t.Helper()
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if d, ok := i.s.Choose(context.Background(), c, "id", time.Minute, nil); ok {
			return d
		}
	}
	t.Fatal("no decision")
	return exchange.Decision{}
}

// Guards against long prompts that queue at some engines while others are idle: instances that
// send prompts at the same moment don't know yet what the others have just sent.
func TestConcurrentRequestsSpreadOverTargets(t *testing.T) {
	Convey("three instances and five idle targets", t, func() {
		all := start(t, 3)
		owner, _ := split(all)
		used := map[string]int{}
		// Five prompts of five subjects at the same moment, from an instance that is not the owner.
		for n := range uint64(5) {
			for _, i := range all {
				if i != owner {
					target, _ := i.decide(t, call(n))
					used[target]++
					break
				}
			}
		}
		So(len(used), ShouldEqual, 5)
		So(len(owner.pool.Loads(time.Now())), ShouldEqual, 5)
	})
}

func TestEndReachesTheGroupOwner(t *testing.T) {
	Convey("a request that the owner assigned ends", t, func() {
		owner, other := split(start(t, 2))
		_, end := other.decide(t, call(1))
		So(len(owner.pool.Loads(time.Now())), ShouldEqual, 1)
		end()
		for deadline := time.Now().Add(20 * time.Second); len(owner.pool.Loads(time.Now())) > 0 && time.Now().Before(deadline); {
			time.Sleep(time.Millisecond)
		}
		So(owner.pool.Loads(time.Now()), ShouldBeEmpty)
	})
}

// Guards against requests that wait at an instance whose group owner is gone, because each
// request calls it again.
func TestInstanceChoosesWithoutALostGroupOwner(t *testing.T) {
	Convey("the group owner is gone", t, func() {
		owner, other := split(start(t, 2))
		owner.hub.Close()
		for range 3 {
			_, ok := other.s.Choose(context.Background(), call(1), "id", time.Minute, nil)
			So(ok, ShouldBeFalse)
		}
	})
	Convey("the group owner does not call itself", t, func() {
		owner, _ := split(start(t, 2))
		_, ok := owner.s.Choose(context.Background(), call(1), "id", time.Minute, nil)
		So(ok, ShouldBeFalse)
	})
}
