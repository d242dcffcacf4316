package settings_test

import (
	"encoding/json"
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/gullhaven/gullhaven/settings"
)

// coreSettings writes the settings of a core instance to a file, with one value changed or, if
// nil, left out, and returns its path.
func coreSettings(t *testing.T, key string, value any) string {
	t.Helper()
	listen := map[string]any{"operators": "10.0.0.1:80", "instances": "10.0.0.1:90"}
	all := map[string]any{
		"instance": "core-1", "region": "r", "zone": "z", "regions": map[string]string{"z": "r"}, "listen": listen,
		"seeds": []string{"10.0.0.1:80", "10.0.0.2:80"}, "data_dir": "/data", "instance_list": "10.0.0.9:80", "later": 1,
	}
	for name, fields := range map[string]map[string]any{"": all, "listen.": listen} {
		for field := range fields {
			if key == name+field && value == nil {
				delete(fields, field)
			}
		}
	}
	switch {
	case key == "" || value == nil:
	case len(key) > len("listen.") && key[:len("listen.")] == "listen.":
		listen[key[len("listen."):]] = value
	default:
		all[key] = value
	}
	data, err := json.Marshal(all)
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "settings.json")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestSiteSettings(t *testing.T) {
	Convey("defaults and derived values; unknown fields are ignored", t, func() {
		s, err := settings.LoadSite(coreSettings(t, "", nil))
		So(err, ShouldBeNil)
		So(s.Grace(), ShouldEqual, 8*time.Second)
		So(s.Retries.Span(), ShouldEqual, 10*time.Second)
		So(s.SeedIDs(), ShouldResemble, []string{"10.0.0.1:90", "10.0.0.2:90"})
		So(s.Listen.BindInstances(), ShouldEqual, "10.0.0.1:90")
		So(s.FirstStart, ShouldBeFalse)
	})
	Convey("the listen address may differ from the one for others", t, func() {
		s, err := settings.LoadSite(coreSettings(t, "listen.instances_bind", "127.0.0.1:91"))
		So(err, ShouldBeNil)
		So(s.Listen.BindInstances(), ShouldEqual, "127.0.0.1:91")
		So(s.SeedIDs()[0], ShouldEqual, "10.0.0.1:90")
	})
	for key, wrong := range map[string]any{
		"instance": nil, "region": nil, "zone": nil, "seeds": nil, "data_dir": nil, "instance_list": nil,
		"listen.instances": nil, "listen.operators": nil, "listen.callers": "10.0.0.1:70",
		"listen.instances_bind": "nowhere", "listen.metrics": "10.0.0.1", "grace_seconds": -1, "instance_list_rate": -1,
		"retries": map[string]any{"share": -0.1},
	} {
		Convey("a clear error: "+key, t, func() {
			_, err := settings.LoadSite(coreSettings(t, key, wrong))
			So(err, ShouldNotBeNil)
		})
	}
	Convey("the switches for hard load are off, and can be switched on", t, func() {
		s, err := settings.LoadSite(coreSettings(t, "", nil))
		So(err, ShouldBeNil)
		So(s.HardLoad, ShouldResemble, settings.HardLoad{})
		s, err = settings.LoadSite(coreSettings(t, "hard_load", map[string]any{"fair_admission": true, "promised_returns": false}))
		So(err, ShouldBeNil)
		So(s.HardLoad, ShouldResemble, settings.HardLoad{FairAdmission: true})
	})
	// Guards against a misspelled switch that stays off without a sign of it.
	for name, value := range map[string]any{"fair_admissions": true, "Fair_Admission": true, "fair_admission": "yes"} {
		Convey("an error that names the switch: "+name, t, func() {
			_, err := settings.LoadSite(coreSettings(t, "hard_load", map[string]any{name: value}))
			So(err, ShouldNotBeNil)
			So(err.Error(), ShouldContainSubstring, "hard_load."+name)
		})
	}
	Convey("a missing file, and one that is not JSON", t, func() {
		_, err := settings.LoadSite(filepath.Join(t.TempDir(), "none"))
		So(err, ShouldNotBeNil)
		path := filepath.Join(t.TempDir(), "settings.json")
		So(os.WriteFile(path, []byte("{"), 0o600), ShouldBeNil)
		_, err = settings.LoadSite(path)
		So(err, ShouldNotBeNil)
	})
}
