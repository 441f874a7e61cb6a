// Package golden compares the encoding of messages and stored types with that of an earlier build.
// Tests list the types of their package; `make golden` runs the same tests against the earlier build
// to write its fixtures. docs/design/builds.md says which changes the fixtures allow.
package golden

import (
	"bytes"
	"encoding/hex"
	"flag"
	"fmt"
	"hash/fnv"
	"io"
	"maps"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/vmihailenco/msgpack/v5"
)

const (
	// maximumDepth bounds the nesting of the values that are made, for recursive types.
	maximumDepth = 16

	int64Bytes = 8
)

var (
	write = flag.Bool("golden-write", false, "write the fixtures of this build instead of comparing with them")

	timeType = reflect.TypeFor[time.Time]()
)

// Writing reports whether the tests write the fixtures of this build.
func Writing() bool {
	return *write
}

// Check compares the encoding of the types of the given values with that of the build whose fixtures
// are in testdata/golden/BUILD.txt, by the names of the types. A fixture is the encoding of a value
// whose fields all differ from zero and depend on the names of the fields. The present code must
// decode a fixture without losing a part of it, and must encode such a value with the same content
// under each key of the fixture. Keys that the fixture lacks are allowed, because decoders ignore
// unknown keys.
func Check(t *testing.T, build string, values ...any) {
	t.Helper()
	path := filepath.Join("testdata", "golden", build+".txt")
	if *write {
		if err := writeFixtures(path, values); err != nil {
			t.Fatal(err)
		}
		return
	}
	fixtures, err := readFixtures(path)
	if err != nil {
		t.Fatal(err)
	}
	for _, value := range values {
		name := reflect.TypeOf(value).String()
		fixture, found := fixtures[name]
		if !found {
			t.Errorf("%s has no fixture of build %s", name, build)
			continue
		}
		delete(fixtures, name)
		for _, difference := range differences(fixture, reflect.TypeOf(value)) {
			t.Errorf("%s: %s", name, difference)
		}
	}
	for name := range fixtures {
		t.Errorf("the fixture of %s has no type; a type that was renamed keeps its fixture under the new name", name)
	}
}

// differences returns what in a fixture the present code doesn't decode or encode alike.
func differences(fixture []byte, valueType reflect.Type) []string {
	expected, err := decodeAll(fixture)
	if err != nil {
		return []string{err.Error()}
	}
	decoded := reflect.New(valueType)
	if err := msgpack.Unmarshal(fixture, decoded.Interface()); err != nil {
		return []string{"the fixture can't be decoded: " + err.Error()}
	}
	made := reflect.New(valueType)
	fill(made.Elem(), valueType.Name(), 0)
	found := refusedUnknownKey(expected, valueType)
	for what, value := range map[string]reflect.Value{"decoding keeps": decoded, "encoding writes": made} {
		encoded, err := msgpack.Marshal(value.Interface())
		if err != nil {
			return append(found, err.Error())
		}
		actual, err := decodeAll(encoded)
		if err != nil {
			return append(found, err.Error())
		}
		found = append(found, compare(what, "", expected, actual)...)
	}
	return found
}

// refusedUnknownKey returns why the present code doesn't decode the content with one more key, which a
// later build may add.
func refusedUnknownKey(content []any, valueType reflect.Type) []string {
	fields, isMap := content[0].(map[string]any)
	if !isMap || len(content) != 1 {
		return nil
	}
	extended := maps.Clone(fields)
	extended["unknown"] = "part of a later build"
	encoded, err := msgpack.Marshal(extended)
	if err == nil {
		err = msgpack.Unmarshal(encoded, reflect.New(valueType).Interface())
	}
	if err != nil {
		return []string{"a message with an unknown key can't be decoded: " + err.Error()}
	}
	return nil
}

