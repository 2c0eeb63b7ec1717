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
	headerSize     = 4 + 1 // length and type
	checksumSize   = 8
	recordOverhead = headerSize + checksumSize
)

// segment is the payload of typeSegment. The log starts after the index After.
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

// encode returns a record in the format of the package documentation.
func encode(t recordType, payload any) ([]byte, error) {
	text, err := json.Marshal(payload)
	if err != nil {
		return nil, errors.Wrap(err, "encode record")
	}
	if len(text) > math.MaxUint32 {
		return nil, errors.Errorf("record of %d bytes is too large", len(text))
	}
	b := make([]byte, headerSize, len(text)+recordOverhead)
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

// decode returns the record at the start of b; ok is false if that record is incomplete or
// damaged.
func decode(b []byte) (r record, ok bool) {
	if len(b) < recordOverhead {
		return record{}, false
	}
	end := headerSize + uint64(binary.LittleEndian.Uint32(b))
	if end+checksumSize > uint64(len(b)) {
		return record{}, false
	}
	if xxhash.Sum64(b[:end]) != binary.LittleEndian.Uint64(b[end:]) {
		return record{}, false
	}
	return record{kind: recordType(b[4]), payload: b[headerSize:end], size: int(end) + checksumSize}, true
}

// isTorn reports whether a crash during the last write can have left b, which does not start
// with a valid record and ends in zeros: b is then empty or a record whose end is missing. A
// complete record with a damaged length also looks incomplete; it is detected by a valid
// record after it, or by a checksum that matches another length.
func isTorn(b []byte) bool {
	written := len(bytes.TrimRight(b, "\x00"))
	if written <= headerSize {
		return true
	}
	limit := min(written+checksumSize, len(b)) // a checksum may end in zeros
	if matchesOtherLength(b[:limit], written) || containsRecord(b[:limit]) {
		return false
	}
	end := headerSize + uint64(binary.LittleEndian.Uint32(b)) + checksumSize
	return end > uint64(limit) || end >= recordOverhead && !slices.ContainsFunc(b[end-checksumSize:end], func(c byte) bool { return c != 0 })
}

// completeChecksum completes the record at the start of b if only the end of its checksum is
// missing and at least half of the checksum is present. It reports whether it did so.
func completeChecksum(b []byte) bool {
	if len(b) < recordOverhead {
		return false
	}
	end := headerSize + uint64(binary.LittleEndian.Uint32(b))
	if end+checksumSize > uint64(len(b)) {
		return false
	}
	present := bytes.TrimRight(b[end:end+checksumSize], "\x00")
	sum := binary.LittleEndian.AppendUint64(nil, xxhash.Sum64(b[:end]))
	if len(present) < checksumSize/2 || !bytes.HasPrefix(sum, present) {
		return false
	}
	copy(b[end:], sum)
	return true
}

// matchesOtherLength reports whether b is one complete record except for a damaged length. The
// record may end after the written bytes or in the zeros after them.
func matchesOtherLength(b []byte, written int) bool {
	for end := max(recordOverhead, written); end <= len(b); end++ {
		candidate := slices.Clone(b[:end-checksumSize])
		binary.LittleEndian.PutUint32(candidate, uint32(len(candidate)-headerSize))
		if xxhash.Sum64(candidate) == binary.LittleEndian.Uint64(b[end-checksumSize:end]) {
			return true
		}
	}
	return false
}

// containsRecord reports whether a valid record starts within b, after its first byte.
func containsRecord(b []byte) bool {
	for offset := 1; offset+recordOverhead <= len(b); offset++ {
		t := recordType(b[offset+4])
		if t != typeSave && t != typeSegment {
			continue
		}
		if _, ok := decode(b[offset:]); ok {
			return true
		}
	}
	return false
}
