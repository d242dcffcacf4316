package httpconn

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
)

// state is what the next byte of a connection belongs to.
type state uint8

const (
	// idle: no answer is expected.
	idle state = iota
	statusLine
	reason
	// lineEnd: a line feed must follow a carriage return.
	lineEnd
	fieldStart
	fieldName
	fieldValue
	fixedBody
	chunkSize
	chunkExtension
	chunkData
	chunkEnd
	// untilEnd: the body ends with the connection.
	untilEnd
	// upgraded: what follows is another protocol.
	upgraded
)

const (
	// codeStart and codeEnd are where a status line has its code: "HTTP/1.1 200".
	codeStart, codeEnd = len("HTTP/1.1 "), len("HTTP/1.1 200")
	// maxQuotedBytes bounds what an error quotes of a line.
	maxQuotedBytes = 64
	// maxFramingBytes bounds the value of a field that says how long a body is.
	maxFramingBytes = 128
	// maxChunkDigits bounds the size of a chunk, as net/http does.
	maxChunkDigits = 16
)

// field is a field whose value the parser needs.
type field uint8

const (
	otherField field = iota
	transferEncoding
	contentLength
)

// parser follows the bytes that a server sends on a connection and finds where they are not HTTP/1.1 (RFC 9112).
// It does no I/O. It must be told of each request.
type parser struct {
	state state
	// head and upgrade say whether the request has the method HEAD, and whether it asks for another protocol.
	head, upgrade bool
	// line is the beginning of the current status line or field name.
	line []byte
	// trailers says that the current fields stand after a body, fields that the section has one already.
	trailers, fields bool
	// name is the current field, value its value if that is needed.
	name  field
	value []byte
	// afterLine is the state after lineEnd.
	afterLine state

	status int
	minor  byte
	// encodings is the number of transfer encodings, chunked says that the last one is "chunked".
	encodings int
	chunked   bool
	hasLength bool
	length    uint64
	// left is the rest of the body or chunk, digits the number of digits of a chunk's size.
	left   uint64
	digits int
}

// begin prepares for the answer to a request. It reports whether the one before was read to its end.
func (p *parser) begin(method string, upgrade bool) bool {
	if p.state != idle {
		return false
	}
	p.head, p.upgrade = method == http.MethodHead, upgrade
	p.beginHead()
	return true
}

func (p *parser) beginHead() {
	p.state, p.line = statusLine, p.line[:0]
	p.beginFields(false)
	p.encodings, p.chunked, p.hasLength, p.length = 0, false, false, 0
}

func (p *parser) beginFields(trailers bool) {
	p.trailers, p.fields, p.name, p.value = trailers, false, otherField, p.value[:0]
}

// next returns the number of bytes of b up to the first one at which the answer is not valid, and why it is not.
func (p *parser) next(b []byte) (int, error) {
	for i := 0; i < len(b); {
		switch p.state {
		case untilEnd, upgraded:
			return len(b), nil
		case fixedBody, chunkData:
			n := min(p.left, uint64(len(b)-i))
			p.left -= n
			i += int(n)
			if p.left == 0 {
				p.endPart()
			}
			continue
		}
		if i += p.skip(b[i:]); i == len(b) {
			break
		}
		if err := p.step(b[i]); err != nil {
			return i, err
		}
		i++
	}
	return len(b), nil
}

// skip returns the number of bytes at the beginning of b that step would take without any effect: a part of a value
// that is not needed.
func (p *parser) skip(b []byte) int {
	if p.state != fieldValue || p.name != otherField {
		return 0
	}
	for i, c := range b {
		if classes[c]&control != 0 {
			return i
		}
	}
	return len(b)
}

// endPart follows the last byte of a body with a length, or of a chunk.
func (p *parser) endPart() {
	if p.state == fixedBody {
		p.state = idle
		return
	}
	p.state = chunkEnd
}

