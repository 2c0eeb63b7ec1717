package journal

import (
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

// torn reports whether b, which does not begin with a valid record, can be what
// a crash leaves of the last write: an incomplete record, or one that ends in
// the zeros of blocks that were allocated but not written. A complete record
// with a damaged length also looks incomplete; it is recognised by the records
// after it, or by a checksum at the end of b that fits another length.
func torn(b []byte) bool {
	if len(b) < overhead {
		return true
	}
	if fitsOtherLength(b) || laterRecord(b) {
		return false
	}
	end := headSize + uint64(binary.LittleEndian.Uint32(b)) + sumSize
	return end > uint64(len(b)) || binary.LittleEndian.Uint64(b[len(b)-sumSize:]) == 0
}

// fitsOtherLength reports whether b is one whole record except for its length.
func fitsOtherLength(b []byte) bool {
	end := len(b) - sumSize
	whole := slices.Clone(b[:end])
	binary.LittleEndian.PutUint32(whole, uint32(end-headSize))
	return xxhash.Sum64(whole) == binary.LittleEndian.Uint64(b[end:])
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
