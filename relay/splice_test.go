package relay

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// framedReply and unframedReply return a signed reply with the body, with a length and without.
func framedReply(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: sign\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", headers.Signature, headers.Request, id, len(body), body)
}

func unframedReply(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: sign\r\n%s: %s\r\nConnection: close\r\n\r\n%s", headers.Signature, headers.Request, id, body)
}

func chunkedReply(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: sign\r\n%s: %s\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", headers.Signature, headers.Request, id, len(body), body)
}

// testBody returns a body that shows which request it belongs to.
func testBody(id string) string { return strings.Repeat("<"+id+">", 20) }

// serveReplies serves a connection with the bytes that reply returns for each request and for the one before it,
// and closes it after those without a length.
func serveReplies(reply func(id, last string) (text string, closing bool)) func(net.Conn) {
	return func(conn net.Conn) {
		defer conn.Close()
		reader := bufio.NewReader(conn)
		for last := ""; ; {
			r, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			id := r.Header.Get(headers.Request)
			text, closing := reply(id, last)
			if _, err := io.WriteString(conn, text); err != nil || closing {
				return
			}
			last = id
		}
	}
}

// Guards against a success whose body holds another reply: the target sends a second one behind a reply without
// a length, or behind one that breaks off in its body.
func TestReplyInsideBody(t *testing.T) {
	for _, tt := range []struct {
		name string
		// cut is where the body breaks off; copied is the identity of the second reply.
		reply func(id, copied string, cut int) (text string, closing bool)
	}{
		{"without length", func(id, copied string, _ int) (string, bool) {
			return unframedReply(id, testBody(id)) + framedReply(copied, testBody(copied)), true
		}},
		{"broken off without length", func(id, copied string, cut int) (string, bool) {
			body := testBody(id)
			return unframedReply(id, body[:cut]) + framedReply(copied, testBody(copied)), true
		}},
		{"broken off with a length", func(id, copied string, cut int) (string, bool) {
			text := framedReply(id, testBody(id))
			return text[:len(text)-len(testBody(id))+cut] + framedReply(copied, testBody(copied)), false
		}},
		{"broken off in a chunk", func(id, copied string, cut int) (string, bool) {
			text := chunkedReply(id, testBody(id))
			start := strings.Index(text, testBody(id))
			return text[:start+cut] + chunkedReply(copied, testBody(copied)), false
		}},
	} {
		for _, earlier := range []bool{false, true} {
			t.Run(fmt.Sprint(tt.name, ", earlier ", earlier), func(t *testing.T) {
				is := is.New(t)
				var cut atomic.Int64
				spliced := 0
				h := newRawHarness(t, 1, serveReplies(func(id, last string) (string, bool) {
					switch {
					case earlier && last == "":
						return framedReply(id, testBody(id)), false
					case earlier:
						return tt.reply(id, last, int(cut.Load()))
					}
					return tt.reply(id, id, int(cut.Load()))
				}))
				length := len(testBody("r100"))
				for at := range length {
					cut.Store(int64(at))
					for i := range 2 {
						id := fmt.Sprint("r", 100+2*at+i)
						res, body := h.get(t, func(r *http.Request) { r.Header.Set(headers.Request, id) })
						if res.StatusCode == http.StatusOK {
							is.Equal(body, testBody(id))
						} else {
							is.Equal(res.StatusCode, http.StatusBadGateway)
							spliced++
						}
					}
				}
				is.True(spliced >= length)
			})
		}
	}
}

// spliced makes the target send a second reply behind one without a length.
func (f *fakeTarget) spliced() *fakeTarget {
	f.reply = func(w http.ResponseWriter, r *http.Request) {
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		id := r.Header.Get(headers.Request)
		_, _ = io.WriteString(conn, unframedReply(id, string(record("x")))+framedReply(id, string(record("x"))))
	}
	return f
}

// Guards against an idempotent request that fails because of one reply that holds another, and against records
// of a merged response that are parts of a head.
func TestReplyInsideBodyIsRetried(t *testing.T) {
	for _, tt := range []struct {
		name string
		h    *harness
	}{
		{"one service", newHarness(t, singleRoute(true, 2), newTarget("a", "s1").spliced(), newTarget("b", "s1").records("y"))},
		{"shards", newHarness(t, shardsRoute(1, "s1"), newTarget("a", "s1").spliced(), newTarget("b", "s1").records("y"))},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			for i := range 8 {
				res, body := tt.h.get(t, func(r *http.Request) { r.Header.Set(headers.Request, fmt.Sprint("r", i)) })
				is.Equal(res.StatusCode, http.StatusOK)
				is.Equal(body, string(record("y")))
			}
		})
	}
}

