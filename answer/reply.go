package answer

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"

	"github.com/pkg/errors"

	"wasabirelay/target"
)

// ReplyError is why a reply is not accepted. Reason is the label of the metric
// for dropped replies: length, form, end, request, shard or snapshot.
type ReplyError struct{ Reason string }

func (e *ReplyError) Error() string { return "reply not accepted: " + e.Reason }

// readReply reads a reply of status 200. The error is a *ReplyError if the reply
// itself is at fault.
func readReply(res *http.Response) (*target.Reply, error) {
	body, err := io.ReadAll(io.LimitReader(res.Body, maxBody+1))
	if errors.Is(err, io.ErrUnexpectedEOF) {
		return nil, &ReplyError{Reason: "length"}
	}
	if err != nil {
		return nil, errors.Wrap(err, "read reply")
	}
	return decodeReply(body, res.ContentLength)
}

// decodeReply reads the body of a reply. length is the announced length, or
// negative if none was announced.
func decodeReply(body []byte, length int64) (*target.Reply, error) {
	if len(body) > maxBody || (length >= 0 && length != int64(len(body))) {
		return nil, &ReplyError{Reason: "length"}
	}
	var reply target.Reply
	decoder := json.NewDecoder(bytes.NewReader(body))
	if err := decoder.Decode(&reply); err != nil {
		return nil, &ReplyError{Reason: "form"}
	}
	// A second document in the same body is a doubled reply.
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return nil, &ReplyError{Reason: "form"}
	}
	return &reply, nil
}

// checkReply returns nil if the reply belongs to the sub-request and is whole.
func checkReply(sub *Subrequest, reply *target.Reply) *ReplyError {
	switch {
	case !reply.End || len(reply.Result) == 0:
		return &ReplyError{Reason: "end"}
	case reply.Request != sub.Request:
		return &ReplyError{Reason: fieldRequest}
	case reply.Shard != sub.Shard:
		return &ReplyError{Reason: "shard"}
	case reply.Snapshot != sub.Snapshot:
		return &ReplyError{Reason: reasonSnapshot}
	default:
		return nil
	}
}
