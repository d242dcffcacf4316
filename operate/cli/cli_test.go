package cli_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/gullhaven/gullhaven/bundle"
	"github.com/gullhaven/gullhaven/bundle/acceptance"
	"github.com/gullhaven/gullhaven/bundle/bundletest"
	"github.com/gullhaven/gullhaven/coord/keys"
	"github.com/gullhaven/gullhaven/operate"
	"github.com/gullhaven/gullhaven/operate/cli"
	"github.com/gullhaven/gullhaven/settings"
)

// harness runs commands in a folder; its clock moves only when a command sleeps.
type harness struct {
	folder   string
	clock    time.Time
	out, err bytes.Buffer
}

func newHarness(t *testing.T) *harness {
	return &harness{folder: t.TempDir(), clock: time.Unix(1_700_000_000, 0)}
}

// run runs a command line and returns the exit code.
func (b *harness) run(args ...string) int {
	b.out.Reset()
	b.err.Reset()
	env := &cli.Env{
		Context: context.Background(), Out: &b.out, Err: &b.err,
		Now: func() time.Time { return b.clock },
		Sleep: func(_ context.Context, d time.Duration) error {
			b.clock = b.clock.Add(d)
			return nil
		},
	}
	return cli.Run(env, args)
}

func (b *harness) path(name string) string { return filepath.Join(b.folder, name) }

// write writes a file and returns its path; err must be nil.
func (b *harness) write(name string, data []byte, err error) string {
	convey.So(err, convey.ShouldBeNil)
	convey.So(os.WriteFile(b.path(name), data, 0o600), convey.ShouldBeNil)
	return b.path(name)
}

// instance is a stand-in of the operators' interface with the real acceptance machine.
type instance struct {
	mutex   sync.Mutex
	machine *acceptance.Machine
	index   uint64
	// loseAnswers is how many answers are dropped after the bundle was accepted.
	loseAnswers int
	// behindPolls is how many times the status shows bali as behind.
	behindPolls int
}

// ServeHTTP serves the paths of bundles and status.
func (i *instance) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if r.URL.Path == operate.StatusPath {
		i.status(w)
		return
	}
	body := new(bytes.Buffer)
	_, readErr := body.ReadFrom(r.Body)
	signed, err := bundle.DecodeSigned(body.Bytes())
	if err = errors.Join(readErr, err); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	result := i.accept(signed)
	if i.loseAnswers > 0 {
		i.loseAnswers--
		panic(http.ErrAbortHandler)
	}
	if !result.Accepted() {
		w.WriteHeader(http.StatusConflict)
		_, _ = fmt.Fprintf(w, `{"error":{"code":%q,"message":%q}}`, result.Outcome, result)
		return
	}
	_ = json.NewEncoder(w).Encode(operate.RollAnswer{Version: result.Version, Digest: result.Digest, Accepted: true})
}

func (i *instance) accept(signed *bundle.Signed) bundle.Result {
	command, err := i.machine.Command(signed)
	if err != nil {
		panic(err)
	}
	i.index++
	result, err := i.machine.Apply(i.index, command)
	if err != nil {
		panic(err)
	}
	return result
}

func (i *instance) status(w http.ResponseWriter) {
	id := i.machine.Identity()
	lagging := id.Version
	if i.behindPolls > 0 {
		i.behindPolls--
		lagging--
	}
	_ = json.NewEncoder(w).Encode(operate.Status{
		Instance: "malang-1", Region: "jatim", Version: id.Version, Digest: id.Digest,
		Regions: []operate.RegionStatus{
			{Region: "jatim", Version: id.Version, Reachable: true},
			{Region: "bali", Version: lagging, Reachable: true},
		},
	})
}

