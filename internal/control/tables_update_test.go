package control

import (
	"context"
	"fmt"
	"reflect"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"pgregory.net/rapid"

	"gitlab.com/comfreythread/comfreythread/internal/bubble"
	"gitlab.com/comfreythread/comfreythread/internal/frame"
	"gitlab.com/comfreythread/comfreythread/internal/standin"
	"gitlab.com/comfreythread/comfreythread/pkg/fault"
	"gitlab.com/comfreythread/comfreythread/pkg/operator"
)

const (
	transferAddress = "10.0.0.1:90"
)

// drawTables draws tables whose rows repeat among draws, so that updates keep, move and drop some of them.
func drawTables(t *rapid.T, label string) operator.Tables {
	var tables operator.Tables
	for _, number := range rapid.SliceOfN(rapid.IntRange(0, 9), 0, 12).Draw(t, label+" routes") {
		tables.Routes = append(tables.Routes, operator.Route{Kind: fmt.Sprint(number), HTTP: &operator.HTTPRoute{Host: "host", PathPrefix: fmt.Sprint(number)}})
	}
	for _, number := range rapid.SliceOfN(rapid.IntRange(0, 4), 0, 5).Draw(t, label+" pools") {
		tables.Pools = append(tables.Pools, operator.Pool{Name: fmt.Sprint(number)})
	}
	for _, number := range rapid.SliceOfN(rapid.IntRange(0, 4), 0, 5).Draw(t, label+" tenants") {
		tables.Tenants = append(tables.Tenants, operator.Tenant{Name: fmt.Sprint(number), KeyDigests: []string{"digest"}, Priority: &number})
	}
	tables.RequireKeys = rapid.Bool().Draw(t, label+" require keys")
	tables.FailureDomainsOut = rapid.SampledFrom([][]string{nil, {"nord"}}).Draw(t, label+" domains")
	return tables
}

// TestUpdateRebuildsTables guards against an update that leaves an entry with other tables than those of control.
func TestUpdateRebuildsTables(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base := operator.VersionedTables{Version: rapid.Uint64Range(0, 1).Draw(t, "base version"), Tables: drawTables(t, "base")}
		if base.Version == 0 {
			base.Tables = operator.Tables{}
		}
		next := operator.VersionedTables{Version: 2, Tables: drawTables(t, "next")}
		encoded, err := newTablesUpdate(&base, &next).encode()
		if err != nil {
			t.Fatal(err)
		}
		update, err := DecodeTablesUpdate(encoded)
		if err != nil {
			t.Fatal(err)
		}
		applied, err := update.Apply(&base.Tables, base.Version)
		if err != nil || !reflect.DeepEqual(*applied, next.Tables) {
			t.Fatalf("got %+v and error %v, expected %+v", applied, err, next.Tables)
		}
	})
}

// TestMalformedUpdateIsRefused guards against a panic or memory without bound at an entry that applies an update from another
// base or of a faulty peer.
func TestMalformedUpdateIsRefused(t *testing.T) {
	base := &operator.Tables{Pools: []operator.Pool{{Name: "a"}, {Name: "b"}}}
	for name, update := range map[string]TablesUpdate{
		"another base":      {Base: 2, Version: 3},
		"negative index":    {Base: 1, Version: 2, Pools: []rowStep[operator.Pool]{{From: -1, Count: 1}}},
		"beyond the base":   {Base: 1, Version: 2, Pools: []rowStep[operator.Pool]{{From: 1, Count: 2}}},
		"overflowing count": {Base: 1, Version: 2, Pools: []rowStep[operator.Pool]{{From: 1, Count: 1<<63 - 1}}},
		"too many rows":     {Base: 1, Version: 2, Pools: make([]rowStep[operator.Pool], 0)},
	} {
		if name == "too many rows" {
			for range maximumUpdateRows {
				update.Pools = append(update.Pools, rowStep[operator.Pool]{Count: 2})
			}
		}
		_, err := update.Apply(base, 1)
		var typed *fault.Error
		if !errors.As(err, &typed) {
			t.Errorf("%s: got %v, expected a typed error", name, err)
		}
	}
	if _, err := DecodeTablesUpdate([]byte{updateCompressed, 0xff, 0xff, 0xff, 0xff, 0x7f, 0}); err == nil {
		t.Error("an update that claims 32 GB was decoded")
	}
}