// Guards against a body that is rejected because it mentions replies: of no request, of another one, or in part.
func TestBodyMentionsReplies(t *testing.T) {
	for _, text := range []string{
		"HTTP/1.1", "GET / HTTP/1.1\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n", framedReply("another", "x"), "HTTP/1.1 200 OK: it went well",
	} {
		t.Run(text, func(t *testing.T) {
			is := is.New(t)
			h := newRawHarness(t, 1, serveReplies(func(id, _ string) (string, bool) { return framedReply(id, "it said "+text), false }))
			res, body := h.get(t, nil)
			is.Equal(res.StatusCode, http.StatusOK)
			is.Equal(body, "it said "+text)
		})
	}
}

// Guards against an answer that has the status or the signature of one reply and the rest of another: the target breaks
// off in a head and sends a second reply.
func TestReplyInsideHead(t *testing.T) {
	const head = "HTTP/1.1 %s\r\n%s: %s\r\nX: y\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s"
	signed := func(id, sign string) string {
		return fmt.Sprintf(head, "200 OK", headers.Signature, sign, headers.Request, id, len(testBody(id)), testBody(id))
	}
	for _, tt := range []struct {
		name string
		// second is the second reply; its answer has the status, the signature and the body.
		second func(id, last string) string
		status int
		sign   string
	}{
		{"of the same request", func(id, _ string) string { return signed(id, "two") }, http.StatusOK, "two"},
		{"of an earlier request", func(_, last string) string { return signed(last, "two") }, http.StatusBadGateway, ""},
		{"a failure", func(id, _ string) string {
			return fmt.Sprintf(head, "500 Failed", headers.Signature, "two", headers.Request, id, 0, "")
		}, http.StatusInternalServerError, "two"},
		{"a refusal", func(id, _ string) string {
			return fmt.Sprintf(head, "503 Busy", headers.NotRun, "1", headers.Request, id, 0, "")
		}, http.StatusServiceUnavailable, ""},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var cut atomic.Int64
			h := newRawHarness(t, 1, serveReplies(func(id, last string) (string, bool) {
				if last == "" {
					return signed(id, "one"), false
				}
				return signed(id, "one")[:cut.Load()] + tt.second(id, last), false
			}))
			length := len(signed("r100", "one")) - len(testBody("r100"))
			for at := range length {
				cut.Store(int64(at))
				for i := range 2 {
					id := fmt.Sprint("r", 100+2*at+i)
					res, body := h.get(t, func(r *http.Request) {
						r.Header.Set(headers.Request, id)
						r.Header.Set(headers.Timeout, "200")
					})
					sign := res.Header.Get(headers.Signature)
					switch {
					case res.StatusCode == http.StatusOK && sign == "one":
						is.Equal(body, testBody(id))
					case res.StatusCode == tt.status && sign == tt.sign:
						is.True(tt.status != http.StatusOK || body == testBody(id))
					default:
						is.Equal(sign, "")
						is.True(res.StatusCode == http.StatusBadGateway || res.StatusCode == http.StatusGatewayTimeout)
					}
				}
			}
		})
	}
}

// Guards against a request that waits until its deadline for the body of a reply to another request.
func TestReplyToAnotherRequestWithoutEnd(t *testing.T) {
	for _, tt := range []struct {
		name string
		// first is what the target sends at once, before the reply to the present request.
		first func(last string) string
	}{
		{"a late copy without length", func(last string) string { return unframedReply(last, testBody(last)) }},
		{"a late copy of a refusal without length", func(last string) string {
			return fmt.Sprintf("HTTP/1.1 503 Busy\r\n%s: %s\r\n%s: 1\r\n\r\n", headers.Request, last, headers.NotRun)
		}},
		{"an unknown identity, no body", func(string) string { return strings.TrimSuffix(framedReply("other", "x"), "x") }},
		{"no identity, no body", func(string) string { return "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n" }},
		{"a closing late copy, no body", func(last string) string {
			return strings.TrimSuffix(framedReply(last, "x"), "\r\n\r\nx") + "\r\nConnection: close\r\n\r\n"
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			h := newRawHarness(t, 1, serveReplies(func(id, last string) (string, bool) {
				if last == "" {
					return framedReply(id, testBody(id)), false
				}
				return tt.first(last), false
			}))
			h.checkOthersFailAtOnce(t)
		})
	}
}

// checkOthersFailAtOnce checks that every other request fails, long before its deadline.
func (h *harness) checkOthersFailAtOnce(t *testing.T) {
	t.Helper()
	is := is.New(t)
	for i := range 4 {
		started := time.Now()
		res, _ := h.get(t, func(r *http.Request) { r.Header.Set(headers.Request, fmt.Sprint("r", i)) })
		is.Equal(res.StatusCode, []int{http.StatusOK, http.StatusBadGateway}[i%2])
		is.True(time.Since(started) < 750*time.Millisecond) // half of the deadline
	}
}

