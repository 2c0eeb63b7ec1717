package limit

import (
	"bufio"
	"errors"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/matryer/is"
)

// Guards against a sub-request that may run once on a connection that has carried it, against one on a connection
// that has carried another with the same identity, against one that waits for ever because the share is used up, and
// against needless new connections for others.
func TestSameIDUsesAnotherConnection(t *testing.T) {
	for _, tt := range []struct {
		name        string
		connections int
		once        bool
		ids         []string
		dials       int64
		contents    []uint64 // 0 for all if nil
	}{
		{"different ones", 1, true, []string{"a", "b", "c"}, 1, nil},
		{"may run once, share of one", 1, true, []string{"a", "a", "b", "a"}, 3, nil},
		{"may run once", 4, true, []string{"a", "a", "b", "a"}, 3, nil},
		{"idempotent, share of one", 1, false, []string{"a", "a", "b"}, 1, nil},
		{"idempotent, the same content", 1, false, []string{"a", "a", "b", "a"}, 1, []uint64{1, 1, 2, 1}},
		{"idempotent, other content", 1, false, []string{"a", "b", "a", "a", "a"}, 3, []uint64{1, 2, 3, 3, 1}},
		{"idempotent, one of other content left", 2, false, []string{"a", "a", "a", "a"}, 2, []uint64{1, 2, 1, 2}},
		{"without an identity", 1, true, []string{"", "", ""}, 1, nil},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t, tt.connections, echo)
			for i, id := range tt.ids {
				var content uint64
				if tt.contents != nil {
					content = tt.contents[i]
				}
				permit := h.acquire(t)
				req, err := http.NewRequest(http.MethodGet, "http://t0/", nil)
				is.NoErr(err)
				bytes := []byte("GET / HTTP/1.1\r\nHost: t0\r\n\r\n")
				_, err = h.pool.Send(t.Context(), permit, &EncodedRequest{Request: req, Bytes: bytes, ID: id, Content: content, Once: tt.once}, nil)
				is.NoErr(err)
				permit.Release(Succeeded)
			}
			is.Equal(h.dials.Load(), tt.dials)
			is.True(h.maxOpen.Load() <= int64(tt.connections))
		})
	}
}

// Guards against a connection that forgets the latest identities, or remembers without bound.
func TestSentIDs(t *testing.T) {
	is := is.New(t)
	var s sentIDs
	s.add(0, false)
	is.Equal(len(s.ids), 0)
	const n = 3 * maxSentIDs
	for id := range uint64(n) {
		s.add(id+1, id%3 == 0)
	}
	is.Equal(len(s.ids), maxSentIDs)
	is.True(s.has(n))
	is.True(s.has(n - maxSentIDs + 1))
	is.True(!s.has(n - maxSentIDs))
	for id := uint64(n - maxSentIDs); id < n; id++ {
		head, ok := s.find(id + 1)
		is.True(ok)
		is.Equal(head, id%3 == 0)
	}
	_, ok := s.find(n - maxSentIDs)
	is.True(!ok)
}

// copyingTarget answers each request on a connection with the reply of its method. Before each reply but the first, it
// sends a copy of the one before.
type copyingTarget struct{ head, get string }

func (f copyingTarget) serve(w http.ResponseWriter, r *http.Request) {
	conn, buffer, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	for last := ""; err == nil; r, err = http.ReadRequest(buffer.Reader) {
		reply := f.get
		if r.Method == http.MethodHead {
			reply = f.head
		}
		start, rest, _ := strings.Cut(reply, "\r\n")
		_, _ = io.WriteString(conn, last)
		last = start + "\r\nId: " + r.Header.Get("Id") + "\r\n" + rest
		_, _ = io.WriteString(conn, last)
	}
}