// step takes one byte outside of bodies.
func (p *parser) step(c byte) error {
	switch p.state {
	case statusLine:
		return p.statusByte(c)
	case reason:
		return p.endLine(c, "the status line")
	case lineEnd:
		if c != '\n' {
			return invalid("a carriage return is not followed by a line feed")
		}
		return p.lineEnded()
	case fieldStart:
		return p.startLine(c)
	case fieldName:
		return p.nameByte(c)
	case fieldValue:
		return p.valueByte(c)
	case chunkSize:
		return p.sizeByte(c)
	case chunkExtension:
		if c == '\n' {
			return invalid("the size of a chunk ends with a bare line feed")
		}
		return p.endLine(c, "a chunk extension")
	case chunkEnd:
		if c != '\r' {
			return invalid("a chunk is longer than its size")
		}
		p.state, p.afterLine = lineEnd, chunkSize
		p.left, p.digits = 0, 0
		return nil
	}
	return errStray
}

// endLine takes a byte of a text up to the end of its line.
func (p *parser) endLine(c byte, of string) error {
	switch {
	case c == '\r':
		p.afterLine, p.state = p.state, lineEnd
	case c == '\n':
		p.afterLine = p.state
		return p.lineEnded()
	case classes[c]&control != 0:
		return invalid("%s holds the control byte %q", of, c)
	}
	return nil
}

// lineEnded follows the line feed of a line that was in the state afterLine.
func (p *parser) lineEnded() error {
	switch p.afterLine {
	case reason, fieldValue:
		p.state = fieldStart
	case chunkSize:
		p.state = chunkSize
	case chunkExtension:
		if p.state = chunkData; p.left == 0 {
			p.state = fieldStart
			p.beginFields(true)
		}
	case fieldStart:
		return p.endFields()
	}
	return nil
}

// statusByte takes a byte up to the end of the status code.
func (p *parser) statusByte(c byte) error {
	n := len(p.line)
	ended := c == '\r' || c == '\n'
	switch {
	case n < codeStart && (ended || !isVersionByte(n, c)):
		return invalid("it does not begin with HTTP/1.x: %q", append(p.line, c))
	case n < codeEnd && !ended && c != ' ':
		p.line = append(p.line, c)
		if n == len("HTTP/1.") {
			p.minor = c
		}
		return nil
	case n < codeStart:
		p.line = append(p.line, c)
		return nil
	case n < codeEnd || !ended && c != ' ':
		return invalid("status code %q has not three digits", p.line[codeStart:])
	}
	code := string(p.line[codeStart:])
	status, err := strconv.ParseUint(code, 10, 16)
	if err != nil || status < http.StatusContinue {
		return invalid("status code %q is not between 100 and 999", code)
	}
	p.status, p.state = int(status), reason
	return p.endLine(c, "the status line")
}

// isVersionByte reports whether c may stand at position n of a status line, before its code.
func isVersionByte(n int, c byte) bool {
	if n == len("HTTP/1.") {
		return isDigit(c)
	}
	return c == "HTTP/1.x "[n]
}

// startLine takes the first byte of a line of fields.
func (p *parser) startLine(c byte) error {
	if c == ' ' || c == '\t' {
		if !p.fields {
			return invalid("the first field begins with a blank")
		}
		// The line goes on with the value before, as one blank.
		p.state = fieldValue
		return p.keepValue(' ')
	}
	if err := p.endField(); err != nil {
		return err
	}
	switch c {
	case '\r':
		p.afterLine, p.state = fieldStart, lineEnd
		return nil
	case '\n':
		return p.endFields()
	}
	p.fields, p.line, p.state = true, p.line[:0], fieldName
	return p.nameByte(c)
}

func (p *parser) nameByte(c byte) error {
	switch {
	case c == ':' && len(p.line) == 0:
		return invalid("a field has no name")
	case c == ':':
		p.name, p.value, p.state = p.nameOf(p.line), p.value[:0], fieldValue
		return nil
	case c == '\r' || c == '\n':
		return invalid("the line %q has no colon", p.line)
	case classes[c]&token == 0:
		return invalid("field name %q holds a blank, a control byte or another byte that names do not have", append(p.line, c))
	case len(p.line) < maxQuotedBytes:
		p.line = append(p.line, c)
	}
	return nil
}

// nameOf returns the field of a name. Those of a trailer do not count.
func (p *parser) nameOf(name []byte) field {
	switch {
	case p.trailers:
	case len(name) == len("Transfer-Encoding") && strings.EqualFold(string(name), "Transfer-Encoding"):
		return transferEncoding
	case len(name) == len("Content-Length") && strings.EqualFold(string(name), "Content-Length"):
		return contentLength
	}
	return otherField
}

