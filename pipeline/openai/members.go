package openai

import (
	"bytes"
	"encoding/json"
)

// members calls visit for each member of a JSON object, in order, until it
// returns an error. body must be valid JSON. members reports false if body is not
// an object.
//
// encoding/json either drops duplicate keys (into a map) or reads each value
// several times (a Decoder), which takes a third of an instance's time.
func members(body []byte, visit func(key string, raw []byte) error) (bool, error) {
	at := skipSpace(body, 0)
	if body[at] != '{' {
		return false, nil
	}
	at = skipSpace(body, at+1)
	for body[at] != '}' {
		end := valueEnd(body, at)
		key := keyOf(body[at:end])
		at = skipSpace(body, end) // the colon
		at = skipSpace(body, at+1)
		end = valueEnd(body, at)
		if err := visit(key, body[at:end]); err != nil {
			return true, err
		}
		at = skipSpace(body, end)
		if body[at] == ',' {
			at = skipSpace(body, at+1)
		}
	}
	return true, nil
}

// keyOf returns the key that a JSON string, with its quotes, stands for.
func keyOf(raw []byte) string {
	if bytes.IndexByte(raw, '\\') < 0 {
		return string(raw[1 : len(raw)-1])
	}
	var key string
	_ = json.Unmarshal(raw, &key) // can't fail: the body is valid JSON
	return key
}

// skipSpace returns the first position from at on that is not white space. b must
// have one, as valid JSON has before its end.
func skipSpace(b []byte, at int) int {
	for b[at] == ' ' || b[at] == '\t' || b[at] == '\n' || b[at] == '\r' {
		at++
	}
	return at
}

// valueEnd returns the position after the JSON value that begins at at.
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

// stringEnd returns the position after the string that begins at at.
func stringEnd(b []byte, at int) int {
	for at++; b[at] != '"'; at++ {
		if b[at] == '\\' {
			at++
		}
	}
	return at + 1
}

// nestedEnd returns the position after the object or array that begins at at.
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
