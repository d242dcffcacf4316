package soak

import (
	"bufio"
	"io"
	"net"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// echo starts a server that echoes all bytes, and returns its address.
func echo(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(c, c)
				_ = c.Close()
			}()
		}
	}()
	return l.Addr().String()
}

func TestForwarderHoldsAndResets(t *testing.T) {
	f, err := Forward("127.0.0.1:0", echo(t))
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	c, err := net.Dial("tcp", f.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	write := func(line string) {
		_, err := io.WriteString(c, line)
		So(err, ShouldBeNil)
	}
	receive := func(wait time.Duration) (string, error) {
		So(c.SetReadDeadline(time.Now().Add(wait)), ShouldBeNil)
		return br.ReadString('\n')
	}
	Convey("bytes pass, are held one way and come afterwards, and connections are reset", t, func() {
		write("a\n")
		got, err := receive(effectTime)
		So(err, ShouldBeNil)
		So(got, ShouldEqual, "a\n")
		for _, impairment := range []Impairment{{HoldIn: true}, {HoldOut: true}} {
			f.SetImpairment(impairment)
			write("b\n")
			_, err = receive(50 * time.Millisecond)
			So(err, ShouldNotBeNil)
			f.SetImpairment(Impairment{Delay: time.Millisecond})
			got, err = receive(effectTime)
			So(err, ShouldBeNil)
			So(got, ShouldEqual, "b\n")
		}
		f.Reset()
		_, err = receive(effectTime)
		So(err, ShouldNotBeNil)
		So(err, ShouldNotEqual, io.EOF)
	})
}
