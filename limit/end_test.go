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

// Guards against an empty success in place of a body that comes late, of a target that has stated wrong ends before.
func TestLateBodyOfATargetInDoubt(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, 1, emptyingTarget(2*cutWait))
	h.pool.targets["t0"].record.note(&ReplyError{Reason: NoLength})
	_, err := h.send(t)
	var reply *ReplyError
	is.True(errors.As(err, &reply))
	is.Equal(reply.Reason, Continued)
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
	record.confirmEmpty()
	is.Equal(record.emptyWait(), cutWait) // its second reply was a broken one
}

// piecesTarget refuses its first request with a head that is none of HTTP if doubtful is set. It answers all others in pieces, with
// the pauses before each, and tells how long the last one took.
func piecesTarget(doubtful bool, pieces []string, pauses []time.Duration) (handler http.HandlerFunc, last chan time.Duration) {
	last = make(chan time.Duration, 100)
	var replies atomic.Int64
	return func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		if replies.Add(1) == 1 && doubtful {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nno field\r\n\r\n")
			return
		}
		sent := time.Now()
		for i, piece := range pieces {
			time.Sleep(pauses[i])
			before := time.Now()
			_, _ = io.WriteString(conn, piece)
			if i == len(pieces)-1 {
				last <- time.Since(sent)
			}
			sent = before
		}
		_, _ = conn.Read(make([]byte, 1)) // until the client closes the connection
	}, last
}

// Guards against a body of a target in doubt that is cut at a length which is too short, because a piece of it ends there: the rest
// comes a little later. A sound body in pieces is served.
func TestRestOfABodyInPieces(t *testing.T) {
	const (
		head  = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n"
		first = 40 * time.Millisecond // the pause before the first piece, which bounds the wait by cutWait
		soon  = 3 * time.Millisecond
	)
	for _, tt := range []struct {
		name     string
		doubtful bool
		pieces   []string
		pauses   []time.Duration
		want     Fault
	}{
		{"a rest", true, []string{head, "body", "rest"}, []time.Duration{0, first, soon}, Continued},
		{"a rest of a body in pieces", true, []string{head, "bo", "dy", "rest"}, []time.Duration{0, first, soon, soon}, Continued},
		{"no rest", true, []string{head, "bo", "dy"}, []time.Duration{0, first, soon}, ""},
		{"a rest of a target that is not in doubt", false, []string{head, "body", "rest"}, []time.Duration{0, soon, first}, ""},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			target, last := piecesTarget(tt.doubtful, tt.pieces, tt.pauses)
			h := newHarness(t, 1, target)
			if tt.doubtful {
				_, err := h.send(t)
				is.True(err != nil)
			}
			for range 10 {
				res, err := h.send(t)
				if took := <-last; tt.want != "" && took > cutWait/2 {
					continue // the machine is busy: nothing tells a rest that comes later from none
				}
				var reply *ReplyError
				is.True(err == nil || errors.As(err, &reply))
				if tt.want != "" {
					is.True(err != nil)
					is.Equal(reply.Reason, tt.want)
				} else {
					is.NoErr(err)
					is.Equal(string(res.Body), "body")
				}
				return
			}
			t.Fatal("the machine was too busy for the pauses of the target")
		})
	}
}