func TestRoll(t *testing.T) {
	signed, err := bundle.EncodeSigned(bundletest.Sign(bundletest.Sample(), "ayu", "budi"))
	convey.Convey("Given an instance", t, func() {
		b := newHarness(t)
		i := &instance{machine: acceptance.New()}
		server := httptest.NewServer(i)
		defer server.Close()
		dead := httptest.NewServer(nil)
		dead.Close()
		to, gone := server.Listener.Addr().String(), dead.Listener.Addr().String()
		file := b.write("signed.json", signed, err)

		convey.Convey("a roll waits until all regions have it", func() {
			i.behindPolls = 3
			convey.So(b.run("bundle", "roll", file, "--to", to), convey.ShouldEqual, cli.ExitOK)
			convey.So(b.out.String(), convey.ShouldContainSubstring, "accepted as version 1")
			convey.So(b.err.String(), convey.ShouldContainSubstring, "not yet in force in bali")
			convey.So(b.out.String(), convey.ShouldContainSubstring, "in force in all 2 regions after 0.6 s")
		})
		convey.Convey("a region that stays behind ends the wait with a refusal code", func() {
			i.behindPolls = 1000
			convey.So(b.run("bundle", "roll", file, "--to", to, "--within", "2"), convey.ShouldEqual, cli.ExitRefused)
			convey.So(b.out.String(), convey.ShouldContainSubstring, "not in force in bali")
		})
		// Guards against reporting a conflict for a bundle that was accepted: its
		// answer is lost and the same bytes are sent again.
		convey.Convey("after a lost answer the bundle is sent again", func() {
			i.loseAnswers = 1
			convey.So(b.run("bundle", "roll", file, "--no-wait", "--to", gone, "--to", to), convey.ShouldEqual, cli.ExitOK)
			convey.So(b.out.String(), convey.ShouldContainSubstring, "accepted as version 1")
			convey.So(i.machine.Identity().Version, convey.ShouldEqual, 1)
		})
		convey.Convey("the loser of a race gets the winner's digest", func() {
			convey.So(b.run("bundle", "roll", file, "--no-wait", "--to", to), convey.ShouldEqual, cli.ExitOK)
			other := bundletest.Sample()
			other.Note = "other"
			data, err := bundle.EncodeSigned(bundletest.Sign(other, "ayu", "budi"))
			loser := b.write("loser.json", data, err)
			convey.So(b.run("bundle", "roll", loser, "--to", to), convey.ShouldEqual, cli.ExitRefused)
			convey.So(b.err.String(), convey.ShouldContainSubstring, string(i.machine.Identity().Digest))
		})
		// Guards against reporting an old bundle as in force: a bundle that was
		// replaced is sent again and gets the answer of its acceptance.
		convey.Convey("a bundle that was replaced is not called in force", func() {
			convey.So(b.run("bundle", "roll", file, "--to", to), convey.ShouldEqual, cli.ExitOK)
			next := bundletest.Sample()
			next.Version, next.Parent = 2, i.machine.Identity().Digest
			i.accept(bundletest.Sign(next, "ayu", "budi"))
			convey.So(i.machine.Identity().Version, convey.ShouldEqual, 2)
			convey.So(b.run("bundle", "roll", file, "--to", to), convey.ShouldEqual, cli.ExitOK)
			convey.So(b.out.String(), convey.ShouldContainSubstring, "version 2 has replaced it")
			convey.So(b.out.String(), convey.ShouldNotContainSubstring, "in force in all")
		})
		convey.Convey("no answer has a code of its own", func() {
			convey.So(b.run("bundle", "roll", file, "--to", gone), convey.ShouldEqual, cli.ExitUnreachable)
			convey.So(b.run("status", "--to", gone), convey.ShouldEqual, cli.ExitUnreachable)
		})
		convey.Convey("the status is shown as tables and as JSON", func() {
			convey.So(b.run("bundle", "roll", file, "--to", to), convey.ShouldEqual, cli.ExitOK)
			convey.So(b.run("status", "--to", to), convey.ShouldEqual, cli.ExitOK)
			convey.So(b.out.String(), convey.ShouldContainSubstring, "bundle: version 1")
			convey.So(b.run("status", "--json", "--to", to), convey.ShouldEqual, cli.ExitOK)
			convey.So(json.Valid(b.out.Bytes()), convey.ShouldBeTrue)
		})
	})
}

