package relay

import (
	"bytes"
	"slices"
)

// recordSize is the size of a record in bytes.
const recordSize = 16

// merge returns the greatest limit records of the bodies, greatest first. Equal
// records all count. What is left at the end of a body is not a record.
func merge(bodies [][]byte, limit int) []byte {
	count := 0
	for _, b := range bodies {
		count += len(b) / recordSize
	}
	records := make([][]byte, 0, count)
	for _, b := range bodies {
		for ; len(b) >= recordSize; b = b[recordSize:] {
			records = append(records, b[:recordSize])
		}
	}
	slices.SortFunc(records, func(a, b []byte) int { return bytes.Compare(b, a) })
	records = records[:min(len(records), limit)]
	return bytes.Join(records, nil)
}
