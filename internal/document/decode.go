// Package document reads JSON documents strictly and lists everything that is
// wrong with one at once: unknown fields, fields that stand twice, and values
// of the wrong type, each with its path and remedy.
package document

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"reflect"
	"slices"
	"strings"

	"github.com/go-faster/errors"

	"gitlab.com/comfreythread/comfreythread/pkg/fault"
)

const (
	// maximumProblems bounds the list, so that a hostile document gets a
	// short answer.
	maximumProblems = 100
	// wholeDocument is the path of a problem that is in no one field.
	wholeDocument = "(document)"
)

type (
	// Checker is a document that can list its own problems as a *fault.Error.
	Checker interface {
		Check() error
	}

	reader struct {
		problems []fault.Problem
	}
)

// Decode reads one JSON value into the struct that into points to. The error
// is a *fault.Error that lists every problem.
func Decode(data []byte, into any) error {
	if err := checkSyntax(data); err != nil {
		return err
	}
	var reader reader
	reader.value("", data, reflect.ValueOf(into).Elem())
	return fault.Document("the document", reader.problems)
}

// DecodeAndCheck reads one JSON value and checks it, and lists the problems
// of both together.
func DecodeAndCheck(data []byte, into Checker) error {
	err := Decode(data, into)
	var unread *fault.Error
	if errors.As(err, &unread) && len(unread.Problems) == 0 {
		return err
	}
	var unsound *fault.Error
	if !errors.As(into.Check(), &unsound) {
		return err
	}
	if unread == nil {
		return unsound
	}
	return fault.Document("the document", union(unread.Problems, unsound.Problems))
}

// union leaves out the problems of fields that couldn't be read, because
// their values mean nothing.
func union(unread, unsound []fault.Problem) []fault.Problem {
	all := slices.Clone(unread)
	for _, problem := range unsound {
		known := func(other fault.Problem) bool { return other.Path == problem.Path }
		if !slices.ContainsFunc(unread, known) {
			all = append(all, problem)
		}
	}
	return all
}

// checkSyntax refuses anything but exactly one JSON value.
func checkSyntax(data []byte) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	var value json.RawMessage
	if err := decoder.Decode(&value); err != nil {
		return fault.New(fault.BadRequest, "the JSON can't be read: "+err.Error(), "send one whole JSON value")
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return fault.New(fault.BadRequest, "more than one JSON value was sent", "send exactly one")
	}
	return nil
}

func (reader *reader) add(path, message, remedy string) {
	path = cmp.Or(path, wholeDocument)
	if len(reader.problems) < maximumProblems {
		reader.problems = append(reader.problems, fault.Problem{Path: path, Message: message, Remedy: remedy})
	}
}

func (reader *reader) value(path string, data []byte, into reflect.Value) {
	if _, custom := into.Addr().Interface().(json.Unmarshaler); custom {
		reader.leaf(path, data, into)
		return
	}
	isNull := string(data) == "null"
	switch {
	case into.Kind() == reflect.Pointer && !isNull:
		into.Set(reflect.New(into.Type().Elem()))
		reader.value(path, data, into.Elem())
	case into.Kind() == reflect.Struct && !isNull:
		reader.object(path, data, into)
	case into.Kind() == reflect.Slice && !isNull:
		reader.array(path, data, into)
	default:
		reader.leaf(path, data, into)
	}
}

func (reader *reader) leaf(path string, data []byte, into reflect.Value) {
	err := json.Unmarshal(data, into.Addr().Interface())
	if err == nil {
		return
	}
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		reader.add(path, fmt.Sprintf("a %s stands where a %s belongs", wrongType.Value, wrongType.Type), "write a "+wrongType.Type.String())
		return
	}
	message, remedy, _ := strings.Cut(err.Error(), "; ")
	if remedy == "" {
		remedy = "see docs/INTERFACES.md for the shape"
	}
	reader.add(path, message, remedy)
}

func (reader *reader) object(path string, data []byte, into reflect.Value) {
	fields := fieldsOf(into)
	seen := map[string]bool{}
	decoder, opened := open(data, '{')
	if !opened {
		reader.add(path, "an object belongs here", "write it in { }")
		return
	}
	for decoder.More() {
		token, err := decoder.Token()
		key, isKey := token.(string)
		var value json.RawMessage
		if err != nil || !isKey || decoder.Decode(&value) != nil {
			return
		}
		field, known := fields[key]
		fieldPath := join(path, key)
		switch {
		case !known:
			reader.add(fieldPath, "the field is unknown", "use one of "+strings.Join(names(fields), ", "))
		case seen[key]:
			reader.add(fieldPath, "the field stands twice", "remove one of them")
		default:
			reader.value(fieldPath, value, field)
		}
		seen[key] = true
	}
}

func (reader *reader) array(path string, data []byte, into reflect.Value) {
	decoder, opened := open(data, '[')
	if !opened {
		reader.add(path, "a list belongs here", "write it in [ ]")
		return
	}
	into.Set(reflect.MakeSlice(into.Type(), 0, 0))
	for index := 0; decoder.More(); index++ {
		var value json.RawMessage
		if decoder.Decode(&value) != nil {
			return
		}
		element := reflect.New(into.Type().Elem()).Elem()
		reader.value(fmt.Sprintf("%s[%d]", path, index), value, element)
		into.Set(reflect.Append(into, element))
	}
}

func open(data []byte, delimiter json.Delim) (*json.Decoder, bool) {
	decoder := json.NewDecoder(bytes.NewReader(data))
	token, err := decoder.Token()
	return decoder, err == nil && token == delimiter
}

// fieldsOf returns a struct's fields by their JSON names.
func fieldsOf(structure reflect.Value) map[string]reflect.Value {
	fields := map[string]reflect.Value{}
	for index := range structure.NumField() {
		name, _, _ := strings.Cut(structure.Type().Field(index).Tag.Get("json"), ",")
		if name != "" && name != "-" {
			fields[name] = structure.Field(index)
		}
	}
	return fields
}

func names(fields map[string]reflect.Value) []string {
	var names []string
	for name := range fields {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}
