package control

import (
	"context"
	"errors"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"

	"github.com/gullhaven/gullhaven/coord/replog"
	"github.com/gullhaven/gullhaven/node/feed"
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

// newLoneMember starts a core instance that is the only member of its group, and waits until it
// leads.
func newLoneMember(t *testing.T) *Instance {
	const id = "lone"
	i, err := New(Options{
		Self: feed.Core{ID: id, Region: "r", Zone: "z"}, Regions: []string{"r"}, Seeds: []string{id}, FirstStart: true, Dir: t.TempDir(), Log: zap.NewNop(),
		ReadList: func(context.Context, Throttle) ([]feed.Target, int, error) { return nil, 1, nil },
	})
	if err != nil {
		t.Fatal(err)
	}
	i.Start()
	t.Cleanup(func() {
		if err := i.Stop(); err != nil {
			t.Error(err)
		}
	})
	for changed := i.store.Changed(); i.node.Status().Core.Role != replog.Leader; changed = i.store.Changed() {
		select {
		case <-changed:
		case <-i.Done():
			t.Fatal("the log has ended")
		}
	}
	return i
}

// Guards against a withdrawal that a process carries out when it continues after a pause,
// although its sender has meanwhile left and had a newer evacuation acknowledged.
func TestOrdersOfAPausedProcessAreFenced(t *testing.T) {
	i := newLoneMember(t)
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
