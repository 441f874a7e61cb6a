package httptarget

import (
	"bytes"
	"encoding/binary"
	"path/filepath"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"

	"gitlab.com/comfreythread/comfreythread/internal/bubble"
	"gitlab.com/comfreythread/comfreythread/internal/frame"
	"gitlab.com/comfreythread/comfreythread/internal/standin"
)

// oddRecords returns records that another build or writer may have left: fields of other types, numbers out of range, deep
// nesting, and no record at all.
func oddRecords() map[string]any {
	nested := any("end")
	for range 40 {
		nested = []any{nested}
	}
	changed := func(key string, value any) map[string]any {
		record := map[string]any{"i": "odd", "p": "pool", "a": "10.0.0.3:80", "f": "nord", "c": 2, "s": StateReady, "b": 5, "q": 1}
		record[key] = value
		return record
	}
	return map[string]any{
		"port out of range": changed("a", "10.0.0.3:99999"), "address of another type": changed("a", 7), "too many slots": changed("c", uint64(1)<<63),
		"no slots": changed("c", 0), "unknown state": changed("s", 200), "state as text": changed("s", "ready"), "negative start": changed("b", -5),
		"endless cold start": changed("w", int64(1)<<62), "nested pool": changed("p", nested), "no pool": changed("p", ""), "nested unknown key": changed("zz", nested),
		"text": "odd", "nothing": nil, "list": []any{1, 2}, "no ID": changed("i", ""), "long ID": changed("i", string(make([]byte, 1000))),
	}
}

// withOddRecord returns the encoded records of two sound targets with another one between them.
func withOddRecord(t *testing.T, odd any) msgpack.RawMessage {
	t.Helper()
	encoded, err := msgpack.Marshal([]any{announcedRecord("t", "10.0.0.1:80", 5, 1, StateReady), odd, announcedRecord("u", "10.0.0.2:80", 5, 1, StateReady)})
	if err != nil {
		t.Fatal(err)
	}
	return encoded
}

// expectSound fails the test unless the two sound targets, and no other, may be used.
func expectSound(t *testing.T, directory *Directory, name string) {
	t.Helper()
	ids := usableIDs(directory)
	if name == "nested unknown key" {
		// Unknown keys are those of a later build.
		if len(ids) != 3 {
			t.Errorf("targets %v are in use", ids)
		}
		return
	}
	if len(ids) != 2 || ids[0] != "t" || ids[1] != "u" {
		t.Errorf("targets %v are in use, expected the two sound ones", ids)
	}
}

// Guards against an entry that no longer follows a registry because one record of its reply can't be read, or that uses a
// target which the record doesn't describe.
func TestOddRecordOfARegistryIsLeftOut(t *testing.T) {
	for name, odd := range oddRecords() {
		t.Run(name, func(t *testing.T) {
			encoded, err := msgpack.Marshal(map[string]any{"s": 1, "r": 3, "w": true, "c": withOddRecord(t, odd)})
			if err != nil {
				t.Fatal(err)
			}
			var reply WatchReply
			if err := frame.Unmarshal(encoded, &reply); err != nil {
				t.Fatalf("the reply can't be read: %v", err)
			}
			directory := NewDirectory(zap.NewNop())
			directory.apply("registry", &reply)
			expectSound(t, directory, name)
			if ignored := directory.IgnoredRecords(); (ignored == 1) == (name == "nested unknown key") {
				t.Errorf("%d records are counted as ignored", ignored)
			}
		})
	}
}

// Guards against a control process that forgets its targets at a restart, or offers one that can't be used, because one
// stored record is odd.
func TestOddStoredRecordIsLeftOut(t *testing.T) {
	for name, odd := range oddRecords() {
		t.Run(name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				encoded, err := msgpack.Marshal(map[string]any{"t": time.Now(), "c": withOddRecord(t, odd)})
				if err != nil {
					t.Fatal(err)
				}
				registry := NewRegistry(1, zap.NewNop())
				registry.Load(newStoreWith(t, encoded))
				directory := NewDirectory(zap.NewNop())
				applySnapshot(directory, "registry", registry)
				expectSound(t, directory, name)
			})
		})
	}
}

// Guards against a control process that ends because its stored targets are nested without end.
func TestEndlesslyNestedStoreIsRefused(t *testing.T) {
	const depth = 10 << 20
	encoded, err := msgpack.Marshal("unknown")
	if err != nil {
		t.Fatal(err)
	}
	encoded = append([]byte{0x81}, encoded...)
	encoded = append(encoded, bytes.Repeat([]byte{0x91}, depth)...)
	if _, _, err := newStoreWith(t, encoded).read(time.Now()); err == nil {
		t.Error("the file is read")
	}
}

// newStoreWith returns a store whose file has the encoded content and a sound checksum.
func newStoreWith(t *testing.T, encoded []byte) *Store {
	t.Helper()
	fileSystem := new(standin.Disk)
	file, err := fileSystem.Create(filepath.Join("registry", storeName))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := file.Write(append(binary.BigEndian.AppendUint64(nil, xxhash.Sum64(encoded)), encoded...)); err != nil {
		t.Fatal(err)
	}
	if err := file.Close(); err != nil {
		t.Fatal(err)
	}
	return NewStore("registry", fileSystem)
}
