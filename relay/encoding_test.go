package relay

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
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
