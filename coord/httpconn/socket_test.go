package httpconn

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"
)

// pair returns both ends of a connection.
func pair(t *testing.T) (*Socket, *net.TCPConn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	s, err := NewSocket(c, nil)
	if err != nil {
		t.Fatal(err)
	}
	other, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.Close(); _ = other.Close() })
	return s, other.(*net.TCPConn)
}

// writeUntilError writes until the kernel reports an error.
func writeUntilError(t *testing.T, s *Socket) error {
	t.Helper()
	_ = s.SetWriteDeadline(time.Now().Add(10 * time.Second))
	for {
		if _, err := s.Write(make([]byte, 1<<10)); err != nil {
			return err
		}
	}
}

// Guards against the end of a lost connection that is read as its end in order: another call has taken its error.
func TestErrorThatAnotherCallTookIsRead(t *testing.T) {
	for name, take := range map[string]func(*testing.T, *Socket){
		"a write": func(t *testing.T, s *Socket) {
			if err := writeUntilError(t, s); !errors.Is(err, syscall.ECONNRESET) {
				t.Errorf("%v", err)
			}
		},
		"a peek": func(_ *testing.T, s *Socket) {
			for s.Silent() {
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			s, other := pair(t)
			_, _ = other.Write([]byte("part"))
			if _, err := io.ReadFull(s, make([]byte, len("part"))); err != nil {
				t.Fatal(err)
			}
			_ = other.SetLinger(0)
			_ = other.Close()
			take(t, s)
			for range 2 {
				if n, err := s.Read(make([]byte, 1)); n != 0 || !errors.Is(err, syscall.ECONNRESET) {
					t.Errorf("%d bytes, %v", n, err)
				}
			}
		})
	}
}

// Guards against taking a connection that was closed in order for a lost one, as a later write was reset.
func TestEndInOrderIsReadAfterAFailedWrite(t *testing.T) {
	s, other := pair(t)
	_, _ = other.Write([]byte("whole"))
	_ = other.Close()
	if err := writeUntilError(t, s); !errors.Is(err, syscall.EPIPE) {
		t.Errorf("%v", err)
	}
	if b, err := io.ReadAll(s); string(b) != "whole" || err != nil {
		t.Errorf("%q, %v", b, err)
	}
}

// Guards against a read or a write that does not end at its deadline.
func TestDeadlinesEndReadsAndWrites(t *testing.T) {
	s, _ := pair(t)
	_ = s.SetDeadline(time.Now().Add(10 * time.Millisecond))
	var timeout net.Error
	if n, err := s.Read(make([]byte, 1)); n != 0 || !errors.As(err, &timeout) || !timeout.Timeout() {
		t.Errorf("%d bytes, %v", n, err)
	}
	if _, err := s.Write(make([]byte, 64<<20)); !errors.As(err, &timeout) || !timeout.Timeout() {
		t.Errorf("%v", err)
	}
}
