package journal

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"wasabirelay/consensus"
)

// recordType is the type byte of a record.
type recordType byte

const (
	typeSegment  recordType = 1 // first record of a segment
	typeSave     recordType = 2 // one Save
	typeSnapshot recordType = 3 // only record of a snapshot file
)

const (
	headSize = 4 + 1 // length and type
	sumSize  = 8
	overhead = headSize + sumSize
)

// segment is the payload of typeSegment. The log begins after After.
type segment struct {
	After   uint64              `json:"after"`
	Hard    consensus.HardState `json:"hard"`
	Entries []consensus.Entry   `json:"entries,omitempty"`
}

// save is the payload of typeSave.
type save struct {
	Hard    *consensus.HardState `json:"hard,omitempty"`
	Entries []consensus.Entry    `json:"entries,omitempty"`
}

// encode returns a record.
func encode(t recordType, payload any) ([]byte, error) {
	text, err := json.Marshal(payload)
	if err != nil {
		return nil, errors.Wrap(err, "encode record")
	}
	if len(text) > math.MaxUint32 {
		return nil, errors.Errorf("record of %d bytes is too large", len(text))
	}
	b := make([]byte, headSize, len(text)+overhead)
	binary.LittleEndian.PutUint32(b, uint32(len(text)))
	b[4] = byte(t)
	b = append(b, text...)
	return binary.LittleEndian.AppendUint64(b, xxhash.Sum64(b)), nil
}

// record is a decoded record and its size in the file.
type record struct {
	kind    recordType
	payload []byte
	size    int
}

// decode returns the record at the beginning of b; ok is false if there is none
// that is complete and undamaged.
func decode(b []byte) (r record, ok bool) {
	if len(b) < overhead {
		return record{}, false
	}
	end := headSize + uint64(binary.LittleEndian.Uint32(b))
	if end+sumSize > uint64(len(b)) {
		return record{}, false
	}
	if xxhash.Sum64(b[:end]) != binary.LittleEndian.Uint64(b[end:]) {
		return record{}, false
	}
	return record{kind: recordType(b[4]), payload: b[headSize:end], size: int(end) + sumSize}, true
}

// torn reports whether b, which does not begin with a valid record and ends in zeros, can
// be what a crash leaves of the last write: nothing, or a record of which the end is
// missing. A complete record with a damaged length also looks incomplete; it is
// recognised by the records after it, or by a checksum that fits another length.
func torn(b []byte) bool {
	written := len(bytes.TrimRight(b, "\x00"))
	if written <= headSize {
		return true
	}
	most := min(written+sumSize, len(b)) // a checksum may end in zeros
	if fitsOtherLength(b[:most], written) || laterRecord(b[:most]) {
		return false
	}
	end := headSize + uint64(binary.LittleEndian.Uint32(b)) + sumSize
	return end > uint64(most) || end >= overhead && !slices.ContainsFunc(b[end-sumSize:end], func(c byte) bool { return c != 0 })
}

// mend completes the record at the beginning of b if only the end of its checksum is
// missing, and at least half of it is there. It reports whether it did.
func mend(b []byte) bool {
	if len(b) < overhead {
		return false
	}
	end := headSize + uint64(binary.LittleEndian.Uint32(b))
	if end+sumSize > uint64(len(b)) {
		return false
	}
	got := bytes.TrimRight(b[end:end+sumSize], "\x00")
	sum := binary.LittleEndian.AppendUint64(nil, xxhash.Sum64(b[:end]))
	if len(got) < sumSize/2 || !bytes.HasPrefix(sum, got) {
		return false
	}
	copy(b[end:], sum)
	return true
}

// fitsOtherLength reports whether b is one whole record except for its length, which ends
// after the bytes that were written or some zeros later.
func fitsOtherLength(b []byte, written int) bool {
	for end := max(overhead, written); end <= len(b); end++ {
		whole := slices.Clone(b[:end-sumSize])
		binary.LittleEndian.PutUint32(whole, uint32(len(whole)-headSize))
		if xxhash.Sum64(whole) == binary.LittleEndian.Uint64(b[end-sumSize:end]) {
			return true
		}
	}
	return false
}

// laterRecord reports whether a valid record begins within b.
func laterRecord(b []byte) bool {
	for at := 1; at+overhead <= len(b); at++ {
		t := recordType(b[at+4])
		if t != typeSave && t != typeSegment {
			continue
		}
		if _, ok := decode(b[at:]); ok {
			return true
		}
	}
	return false
}
