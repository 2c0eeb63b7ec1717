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

	"github.com/cespare/xxhash/v2"
	"github.com/matryer/is"
)

// contentTarget replies with a hash of what it was asked. On each connection it sends a copy of the reply before
// first.
type contentTarget struct{ connections atomic.Int64 }

// contentOf returns the body of the reply to a request.
func contentOf(method, uri, body string) string {
	return fmt.Sprintf("%016x", xxhash.Sum64String(method+" "+uri+" "+body))
}

func (f *contentTarget) serve(conn net.Conn) {
	defer conn.Close()
	f.connections.Add(1)
	reader := bufio.NewReader(conn)
	last := ""
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, _ := io.ReadAll(r.Body)
		_, _ = io.WriteString(conn, last)
		time.Sleep(5 * time.Millisecond)
		last = fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: sign\r\nContent-Length: 16\r\n\r\n%s",
			headers.Request, r.Header.Get(headers.Request), headers.Signature, contentOf(r.Method, r.RequestURI, string(body)))
		_, _ = io.WriteString(conn, last)
	}
}

// Guards against a late copy that passes for the reply to another request because the caller has given both
// requests the same identity.
func TestSameIdentityOfAnotherRequest(t *testing.T) {
	type sent struct{ method, uri, body string }
	first := sent{http.MethodPost, "/q/x", "a"}
	for _, tt := range []struct {
		name        string
		second      sent
		once        bool // the first request may run once
		connections int64
	}{
		{"another path", sent{http.MethodPost, "/q/y", "a"}, false, 2},
		{"another query", sent{http.MethodPost, "/q/x?a=1", "a"}, false, 2},
		{"another method", sent{http.MethodPut, "/q/x", "a"}, false, 2},
		{"another body", sent{http.MethodPost, "/q/x", "b"}, false, 2},
		{"the same, but the first one may run once", first, true, 2},
		{"the same", first, false, 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			f := &contentTarget{}
			h := newRawHarness(t, 1, f.serve)
			rt := h.view.Routing.Match("h", "/q/x")
			for i, one := range []sent{first, tt.second, first} {
				rt.Idempotent = !tt.once || i > 0
				res, body := h.get(t, func(r *http.Request) {
					r.Method, r.URL.Opaque, r.URL.RawQuery = one.method, one.uri, ""
					r.Body, r.ContentLength = io.NopCloser(strings.NewReader(one.body)), int64(len(one.body))
				})
				is.Equal(res.StatusCode, http.StatusOK)
				is.Equal(body, contentOf(one.method, one.uri, one.body))
				if i == 1 {
					is.Equal(f.connections.Load(), tt.connections)
				}
			}
		})
	}
}
