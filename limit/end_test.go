package limit

import (
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// emptyingTarget answers each request with an empty success. Behind the first ones it sends a body, each after its pause.
func emptyingTarget(pauses ...time.Duration) http.HandlerFunc {
	var replies atomic.Int64
	return func(w http.ResponseWriter, _ *http.Request) {
		conn, buffer, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		for err == nil {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			if i := int(replies.Add(1)) - 1; i < len(pauses) {
				time.Sleep(pauses[i])
				_, _ = io.WriteString(conn, "body")
			}
			_, err = http.ReadRequest(buffer.Reader)
		}
	}
}

// Guards against a wait behind each empty success of a target of which earlier ones have proved true.
func TestEmptySuccessesAreTrusted(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, 1, emptyingTarget())
	record := &h.pool.targets["t0"].record
	is.Equal(record.emptyWait(), cutWait)
	for range 2 {
		_, err := h.send(t)
		is.NoErr(err)
	}
	is.Equal(record.emptyWait(), time.Duration(0)) // the second reply has shown the first one to be true
	record.note(&ReplyError{Reason: Continued})
	is.Equal(record.emptyWait(), cutWait) // in doubt
	is.Equal(h.dials.Load(), int64(1))
}

// Guards against a target whose empty successes stay trusted although a body has come behind one, later than it was waited for.
func TestBodyBehindAnAcceptedEmptySuccess(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, 1, emptyingTarget(200*time.Millisecond, 2*cutWait))
	record := &h.pool.targets["t0"].record
	_, err := h.send(t)
	is.NoErr(err) // nothing tells that the body comes
	for end := time.Now().Add(5 * time.Second); record.emptyWait() != doubtfulWait; h.pool.Sweep() {
		if time.Now().After(end) {
			t.Fatal("the body was not noticed")
		}
		time.Sleep(time.Millisecond)
	}
	_, err = h.send(t)
	var reply *ReplyError
	is.True(errors.As(err, &reply))
	is.Equal(reply.Reason, Continued) // it is waited for longer now
	for range emptyProofs {
		is.Equal(record.emptyWait(), doubtfulWait)
		record.confirmEmpty()
	}
	is.Equal(record.emptyWait(), cutWait)
}
