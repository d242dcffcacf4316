package settings_test

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"github.com/gullhaven/gullhaven/bundle"
	"github.com/gullhaven/gullhaven/bundle/bundletest"
	"github.com/gullhaven/gullhaven/settings"
)

// sample returns settings without faults.
func sample() *settings.Settings {
	s := settings.Default()
	s.Instance, s.Region, s.Zone = "malang-1", "jatim", "malang-hall"
	s.Listen = settings.Addresses{Callers: "127.0.0.1:1", Instances: "127.0.0.1:2", Operators: "127.0.0.1:3"}
	s.DataDir, s.Voter = "data", true
	s.Voters = []settings.Peer{{ID: "malang-1", Region: "jatim", Address: "127.0.0.1:2"}}
	s.Seeds = []settings.Peer{{ID: "malang-2", Region: "jatim", Zone: "malang-hall", Address: "127.0.0.1:5"}}
	s.Keys = settings.Keys{Authority: "ca.pem", Certificate: "/keys/c.pem", Key: "k.pem"}
	s.Bootstrap.Operators = []bundle.Operator{bundletest.Operator("ayu")}
	return s
}

// Guards against an instance that starts with a wrong setting and fails later. Each case
// makes one setting wrong.
func TestCheckNamesPaths(t *testing.T) {
	cases := []struct {
		path, message string
		breakSetting  func(*settings.Settings)
	}{
		{"instance", "", func(s *settings.Settings) { s.Instance, s.Voters[0].ID = "a b", "a-b"; s.Voter, s.DataDir = false, "" }},
		{"region", "", func(s *settings.Settings) { s.Region, s.Voter, s.Voters[0].ID = "", false, "other" }},
		{"zone", "is missing", func(s *settings.Settings) { s.Zone = "" }},
		{"listen.callers", "names are not looked up", func(s *settings.Settings) { s.Listen.Callers = "localhost:80" }},
		{"listen.callers", "has no port", func(s *settings.Settings) { s.Listen.Callers = "127.0.0.1" }},
		{"listen.operators", "is listen.callers too", func(s *settings.Settings) { s.Listen.Operators = s.Listen.Callers }},
		{"advertise.instances", "can't be reached", func(s *settings.Settings) { s.Listen.Instances = "0.0.0.0:2" }},
		{"data_dir", "needs a disk", func(s *settings.Settings) { s.DataDir = "" }},
		{"voter", "is not among", func(s *settings.Settings) { s.Voters[0].ID = "x" }},
		{"voter", "is among", func(s *settings.Settings) { s.Voter = false }},
		{"voters", "even", func(s *settings.Settings) { s.Voters = append(s.Voters, s.Seeds[0]) }},
		{"voters[0].region", "", func(s *settings.Settings) { s.Voters[0].Region = "bali" }},
		{"seeds[0].address", "names the host", func(s *settings.Settings) { s.Seeds[0].Address = "seed.local:5" }},
		{"seeds[1].id", "stands twice", func(s *settings.Settings) {
			s.Seeds = append(s.Seeds, settings.Peer{ID: "malang-2", Region: "jatim", Address: "127.0.0.1:6"})
		}},
		{"keys.key", "is missing", func(s *settings.Settings) { s.Keys.Key = "" }},
		{"bootstrap.operators[0].public_key", "", func(s *settings.Settings) { s.Bootstrap.Operators[0].PublicKey = "x" }},
		{"bootstrap.sign_offs", "", func(s *settings.Settings) { s.Bootstrap.SignOffs = 2 }},
		{"platform.instance_list", "names the host", func(s *settings.Settings) { s.Platform.InstanceList = "list:1" }},
		{"region_voters", "even", func(s *settings.Settings) { s.RegionVoters = append(s.Voters[:1:1], s.Seeds[0]) }},
		{"region_voters[0].region", "", func(s *settings.Settings) {
			s.RegionVoters = []settings.Peer{{ID: "malang-1", Region: "bali", Address: "127.0.0.1:2"}}
		}},
		{"log.level", "", func(s *settings.Settings) { s.Log.Level = "loud" }},
	}
	for _, c := range cases {
		convey.Convey("One fault is named at "+c.path, t, func() {
			s := sample()
			c.breakSetting(s)
			problems := load(t, s)
			convey.So(problems, convey.ShouldHaveLength, 1)
			convey.So(problems[0].Path, convey.ShouldEqual, c.path)
			convey.So(problems[0].Message, convey.ShouldContainSubstring, c.message)
		})
	}
	convey.Convey("All faults are named at once", t, func() {
		s := sample()
		s.Zone, s.Log.Level, s.Seeds[0].Address = "", "loud", "x"
		convey.So(load(t, s), convey.ShouldHaveLength, 3)
	})
	convey.Convey("The regions' voters are the global ones unless named", t, func() {
		s := sample()
		convey.So(s.VoterRegions(), convey.ShouldResemble, []string{"jatim"})
		convey.So(s.VotersOf("jatim"), convey.ShouldResemble, s.Voters)
		s.RegionVoters = []settings.Peer{{ID: "d", Region: "bali", Address: "127.0.0.1:9"}}
		convey.So(load(t, s), convey.ShouldBeEmpty)
		convey.So(s.VoterRegions(), convey.ShouldResemble, []string{"bali"})
		convey.So(s.VotersOf("jatim"), convey.ShouldBeEmpty)
	})
}

// load encodes s as JSON and returns the problems of decoding it.
func load(t *testing.T, s *settings.Settings) settings.Problems {
	data, err := json.Marshal(s)
	if err != nil {
		t.Fatal(err)
	}
	_, err = settings.Decode(data)
	problems, _ := err.(settings.Problems)
	return problems
}

func TestLoad(t *testing.T) {
	convey.Convey("Paths are relative to the file and defaults apply", t, func() {
		folder := t.TempDir()
		data, err := json.Marshal(sample())
		convey.So(err, convey.ShouldBeNil)
		path := filepath.Join(folder, "settings.json")
		shorter := strings.Replace(string(data), `"log":{"level":"info"}`, `"log":{}`, 1)
		convey.So(os.WriteFile(path, []byte(shorter), 0o600), convey.ShouldBeNil)
		s, err := settings.Load(path)
		convey.So(err, convey.ShouldBeNil)
		convey.So(s.DataDir, convey.ShouldEqual, filepath.Join(folder, "data"))
		convey.So(s.Keys.Certificate, convey.ShouldEqual, "/keys/c.pem")
		convey.So(s.Advertise, convey.ShouldResemble, s.Listen)
		convey.So(s.Log.Level, convey.ShouldEqual, "info")
	})
	convey.Convey("Unknown fields are errors with their path", t, func() {
		_, err := settings.Decode([]byte(`{"listen":{"caller":"127.0.0.1:1"},"Region":"x"}`))
		convey.So(err.Error(), convey.ShouldContainSubstring, "listen.caller: unknown field")
		convey.So(err.Error(), convey.ShouldContainSubstring, "Region: unknown field")
	})
}

// Guards against faults in the examples, which users copy.
func TestExamplesPass(t *testing.T) {
	files, err := filepath.Glob("../examples/*/settings/*.json")
	if err != nil {
		t.Fatal(err)
	}
	for _, file := range files {
		if _, err := settings.Load(file); err != nil {
			t.Errorf("%s:\n%v", file, err)
		}
	}
}
