package cli_test

import (
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"github.com/gullhaven/gullhaven/operate/cli"
)

func TestCapacity(t *testing.T) {
	convey.Convey("The table is that of the size, and a budget can fail a check", t, func() {
		b := newHarness(t)
		convey.So(b.run("capacity", "--check"), convey.ShouldEqual, cli.ExitRefused)
		convey.So(b.out.String(), convey.ShouldContainSubstring, "360 instances, 690 targets")
		convey.So(b.run("capacity", "--instances", "3", "--regions", "3", "--targets", "3", "--requests", "1", "--workspaces", "3",
			"--skew", "1", "--changes", "1", "--voters", "3", "--check"), convey.ShouldEqual, cli.ExitOK)
		convey.So(b.run("capacity", "--instances", "2"), convey.ShouldEqual, cli.ExitRefused)
		convey.So(b.run("capacity", "--slopes"), convey.ShouldEqual, cli.ExitOK)
		convey.So(b.out.String(), convey.ShouldContainSubstring, "TestCostAtSize")
	})
}