// Guards against a request that waits until its deadline although its reply has arrived inside the body of another one
// that has broken off.
func TestReplyInsideLongerBody(t *testing.T) {
	const missing = 20_000 // bytes that the first reply lacks, more than the second one has
	for _, tt := range []struct {
		name string
		// first is the reply that breaks off.
		first func(id, last string) string
	}{
		{"late copy", func(_, last string) string { return framedReply(last, strings.Repeat("x", 2*missing)) }},
		{"own reply", func(id, _ string) string { return framedReply(id, strings.Repeat("x", 2*missing)) }},
	} {
		t.Run(tt.name, func(t *testing.T) {
			h := newRawHarness(t, 1, func(conn net.Conn) {
				defer conn.Close()
				reader := bufio.NewReader(conn)
				for last := ""; ; {
					r, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					id := r.Header.Get(headers.Request)
					if last != "" {
						first := tt.first(id, last)
						_, _ = io.WriteString(conn, first[:len(first)-missing])
						time.Sleep(20 * time.Millisecond)
					}
					for _, part := range []string{framedReply(id, testBody(id))[:60], framedReply(id, testBody(id))[60:]} {
						_, _ = io.WriteString(conn, part)
						time.Sleep(10 * time.Millisecond)
					}
					last = id
				}
			})
			h.checkOthersFailAtOnce(t)
		})
	}
}

// Guards against a success whose body ends with a copy of an earlier reply that lacks its identity, behind a reply
// without a length.
func TestAnonymousReplyInsideBody(t *testing.T) {
	is := is.New(t)
	h := newRawHarness(t, 1, serveReplies(func(id, last string) (string, bool) {
		if last == "" {
			return framedReply(id, testBody(id)), false
		}
		copied := strings.Replace(framedReply(last, testBody(last)), headers.Request+": "+last+"\r\n", "", 1)
		return unframedReply(id, testBody(id)) + copied, true
	}))
	for i, status := range []int{http.StatusOK, http.StatusBadGateway, http.StatusOK, http.StatusBadGateway} {
		id := fmt.Sprint("r", i)
		res, body := h.get(t, func(r *http.Request) { r.Header.Set(headers.Request, id) })
		is.Equal(res.StatusCode, status)
		is.Equal(body == testBody(id), status == http.StatusOK)
	}
}

// Guards against a success whose long body ends with the first bytes of another reply: they can't be told from a body
// without what follows, which the buffer may not hold yet.
func TestReplyInsideEndOfLongBody(t *testing.T) {
	const buffer = 8 << 10 // of a connection
	for _, size := range []int{buffer - 200, buffer, 5 * buffer} {
		for _, status := range []string{"200 OK", "503 Busy"} {
			t.Run(fmt.Sprint(size, " ", status), func(t *testing.T) {
				is := is.New(t)
				text := strings.Repeat("x", size)
				var missing atomic.Int64
				h := newRawHarness(t, 1, serveReplies(func(id, _ string) (string, bool) {
					reply := framedReply(id, text)
					return reply[:len(reply)-int(missing.Load())] + strings.Replace(reply, "200 OK", status, 1), false
				}))
				for i := range 120 {
					missing.Store(int64(1 + i/2))
					res, _ := h.get(t, func(r *http.Request) { r.Header.Set(headers.Request, fmt.Sprint("r", i)) })
					is.Equal(res.StatusCode, http.StatusBadGateway)
				}
			})
		}
	}
	for size := buffer - 110; size < buffer; size++ { // the buffer ends a few bytes behind the body
		is := is.New(t)
		h := newRawHarness(t, 1, serveReplies(func(id, _ string) (string, bool) {
			reply := framedReply(id, strings.Repeat("x", size))
			return reply[:len(reply)-1] + reply, false
		}))
		res, _ := h.get(t, nil)
		is.Equal(res.StatusCode, http.StatusBadGateway)
	}
}

// Guards against a success whose body ends with the start of another reply: the target breaks off in the head of the
// second one.
func TestCutReplyBehindBodyWithoutLength(t *testing.T) {
	is := is.New(t)
	const least = len("HTTP/1.1 5") // fewer bytes may belong to the body
	head := fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\nX: y\r\n%s: r\r\n", headers.Request)
	var length atomic.Int64
	h := newRawHarness(t, 1, serveReplies(func(id, _ string) (string, bool) {
		return unframedReply(id, testBody(id)) + head[:length.Load()], true
	}))
	for n := least; n <= len(head); n++ {
		length.Store(int64(n))
		res, _ := h.get(t, nil)
		is.Equal(res.StatusCode, http.StatusBadGateway)
	}
}