func TestBundleFiles(t *testing.T) {
	convey.Convey("Two operators sign with keys of their own", t, func() {
		b := newHarness(t)
		draft := bundletest.Sample()
		for i, name := range bundletest.Operators {
			convey.So(b.run("keygen", "operator", name, "--key", b.path(name)), convey.ShouldEqual, cli.ExitOK)
			convey.So(json.Unmarshal(b.out.Bytes(), &draft.Operators[i]), convey.ShouldBeNil)
		}
		convey.So(b.run("keygen", "operator", "ayu", "--key", b.path("ayu")), convey.ShouldEqual, cli.ExitRefused)
		data, err := bundle.Encode(draft)
		first, signed := b.write("first.json", data, err), b.path("signed.json")
		convey.So(b.run("bundle", "sign", first, "--operator", "ayu", "--key", b.path("ayu"), "--out", signed), convey.ShouldEqual, cli.ExitOK)
		convey.So(b.run("bundle", "sign", signed, "--operator", "budi", "--key", b.path("budi"), "--out", signed), convey.ShouldEqual, cli.ExitOK)
		text, err := os.ReadFile(signed)
		convey.So(err, convey.ShouldBeNil)
		s, err := bundle.DecodeSigned(text)
		convey.So(err, convey.ShouldBeNil)
		result, err := bundle.Accept(nil, s)
		convey.So(err, convey.ShouldBeNil)
		convey.So(result.Accepted(), convey.ShouldBeTrue)

		convey.Convey("and the next version names it as parent", func() {
			convey.So(b.run("bundle", "next", signed, "--out", b.path("next.json"), "--note", "two"), convey.ShouldEqual, cli.ExitOK)
			convey.So(b.run("bundle", "check", b.path("next.json")), convey.ShouldEqual, cli.ExitOK)
			convey.So(b.run("bundle", "digest", first), convey.ShouldEqual, cli.ExitOK)
			digest := strings.TrimSpace(b.out.String())
			convey.So(b.run("bundle", "diff", first, b.path("next.json")), convey.ShouldEqual, cli.ExitOK)
			convey.So(b.out.String(), convey.ShouldContainSubstring, `~ parent: "" -> "`+digest)
			convey.So(b.out.String(), convey.ShouldContainSubstring, "3 differences")
		})
	})
	convey.Convey("A bundle with faults is neither passed nor signed", t, func() {
		b := newHarness(t)
		draft := bundletest.Sample()
		draft.Targets[1].Service, draft.Rules.MaxAttempts = "x", 0
		data, err := bundle.Encode(draft)
		file := b.write("draft.json", data, err)
		convey.So(b.run("keygen", "operator", "ayu", "--key", b.path("ayu")), convey.ShouldEqual, cli.ExitOK)
		convey.So(b.run("bundle", "check", file), convey.ShouldEqual, cli.ExitRefused)
		convey.So(b.err.String(), convey.ShouldContainSubstring, `targets[1].service: no such service "x"`)
		convey.So(b.err.String(), convey.ShouldContainSubstring, "rules.max_attempts")
		convey.So(b.run("bundle", "sign", file, "--operator", "ayu", "--key", b.path("ayu"), "--out", b.path("s")), convey.ShouldEqual, cli.ExitRefused)
		_, err = os.Stat(b.path("s"))
		convey.So(errors.Is(err, os.ErrNotExist), convey.ShouldBeTrue)
	})
}

func TestInstanceKeys(t *testing.T) {
	convey.Convey("Keys go where the settings name them and can be loaded", t, func() {
		b := newHarness(t)
		b.clock = time.Now()
		s := settings.Default()
		s.Instance, s.Region, s.Zone = "malang-1", "jatim", "malang-hall"
		s.Listen = settings.Addresses{Callers: "127.0.0.1:1", Instances: "127.0.0.1:2", Operators: "127.0.0.1:3"}
		s.Voters = []settings.Peer{{ID: "malang-2", Region: "jatim", Address: "127.0.0.1:4"}}
		s.Keys = settings.Keys{Authority: "k/ca.pem", Certificate: "k/c.pem", Key: "k/c.key"}
		s.Bootstrap.Operators = []bundle.Operator{bundletest.Operator("ayu")}
		data, err := json.Marshal(s)
		file := b.write("settings.json", data, err)
		convey.So(b.run("settings", "check", file), convey.ShouldEqual, cli.ExitOK)
		convey.So(b.run("keygen", "cluster", b.path("ca")), convey.ShouldEqual, cli.ExitOK)
		convey.So(b.run("keygen", "instance", "--authority", b.path("ca"), file), convey.ShouldEqual, cli.ExitOK)
		var pem [3][]byte
		for i, name := range []string{"k/c.pem", "k/c.key", "k/ca.pem"} {
			pem[i], err = os.ReadFile(b.path(name))
			convey.So(err, convey.ShouldBeNil)
		}
		key, err := keys.Load(pem[0], pem[1], pem[2])
		convey.So(err, convey.ShouldBeNil)
		convey.So(key.Identity, convey.ShouldResemble, keys.Identity{Instance: "malang-1", Region: "jatim"})
		convey.So(b.run("keygen", "instance", "--authority", b.path("ca"), file), convey.ShouldEqual, cli.ExitRefused)
	})
}

