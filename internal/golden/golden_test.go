package golden

import (
	"reflect"
	"testing"

	"github.com/vmihailenco/msgpack/v5"
)

type (
	earlier struct {
		First  string        `msgpack:"f"`
		Second string        `msgpack:"s"`
		Parts  []earlierPart `msgpack:"p"`
	}

	earlierPart struct {
		Count int `msgpack:"c"`
	}

	extended struct {
		First  string         `msgpack:"f"`
		Second string         `msgpack:"s"`
		Parts  []extendedPart `msgpack:"p"`
		Third  string         `msgpack:"t"`
	}

	extendedPart struct {
		Count int  `msgpack:"c"`
		Added bool `msgpack:"a,omitempty"`
	}

	otherKey struct {
		First  string        `msgpack:"f"`
		Second string        `msgpack:"x"`
		Parts  []earlierPart `msgpack:"p"`
	}

	otherType struct {
		First  string        `msgpack:"f"`
		Second []byte        `msgpack:"s"`
		Parts  []earlierPart `msgpack:"p"`
	}

	exchangedKeys struct {
		First  string        `msgpack:"s"`
		Second string        `msgpack:"f"`
		Parts  []earlierPart `msgpack:"p"`
	}

	otherPart struct {
		First  string `msgpack:"f"`
		Second string `msgpack:"s"`
		Parts  []struct {
			Count float64 `msgpack:"c"`
		} `msgpack:"p"`
	}

	lackingField struct {
		First string        `msgpack:"f"`
		Parts []earlierPart `msgpack:"p"`
	}
)

// TestDifferencesAreFound guards against a comparison that lets pass a change which an earlier build
// can't read, or that refuses an added field.
func TestDifferencesAreFound(t *testing.T) {
	var made earlier
	fill(reflect.ValueOf(&made).Elem(), "earlier", 0)
	fixture, err := msgpack.Marshal(&made)
	if err != nil {
		t.Fatal(err)
	}
	for value, compatible := range map[reflect.Type]bool{
		reflect.TypeFor[earlier]():       true,
		reflect.TypeFor[extended]():      true,
		reflect.TypeFor[otherKey]():      false,
		reflect.TypeFor[otherType]():     false,
		reflect.TypeFor[exchangedKeys](): false,
		reflect.TypeFor[otherPart]():     false,
		reflect.TypeFor[lackingField]():  false,
	} {
		found := differences(fixture, value)
		if (len(found) == 0) != compatible {
			t.Errorf("%v: differences %q, expected none: %v", value, found, compatible)
		}
	}
}
