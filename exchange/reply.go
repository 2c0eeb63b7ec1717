package exchange

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"
	"time"

	"github.com/pkg/errors"
)

const (
	// packedFrom is the size in bytes from which an answer is compressed: smaller ones
	// fit into one or two packets.
	packedFrom = 2 << 10
	// maxUnpacked bounds the size of an answer in bytes; the targets and the routing
	// document of the largest deployment take a hundredth.
	maxUnpacked = 256 << 20
	// replyTime is for how long an encoded answer is used again. It holds the remaining
	// cold times of targets, which may be off by coldTolerance of package registry.
	replyTime = 100 * time.Millisecond
)

// replyKey is what the content of an answer depends on besides the state of the hub.
type replyKey struct {
	document                        bool
	targets, hosts, shared, routing uint64
}

// replies keeps encoded answers for hosts that are told of the same list: after a change,
// all of them lack the same. The zero value is ready.
type replies struct {
	known map[replyKey]json.RawMessage
	state replyState
	at    time.Time
}

// replyState identifies the state of the hub that answers tell of.
type replyState struct {
	targets, hosts, shared uint64
	active, entries        int
	draining, young        bool
}

// get returns the encoded answer, which build computes if it is not known.
func (r *replies) get(now time.Time, state replyState, key replyKey, build func() *PollResponse) (json.RawMessage, error) {
	if r.known == nil || r.state != state || now.Sub(r.at) > replyTime {
		r.known, r.state, r.at = map[replyKey]json.RawMessage{}, state, now
	}
	if text := r.known[key]; text != nil {
		return text, nil
	}
	text, err := pack(build())
	if err != nil {
		return nil, err
	}
	r.known[key] = text
	return text, nil
}

// pack encodes an answer, compressed if it is large.
func pack(a *PollResponse) (json.RawMessage, error) {
	text, err := json.Marshal(a)
	if err != nil || len(text) < packedFrom {
		return text, errors.Wrap(err, "encode answer")
	}
	var b bytes.Buffer
	w, err := gzip.NewWriterLevel(&b, gzip.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "compress answer")
	}
	if _, err := w.Write(text); err != nil {
		return nil, errors.Wrap(err, "compress answer")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "compress answer")
	}
	text, err = json.Marshal(PollResponse{From: a.From, Compressed: b.Bytes()})
	return text, errors.Wrap(err, "encode answer")
}

// unpack replaces a compressed answer by its content.
func (a *PollResponse) unpack() error {
	if len(a.Compressed) == 0 {
		return nil
	}
	r, err := gzip.NewReader(bytes.NewReader(a.Compressed))
	if err != nil {
		return errors.Wrap(err, "decompress answer")
	}
	text, err := io.ReadAll(io.LimitReader(r, maxUnpacked))
	if err != nil {
		return errors.Wrap(err, "decompress answer")
	}
	*a = PollResponse{}
	return errors.Wrap(json.Unmarshal(text, a), "decode answer")
}
