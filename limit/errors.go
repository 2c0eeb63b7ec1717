package limit

import (
	"fmt"
	"time"
)

// Reason is why a request was refused.
type Reason string

// Values of Reason.
const (
	// NoShare means that this host may open no connection to the target's incarnation.
	NoShare Reason = "no-share"
	// TooLate means that the expected wait exceeds the remaining time.
	TooLate Reason = "too-late"
	// Displaced means that requests which go first make the wait exceed the remaining time.
	Displaced Reason = "displaced"
	// ContextEnded means that the context ended during the wait.
	ContextEnded Reason = "ended"
	// CheckFailed means that the check before the first byte returned an error.
	CheckFailed Reason = "withheld"
)

// RefusedError reports that a request was refused before anything was sent.
type RefusedError struct {
	// Target is the target's name, empty for a refusal by Admission.
	Target string
	Reason Reason
	// Wait is the expected wait if it caused the refusal.
	Wait time.Duration
	// Err is the error of the context, if it ended, or of the check.
	Err error
}

// Error returns the target, the reason and the expected wait.
func (e *RefusedError) Error() string {
	text := "refused: " + string(e.Reason)
	if e.Target != "" {
		text = "target " + e.Target + ": " + text
	}
	if e.Wait > 0 {
		text += fmt.Sprintf(", expected wait %s", e.Wait)
	}
	if e.Reason == CheckFailed {
		text += ": " + e.Err.Error()
	}
	return text
}

// Unwrap returns the error of the context or of the check.
func (e *RefusedError) Unwrap() error { return e.Err }

// LostError reports that a sub-request got no usable reply.
type LostError struct {
	// Sent is false only if no byte of the request left this host.
	Sent bool
	// Err is the cause: the error of the context, a *RefusedError of the check, a
	// *ConnectError, a *ReplyError, or a network error.
	Err error
}

// Error returns the cause and whether the target may have received the request.
func (e *LostError) Error() string {
	if e.Sent {
		return "sub-request lost after it was sent: " + e.Err.Error()
	}
	return "sub-request not sent: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *LostError) Unwrap() error { return e.Err }

// ConnectError reports that no connection could be opened. Its cause may be a
// timeout that also matches context.DeadlineExceeded, so match this type first.
type ConnectError struct {
	Err error
}

// Error returns the cause.
func (e *ConnectError) Error() string { return "connect: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *ConnectError) Unwrap() error { return e.Err }

// Fault is why a reply can't be used.
type Fault string

// Values of Fault.
const (
	// Truncated means that the body ended before its length or its last chunk, or the connection behind a length of 0 without a word on
	// it.
	Truncated Fault = "cut short"
	// TooLarge means that the body exceeds MaxBody.
	TooLarge Fault = "too large"
	// NoLength means that the head states no end of the body: neither a length nor chunks, nor that the connection closes. Without
	// AllowUnframed, the last is not accepted either.
	NoLength Fault = "without length"
	// Mismatched means that the reply belongs to another request.
	Mismatched Fault = "crossed"
	// Spliced means that another reply starts inside the head or the body.
	Spliced Fault = "spliced"
	// Continued means that bytes which are no other reply follow the end that the head states.
	Continued Fault = "continued"
	// Malformed means that the head or the trailer breaks the grammar of HTTP/1.1 and HTTP/1.0, that the head exceeds 8 KiB, or
	// that the body is in chunks although the head does not say so.
	Malformed Fault = "malformed"
)

// ReplyError reports a reply that can't be used.
type ReplyError struct {
	Reason Fault
	Err    error
}

// Error returns the reason and the cause.
func (e *ReplyError) Error() string {
	if e.Err == nil {
		return "reply " + string(e.Reason)
	}
	return "reply " + string(e.Reason) + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *ReplyError) Unwrap() error { return e.Err }
