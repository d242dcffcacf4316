package control

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"

	"github.com/gullhaven/gullhaven/coord/link"
	"github.com/gullhaven/gullhaven/coord/pieces"
	"github.com/gullhaven/gullhaven/coord/replog"
	"github.com/gullhaven/gullhaven/coord/verdict"
	"github.com/gullhaven/gullhaven/node/feed"
	"github.com/gullhaven/gullhaven/node/quota"
)

// pausedSender is the context of an order whose process is paused at each proposal: meanwhile is
// called after the order was received and before it is proposed. Its sender leaves once left is
// set.
type pausedSender struct {
	context.Context
	meanwhile func()
	left      bool
}

// Deadline is the first thing that a proposal reads of its context.
func (s *pausedSender) Deadline() (time.Time, bool) {
	s.meanwhile()
	return time.Time{}, false
}

func (s *pausedSender) Err() error {
	if s.left {
		return context.Canceled
	}
	return nil
}

// newMembers starts core instances that form a group, and waits until one of them leads.
func newMembers(t *testing.T, n int) []*Instance {
	var listeners []net.Listener
	var ids []string
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		listeners, ids = append(listeners, l), append(ids, l.Addr().String())
	}
	var members []*Instance
	for k, id := range ids {
		i, err := New(Options{
			Self: feed.Core{ID: id, Region: "r", Zone: "z"}, Regions: []string{"r"}, Seeds: ids, FirstStart: true, Dir: t.TempDir(), Log: zap.NewNop(),
			ReadList: func(context.Context, Throttle) ([]feed.Target, int, error) { return nil, 1, nil },
		})
		if err != nil {
			t.Fatal(err)
		}
		server := &http.Server{Handler: i.PeerHandler(), ReadHeaderTimeout: callTimeout}
		go func() { _ = server.Serve(listeners[k]) }()
		i.Start()
		t.Cleanup(func() {
			_ = server.Close()
			if err := i.Stop(); err != nil {
				t.Error(err)
			}
		})
		members = append(members, i)
	}
	first := members[0]
	for changed := first.store.Changed(); first.node.Status().Core.Leader.ID == ""; changed = first.store.Changed() {
		select {
		case <-changed:
		case <-first.Done():
			t.Fatal("the log has ended")
		}
	}
	return members
}

// Guards against a withdrawal that a process carries out when it continues after a pause,
// although its sender has meanwhile left and had a newer evacuation acknowledged.
func TestOrdersOfAPausedProcessAreFenced(t *testing.T) {
	i := newMembers(t, 1)[0]
	order := func(on bool) {
		if err := i.Evacuate(context.Background(), "a", on); err != nil {
			t.Fatal(err)
		}
	}
	evacuated := func() bool { return slices.Contains(i.machine.State().Zones(), "a") }
	Convey("a withdrawal that is being proposed while the zone is withdrawn and evacuated again", t, func() {
		order(true)
		pauses := 0
		sender := &pausedSender{Context: context.Background()}
		Convey("is not carried out once its sender has left", func() {
			sender.meanwhile = func() {
				pauses++
				order(false)
				order(true)
				sender.left = true
			}
			So(errors.Is(i.Evacuate(sender, "a", false), errSenderLeft), ShouldBeTrue)
			So(evacuated(), ShouldBeTrue)
		})
		Convey("is decided again for a sender that waits", func() {
			sender.meanwhile = func() {
				if pauses++; pauses == 1 {
					order(false)
					order(true)
				}
			}
			So(i.Evacuate(sender, "a", false), ShouldBeNil)
			So(pauses, ShouldEqual, 2)
			So(evacuated(), ShouldBeFalse)
		})
		Convey("ends without success if it is overtaken again and again", func() {
			sender.meanwhile = func() {
				pauses++
				order(true)
			}
			var overtaken *OvertakenError
			So(errors.As(i.Evacuate(sender, "a", false), &overtaken), ShouldBeTrue)
			So(pauses, ShouldEqual, 1+maxNewDecisions)
			So(evacuated(), ShouldBeTrue)
		})
		Convey("is acknowledged if the zone is withdrawn by then", func() {
			sender.meanwhile = func() {
				pauses++
				order(false)
			}
			So(i.Evacuate(sender, "a", false), ShouldBeNil)
			So(pauses, ShouldEqual, 1)
		})
	})
}