func (p *parser) valueByte(c byte) error {
	if classes[c]&control == 0 {
		return p.keepValue(c)
	}
	return p.endLine(c, "the value of a field")
}

func (p *parser) keepValue(c byte) error {
	if p.name == otherField {
		return nil
	}
	if len(p.value) == maxFramingBytes {
		return invalid("a field that says how long the body is has a value of more than %d bytes", maxFramingBytes)
	}
	p.value = append(p.value, c)
	return nil
}

// endField follows a field with all its lines.
func (p *parser) endField() error {
	value := strings.Trim(string(p.value), " \t")
	switch p.name {
	case transferEncoding:
		p.encodings++
		p.chunked = strings.EqualFold(value, "chunked")
	case contentLength:
		n, err := strconv.ParseUint(value, 10, 63)
		if err != nil {
			return invalid("its length %q is no number of bytes", value)
		}
		if p.hasLength && n != p.length {
			return invalid("it has two lengths, %d and %d", p.length, n)
		}
		p.hasLength, p.length = true, n
	}
	p.name, p.value = otherField, p.value[:0]
	return nil
}

// endFields follows the empty line after a head or a trailer.
func (p *parser) endFields() error {
	if p.trailers {
		p.state = idle
		return nil
	}
	switch {
	case p.status == http.StatusSwitchingProtocols && !p.upgrade:
		return invalid("status code 101 answers a request that asked for no other protocol")
	case p.encodings > 0 && p.minor == '0':
		return invalid("it has a transfer encoding in HTTP/1.0")
	case p.encodings > 0 && (p.encodings > 1 || !p.chunked):
		return invalid("its transfer encoding is not \"chunked\"")
	}
	switch {
	case p.status == http.StatusSwitchingProtocols:
		p.state = upgraded
	case p.status < http.StatusOK:
		p.beginHead()
	case p.head || p.status == http.StatusNoContent || p.status == http.StatusNotModified:
		p.state = idle
	case p.chunked:
		p.state, p.left, p.digits = chunkSize, 0, 0
	case p.hasLength:
		if p.state, p.left = fixedBody, p.length; p.left == 0 {
			p.state = idle
		}
	default:
		p.state = untilEnd
	}
	return nil
}

// sizeByte takes a byte of the size of a chunk.
func (p *parser) sizeByte(c byte) error {
	digit := strings.IndexByte(hexDigits, c|0x20)
	switch {
	case digit >= 0 && p.digits < maxChunkDigits:
		p.left, p.digits = p.left<<4|uint64(digit), p.digits+1
		return nil
	case digit >= 0:
		return invalid("the size of a chunk has more than %d digits", maxChunkDigits)
	case p.digits > 0 && (c == ';' || c == ' ' || c == '\t' || c == '\r'):
		p.state = chunkExtension
		return p.endLine(c, "a chunk extension")
	}
	return invalid("the size of a chunk has no digit where %q stands", c)
}

const hexDigits = "0123456789abcdef"

func isDigit(c byte) bool { return '0' <= c && c <= '9' }

// class is a set of kinds of bytes.
type class uint8

const (
	// token: it may stand in a field name.
	token class = 1 << iota
	// control: it must not stand in a value, a reason or a chunk extension.
	control
)

var classes = func() (classes [256]class) {
	for c := range classes {
		switch {
		case c < ' ' && c != '\t' || c == 0x7f:
			classes[c] |= control
		case isDigit(byte(c)) || 'a' <= c|0x20 && c|0x20 <= 'z' && c < 0x80 || strings.IndexByte("!#$%&'*+-.^_`|~", byte(c)) >= 0:
			classes[c] |= token
		}
	}
	return classes
}()

// Error says why an answer is not valid HTTP/1.1.
type Error struct{ Reason string }

// Error returns the reason.
func (e *Error) Error() string { return "the answer is not valid HTTP/1.1: " + e.Reason }

func invalid(format string, args ...any) error { return &Error{fmt.Sprintf(format, args...)} }

// errStray is returned for bytes that belong to no answer.
var errStray = invalid("bytes came that belong to no answer")
