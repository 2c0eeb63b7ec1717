package relay

import (
	"bytes"
	"slices"
)

// recordSize is the size of a record in bytes.
const recordSize = 16

// merge returns the limit greatest records of the bodies, the greatest first. It keeps
// duplicates, and ignores an incomplete record at the end of a body.
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
