package relay

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"wasabirelay/portion"
)

// textTarget sends the same text in reply to each request. ID in it stands for the identity of the request.
type textTarget struct {
	text             string
	ran, connections atomic.Int64
	// shared counts the requests that were not the first ones on their connections.
	shared atomic.Int64
}

func (f *textTarget) serve(conn net.Conn) {
	defer conn.Close()
	f.connections.Add(1)
	reader := bufio.NewReader(conn)
	for i := 0; ; i++ {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		f.ran.Add(1)
		if i > 0 {
			f.shared.Add(1)
		}
		_, _ = io.WriteString(conn, strings.ReplaceAll(f.text, "ID", r.Header.Get(headers.Request)))
	}
}

// replyWith returns a reply with the lines in its head and one record.
func replyWith(lines ...string) string {
	return "HTTP/1.1 200 OK\r\n" + strings.Join(lines, "\r\n") + "\r\nContent-Length: 16\r\n\r\n" + string(record("x"))
}

// chunkedWith is replyWith with a trailer.
func chunkedWith(trailer string, lines ...string) string {
	return "HTTP/1.1 200 OK\r\n" + strings.Join(lines, "\r\n") + "\r\nTransfer-Encoding: chunked\r\n\r\n10\r\n" + string(record("x")) + "\r\n0\r\n" + trailer + "\r\n\r\n"
}

// Guards against an answer that may belong to another request, because its identity is missing, doubtful or not in
// its head, and against refusing replies that name the right one in an unusual form.
func TestIdentityOfReply(t *testing.T) {
	for _, tt := range []struct {
		name, text string
		status     int
		kept       bool // the connection
	}{
		{"right", replyWith("Req: ID", "Sign: s"), http.StatusOK, true},
		{"among blanks", replyWith("Req: \t ID \t", "Sign: s"), http.StatusOK, true},
		{"right twice", replyWith("Req: ID", "Sign: s", "req: ID"), http.StatusOK, true},
		{"first right, then wrong", replyWith("Req: ID", "Sign: s", "Req: another"), http.StatusBadGateway, false},
		{"first wrong, then right", replyWith("Req: another", "Sign: s", "Req: ID"), http.StatusBadGateway, false},
		{"right, and empty", replyWith("Req: ID", "Sign: s", "Req:"), http.StatusBadGateway, false},
		{"first right, then wrong, in chunks", chunkedWith("", "Req: ID", "Sign: s", "Req: another"), http.StatusBadGateway, false},
		{"both in one field", replyWith("Req: ID, another", "Sign: s"), http.StatusBadGateway, false},
		{"none", replyWith("Sign: s"), http.StatusBadGateway, false},
		{"empty", replyWith("Req:", "Sign: s"), http.StatusBadGateway, false},
		{"only in the trailer", chunkedWith("Req: ID", "Trailer: Req", "Sign: s"), http.StatusBadGateway, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			f := &textTarget{text: tt.text}
			h := newRawHarness(t, 1, f.serve)
			for _, id := range []string{"r1", "r2", "another", "r3"} {
				if id == "another" && tt.status != http.StatusOK {
					continue // to this one, the reply may be right
				}
				res, _ := h.get(t, func(r *http.Request) { r.Header.Set(headers.Request, id) })
				is.Equal(res.StatusCode, tt.status)
				is.Equal(res.Header.Get(headers.Signature) != "", tt.status == http.StatusOK)
			}
			is.Equal(f.connections.Load() == 1, tt.kept)
		})
	}
}

// Guards against a request that waits for another reply after one that names it and an earlier request.
func TestReplyToTwoRequests(t *testing.T) {
	is := is.New(t)
	f := &textTarget{text: replyWith("Req: earlier", "Sign: s", "Req: ID")}
	h := newRawHarness(t, 1, f.serve)
	res, _ := h.get(t, func(r *http.Request) { r.Header.Set(headers.Request, "earlier") })
	is.Equal(res.StatusCode, http.StatusOK)
	res, _ = h.get(t, nil)
	is.Equal(res.StatusCode, http.StatusBadGateway)
	is.Equal(f.shared.Load(), int64(1)) // the reply did name an earlier request of its connection
}

// Guards against a success without the one signature of its target, and against refusing signed replies in an
// unusual form.
func TestSignatureOfReply(t *testing.T) {
	type want struct {
		single, merged int
		signature      string
	}
	unsigned := want{http.StatusBadGateway, http.StatusBadGateway, ""}
	for _, tt := range []struct {
		name, text string
		want
	}{
		{"one", replyWith("Req: ID", "Sign: s"), want{http.StatusOK, http.StatusOK, "s"}},
		{"twice the same", replyWith("Req: ID", "Sign: s", "sign: s"), want{http.StatusOK, http.StatusOK, "s"}},
		{"two", replyWith("Req: ID", "Sign: s", "Sign: t"), unsigned},
		{"two, in chunks", chunkedWith("", "Req: ID", "Sign: s", "Sign: t"), unsigned},
		{"one and an empty one", replyWith("Req: ID", "Sign: s", "Sign:"), unsigned},
		{"a list", replyWith("Req: ID", "Sign: s, t"), want{http.StatusOK, http.StatusBadGateway, "s, t"}},
		{"none", replyWith("Req: ID"), unsigned},
		{"blanks", replyWith("Req: ID", "Sign: \t "), unsigned},
		{"only in the trailer", chunkedWith("Sign: s", "Req: ID", "Trailer: Sign"), unsigned},
	} {
		for _, merged := range []bool{false, true} {
			t.Run(fmt.Sprint(tt.name, ", merged ", merged), func(t *testing.T) {
				is := is.New(t)
				f := &textTarget{text: tt.text}
				h := newRawHarness(t, 1, f.serve)
				status, name := tt.single, headers.Signature
				if merged {
					rt := h.view.Routing.Match("h", "/q/x")
					rt.Idempotent, rt.Backends, rt.Shards, rt.ResultLimit, rt.MinShardFraction = true, nil, []string{"s1"}, 3, 1
					status, name = tt.merged, headers.Parts
				}
				res, _ := h.get(t, nil)
				is.Equal(res.StatusCode, status)
				if status == http.StatusOK {
					is.Equal(res.Header.Get(name), tt.signature)
				}
				is.Equal(f.ran.Load(), int64(1))
			})
		}
	}
}

// Guards against a request without its identity at the target, and against a success without its signature, because
// the Connection header of a caller, or of a target, names that field.
func TestConnectionOptionNamesOwnField(t *testing.T) {
	for _, lost := range []bool{false, true} {
		t.Run(fmt.Sprint("host without links ", lost), func(t *testing.T) {
			is := is.New(t)
			f := &textTarget{text: replyWith("Req: ID", "Sign: s", "X: 1", "Connection: X, req, Sign")}
			h := newRawHarness(t, 1, f.serve)
			if lost {
				other := newRawHarness(t, 1, f.serve)
				h.loseLinks()
				h.passTo(map[string]func(context.Context, *portion.Request, func(*portion.Frame, error)){"other": other.collectHere})
			}
			res, body := h.get(t, func(r *http.Request) { r.Header.Set("Connection", "Req, Left") })
			is.Equal(res.StatusCode, http.StatusOK)
			is.Equal(body, string(record("x")))
			is.Equal(res.Header.Get(headers.Request), "r1")
			is.Equal(res.Header.Get(headers.Signature), "s")
			is.Equal(res.Header.Get("X"), "")
			is.Equal(f.ran.Load(), int64(1))
		})
	}
}
