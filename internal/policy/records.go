// Merge of the parts of a query into the greatest records of all parts.

package policy

import (
	"bytes"
	"container/heap"
)

const (
	// RecordBytes is the length of one record in a part.
	RecordBytes = 16
)

type (
	// recordHeap is a min-heap of records.
	recordHeap [][]byte
)

// MergeGreatest returns the greatest records of parts, at most count of them,
// concatenated in descending order. Equal records are all kept. An incomplete record
// at the end of a part is ignored.
func MergeGreatest(parts [][]byte, count int) []byte {
	kept := make(recordHeap, 0, max(0, count))
	for _, part := range parts {
		for len(part) >= RecordBytes {
			kept.offer(part[:RecordBytes:RecordBytes], count)
			part = part[RecordBytes:]
		}
	}
	merged := make([]byte, len(kept)*RecordBytes)
	for index := len(kept) - 1; index >= 0; index-- {
		smallest, _ := heap.Pop(&kept).([]byte)
		copy(merged[index*RecordBytes:], smallest)
	}
	return merged
}

// offer adds a record if the heap holds fewer than count records, or if the record
// is greater than the smallest one, which it then replaces.
func (records *recordHeap) offer(record []byte, count int) {
	switch {
	case len(*records) < count:
		heap.Push(records, record)
	case count > 0 && bytes.Compare(record, (*records)[0]) > 0:
		(*records)[0] = record
		heap.Fix(records, 0)
	}
}

// Len implements heap.Interface.
func (records recordHeap) Len() int { return len(records) }

// Less implements heap.Interface.
func (records recordHeap) Less(left, right int) bool {
	return bytes.Compare(records[left], records[right]) < 0
}

// Swap implements heap.Interface.
func (records recordHeap) Swap(left, right int) {
	records[left], records[right] = records[right], records[left]
}

// Push implements heap.Interface.
func (records *recordHeap) Push(record any) {
	added, _ := record.([]byte)
	*records = append(*records, added)
}

// Pop implements heap.Interface.
func (records *recordHeap) Pop() any {
	last := len(*records) - 1
	popped := (*records)[last]
	*records = (*records)[:last]
	return popped
}
