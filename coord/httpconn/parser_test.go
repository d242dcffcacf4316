package httpconn

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/gullhaven/gullhaven/coord/broken"
)

// drawFields draws valid lines of fields that do not say how long a body is.
func drawFields(t *rapid.T) string {
	var b strings.Builder
	for range rapid.IntRange(0, 4).Draw(t, "fields") {
		name := rapid.StringMatching("[!#$%&'*+.^_`|~0-9A-Za-z-]{1,12}").Filter(func(s string) bool {
			return !strings.EqualFold(s, "Trailer") && !strings.EqualFold(s, "Connection")
		}).Draw(t, "name")
		value := rapid.StringMatching("[\t -~\u00e9]{0,12}").Draw(t, "value")
		fold := rapid.SampledFrom([]string{"", "\r\n ", "\r\n\t", "\r\n \r\n "}).Draw(t, "fold")
		fmt.Fprintf(&b, "%s:%s%s%s\r\n", name, value, fold, value)
	}
	return b.String()
}

// answer is an answer that was drawn. status and body are what a client reads of it.
type answer struct {
	text, method, body string
	status             int
	// untilEnd says that its connection ends it.
	untilEnd bool
}

func drawAnswer(t *rapid.T) answer {
	a := answer{method: rapid.SampledFrom([]string{http.MethodGet, http.MethodPost, http.MethodHead}).Draw(t, "method")}
	var b strings.Builder
	for range rapid.IntRange(0, 2).Draw(t, "interim") {
		fmt.Fprintf(&b, "HTTP/1.1 %d X\r\n%s\r\n", rapid.SampledFrom([]int{100, 102, 103, 199}).Draw(t, "interim status"), drawFields(t))
	}
	a.status = rapid.SampledFrom([]int{200, 204, 304, 404, 500, 599, 999}).Draw(t, "status")
	minor := rapid.IntRange(0, 1).Draw(t, "minor")
	fmt.Fprintf(&b, "HTTP/1.%d %d%s\r\n%s", minor, a.status, rapid.SampledFrom([]string{"", " ", " OK", " a \u00e9"}).Draw(t, "reason"), drawFields(t))
	a.body = rapid.StringOfN(rapid.RuneFrom([]rune("a\r\n0 :;")), 0, 40, -1).Draw(t, "body")
	bodiless := a.method == http.MethodHead || a.status == http.StatusNoContent || a.status == http.StatusNotModified
	body := ""
	switch framing := rapid.IntRange(0, 2).Draw(t, "framing"); {
	case framing == 0:
		fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n", len(a.body))
		body = a.body
	case framing == 1 && minor == 1:
		b.WriteString("transfer-encoding: Chunked\r\n\r\n")
		body = drawChunks(t, a.body)
	default:
		b.WriteString("\r\n")
		body, a.untilEnd = a.body, !bodiless
	}
	if bodiless {
		body, a.body = "", ""
	}
	a.text = b.String() + body
	return a
}

func drawChunks(t *rapid.T, body string) string {
	var b strings.Builder
	for len(body) > 0 {
		n := rapid.IntRange(1, len(body)).Draw(t, "chunk")
		fmt.Fprintf(&b, "%0*X%s\r\n%s\r\n", rapid.IntRange(0, 4).Draw(t, "digits"), n, rapid.SampledFrom([]string{"", " ", ";a=b", ";a=\"b c\""}).Draw(t, "extension"), body[:n])
		body = body[n:]
	}
	return b.String() + "0\r\n" + drawFields(t) + "\r\n"
}

// feed passes text to a parser in parts that are drawn, and returns the bytes up to the first error.
func feed(t *rapid.T, p *parser, text string) (valid int, err error) {
	for valid < len(text) {
		n := rapid.IntRange(1, len(text)-valid).Draw(t, "part")
		ok, err := p.next([]byte(text[valid : valid+n]))
		if valid += ok; err != nil {
			return valid, err
		}
	}
	return valid, nil
}

// read returns the answer of net/http and the number of bytes that it takes.
func read(method, text string) (status int, body string, taken int, err error) {
	r := bufio.NewReader(strings.NewReader(text))
	for {
		res, err := http.ReadResponse(r, &http.Request{Method: method})
		if err != nil {
			return 0, "", 0, err
		}
		if res.StatusCode < http.StatusOK {
			continue
		}
		var b bytes.Buffer
		_, err = io.Copy(&b, res.Body)
		return res.StatusCode, b.String(), len(text) - r.Buffered(), err
	}
}

// Guards against refusing a valid answer, whatever parts it comes in, and against bytes after it that are read on.
func TestValidAnswersPass(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := drawAnswer(t)
		p := new(parser)
		p.begin(a.method, false)
		if n, err := feed(t, p, a.text); err != nil {
			t.Fatalf("%q: %v after %d bytes", a.text, err, n)
		}
		if status, body, _, err := read(a.method, a.text); err != nil || status != a.status || body != a.body {
			t.Fatalf("%q: net/http reads %d %q, %v", a.text, status, body, err)
		}
		if a.untilEnd {
			return
		}
		if !p.begin(a.method, false) {
			t.Fatalf("%q: its end is not found", a.text)
		}
		p.state = idle
		if n, err := p.next([]byte("HTTP/1.1 200 OK\r\n\r\n")); n != 0 || err != errStray {
			t.Fatalf("%d bytes after the answer are taken, %v", n, err)
		}
	})
}

// Guards against an answer that the parser takes for whole and net/http for a longer or shorter one, whose rest would
// be read as the next answer.
func TestParserAndNetHTTPAgreeOnTheEnd(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := drawAnswer(t)
		text := []byte(a.text)
		for range rapid.IntRange(1, 3).Draw(t, "changes") {
			at := rapid.IntRange(0, len(text)-1).Draw(t, "at")
			c := rapid.SampledFrom([]byte("\r\n :;019aX\x00\x7f\xff,")).Draw(t, "byte")
			switch rapid.IntRange(0, 2).Draw(t, "change") {
			case 0:
				text[at] = c
			case 1:
				text = append(text[:at], append([]byte{c}, text[at:]...)...)
			case 2:
				if text = append(text[:at], text[at+1:]...); len(text) == 0 {
					return
				}
			}
		}
		p := new(parser)
		p.begin(a.method, false)
		n, err := p.next(text)
		if err != nil && err != errStray || p.state != idle {
			return
		}
		_, _, taken, err := read(a.method, string(text[:n]))
		if err == nil && taken != n {
			t.Fatalf("%q: %d bytes, net/http takes %d", text, n, taken)
		}
	})
}

// Guards against a broken answer of which enough is passed on to be read as a whole one.
func TestBrokenAnswersAreCutOff(t *testing.T) {
	for name, text := range broken.Answers("", "body") {
		t.Run(name, func(t *testing.T) {
			p := new(parser)
			p.begin(http.MethodGet, false)
			n, err := p.next([]byte(text))
			if _, ok := err.(*Error); !ok || err == errStray {
				t.Fatalf("%d bytes pass, %v", n, err)
			}
			// The connection then reports an error, never its end.
			r := bufio.NewReader(io.MultiReader(strings.NewReader(text[:n]), failing{err}))
			for {
				res, got := http.ReadResponse(r, nil)
				if got == nil && res.StatusCode < http.StatusOK {
					continue
				}
				if got == nil {
					_, got = io.Copy(io.Discard, res.Body)
				}
				if got == nil {
					t.Errorf("%q is read as whole", text[:n])
				}
				return
			}
		})
	}
}

// failing is a reader that has only an error.
type failing struct{ err error }

func (f failing) Read([]byte) (int, error) { return 0, f.err }
