package strict

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"reflect"
	"strconv"
	"strings"
	"unicode/utf8"

	"github.com/juju/errors"
)

// MaxDepth bounds the nesting of a document; the types decoded here need far less.
const MaxDepth = 64

// MaxProblems bounds the number of problems reported for one document.
const MaxProblems = 1000

// Decode decodes one JSON document into the struct that into points to. Fields
// that the document omits keep their values. The error is of type Problems; on
// an error *into is unchanged.
func Decode(data []byte, into any) error {
	if !utf8.Valid(data) {
		return Problems{{Message: "not valid UTF-8"}}
	}
	w := walker{decoder: json.NewDecoder(bytes.NewReader(data)), data: data}
	w.decoder.UseNumber()
	target := reflect.TypeOf(into).Elem()
	err := w.value("", target, 0)
	if err == nil {
		err = w.expectEnd()
	}
	if err != nil {
		w.problems.Add("", "%s", w.syntaxMessage(err))
	}
	if len(w.problems) > 0 {
		return w.problems
	}
	fresh := reflect.New(target)
	fresh.Elem().Set(reflect.ValueOf(into).Elem())
	if err := json.Unmarshal(data, fresh.Interface()); err != nil {
		return Problems{{Message: err.Error()}}
	}
	reflect.ValueOf(into).Elem().Set(fresh.Elem())
	return nil
}

// errTooMany ends the walk of a document with more than MaxProblems problems.
var errTooMany = errors.Errorf("more than %d faults, the rest is not listed", MaxProblems)

// walker compares the tokens of a document with a Go type.
type walker struct {
	decoder  *json.Decoder
	data     []byte
	problems Problems
}

// addProblem records a problem. It returns errTooMany if there are too many.
func (w *walker) addProblem(path, format string, args ...any) error {
	if len(w.problems) >= MaxProblems {
		return errTooMany
	}
	w.problems.Add(path, format, args...)
	return nil
}

// value consumes one value. t is its type, nil to skip the value. An error ends
// the walk: a syntax error, too deep nesting or errTooMany.
func (w *walker) value(path string, t reflect.Type, depth int) error {
	if depth > MaxDepth {
		return errors.Errorf("nested deeper than %d", MaxDepth)
	}
	for t != nil && t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	token, err := w.decoder.Token()
	if err != nil {
		return err
	}
	switch token := token.(type) {
	case json.Delim:
		if token == '{' {
			return w.object(path, t, depth)
		}
		return w.list(path, t, depth)
	default:
		return w.scalar(path, t, token)
	}
}

// object consumes the fields of an object and the closing brace.
func (w *walker) object(path string, t reflect.Type, depth int) error {
	if t != nil && t.Kind() != reflect.Struct {
		if err := w.addProblem(path, "is an object, but must be %s", typeName(t)); err != nil {
			return err
		}
		t = nil
	}
	seen := map[string]bool{}
	for w.decoder.More() {
		token, err := w.decoder.Token()
		if err != nil {
			return err
		}
		name := token.(string)
		fieldType, err := w.field(path, t, name, seen[name])
		if err != nil {
			return err
		}
		seen[name] = true
		if err := w.value(Field(path, name), fieldType, depth+1); err != nil {
			return err
		}
	}
	_, err := w.decoder.Token()
	return err
}

// field returns the type of the named field, or nil if its value is to be skipped.
func (w *walker) field(path string, t reflect.Type, name string, repeated bool) (reflect.Type, error) {
	if t == nil {
		return nil, nil
	}
	if repeated {
		return nil, w.addProblem(Field(path, name), "stands twice")
	}
	if fieldType, known := fieldByName(t, name); known {
		return fieldType, nil
	}
	return nil, w.addProblem(Field(path, name), "unknown field; known are %s", strings.Join(fieldNames(t), ", "))
}

// list consumes the elements of a list and the closing bracket.
func (w *walker) list(path string, t reflect.Type, depth int) error {
	var element reflect.Type
	switch {
	case t == nil:
	case t.Kind() == reflect.Slice:
		element = t.Elem()
	default:
		if err := w.addProblem(path, "is a list, but must be %s", typeName(t)); err != nil {
			return err
		}
	}
	for i := 0; w.decoder.More(); i++ {
		if err := w.value(Index(path, i), element, depth+1); err != nil {
			return err
		}
	}
	_, err := w.decoder.Token()
	return err
}

// scalar compares a string, number, boolean or null with the type.
func (w *walker) scalar(path string, t reflect.Type, token json.Token) error {
	if t == nil {
		return nil
	}
	if token == nil {
		return w.addProblem(path, "is null, but must be %s; leave the field out instead", typeName(t))
	}
	if !fits(t, token) {
		shown, err := json.Marshal(token)
		if err != nil {
			return err
		}
		return w.addProblem(path, "is %s, but must be %s", truncate(string(shown)), typeName(t))
	}
	return nil
}

// fits reports whether a field of type t can hold the token as it is written.
func fits(t reflect.Type, token json.Token) bool {
	number, isNumber := token.(json.Number)
	switch t.Kind() {
	case reflect.String:
		_, isString := token.(string)
		return isString
	case reflect.Bool:
		_, isBool := token.(bool)
		return isBool
	case reflect.Float32, reflect.Float64:
		_, err := strconv.ParseFloat(string(number), t.Bits())
		return isNumber && err == nil
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		_, err := strconv.ParseUint(string(number), 10, t.Bits())
		return isNumber && err == nil
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		_, err := strconv.ParseInt(string(number), 10, t.Bits())
		return isNumber && err == nil
	default:
		return false
	}
}

// expectEnd returns an error if anything follows the document.
func (w *walker) expectEnd() error {
	_, err := w.decoder.Token()
	if errors.Is(err, io.EOF) {
		return nil
	}
	if err == nil {
		return errors.New("something follows the document")
	}
	return err
}

// syntaxMessage adds line and column to an error that ended the walk.
func (w *walker) syntaxMessage(err error) string {
	offset := int(w.decoder.InputOffset())
	var fault *json.SyntaxError
	if errors.As(err, &fault) {
		offset = int(fault.Offset)
	}
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	before := w.data[:min(offset, len(w.data))]
	line := bytes.Count(before, []byte{'\n'}) + 1
	column := len(before) - bytes.LastIndexByte(before, '\n')
	return fmt.Sprintf("line %d, column %d: %v", line, column, err)
}

// fieldByName returns the type of the field with exactly this JSON name.
func fieldByName(t reflect.Type, name string) (reflect.Type, bool) {
	for i := range t.NumField() {
		if jsonName(t.Field(i)) == name {
			return t.Field(i).Type, true
		}
	}
	return nil, false
}

// fieldNames returns the JSON names of all fields.
func fieldNames(t reflect.Type) []string {
	all := make([]string, t.NumField())
	for i := range all {
		all[i] = jsonName(t.Field(i))
	}
	return all
}

// jsonName returns the JSON name of a field.
func jsonName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
	if name == "" {
		return f.Name
	}
	return name
}

// maxShownBytes bounds the part of a wrong value that a message quotes.
const maxShownBytes = 60

// truncate truncates a value to maxShownBytes.
func truncate(s string) string {
	if len(s) <= maxShownBytes {
		return s
	}
	return strings.ToValidUTF8(s[:maxShownBytes], "") + "..."
}

// typeName returns the name of the JSON type that a Go type decodes from.
func typeName(t reflect.Type) string {
	switch t.Kind() {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Float32, reflect.Float64:
		return "a number"
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		return "a whole number of 0 or more"
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		return "a whole number"
	case reflect.Slice:
		return "a list"
	default:
		return "an object"
	}
}
