// Package document decodes JSON documents strictly and reports all problems of a document
// in one error: unknown fields, duplicate fields, and values of the wrong type, each with
// its path and remedy.
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
	// maximumProblems bounds the list, so that the response to a hostile document is short.
	maximumProblems = 100
	// wholeDocument is the path of a problem that belongs to no single field.
	wholeDocument = "(document)"
)

type (
	// Checker is a document that can list its own problems as a *fault.Error.
	Checker interface {
		Check() error
	}

	// reader decodes one document and collects its problems.
	reader struct {
		problems []fault.Problem
	}
)

// Decode decodes one JSON value into the value that into points to. Its error is a
// *fault.Error that lists all problems, up to maximumProblems.
func Decode(data []byte, into any) error {
	if err := checkSyntax(data); err != nil {
		return err
	}
	var reader reader
	reader.value("", data, reflect.ValueOf(into).Elem())
	return fault.InvalidDocument("the document", reader.problems)
}

// DecodeAndCheck decodes one JSON value and calls its Check, unless data isn't exactly one
// JSON value. The error lists the problems of both steps.
func DecodeAndCheck(data []byte, into Checker) error {
	err := Decode(data, into)
	var decodeFault *fault.Error
	if errors.As(err, &decodeFault) && len(decodeFault.Problems) == 0 {
		return err
	}
	var checkFault *fault.Error
	if !errors.As(into.Check(), &checkFault) {
		return err
	}
	if decodeFault == nil {
		return checkFault
	}
	return fault.InvalidDocument("the document", mergeProblems(decodeFault.Problems, checkFault.Problems))
}

// mergeProblems returns the problems of decoding and those of the check. It omits the
// check's problems of fields that couldn't be decoded, because their values are
// meaningless.
func mergeProblems(decodeProblems, checkProblems []fault.Problem) []fault.Problem {
	all := slices.Clone(decodeProblems)
	for _, problem := range checkProblems {
		samePath := func(other fault.Problem) bool { return other.Path == problem.Path }
		if !slices.ContainsFunc(decodeProblems, samePath) {
			all = append(all, problem)
		}
	}
	return all
}

// checkSyntax returns an error unless data is exactly one JSON value.
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

func (reader *reader) addProblem(path, message, remedy string) {
	path = cmp.Or(path, wholeDocument)
	if len(reader.problems) < maximumProblems {
		reader.problems = append(reader.problems, fault.Problem{Path: path, Message: message, Remedy: remedy})
	}
}

// value decodes one JSON value into a Go value, with strict checks inside objects and arrays.
func (reader *reader) value(path string, data []byte, into reflect.Value) {
	if _, isUnmarshaler := into.Addr().Interface().(json.Unmarshaler); isUnmarshaler {
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

// leaf decodes a value with encoding/json alone.
func (reader *reader) leaf(path string, data []byte, into reflect.Value) {
	err := json.Unmarshal(data, into.Addr().Interface())
	if err == nil {
		return
	}
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		reader.addProblem(path, fmt.Sprintf("a %s stands where a %s belongs", wrongType.Value, wrongType.Type), "write a "+wrongType.Type.String())
		return
	}
	// The errors of UnmarshalJSON methods, such as that of duration.Duration, are a message and
	// a remedy, separated by a semicolon.
	message, remedy, _ := strings.Cut(err.Error(), "; ")
	if remedy == "" {
		remedy = "see docs/INTERFACES.md for the shape"
	}
	reader.addProblem(path, message, remedy)
}

func (reader *reader) object(path string, data []byte, into reflect.Value) {
	fields := fieldsOf(into)
	seen := map[string]bool{}
	decoder, opened := openContainer(data, '{')
	if !opened {
		reader.addProblem(path, "an object belongs here", "write it in { }")
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
		fieldPath := joinPath(path, key)
		switch {
		case !known:
			reader.addProblem(fieldPath, "the field is unknown", "use one of "+strings.Join(fieldNames(fields), ", "))
		case seen[key]:
			reader.addProblem(fieldPath, "the field stands twice", "remove one of them")
		default:
			reader.value(fieldPath, value, field)
		}
		seen[key] = true
	}
}

func (reader *reader) array(path string, data []byte, into reflect.Value) {
	decoder, opened := openContainer(data, '[')
	if !opened {
		reader.addProblem(path, "a list belongs here", "write it in [ ]")
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

// openContainer reads the opening delimiter of an object or an array, and reports whether it
// is the expected one.
func openContainer(data []byte, delimiter json.Delim) (*json.Decoder, bool) {
	decoder := json.NewDecoder(bytes.NewReader(data))
	token, err := decoder.Token()
	return decoder, err == nil && token == delimiter
}

// fieldsOf returns the fields of a struct by their JSON names.
func fieldsOf(structValue reflect.Value) map[string]reflect.Value {
	fields := map[string]reflect.Value{}
	for index := range structValue.NumField() {
		name, _, _ := strings.Cut(structValue.Type().Field(index).Tag.Get("json"), ",")
		if name != "" && name != "-" {
			fields[name] = structValue.Field(index)
		}
	}
	return fields
}

func fieldNames(fields map[string]reflect.Value) []string {
	var fieldNames []string
	for name := range fields {
		fieldNames = append(fieldNames, name)
	}
	slices.Sort(fieldNames)
	return fieldNames
}

func joinPath(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}
