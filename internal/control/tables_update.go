// An update turns one version of the tables into a later one. It holds the rows that differ, so that its size follows the
// change and not the tables. docs/design/tables.md explains how updates reach entries.

package control

import (
	"reflect"

	"github.com/vmihailenco/msgpack/v5"

	"gitlab.com/comfreythread/comfreythread/internal/frame"
	"gitlab.com/comfreythread/comfreythread/pkg/fault"
	"gitlab.com/comfreythread/comfreythread/pkg/operator"
)

const (
	// maximumUpdateRows is the maximum number of rows in a list that an update rebuilds, so that a malformed update can't
	// claim much memory.
	maximumUpdateRows = 1 << 20

	updatePlain      = 0
	updateCompressed = 1
)

type (
	// TablesUpdate turns the tables of the version Base into those of Version. Base is 0 if the update holds all rows.
	TablesUpdate struct {
		Base    uint64 `msgpack:"b,omitempty"`
		Version uint64 `msgpack:"v"`
		// Other holds the tables without routes, pools and tenants.
		Other   operator.Tables            `msgpack:"o"`
		Routes  []rowStep[operator.Route]  `msgpack:"r,omitempty"`
		Pools   []rowStep[operator.Pool]   `msgpack:"p,omitempty"`
		Tenants []rowStep[operator.Tenant] `msgpack:"n,omitempty"`
	}

	// rowStep is one step of rebuilding a list: Count rows of the base, from the index From on, and then Rows.
	rowStep[Row any] struct {
		From  int   `msgpack:"f,omitempty"`
		Count int   `msgpack:"c,omitempty"`
		Rows  []Row `msgpack:"r,omitempty"`
	}
)

// newTablesUpdate returns the update from base to next. A base of version 0 has no rows.
func newTablesUpdate(base, next *operator.VersionedTables) *TablesUpdate {
	update := &TablesUpdate{
		Base: base.Version, Version: next.Version, Other: next.Tables,
		Routes:  rowSteps(base.Tables.Routes, next.Tables.Routes),
		Pools:   rowSteps(base.Tables.Pools, next.Tables.Pools),
		Tenants: rowSteps(base.Tables.Tenants, next.Tables.Tenants),
	}
	update.Other.Routes, update.Other.Pools, update.Other.Tenants = nil, nil, nil
	return update
}

// rowSteps returns the steps that rebuild next from base.
func rowSteps[Row any](base, next []Row) []rowStep[Row] {
	var steps []rowStep[Row]
	prefix := commonPrefix(base, next)
	if prefix > 0 {
		steps = append(steps, rowStep[Row]{Count: prefix})
	}
	suffix := commonSuffix(base[prefix:], next[prefix:])
	indexes := map[string]int{}
	for index := prefix; index < len(base)-suffix; index++ {
		indexes[encodeRow(&base[index])] = index
	}
	for index := prefix; index < len(next)-suffix; index++ {
		if baseIndex, found := indexes[encodeRow(&next[index])]; found {
			steps = appendCopy(steps, baseIndex, 1)
		} else {
			steps = appendRow(steps, next[index])
		}
	}
	if suffix > 0 {
		steps = appendCopy(steps, len(base)-suffix, suffix)
	}
	return steps
}

func commonPrefix[Row any](base, next []Row) int {
	count := 0
	for count < min(len(base), len(next)) && reflect.DeepEqual(&base[count], &next[count]) {
		count++
	}
	return count
}

func commonSuffix[Row any](base, next []Row) int {
	count := 0
	for count < min(len(base), len(next)) && reflect.DeepEqual(&base[len(base)-1-count], &next[len(next)-1-count]) {
		count++
	}
	return count
}

// encodeRow returns an encoding by which equal rows are found.
func encodeRow(row any) string {
	encoded, _ := msgpack.Marshal(row)
	return string(encoded)
}

// appendCopy appends rows of the base to the steps. It extends the last step if that ends with the rows before them.
func appendCopy[Row any](steps []rowStep[Row], from, count int) []rowStep[Row] {
	if last := len(steps) - 1; last >= 0 && len(steps[last].Rows) == 0 && steps[last].From+steps[last].Count == from {
		steps[last].Count += count
		return steps
	}
	return append(steps, rowStep[Row]{From: from, Count: count})
}

func appendRow[Row any](steps []rowStep[Row], row Row) []rowStep[Row] {
	if len(steps) == 0 {
		steps = append(steps, rowStep[Row]{})
	}
	last := &steps[len(steps)-1]
	last.Rows = append(last.Rows, row)
	return steps
}

// Apply returns the tables of the update's version. The base isn't changed. It returns a typed error if the update is based on
// another version or is malformed.
func (update *TablesUpdate) Apply(base *operator.Tables, baseVersion uint64) (*operator.Tables, error) {
	if update.Base == 0 {
		base = &operator.Tables{}
	} else if update.Base != baseVersion {
		return nil, fault.New(fault.Conflict, "the update of the tables is based on another version", "ask for an update from the version in force")
	}
	next := update.Other
	var err error
	if next.Routes, err = applyRowSteps(base.Routes, update.Routes); err != nil {
		return nil, err
	}
	if next.Pools, err = applyRowSteps(base.Pools, update.Pools); err != nil {
		return nil, err
	}
	if next.Tenants, err = applyRowSteps(base.Tenants, update.Tenants); err != nil {
		return nil, err
	}
	return &next, nil
}

func applyRowSteps[Row any](base []Row, steps []rowStep[Row]) ([]Row, error) {
	total := 0
	for _, step := range steps {
		if step.From < 0 || step.Count < 0 || step.From > len(base) || step.Count > len(base)-step.From {
			return nil, malformedUpdateError()
		}
		if total += step.Count + len(step.Rows); total > maximumUpdateRows {
			return nil, malformedUpdateError()
		}
	}
	if total == 0 {
		return nil, nil
	}
	next := make([]Row, 0, total)
	for _, step := range steps {
		next = append(next, base[step.From:step.From+step.Count]...)
		next = append(next, step.Rows...)
	}
	return next, nil
}

// encode returns the update in the form that DecodeTablesUpdate reads: a byte that tells whether the rest is compressed, and
// the rest.
func (update *TablesUpdate) encode() ([]byte, error) {
	encoded, err := msgpack.Marshal(update)
	if err != nil {
		return nil, err
	}
	if compressed := frame.Compress(encoded); compressed != nil {
		return append([]byte{updateCompressed}, compressed...), nil
	}
	return append([]byte{updatePlain}, encoded...), nil
}

// DecodeTablesUpdate decodes an update that a lease or a transfer has brought.
func DecodeTablesUpdate(data []byte) (*TablesUpdate, error) {
	if len(data) == 0 {
		return nil, malformedUpdateError()
	}
	format, encoded := data[0], data[1:]
	switch format {
	case updatePlain:
	case updateCompressed:
		var err error
		if encoded, err = frame.Decompress(encoded); err != nil {
			return nil, malformedUpdateError()
		}
	default:
		return nil, malformedUpdateError()
	}
	update := &TablesUpdate{}
	if err := frame.Unmarshal(encoded, update); err != nil {
		return nil, malformedUpdateError()
	}
	return update, nil
}

func malformedUpdateError() error {
	return fault.New(fault.BadRequest, "the update of the tables can't be read", "check that both processes run the same release")
}