// Guards against a former leader that, after a pause, has the next leader forget an instance to
// which that one has granted shares of limits.
func TestHoldersOfAFormerLeaderAreNotForwarded(t *testing.T) {
	members := newMembers(t, 3)
	holder := ""
	for {
		k := slices.IndexFunc(members, func(i *Instance) bool {
			s := i.node.Status().Core
			return s.Role != replog.Leader && s.Leader.ID != ""
		})
		if k < 0 {
			continue
		}
		former, term := members[k], members[k].node.Status().Core.Term
		holder = fmt.Sprint("holder of term ", term)
		former.division.pending = map[string]bool{holder: true}
		former.division.divider = quota.NewDivider(former.clock(), term, []string{"r"}, nil)
		former.addHolders()
		if s := former.node.Status().Core; s.Term == term && s.Role != replog.Leader {
			break
		}
		// It has been elected meanwhile.
	}
	for _, i := range members {
		if i.machine.IsHolder(holder) {
			t.Errorf("%s knows the %s", i.o.Self.ID, holder)
		}
	}
}

// Guards against acknowledgements of configurations that come too late for their operators, as new
// pieces and the offer wait for a majority one after the other.
func TestOfferWithNewPiecesIsOneCallToTheLeader(t *testing.T) {
	members := newMembers(t, 3)
	source, err := pieces.Cut([]byte("a configuration"), pieces.Layout{})
	if err != nil {
		t.Fatal(err)
	}
	for version := uint64(1); ; version++ {
		k := slices.IndexFunc(members, func(i *Instance) bool {
			s := i.node.Status().Core
			return s.Role != replog.Leader && s.Leader.ID != ""
		})
		if k < 0 {
			continue
		}
		at := slices.IndexFunc(members, func(i *Instance) bool { return i.o.Self.ID == members[k].Leader() })
		if at < 0 {
			continue
		}
		leader := members[at]
		calls := func() uint64 {
			channels := leader.hub.Stats().Channels
			return channels[channelPropose].Received + channels[channelProposeAll].Received
		}
		before := calls()
		if members[k].offer(context.Background(), version, source) != nil || members[k].Leader() != leader.o.Self.ID {
			// Another leader was elected meanwhile.
			continue
		}
		if got := calls() - before; got != 1 {
			t.Errorf("%d calls at the leader, 1 expected", got)
		}
		return
	}
}

// Guards against configurations that are never acknowledged during an update, while the leader is of a
// release that takes one command at a time.
func TestLeaderOfAnOlderReleaseTakesCommandsOneByOne(t *testing.T) {
	i := newMembers(t, 1)[0]
	var taken []string
	old := func(_ context.Context, _, channel string, payload []byte) ([]byte, error) {
		if channel != channelPropose {
			return nil, verdict.New(verdict.NotRun, link.CodeNoHandler, "the channel is not served")
		}
		taken = append(taken, string(payload))
		return payload, nil
	}
	result, err := i.commitAt(context.Background(), "leader", [][]byte{[]byte("pieces"), []byte("offer")}, old)
	if err != nil || string(result) != "offer" || !slices.Equal(taken, []string{"pieces", "offer"}) {
		t.Errorf("taken %q, result %q, error %v", taken, result, err)
	}
}

// Guards against a core instance outside the group that refuses orders after each offer during an update, as it
// forgets a leader of a release that takes one command at a time.
func TestStandbyKeepsALeaderThatDoesNotServeAChannel(t *testing.T) {
	members := newMembers(t, 2)
	i, leader := members[0], members[1].o.Self.ID
	i.standby.leader = leader
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	_, err := i.callMember(ctx, leader, "a channel of a later release", nil)
	var refused *verdict.Error
	if !errors.As(err, &refused) || refused.Code != link.CodeNoHandler {
		t.Fatalf("error %v", err)
	}
	if got := i.standby.leaderID(); got != leader {
		t.Errorf("leader %q", got)
	}
}