// compare returns the paths at which the actual content lacks the expected one or differs from it.
func compare(what, path string, expected, actual any) []string {
	var found []string
	switch expected := expected.(type) {
	case map[string]any:
		actual, isMap := actual.(map[string]any)
		if !isMap {
			break
		}
		for key, part := range expected {
			found = append(found, compare(what, path+"."+key, part, actual[key])...)
		}
		return found
	case []any:
		actual, isList := actual.([]any)
		if !isList || len(actual) != len(expected) {
			break
		}
		for index, part := range expected {
			found = append(found, compare(what, fmt.Sprintf("%s[%d]", path, index), part, actual[index])...)
		}
		return found
	default:
		if reflect.DeepEqual(expected, actual) {
			return nil
		}
	}
	return []string{fmt.Sprintf("%s %#v at %q, expected %#v", what, actual, path, expected)}
}

// decodeAll decodes the values in the data one after the other, as types with an encoding of their own
// may write several.
func decodeAll(data []byte) ([]any, error) {
	reader := bytes.NewReader(data)
	decoder := msgpack.NewDecoder(reader)
	decoder.UseLooseInterfaceDecoding(true)
	var decoded []any
	for {
		value, err := decoder.DecodeInterfaceLoose()
		if errors.Is(err, io.EOF) {
			return decoded, nil
		}
		if err != nil {
			return nil, errors.Wrap(err, "decode without a type")
		}
		decoded = append(decoded, value)
	}
}

// fill sets every part of a value that is encoded. Values depend on the name of their field, so that
// exchanged keys are noticed.
func fill(value reflect.Value, name string, depth int) {
	hash := fnv.New32a()
	_, _ = io.WriteString(hash, name)
	number := int64(hash.Sum32())
	if value.Type().Size() < int64Bytes {
		number = number%100 + 1
	}
	switch {
	case depth > maximumDepth:
	case value.Type() == timeType:
		value.Set(reflect.ValueOf(time.Unix(number, 0)))
	case value.CanInt():
		value.SetInt(number)
	case value.CanUint():
		value.SetUint(uint64(number))
	case value.CanFloat():
		value.SetFloat(float64(number) + 0.5)
	case value.Kind() == reflect.Bool:
		value.SetBool(true)
	case value.Kind() == reflect.String:
		value.SetString("text of " + name)
	default:
		fillParts(value, name, depth+1)
	}
}

// fillParts makes the parts of a value that consists of others, with one element where their number is
// open.
func fillParts(value reflect.Value, name string, depth int) {
	kind := value.Kind()
	if kind == reflect.Pointer {
		value.Set(reflect.New(value.Type().Elem()))
		fill(value.Elem(), name, depth)
	}
	if kind == reflect.Slice {
		value.Set(reflect.MakeSlice(value.Type(), 1, 1))
		fill(value.Index(0), name, depth)
	}
	if kind == reflect.Array {
		for index := range value.Len() {
			fill(value.Index(index), fmt.Sprint(name, index), depth)
		}
	}
	if kind == reflect.Map {
		key, element := reflect.New(value.Type().Key()).Elem(), reflect.New(value.Type().Elem()).Elem()
		fill(key, name, depth)
		fill(element, name, depth)
		value.Set(reflect.MakeMap(value.Type()))
		value.SetMapIndex(key, element)
	}
	if kind == reflect.Struct {
		for index := range value.NumField() {
			if field := value.Type().Field(index); field.IsExported() {
				fill(value.Field(index), field.Name, depth)
			}
		}
	}
}

func writeFixtures(path string, values []any) error {
	var lines []string
	for _, value := range values {
		made := reflect.New(reflect.TypeOf(value))
		fill(made.Elem(), made.Elem().Type().Name(), 0)
		encoded, err := msgpack.Marshal(made.Interface())
		if err != nil {
			return err
		}
		lines = append(lines, reflect.TypeOf(value).String()+"\t"+hex.EncodeToString(encoded)+"\n")
	}
	slices.Sort(lines)
	if err := os.MkdirAll(filepath.Dir(path), 0o750); err != nil {
		return err
	}
	return os.WriteFile(path, []byte(strings.Join(lines, "")), 0o600)
}

func readFixtures(path string) (map[string][]byte, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	fixtures := map[string][]byte{}
	for line := range strings.Lines(string(data)) {
		name, encoded, _ := strings.Cut(strings.TrimSpace(line), "\t")
		if fixtures[name], err = hex.DecodeString(encoded); err != nil {
			return nil, errors.Wrap(err, name)
		}
	}
	return fixtures, nil
}
