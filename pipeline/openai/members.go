package openai

import (
	"bytes"
	"encoding/json"
)

// members calls take for each member of a JSON object, in order. body must be
// valid JSON; it reports false if that is no object.
//
// encoding/json either loses keys that stand twice (into a map) or reads each
// value several times (a Decoder): that was a third of an instance's time.
func members(body []byte, take func(key string, raw []byte) error) (bool, error) {
	at := space(body, 0)
	if body[at] != '{' {
		return false, nil
	}
	at = space(body, at+1)
	for body[at] != '}' {
		end := valueEnd(body, at)
		key := keyOf(body[at:end])
		at = space(body, end) // the colon
		at = space(body, at+1)
		end = valueEnd(body, at)
		if err := take(key, body[at:end]); err != nil {
			return true, err
		}
		at = space(body, end)
		if body[at] == ',' {
			at = space(body, at+1)
		}
	}
	return true, nil
}

// keyOf reads a key, with its quotes.
func keyOf(raw []byte) string {
	if bytes.IndexByte(raw, '\\') < 0 {
		return string(raw[1 : len(raw)-1])
	}
	var key string
	_ = json.Unmarshal(raw, &key) // valid JSON, as is all of the body
	return key
}

// space returns the first position from at on that is no white space.
func space(b []byte, at int) int {
	for b[at] == ' ' || b[at] == '\t' || b[at] == '\n' || b[at] == '\r' {
		at++
	}
	return at
}

// valueEnd returns the position behind the value that begins at at.
func valueEnd(b []byte, at int) int {
	switch b[at] {
	case '"':
		return stringEnd(b, at)
	case '{', '[':
		return nestedEnd(b, at)
	}
	for at < len(b) && bytes.IndexByte([]byte(",}] \t\r\n"), b[at]) < 0 {
		at++
	}
	return at
}

// stringEnd returns the position behind the string that begins at at.
func stringEnd(b []byte, at int) int {
	for at++; b[at] != '"'; at++ {
		if b[at] == '\\' {
			at++
		}
	}
	return at + 1
}

// nestedEnd returns the position behind the object or array that begins at at.
func nestedEnd(b []byte, at int) int {
	for depth := 0; ; {
		switch b[at] {
		case '"':
			at = stringEnd(b, at)
			continue
		case '{', '[':
			depth++
		case '}', ']':
			depth--
		}
		at++
		if depth == 0 {
			return at
		}
	}
}
