package limit

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
)

// send sends one sub-request and returns its result.
func (h *harness) send(t *testing.T) (*Response, error) {
	t.Helper()
	permit := h.acquire(t)
	defer permit.Release(Succeeded)
	return h.query(t.Context(), permit, "q")
}

// Guards against accepting a reply that belongs to another request, and against reusing its
// connection.
func TestMismatchedReply(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, 1, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "theirs") })
	h.pool.CheckReply = func(*http.Request, *Response) error { return errors.New("theirs") }
	_, err := h.send(t)
	var reply *ReplyError
	is.True(errors.As(err, &reply))
	is.Equal(reply.Reason, Mismatched)
	var lost *LostError
	is.True(errors.As(err, &lost) && lost.Sent)
	h.pool.CheckReply = nil
	res, err := h.send(t)
	is.NoErr(err)
	is.Equal(string(res.Body), "theirs")
	is.Equal(h.dials.Load(), int64(2)) // the first connection is closed
}

// Guards against accepting a reply that a reset truncated but that looks complete, or one that has lost the field which says
// where it ends, and against rejecting a complete reply that ends with its connection.
func TestUnframed(t *testing.T) {
	for _, tt := range []struct {
		name     string
		head     string
		unframed bool
		reset    bool
		want     Fault
	}{
		{"not accepted", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", false, false, NoLength},
		{"accepted", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", true, false, ""},
		{"accepted among options", "HTTP/1.1 200 OK\r\nConnection: x, Close\r\n\r\n", true, false, ""},
		{"accepted in HTTP/1.0", "HTTP/1.0 200 OK\r\n\r\n", true, false, ""},
		{"reset", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", true, true, Truncated},
		{"without a word on the close", "HTTP/1.1 200 OK\r\n\r\n", true, false, NoLength},
		{"in HTTP/1.0 that keeps the connection", "HTTP/1.0 200 OK\r\nConnection: keep-alive\r\n\r\n", true, false, NoLength},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t, 1, func(w http.ResponseWriter, _ *http.Request) { writeRaw(w, tt.head+"body", tt.reset) })
			h.pool.AllowUnframed = tt.unframed
			res, err := h.send(t)
			if tt.want == "" {
				is.NoErr(err)
				is.Equal(string(res.Body), "body")
				return
			}
			var lost *LostError
			is.True(errors.As(err, &lost) && lost.Sent)
			var reply *ReplyError
			if errors.As(err, &reply) { // the reset may arrive before the header is read
				is.Equal(reply.Reason, tt.want)
			}
		})
	}
}

// Guards against sending a request on a connection that the target is about to close.
func TestKeepAlive(t *testing.T) {
	for _, tt := range []struct {
		header string
		dials  int64
	}{{"timeout=0", 2}, {"timeout=60", 1}, {"timeout=60, max=5", 1}, {"timeout=x", 1}, {"", 1}} {
		t.Run(tt.header, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t, 1, func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Keep-Alive", tt.header) })
			for range 2 {
				_, err := h.send(t)
				is.NoErr(err)
			}
			is.Equal(h.dials.Load(), tt.dials)
		})
	}
}

// Guards against opening connections repeatedly without need: beyond Warm, and after one has
// expired unused.
func TestCapAtWarm(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, 4, func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Keep-Alive", "timeout=0") })
	h.share.Warm, h.share.CapAtWarm = 1, true
	h.pool.SetShares(map[string]Share{"t0": h.share})
	_, err := h.send(t)
	is.NoErr(err)
	dials := h.dials.Load()
	is.True(dials <= 2) // the Warm one, and another if the request came before it was open
	h.pool.Sweep()      // the connection has expired
	h.pool.Sweep()
	is.Equal(h.dials.Load(), dials)
	_, err = h.send(t)
	is.NoErr(err)
}

// identify makes the pool check the identity of replies.
func (h *harness) identify() {
	h.pool.ReplyID = func(res *Response) string { return res.Header.Get("Id") }
	h.pool.CheckReply = func(req *http.Request, res *Response) error {
		if res.Header.Get("Id") != req.Header.Get("Id") {
			return errors.New("another identity")
		}
		return nil
	}
}

// Guards against a sub-request that waits for the body of a reply which can't be its own.
func TestUnknownIdentityIsRejectedBeforeTheBody(t *testing.T) {
	for name, head := range map[string]string{
		"with a length":   "Content-Length: 5\r\n",
		"in chunks":       "Transfer-Encoding: chunked\r\n",
		"without length":  "",
		"until the close": "Connection: close\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t, 1, func(w http.ResponseWriter, r *http.Request) {
				conn, _, err := w.(http.Hijacker).Hijack()
				if err != nil {
					return
				}
				defer conn.Close()
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: other\r\n"+head+"\r\n")
				_, _ = conn.Read(make([]byte, 1)) // until the client closes the connection
			})
			h.pool.AllowUnframed = true
			h.identify()
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			req, err := http.NewRequest(http.MethodGet, "http://t0/", nil)
			is.NoErr(err)
			req.Header.Set("Id", "1")
			bytes := []byte("GET / HTTP/1.1\r\nHost: t0\r\nId: 1\r\n\r\n")
			_, err = h.pool.Send(ctx, h.acquire(t), &EncodedRequest{Request: req, Bytes: bytes, ID: "1"}, nil)
			var reply *ReplyError
			is.True(errors.As(err, &reply))
			is.Equal(reply.Reason, Mismatched)
			is.NoErr(ctx.Err())
		})
	}
}