// Every command's help has an example, and a wrong command line its own exit code.
func TestHelp(t *testing.T) {
	convey.Convey("Help", t, func() {
		b := newHarness(t)
		for _, path := range cli.Paths() {
			words := append(strings.Fields(path), "--help")
			convey.So(b.run(words...), convey.ShouldEqual, cli.ExitOK)
			convey.So(b.out.String(), convey.ShouldContainSubstring, fmt.Sprintf("Example: gullhaven %s", path))
		}
		convey.So(b.run("bundle"), convey.ShouldEqual, cli.ExitUsage)
		convey.So(b.run("bundle", "roll"), convey.ShouldEqual, cli.ExitUsage)
		convey.So(b.run("status", "--loud"), convey.ShouldEqual, cli.ExitUsage)
	})
}

func TestExplain(t *testing.T) {
	convey.Convey("a log whose last line is truncated", t, func() {
		b := newHarness(t)
		one := b.write("one.log", []byte(`{"ts":"2026-03-01T10:00:02Z","msg":"attempt lost","instance":"e1","id":"abc"}
{"ts":"2026-03-01T10:00:03Z","msg":"refused","instance":"e1","id":"abc","status":502}
{"ts":"2026-03-01T10:0`), nil)
		convey.So(b.run("explain", "abc", one), convey.ShouldEqual, cli.ExitOK)
		convey.So(b.out.String(), convey.ShouldContainSubstring, "+1.000 s  e1  refused  status=502")
		convey.So(b.err.String(), convey.ShouldContainSubstring, "one.log:3: left out")
		convey.So(b.run("explain", "nowhere", one), convey.ShouldEqual, cli.ExitRefused)
		convey.So(b.out.String(), convey.ShouldContainSubstring, `no line of these files names the request "nowhere"`)
		convey.So(b.run("explain", "abc", b.path("missing.log")), convey.ShouldEqual, cli.ExitRefused)
		convey.So(b.run("explain", "abc"), convey.ShouldEqual, cli.ExitUsage)
	})
}

func TestExplainCauses(t *testing.T) {
	convey.Convey("logs of two instances with an unreadable line", t, func() {
		b := newHarness(t)
		line := `{"ts":"2026-03-01T10:00:03Z","msg":"refused","instance":"e%d","id":"%d","code":"%s","verdict":"not_run","route":"chat","workspace":"","passed":false}` + "\n"
		one := b.write("one.log", fmt.Appendf(nil, line+"panic: other\n"+line, 1, 1, "overloaded", 1, 2, "outranked"), nil)
		two := b.write("two.log", fmt.Appendf(nil, "10:00 e2 "+line, 2, 3, "overloaded"), nil)
		convey.So(b.run("explain", "--causes", "--region", "north=e1", one, two), convey.ShouldEqual, cli.ExitOK)
		for _, row := range []string{
			"3 lines read, 1 unreadable", "3 not served", "overloaded         2  66.7%",
			"north    2           1          1", "unknown    1           1          0", "none    3           2          1",
			"2026-03-01 10:00:03    3           2          1",
		} {
			convey.So(b.out.String(), convey.ShouldContainSubstring, row)
		}
		convey.So(b.run("explain", "--causes", "--json", one), convey.ShouldEqual, cli.ExitOK)
		var report map[string]any
		convey.So(json.Unmarshal(b.out.Bytes(), &report), convey.ShouldBeNil)
		convey.So(report["causes"], convey.ShouldResemble, map[string]any{"overloaded": 1.0, "outranked": 1.0})

		convey.So(b.run("explain", "--causes", b.write("other.log", []byte("panic: other\n"), nil)), convey.ShouldEqual, cli.ExitRefused)
		convey.So(b.run("explain", "--causes", b.path("missing.log")), convey.ShouldEqual, cli.ExitRefused)
		for _, args := range [][]string{{"--causes"}, {"--json", "abc", one}, {"--causes", "--region", "north", one}, {"--causes", "--region", "north=[", one}} {
			convey.So(b.run(append([]string{"explain"}, args...)...), convey.ShouldEqual, cli.ExitUsage)
		}
	})
}
