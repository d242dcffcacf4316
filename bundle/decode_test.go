package bundle_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"github.com/gullhaven/gullhaven/bundle"
	"github.com/gullhaven/gullhaven/bundle/bundletest"
)

// Guards against a limit that an operator set but that is not in force, as the
// field's name is misspelled, repeated or in another case, and is ignored.
func TestDecodeIsStrict(t *testing.T) {
	cases := []struct{ name, document, want string }{
		{"unknown field", `{"regions":[{"id":"a","zone":[]}]}`, `regions[0].zone: unknown field; known are id, zones,`},
		{"other case", `{"Version":1}`, `Version: unknown field`},
		{"twice", `{"version":1,"version":2}`, `version: stands twice`},
		{"wrong type", `{"targets":[{"slots":"8"}]}`, `targets[0].slots: is "8", but must be a whole number`},
		{"fraction", `{"targets":[{"slots":1.5}]}`, `targets[0].slots: is 1.5, but must be a whole number`},
		{"too large", `{"version":99999999999999999999}`, `version: is 99999999999999999999, but must be`},
		{"null", `{"rules":null}`, `rules: is null, but must be an object`},
		{"list for object", `{"rules":[]}`, `rules: is a list, but must be an object`},
		{"object for list", `{"models":{}}`, `models: is an object, but must be a list`},
		{"cut off", "{\"version\":1,\n\"note\":", `line 2, column 8: unexpected EOF`},
		{"two documents", `{} {}`, `something follows the document`},
		{"no document", ``, `unexpected EOF`},
		{"not UTF-8", "{\"note\":\"\xff\"}", `not valid UTF-8`},
		{"strange name", `{"a.b\n":1}`, `"a.b\n": unknown field`},
		{"all at once", `{"x":1,"models":[{"y":{"z":[1]}}],"sign_offs":"2"}`, "x: unknown field"},
		{"all at once", `{"x":1,"models":[{"y":{"z":[1]}}],"sign_offs":"2"}`, "models[0].y: unknown field"},
		{"all at once", `{"x":1,"models":[{"y":{"z":[1]}}],"sign_offs":"2"}`, "sign_offs: is \"2\", but must be"},
	}
	for _, c := range cases {
		convey.Convey(c.name+" is an error with its path", t, func() {
			_, err := bundle.Decode([]byte(c.document))
			convey.So(err, convey.ShouldNotBeNil)
			convey.So(err.Error(), convey.ShouldContainSubstring, c.want)
		})
	}
}

// FuzzDecode requires that each document is an error or a bundle that keeps its
// digest over encoding, splitting and joining.
func FuzzDecode(f *testing.F) {
	sample, err := bundle.Encode(bundletest.Sample())
	if err != nil {
		f.Fatal(err)
	}
	f.Add(sample)
	f.Add([]byte(`{"version":18446744073709551615,"note":"\u0000","regions":[{"neighbours":[{"max_share":-0.0}]}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		b, err := bundle.Decode(data)
		if err != nil {
			return
		}
		_ = bundle.Check(b)
		want := mustDigest(t, b)
		text, err := bundle.Encode(b)
		if err != nil {
			t.Fatal(err)
		}
		again, err := bundle.Decode(text)
		if err != nil || mustDigest(t, again) != want {
			t.Fatalf("the digest is not kept over JSON: %v", err)
		}
		joined, err := roundTripSections(b)
		if err != nil || mustDigest(t, joined) != want {
			t.Fatalf("the digest is not kept over sections: %v", err)
		}
	})
}

// FuzzDecodeSigned requires that no input of the operators' interface panics or is
// accepted without signatures.
func FuzzDecodeSigned(f *testing.F) {
	signed, err := bundle.EncodeSigned(bundletest.Sign(bundletest.Sample(), "ayu", "budi"))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(signed)
	f.Add([]byte(`{"bundle":{"version":1},"signatures":[{"operator":"a","value":"AA=="}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := bundle.DecodeSigned(data)
		if err != nil {
			return
		}
		if result, err := bundle.Accept(nil, s); err != nil || result.Accepted() && len(s.Signatures) == 0 {
			t.Fatalf("%v, %v", result, err)
		}
	})
}

// Guards against invalid examples, which users copy.
func TestExamplesPass(t *testing.T) {
	files, err := filepath.Glob("../examples/*/bundle.json")
	if err != nil {
		t.Fatal(err)
	}
	for _, file := range files {
		convey.Convey(file, t, func() {
			data, err := os.ReadFile(file)
			convey.So(err, convey.ShouldBeNil)
			b, err := bundle.Decode(data)
			convey.So(err, convey.ShouldBeNil)
			b.Operators, b.SignOffs = []bundle.Operator{bundletest.Operator("ayu")}, 1
			convey.So(bundle.Check(b), convey.ShouldBeEmpty)
		})
	}
}
