package portion

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/textproto"
	"slices"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/pkg/errors"

	"wasabirelay/declaration"
)

const (
	// MethodCollect is the jsonrpc2 method with which a host leaves a portion to another one. Its
	// result is the last Frame.
	MethodCollect = "portion.collect"
	// MethodFrame is the notification that carries a Frame before the last one.
	MethodFrame = "portion.frame"
	// MethodCancel is the notification that a portion is not needed any more.
	MethodCancel = "portion.cancel"

	// maxShards bounds the shards of a portion that a host accepts.
	maxShards = 4096
	// maxTimeout bounds the time that a host spends on a portion.
	maxTimeout = time.Minute
)

// Request asks another host to collect the replies of some shards, or to serve the whole request.
type Request struct {
	// ID identifies the portion on its connection.
	ID uint64 `json:"id"`
	// Method, URI, Host, Header and Body are those of the caller's request.
	Method string      `json:"method"`
	URI    string      `json:"uri"`
	Host   string      `json:"host"`
	Header http.Header `json:"header"`
	Body   []byte      `json:"body,omitempty"`
	// Organisation is the name of the organisation that the request belongs to, as the sending host has found
	// by the key, which it does not pass on. It is empty if the request needs no key, or if the host runs a
	// build that knows no organisations.
	Organisation string   `json:"organisation,omitempty"`
	Shards       []string `json:"shards,omitempty"`
	// Whole asks for the response to the whole request instead of the replies of shards.
	Whole bool `json:"whole,omitempty"`
	// Spare is the number of these shards that the response can do without.
	Spare int `json:"spare,omitempty"`
	// Route is a hash of the route in force. A host with another route refuses the portion.
	Route uint64 `json:"route"`
	// Cutoff is the time from which each reply is sent on at once, Timeout the time after which
	// no reply is needed any more.
	Cutoff  time.Duration `json:"cutoff"`
	Timeout time.Duration `json:"timeout"`
}

// Check returns an error if the request can't be served.
func (r *Request) Check() error {
	switch {
	case r.Method == "" || r.URI == "" || r.Host == "":
		return errors.New("the request has no method, URI or host")
	case r.Whole && len(r.Shards) > 0:
		return errors.New("a whole request names shards")
	case !r.Whole && len(r.Shards) == 0 || len(r.Shards) > maxShards:
		return errors.Errorf("the portion has %d shards", len(r.Shards))
	case r.Timeout <= 0 || r.Timeout > maxTimeout:
		return errors.Errorf("the timeout is %s", r.Timeout)
	}
	return nil
}

// Frame carries replies of a portion. It may have none: the first frame is due after a while in any
// case, so that its receiver knows that the host works on the portion.
type Frame struct {
	ID uint64 `json:"id"`
	// Parts are the replies that have arrived since the previous frame, Records the greatest of
	// their records.
	Parts   []Part `json:"parts,omitempty"`
	Records []byte `json:"records,omitempty"`
	// Failed are the shards that have failed since the previous frame.
	Failed []FailedShard `json:"failed,omitempty"`
	// Extra is the number of hedges and retries behind Parts and Failed.
	Extra int `json:"extra,omitempty"`
	// Refused is the reason why nothing was asked; empty if the host works on the portion.
	Refused string `json:"refused,omitempty"`
	// Last is true on the last frame.
	Last bool `json:"last,omitempty"`
	// Reply is the response to a whole request, in its last frame.
	Reply *Reply `json:"reply,omitempty"`
}

// Reply is the response to a whole request.
type Reply struct {
	Status int         `json:"status"`
	Header http.Header `json:"header,omitempty"`
	Body   []byte      `json:"body,omitempty"`
	// Raw is the header in wire format if it has bytes that are no UTF-8; Header is then not exact.
	Raw []byte `json:"raw,omitempty"`
	// Target and Incarnation name the target whose reply it is, and Declared what the target declares
	// in it: the host that sends the response to the caller keeps to that as well.
	Target      string                   `json:"target,omitempty"`
	Incarnation string                   `json:"incarnation,omitempty"`
	Declared    *declaration.Declaration `json:"declared,omitempty"`
}

// SetHeader sets the header.
func (r *Reply) SetHeader(h http.Header) {
	r.Header = h
	for _, values := range h {
		if slices.ContainsFunc(values, func(v string) bool { return !utf8.ValidString(v) }) {
			var b bytes.Buffer
			_ = h.Write(&b) // writes to a buffer never fail
			r.Raw = b.Bytes()
			return
		}
	}
}

// ExactHeader returns the header that was set.
func (r *Reply) ExactHeader() (http.Header, error) {
	if len(r.Raw) == 0 {
		return r.Header, nil
	}
	lines := io.MultiReader(bytes.NewReader(r.Raw), strings.NewReader("\r\n"))
	h, err := textproto.NewReader(bufio.NewReader(lines)).ReadMIMEHeader()
	return http.Header(h), errors.Wrap(err, "read the header of a response")
}

// Part is the reply of one shard.
type Part struct {
	Service   string `json:"service"`
	Signature string `json:"signature"`
}

// FailedShard is a shard without a reply.
type FailedShard struct {
	Service string `json:"service"`
	Reason  string `json:"reason"`
	// Ran is true if a target may have executed the request.
	Ran bool `json:"ran,omitempty"`
}

// cancelRequest is the message of MethodCancel.
type cancelRequest struct {
	ID uint64 `json:"id"`
}

// RefusedError reports that no host works on a portion.
type RefusedError struct {
	// Host is the host that was asked; empty if none was.
	Host, Reason string
}

func (e *RefusedError) Error() string {
	if e.Host == "" {
		return "no host works on the portion: " + e.Reason
	}
	return fmt.Sprintf("host %s does not work on the portion: %s", e.Host, e.Reason)
}

// LostError reports that the connection to a host was lost, or that the host didn't answer, after
// the portion had been sent.
type LostError struct {
	Host string
	Err  error
}

func (e *LostError) Error() string {
	return fmt.Sprintf("portion lost at host %s: %v", e.Host, e.Err)
}

// Unwrap returns the cause.
func (e *LostError) Unwrap() error { return e.Err }