// Guards against a connection that is closed, or a reply that passes for another, because a late copy of a reply comes
// before the reply to a cancelled sub-request.
func TestLateCopyAndCancellation(t *testing.T) {
	for _, tt := range []struct {
		name  string
		until time.Duration // when the sub-request is cancelled; the copy comes after 20 ms, the reply after 60 ms
	}{{"before the copy", 5 * time.Millisecond}, {"after the copy", 40 * time.Millisecond}} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			reply := func(id string) string {
				return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: 1\r\n\r\n" + id
			}
			h := newHarness(t, 1, func(w http.ResponseWriter, _ *http.Request) {
				conn, buffer, err := w.(http.Hijacker).Hijack()
				if err != nil {
					return
				}
				defer conn.Close()
				for last, id := "", "1"; ; {
					if last != "" {
						time.Sleep(20 * time.Millisecond)
						_, _ = io.WriteString(conn, last)
						time.Sleep(40 * time.Millisecond)
					}
					last = reply(id)
					_, _ = io.WriteString(conn, last)
					r, err := http.ReadRequest(buffer.Reader)
					if err != nil {
						return
					}
					id = r.Header.Get("Id")
				}
			})
			h.pool.Clock = clockwork.NewRealClock()
			h.identify()
			query := func(ctx context.Context, id string) (*Response, error) {
				permit, err := h.pool.Acquire(t.Context(), h.target)
				is.NoErr(err)
				defer permit.Release(Succeeded)
				req, err := http.NewRequest(http.MethodGet, "http://t0/", nil)
				is.NoErr(err)
				req.Header.Set("Id", id)
				bytes := []byte("GET / HTTP/1.1\r\nHost: t0\r\nId: " + id + "\r\n\r\n")
				return h.pool.Send(ctx, permit, &EncodedRequest{Request: req, Bytes: bytes, ID: id, Once: true}, nil)
			}
			_, err := query(t.Context(), "1")
			is.NoErr(err)
			ctx, cancel := context.WithTimeout(t.Context(), tt.until)
			defer cancel()
			_, err = query(ctx, "2")
			is.True(errors.Is(err, context.DeadlineExceeded))
			res, err := query(t.Context(), "3") // waits for the slot
			is.NoErr(err)
			is.Equal(string(res.Body), "3")
			is.Equal(h.dials.Load(), int64(1))
		})
	}
}

// Guards against one reply that ends the process because a function of the pool panics.
func TestPanicWhileAReplyIsRead(t *testing.T) {
	for name, install := range map[string]func(*Pool){
		"ReplyID":           func(p *Pool) { p.ReplyID = func(*Response) string { panic("head") } },
		"ReplyID in a body": func(p *Pool) { p.ReplyID = panicOn("0", p.ReplyID) },
		"OnSkipped":         func(p *Pool) { p.OnSkipped = func(netip.AddrPort, *Response) { panic("skipped") } },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t, 1, func(w http.ResponseWriter, _ *http.Request) {
				conn, buffer, err := w.(http.Hijacker).Hijack()
				if err != nil {
					return
				}
				defer conn.Close()
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 0\r\n\r\n")
				if _, err = http.ReadRequest(buffer.Reader); err != nil {
					return
				}
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 31\r\n\r\n")
				time.Sleep(20 * time.Millisecond) // the body is then read in the background
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: 0\r\n\r\n12345")
				_, _ = conn.Read(make([]byte, 1)) // until the client closes the connection
			})
			h.identify()
			for _, id := range []string{"1", "2"} {
				if id == "2" {
					install(h.pool)
				}
				ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
				defer cancel()
				req, err := http.NewRequest(http.MethodGet, "http://t0/", nil)
				is.NoErr(err)
				req.Header.Set("Id", id)
				bytes := []byte("GET / HTTP/1.1\r\nHost: t0\r\nId: " + id + "\r\n\r\n")
				permit := h.acquire(t)
				_, err = h.pool.Send(ctx, permit, &EncodedRequest{Request: req, Bytes: bytes, ID: id}, nil)
				permit.Release(Failed)
				is.NoErr(ctx.Err())
				is.Equal(err != nil, id == "2")
			}
		})
	}
}

// panicOn returns a ReplyID that panics at the identity.
func panicOn(id string, replyID func(*Response) string) func(*Response) string {
	return func(res *Response) string {
		got := replyID(res)
		if got == id {
			panic("identity " + id)
		}
		return got
	}
}
