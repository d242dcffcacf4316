package load

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

func TestOnlyLoopback(t *testing.T) {
	convey.Convey("Load for other machines is refused", t, func() {
		for _, address := range []string{"10.0.0.1:80", "0.0.0.0:80", "[2001:db8::1]:80", "localhost:80", "127.0.0.1:0", ""} {
			convey.So(CheckLoopback(address), convey.ShouldNotBeNil)
			for _, c := range []Config{{To: []string{address}}, {Audit: []string{address}}} {
				convey.So(c.Check(), convey.ShouldNotBeNil)
			}
		}
		convey.So(CheckLoopback("[::1]:80"), convey.ShouldBeNil)
		c := modelConfig("127.0.0.1:80")
		convey.So(c.Check(), convey.ShouldBeNil)
		c.Baseline = "192.0.2.1:80"
		convey.So(c.Check().Error(), convey.ShouldContainSubstring, "not on loopback")

		convey.Convey("also if a directory names them, or a redirect", func() {
			g := &fakeGateway{list: func() []string { return []string{"192.0.2.1:80"} }}
			_, err := Run(t.Context(), modelConfig(listen(t, g)), noSleep)
			convey.So(err, convey.ShouldNotBeNil)
			convey.So(err.Error(), convey.ShouldContainSubstring, "not on loopback")
			_, err = newClient(&c).Get("http://192.0.2.1:80")
			convey.So(err.Error(), convey.ShouldContainSubstring, "not on loopback")
		})
		convey.Convey("and all faults are named at once", func() {
			text := (&Config{Rate: -1, Tokens: -1}).Check().Error()
			for _, part := range []string{"to:", "key:", "rate:", "tokens:", "concurrency:"} {
				convey.So(text, convey.ShouldContainSubstring, part)
			}
		})
	})
}

// A plan is the same for the same seed, is ordered by time, stays within the
// duration, and gives both destinations the same texts.
func TestPlan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := modelConfig("127.0.0.1:80")
		c.Seed = rapid.Uint64().Draw(t, "seed")
		c.Rate = rapid.Float64Range(1, 500).Draw(t, "rate")
		c.Baseline = rapid.SampledFrom([]string{"", "127.0.0.1:81"}).Draw(t, "baseline")
		c.PromptTokens = rapid.IntRange(10, 100).Draw(t, "prompt")
		c.SharedPrefix = rapid.IntRange(0, c.PromptTokens).Draw(t, "prefix")
		one, two := NewPlan(&c), NewPlan(&c)
		numbers := map[Dest]int{}
		last := time.Duration(0)
		texts := map[string]bool{}
		for {
			r, more := one.Next()
			again, _ := two.Next()
			if r != again || !more {
				break
			}
			if r.At < last || r.At >= c.Duration || r.Number != numbers[r.Dest] || r.Caller >= c.Callers {
				t.Fatalf("%+v after %v", r, last)
			}
			last = r.At
			numbers[r.Dest]++
			text := promptText(&c, r.Number)
			if r.Dest == ToGateway && texts[text] || len(text) < c.PromptTokens*bytesPerToken {
				t.Fatalf("prompt %q", text)
			}
			texts[text] = texts[text] || r.Dest == ToGateway
		}
		if _, more := one.Next(); more {
			t.Fatal("two plans of one seed differ")
		}
	})
}

// Each instance gets its share of the picks, by weight.
func TestChoose(t *testing.T) {
	entries := []entry{{URL: "http://a", Weight: 1}, {URL: "http://b", Weight: 0.5}, {URL: "http://c", Weight: 0.5}}
	got := map[string]int{}
	const picks = 1000
	for i := range picks {
		got[chooseInstance(entries, float64(i)/picks, nil)]++
		if chooseInstance(entries, float64(i)/picks, map[string]bool{"a": true, "b": true}) != "c" {
			t.Fatal("chose an excluded instance")
		}
	}
	if got["a"] != 500 || got["b"] != 250 || got["c"] != 250 || chooseInstance(nil, 0, nil) != "" {
		t.Fatalf("%v", got)
	}
}

// Guards against sending all callers of a lost region to one instance of another
// region, where all weights are 0.
func TestChooseSpreadsOverOtherRegions(t *testing.T) {
	entries := []entry{{URL: "http://own", Weight: 1}, {URL: "http://a"}, {URL: "http://b"}}
	got := map[string]int{}
	const picks = 1000
	for i := range picks {
		pick := float64(i) / picks
		got[chooseInstance(entries, pick, map[string]bool{"own": true})]++
		if chooseInstance(entries, pick, nil) != "own" {
			t.Fatal("chose another region while the own one answers")
		}
	}
	if got["a"] != 500 || got["b"] != 500 {
		t.Errorf("%v", got)
	}
}