// Guards against a late copy that is read by the method of another request: the copy of an answer to HEAD would take
// the next reply for its body, and the body of the copy of an answer to GET would be taken for a head.
func TestLateCopyAcrossMethods(t *testing.T) {
	const (
		length     = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n"
		chunked    = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
		none       = "HTTP/1.1 200 OK\r\n\r\n"
		unmodified = "HTTP/1.1 304 Not Modified\r\nContent-Length: 4\r\n\r\n"
	)
	type step struct{ method, id, body string }
	head := func(id string) step { return step{http.MethodHead, id, ""} }
	get := func(id, body string) step { return step{http.MethodGet, id, body} }
	for _, tt := range []struct {
		name   string
		target copyingTarget
		steps  []step
		dials  int64
	}{
		{"HEAD before GET", copyingTarget{length, length + "body"}, []step{head("1"), get("2", "body"), get("3", "body")}, 1},
		{"GET before HEAD", copyingTarget{length, length + "body"}, []step{get("1", "body"), head("2"), head("3")}, 1},
		{"by turns", copyingTarget{length, length + "body"}, []step{head("1"), get("2", "body"), head("3"), get("4", "body")}, 1},
		{"chunks", copyingTarget{chunked, chunked + "4\r\nbody\r\n0\r\n\r\n"}, []step{head("1"), get("2", "body"), head("3"), head("4")}, 1},
		{"HEAD without a length", copyingTarget{none, length + "body"}, []step{head("1"), get("2", "body"), head("3")}, 1},
		{"not modified", copyingTarget{length, unmodified}, []step{get("1", ""), head("2"), get("3", "")}, 1},
		{"the same identity, HEAD before GET", copyingTarget{length, length + "body"}, []step{head("1"), get("1", "body")}, 2},
		{"the same identity, GET before HEAD", copyingTarget{length, length + "body"}, []step{get("1", "body"), head("1")}, 2},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t, 1, tt.target.serve)
			h.identify()
			skipped := 0
			h.pool.OnSkipped = func(netip.AddrPort, *Response) { skipped++ }
			for _, step := range tt.steps {
				permit := h.acquire(t)
				req, err := http.NewRequest(step.method, "http://t0/", nil)
				is.NoErr(err)
				req.Header.Set("Id", step.id)
				bytes := []byte(step.method + " / HTTP/1.1\r\nHost: t0\r\nId: " + step.id + "\r\n\r\n")
				res, err := h.pool.Send(t.Context(), permit, &EncodedRequest{Request: req, Bytes: bytes, ID: step.id}, nil)
				is.NoErr(err)
				is.Equal(string(res.Body), step.body)
				is.Equal(res.Header.Get("Id"), step.id)
				permit.Release(Succeeded)
			}
			is.Equal(h.dials.Load(), tt.dials)
			is.Equal(skipped, len(tt.steps)-int(tt.dials))
		})
	}
}

// Guards against a late copy whose end only the connection shows and that is skipped: the reply behind it would be a
// part of it.
func TestLateCopyWithoutLengthClosesTheConnection(t *testing.T) {
	is := is.New(t)
	c := &connection{reader: bufio.NewReader(strings.NewReader("HTTP/1.1 200 OK\r\nId: 1\r\nConnection: close\r\n\r\nbodyHTTP/1.1 200 OK\r\nId: 2\r\n\r\n"))}
	p := &Pool{AllowUnframed: true, ReplyID: func(res *Response) string { return res.Header.Get("Id") }}
	for _, id := range []string{"1", "2"} {
		c.current = xxhash.Sum64String(id)
		c.sent.add(c.current, false)
	}
	req, err := http.NewRequest(http.MethodHead, "http://t0/", nil)
	is.NoErr(err)
	var reply *ReplyError
	is.True(errors.As(p.readHead(c, req), &reply))
	is.Equal(reply.Reason, Mismatched)
	is.True(!errors.Is(reply, errLateCopy))
}

// Guards against a copy without an identity that is read by the method of another request: nothing tells which one it
// belongs to once the connection has carried HEAD and another method.
func TestAnonymousCopyAcrossMethods(t *testing.T) {
	const (
		copied = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n"
		own    = "HTTP/1.1 200 OK\r\nId: 3\r\nContent-Length: 4\r\n\r\n"
	)
	for _, tt := range []struct {
		name    string
		carried []string // the methods, that of the sub-request that waits last
		text    string
		skipped bool
	}{
		{"GET only", []string{"GET", "GET", "GET"}, copied + "body" + own + "mine", true},
		{"HEAD only", []string{"HEAD", "HEAD", "HEAD"}, copied + own, true},
		{"copy of HEAD before GET", []string{"GET", "HEAD", "GET"}, copied + own + "mine", false},
		{"copy of GET before HEAD", []string{"HEAD", "GET", "HEAD"}, copied + "body" + own, false},
		{"copy of GET before GET", []string{"HEAD", "GET", "GET"}, copied + "body" + own + "mine", false},
		{"copy of HEAD before HEAD", []string{"GET", "HEAD", "HEAD"}, copied + own, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			c := &connection{reader: bufio.NewReaderSize(strings.NewReader(tt.text), readBufferSize)}
			p := &Pool{ReplyID: func(res *Response) string { return res.Header.Get("Id") }}
			for i, method := range tt.carried {
				c.current = xxhash.Sum64String(strconv.Itoa(i + 1))
				c.sent.add(c.current, method == http.MethodHead)
			}
			req, err := http.NewRequest(tt.carried[len(tt.carried)-1], "http://t0/", nil)
			is.NoErr(err)
			err = p.readHead(c, req)
			if !tt.skipped {
				var reply *ReplyError
				is.True(errors.As(err, &reply) && reply.Reason == Mismatched)
				return
			}
			is.NoErr(err)
			is.True(errors.Is(p.read(c, req).err, errLateCopy))
			r := p.readReply(c, req)
			is.NoErr(r.err)
			is.Equal(r.response.Header.Get("Id"), "3")
			is.Equal(string(r.response.Body) == "mine", req.Method == http.MethodGet)
		})
	}
}