// FuzzTablesUpdate decodes and applies arbitrary bytes as an update, which must not panic.
func FuzzTablesUpdate(f *testing.F) {
	base := operator.VersionedTables{Version: 1, Tables: operator.Tables{Pools: []operator.Pool{{Name: "a"}}}}
	next := operator.VersionedTables{Version: 2, Tables: operator.Tables{Pools: []operator.Pool{{Name: "a"}, {Name: "b"}}}}
	encoded, _ := newTablesUpdate(&base, &next).encode()
	f.Add(encoded)
	f.Fuzz(func(_ *testing.T, data []byte) {
		if update, err := DecodeTablesUpdate(data); err == nil {
			_, _ = update.Apply(&base.Tables, base.Version)
		}
	})
}

// TestUpdateIsEncodedOnce guards against a leader that encodes the tables anew for each entry that renews its lease.
func TestUpdateIsEncodedOnce(t *testing.T) {
	service := &Service{state: &State{}}
	lease := func() *Lease {
		lease := &Lease{TablesVersion: 1, Tables: &operator.Tables{Pools: []operator.Pool{{Name: "a"}}}}
		if err := service.attachUpdate(&Renewal{AcceptsUpdates: true}, lease); err != nil {
			t.Fatal(err)
		}
		return lease
	}
	if first, second := lease(), lease(); &first.Update[0] != &second.Update[0] {
		t.Error("two entries with the same version got updates that were encoded apart")
	}
	old := &Lease{TablesVersion: 1, Tables: &operator.Tables{}}
	if err := service.attachUpdate(&Renewal{}, old); err != nil || old.Tables == nil || old.Update != nil {
		t.Errorf("an entry of a build without updates gets %+v, expected whole tables", old)
	}
}

// TestTransferContinues guards against a transfer that loses what has arrived when a replica falls silent, or that joins parts
// of two encodings.
func TestTransferContinues(t *testing.T) {
	next := operator.VersionedTables{Version: 1, Tables: operator.Tables{}}
	for number := range 3000 {
		next.Tables.Pools = append(next.Tables.Pools, operator.Pool{Name: fmt.Sprintf("pool-%x", number*104729)})
	}
	for name, sum := range map[string]uint64{"same encoding": 0, "another encoding": 1} {
		bubble.Test(t, func(t *testing.T) {
			defer time.Sleep(time.Minute)
			network := &standin.Network{}
			service := &Service{state: &State{data: stateData{Tables: tablesData{Versions: []storedVersion{{VersionedTables: next}}}}}}
			attempts, firstOffset := 0, -1
			server := &frame.Server{}
			frame.HandleStream(server, MethodTablesUpdate, func(ctx context.Context, request *UpdateRequest, send func(*UpdatePart) error) error {
				if attempts++; attempts > 1 {
					return service.sendUpdate(ctx, request, func(part *UpdatePart) error {
						if firstOffset < 0 {
							firstOffset = part.Offset
						}
						return send(part)
					})
				}
				sent := 0
				return service.sendUpdate(ctx, request, func(part *UpdatePart) error {
					if sent++; sent > 3 {
						<-ctx.Done()
						return ctx.Err()
					}
					part.Sum += sum
					return send(part)
				})
			})
			listener, err := network.Listen(transferAddress)
			if err != nil {
				t.Fatal(err)
			}
			go func() { _ = server.Serve(listener) }()
			defer server.Stop()
			client := NewClient([]string{transferAddress}, network.Dialer("10.1.0.1"))
			defer client.Close()
			transfer := NewTablesTransfer(0, 1)
			if err := client.ContinueTransfer(context.Background(), transfer); err == nil {
				t.Fatal("the first attempt is meant to fall silent")
			}
			if err := client.ContinueTransfer(context.Background(), transfer); err != nil {
				t.Fatal(err)
			}
			tables, err := transfer.Tables(&operator.Tables{}, 0)
			if err != nil || !reflect.DeepEqual(*tables, next.Tables) {
				t.Fatalf("%s: the transfer ended with error %v or other tables", name, err)
			}
			if expected := 3 * updatePartBytes; sum == 0 && firstOffset != expected || sum != 0 && firstOffset != 0 {
				t.Errorf("%s: the second attempt began at byte %d", name, firstOffset)
			}
		})
	}
}

// TestTransferFromReplicaThatLags guards against an entry that takes a replica which hasn't applied the version yet for one
// that no longer stores it.
func TestTransferFromReplicaThatLags(t *testing.T) {
	service := &Service{state: &State{data: stateData{Tables: tablesData{Versions: []storedVersion{{VersionedTables: operator.VersionedTables{Version: 5}}}}}}}
	for version, kind := range map[uint64]fault.Kind{6: fault.Unavailable, 4: fault.NotFound, 0: fault.NotFound} {
		err := service.sendUpdate(context.Background(), &UpdateRequest{Version: version}, nil)
		var typed *fault.Error
		if !errors.As(err, &typed) || typed.Kind != kind {
			t.Errorf("version %d: got %v, expected kind %v", version, err, kind)
		}
	}
}
