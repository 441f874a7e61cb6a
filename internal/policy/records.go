// The merge of parts: the greatest records of all.

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
	// smallestFirst is a heap of records with the smallest on top.
	smallestFirst [][]byte
)

// Greatest returns the greatest records of parts, joined, the greatest first. A
// rest of a part that is shorter than a record counts for nothing; equal records
// all count.
func Greatest(parts [][]byte, count int) []byte {
	kept := make(smallestFirst, 0, max(0, count))
	for _, part := range parts {
		for len(part) >= RecordBytes {
			kept.offer(part[:RecordBytes:RecordBytes], count)
			part = part[RecordBytes:]
		}
	}
	joined := make([]byte, len(kept)*RecordBytes)
	for index := len(kept) - 1; index >= 0; index-- {
		smallest, _ := heap.Pop(&kept).([]byte)
		copy(joined[index*RecordBytes:], smallest)
	}
	return joined
}

func (records *smallestFirst) offer(record []byte, count int) {
	switch {
	case len(*records) < count:
		heap.Push(records, record)
	case count > 0 && bytes.Compare(record, (*records)[0]) > 0:
		(*records)[0] = record
		heap.Fix(records, 0)
	}
}

// Len implements heap.Interface.
func (records smallestFirst) Len() int { return len(records) }

// Less implements heap.Interface.
func (records smallestFirst) Less(left, right int) bool {
	return bytes.Compare(records[left], records[right]) < 0
}

// Swap implements heap.Interface.
func (records smallestFirst) Swap(left, right int) {
	records[left], records[right] = records[right], records[left]
}

// Push implements heap.Interface.
func (records *smallestFirst) Push(record any) {
	added, _ := record.([]byte)
	*records = append(*records, added)
}

// Pop implements heap.Interface.
func (records *smallestFirst) Pop() any {
	last := len(*records) - 1
	popped := (*records)[last]
	*records = (*records)[:last]
	return popped
}
