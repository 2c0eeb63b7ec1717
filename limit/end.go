package limit

import (
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// isUnframed reports whether the body of the reply ends with the connection.
func (c *connection) isUnframed() bool { return !c.bodiless && !c.head.chunked && c.head.length < 0 }

// isEmptySuccess reports whether the reply is a success whose head states a body of no bytes.
func (c *connection) isEmptySuccess() bool {
	return !c.bodiless && !c.late && c.head.length == 0 && c.head.status < http.StatusMultipleChoices
}

// endWait returns how long the bytes behind the reply are waited for if none have arrived. A wrong length of 0 passes for an empty
// success if the body comes in a piece of its own, and a length that is too short for a whole body if a piece ends there. The rest
// then comes in the rhythm of the reply so far, which is waited for only of a target in doubt.
func (c *connection) endWait() time.Duration {
	switch {
	case c.record == nil || c.bodiless || c.late || c.head.length < 0:
		return 0
	case c.isEmptySuccess():
		return c.record.emptyWait()
	case c.record.isInDoubt():
		return min(2*c.raw.pause, cutWait)
	}
	return 0
}

// checkEnd returns an error if the reply that has been read does not end where its head says: bytes are behind it that are no other
// reply, or the connection has ended behind an empty success whose head does not say so.
func (c *connection) checkEnd() error {
	if c.isUnframed() {
		return nil
	}
	if c.reader.Buffered() == 0 && c.raw != nil {
		if err := c.readBehind(); err != nil && c.isEmptySuccess() && !c.head.close {
			return &ReplyError{Reason: Truncated, Err: errors.Wrap(err, "the connection ended behind a body of no bytes")}
		}
	}
	if !c.isContinued() {
		return nil
	}
	if c.isEmptySuccess() {
		c.record.denyEmpty()
	}
	return &ReplyError{Reason: Continued}
}

// readBehind reads bytes behind the reply into the buffer if some have arrived or do within endWait. Later ones are not seen.
func (c *connection) readBehind() error {
	arrived := c.raw.filled && c.hasPending()
	if wait := c.endWait(); !arrived && wait > 0 {
		if err := c.await(1, wait); !isTimeout(err) {
			return err
		}
		arrived = c.hasPending() // a process without processor time sees the deadline first
	}
	if !arrived {
		return nil
	}
	_, err := c.reader.Peek(1)
	return err
}

// isContinued reports whether the buffer holds bytes that are no other reply.
func (c *connection) isContinued() bool {
	behind, _ := c.reader.Peek(c.reader.Buffered())
	_, err := parseHead(behind)
	return len(behind) > 0 && err != nil && !errors.Is(err, errHeadCut)
}

// checkEmptied takes account of bytes that have arrived on the idle connection: if the latest reply was an empty success, and they are
// no other reply, it has proved false.
func (c *connection) checkEmptied() {
	if !c.emptied {
		return
	}
	if _, err := c.reader.Peek(1); err == nil && c.isContinued() {
		c.record.denyEmpty()
	}
}
