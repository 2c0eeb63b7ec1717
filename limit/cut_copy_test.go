package limit

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabirelay/control"
)

// serveInPieces replies to the first request with earlier. The reply to the second one breaks off; each piece
// follows after a pause.
func serveInPieces(conn net.Conn, earlier, broken string, pause time.Duration, pieces []string) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for i := range 2 {
		if _, err := http.ReadRequest(reader); err != nil {
			return
		}
		if i == 0 {
			_, _ = io.WriteString(conn, earlier)
		}
	}
	_, _ = io.WriteString(conn, broken)
	for _, piece := range pieces {
		time.Sleep(pause)
		_, _ = io.WriteString(conn, piece)
	}
	_, _ = reader.ReadByte() // until the host closes the connection
}

// Guards against a body that broke off and was filled up by the first piece of a late copy with another status: the
// end of the body cuts the copy before its identity, and the rest of the copy arrives later.
func TestBrokenBodyFilledByPieceOfLateCopy(t *testing.T) {
	const (
		earlier = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nId: r0\r\n\r\n"
		head    = "HTTP/1.1 200 OK\r\nId: r1\r\nContent-Length: 90\r\n\r\n"
	)
	for _, tt := range []struct {
		name string
		// taken is the number of bytes of the copy that fill the body up.
		taken int
		// rest is true if the rest of the copy follows.
		rest, rejected bool
	}{
		{"in the version", 7, true, true},
		{"in the status", 11, true, true},
		{"in the reason", 20, true, true},
		{"behind the status line", 34, true, true},
		{"in the second field", 55, true, true},
		{"a text that ends with the start of a transcript", 34, false, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			here, there := net.Pipe()
			p := &Pool{Dial: func(context.Context, string, string) (net.Conn, error) { return here, nil }}
			p.ReplyID = func(res *Response) string { return res.Header.Get("Id") }
			defer p.Close()
			pieces := []string{earlier[:tt.taken]}
			if tt.rest {
				pieces = append(pieces, earlier[tt.taken:])
			}
			go serveInPieces(there, earlier, head+strings.Repeat("x", 90-tt.taken), 5*time.Millisecond, pieces)
			p.SetShares(map[string]Share{"t0": {Incarnation: "1", Address: netip.MustParseAddrPort("127.0.0.1:1"), Connections: 1}})
			var res *Response
			var err error
			for _, id := range []string{"r0", "r1"} {
				var permit *Permit
				permit, err = p.Acquire(t.Context(), &control.Target{Name: "t0", Incarnation: "1"})
				is.NoErr(err)
				req, _ := http.NewRequest(http.MethodGet, "http://t0/", nil)
				req.Header.Set("Id", id)
				res, err = p.Send(t.Context(), permit, &EncodedRequest{Request: req, Bytes: []byte("GET / HTTP/1.1\r\nHost: t0\r\nId: " + id + "\r\n\r\n"), ID: id}, nil)
				permit.Release(Failed)
			}
			is.Equal(err != nil, tt.rejected) // a filled-up body must not pass for the whole one
			if err == nil {
				is.Equal(len(res.Body), 90)
			}
		})
	}
}
