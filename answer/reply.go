package answer

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"github.com/pkg/errors"

	"wasabirelay/target"
)

// ReplyError is the error of an invalid reply. Reason is the label of the metric for dropped
// replies: length, form, end, request, shard or snapshot.
type ReplyError struct{ Reason string }

func (e *ReplyError) Error() string { return "invalid reply: " + e.Reason }

const (
	// reasonLength is the reason of a reply that is truncated or too large.
	reasonLength = "length"
	// reasonForm is the reason of a reply that is not one JSON document.
	reasonForm = "form"
	// reasonRequest is the reason of a reply to another sub-request.
	reasonRequest = "request"
)

// ReadReply decodes the reply of a target from its HTTP response. The cause of the error is a
// *ReplyError if the status is 200 and the reply is invalid.
func ReadReply(status int, h http.Header, body []byte) (*target.Reply, *SendError) {
	if status != http.StatusOK {
		reason := h.Get(target.HeaderReason)
		err := errors.Errorf("target replied with status %d %s", status, reason)
		return nil, &SendError{Outcome: StatusOutcome(status, reason), Sent: true, Err: err}
	}
	length := int64(-1)
	if text := h.Get("Content-Length"); text != "" {
		n, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			return nil, &SendError{Outcome: BadReply, Sent: true, Err: &ReplyError{Reason: reasonLength}}
		}
		length = n
	}
	reply, err := decodeReply(body, length)
	if err != nil {
		return nil, &SendError{Outcome: BadReply, Sent: true, Err: err}
	}
	return reply, nil
}

// decodeReply decodes the body of a reply. length is the value of Content-Length, or negative
// if the header is absent.
func decodeReply(body []byte, length int64) (*target.Reply, error) {
	if len(body) > maxBodyBytes || (length >= 0 && length != int64(len(body))) {
		return nil, &ReplyError{Reason: reasonLength}
	}
	var reply target.Reply
	decoder := json.NewDecoder(bytes.NewReader(body))
	if err := decoder.Decode(&reply); err != nil {
		return nil, &ReplyError{Reason: reasonForm}
	}
	// A second document in the body means that the reply was duplicated.
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return nil, &ReplyError{Reason: reasonForm}
	}
	return &reply, nil
}

// checkReply returns nil if the reply is complete and belongs to the sub-request.
func checkReply(sub *Subrequest, reply *target.Reply) *ReplyError {
	switch {
	case !reply.End || len(reply.Result) == 0:
		return &ReplyError{Reason: "end"}
	case reply.Request != sub.Request:
		return &ReplyError{Reason: reasonRequest}
	case reply.Shard != sub.Shard:
		return &ReplyError{Reason: "shard"}
	case reply.Snapshot != sub.Snapshot:
		return &ReplyError{Reason: target.ReasonSnapshot}
	default:
		return nil
	}
}
