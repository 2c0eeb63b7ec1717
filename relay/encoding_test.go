package relay

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabirelay/portion"
)

// Guards against a request that targets get with another path or other headers than the caller sent: it holds
// bytes that the messages between hosts can't carry.
func TestBytesThatMessagesCantCarry(t *testing.T) {
	for _, tt := range []struct{ name, path, header string }{
		{"plain", "/q/x", "a"},
		{"path", "/q/caf\xe9", "a"},
		{"query", "/q/x?a=\xff", "a"},
		{"header", "/q/x", "caf\xe9"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			h, targets := eightShards(t, 1, nil)
			h.divided(4, func(ctx context.Context, r *portion.Request, receive func(*portion.Frame, error)) {
				text, err := json.Marshal(r)
				is.NoErr(err)
				var received portion.Request
				is.NoErr(json.Unmarshal(text, &received))
				h.collectHere(ctx, &received, receive)
			})
			conn, err := net.Dial("tcp", h.server.Listener.Addr().String())
			is.NoErr(err)
			defer conn.Close()
			is.NoErr(conn.SetDeadline(time.Now().Add(5 * time.Second)))
			_, err = fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: h\r\nX-Name: %s\r\n%s: r1\r\n%s: 1500\r\n\r\n", tt.path, tt.header, headers.Request, headers.Timeout)
			is.NoErr(err)
			res, err := http.ReadResponse(bufio.NewReader(conn), nil)
			is.NoErr(err)
			defer res.Body.Close()
			is.Equal(res.StatusCode, http.StatusOK)
			for _, f := range targets {
				is.Equal(f.last.RequestURI, tt.path)
				is.Equal(f.last.Header.Get("X-Name"), tt.header)
			}
		})
	}
}

// Guards against a signature or another header that arrives changed because another host has passed the reply on,
// and against a merged response that lists such a signature.
func TestReplyThatIsNoText(t *testing.T) {
	const odd = "a\xe9\xff<&>b"
	odds := func(f *fakeTarget) *fakeTarget {
		f.reply = func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(headers.Signature, odd)
			w.Header()["X-Odd"] = []string{odd, "", "c"}
			_, _ = w.Write(record("x"))
		}
		return f
	}
	for _, passed := range []bool{false, true} {
		t.Run(fmt.Sprint("passed on ", passed), func(t *testing.T) {
			is := is.New(t)
			h, other := newHarness(t, singleRoute(true, 1), odds(newTarget("t1", "s1"))), newHarness(t, singleRoute(true, 1), odds(newTarget("t1", "s1")))
			if passed {
				h.loseLinks()
				h.passTo(map[string]func(context.Context, *portion.Request, func(*portion.Frame, error)){"other": other.collectByMessage})
			}
			res, body := h.get(t, nil)
			is.Equal(res.StatusCode, http.StatusOK)
			is.Equal(res.Header.Get(headers.Signature), odd)
			is.Equal(res.Header["X-Odd"], []string{odd, "", "c"})
			is.Equal(body, string(record("x")))
		})
	}
	t.Run("merged", func(t *testing.T) {
		is := is.New(t)
		h, _ := eightShards(t, 0.5, map[int]func(*fakeTarget){1: func(f *fakeTarget) { odds(f) }, 5: func(f *fakeTarget) { odds(f) }})
		h.divided(4, h.collectByMessage)
		res, _ := h.get(t, nil)
		is.Equal(res.StatusCode, http.StatusOK)
		is.Equal(res.Header.Get(headers.Missing), "2")
		is.Equal(strings.Count(res.Header.Get(headers.Parts), "sign-t"), 6)
		is.Equal(strings.Count(res.Header.Get(headers.Parts), ","), 5)
	})
}

// collectByMessage is collectHere with the request and the frames as messages between hosts carry them.
func (h *harness) collectByMessage(ctx context.Context, r *portion.Request, receive func(*portion.Frame, error)) {
	var request portion.Request
	throughJSON(r, &request)
	h.collectHere(ctx, &request, func(f *portion.Frame, err error) {
		var frame portion.Frame
		throughJSON(f, &frame)
		receive(&frame, err)
	})
}

func throughJSON(from, to any) {
	text, err := json.Marshal(from)
	if err == nil {
		err = json.Unmarshal(text, to)
	}
	if err != nil {
		panic(err)
	}
}
