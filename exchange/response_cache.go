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
	// minCompressSize is the size in bytes from which a response is compressed: smaller ones
	// fit into one or two packets.
	minCompressSize = 2 << 10
	// maxDecompressedSize bounds the size of a response in bytes; the targets and the routing
	// document of the largest deployment take a hundredth of it.
	maxDecompressedSize = 256 << 20
	// responseReuse is how long an encoded response is reused. The response contains the
	// remaining cold times of targets, which may be off by coldTolerance of package registry.
	responseReuse = 100 * time.Millisecond
)

// responseKey holds the fields of a request that the content of its response depends on.
type responseKey struct {
	document                              bool
	targets, hosts, routingState, routing uint64
	known, duty                           uint64
}

// responseCache caches encoded responses for hosts that receive the same list: after a change,
// all of them need the same response. The zero value is ready to use.
type responseCache struct {
	entries map[responseKey]json.RawMessage
	state   responseState
	at      time.Time
}

// responseState identifies the state of the hub that responses are built from.
type responseState struct {
	targets, hosts, routingState uint64
	crashes, duty                uint64
	active, entries              int
	draining, starting, detached bool
}

// get returns the encoded response. If it is not cached, build computes it.
func (r *responseCache) get(now time.Time, state responseState, key responseKey, build func() *PollResponse) (json.RawMessage, error) {
	if r.entries == nil || r.state != state || now.Sub(r.at) > responseReuse {
		r.entries, r.state, r.at = map[responseKey]json.RawMessage{}, state, now
	}
	if text := r.entries[key]; text != nil {
		return text, nil
	}
	text, err := encodeResponse(build())
	if err != nil {
		return nil, err
	}
	r.entries[key] = text
	return text, nil
}

// encodeResponse encodes a response and compresses it if it is large.
func encodeResponse(response *PollResponse) (json.RawMessage, error) {
	text, err := json.Marshal(response)
	if err != nil || len(text) < minCompressSize {
		return text, errors.Wrap(err, "encode poll response")
	}
	var b bytes.Buffer
	w, err := gzip.NewWriterLevel(&b, gzip.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "compress poll response")
	}
	if _, err := w.Write(text); err != nil {
		return nil, errors.Wrap(err, "compress poll response")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "compress poll response")
	}
	text, err = json.Marshal(PollResponse{From: response.From, Compressed: b.Bytes()})
	return text, errors.Wrap(err, "encode poll response")
}

// decompress replaces a compressed response by its content.
func (p *PollResponse) decompress() error {
	if len(p.Compressed) == 0 {
		return nil
	}
	r, err := gzip.NewReader(bytes.NewReader(p.Compressed))
	if err != nil {
		return errors.Wrap(err, "decompress poll response")
	}
	text, err := io.ReadAll(io.LimitReader(r, maxDecompressedSize))
	if err != nil {
		return errors.Wrap(err, "decompress poll response")
	}
	*p = PollResponse{}
	return errors.Wrap(json.Unmarshal(text, p), "decode poll response")
}
