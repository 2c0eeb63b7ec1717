package limit

import (
	"bufio"
	"context"
	"errors"
	"fmt"
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

// piecesTest sends the replies of a target in pieces and returns what the host makes of the second one, whose body has 90 bytes.
func piecesTest(t *testing.T, earlier, broken string, pause time.Duration, pieces []string) (*Response, error) {
	t.Helper()
	is := is.New(t)
	here, there := net.Pipe()
	p := &Pool{Dial: func(context.Context, string, string) (net.Conn, error) { return here, nil }}
	p.ReplyID = func(res *Response) string { return res.Header.Get("Id") }
	defer p.Close()
	go serveInPieces(there, earlier, broken, pause, pieces)
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
	return res, err
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
			pieces := []string{earlier[:tt.taken]}
			if tt.rest {
				pieces = append(pieces, earlier[tt.taken:])
			}
			res, err := piecesTest(t, earlier, head+strings.Repeat("x", 90-tt.taken), 5*time.Millisecond, pieces)
			is.Equal(err != nil, tt.rejected) // a filled-up body must not pass for the whole one
			if err == nil {
				is.Equal(len(res.Body), 90)
			}
		})
	}
}

// Guards against a body that broke off a few bytes before its end and was filled up by the first bytes of a late copy, the rest
// of which came after a pause.
func TestBrokenBodyFilledBeforePause(t *testing.T) {
	const (
		earlier = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nId: r0\r\n\r\nbody"
		head    = "HTTP/1.1 200 OK\r\nId: r1\r\nContent-Length: 90\r\n\r\n"
		first   = len("HTTP/1.1 ")
		pause   = 100 * time.Millisecond
	)
	for missing := 1; missing <= first; missing++ {
		t.Run(fmt.Sprint(missing), func(t *testing.T) {
			t.Parallel()
			_, err := piecesTest(t, earlier, head+strings.Repeat("x", 90-missing), pause, []string{earlier[:first], earlier[first:]})
			var reply *ReplyError
			is := is.New(t)
			is.True(errors.As(err, &reply)) // a filled-up body must not pass for the whole one
			is.Equal(reply.Reason, Spliced)
		})
	}
}

// Guards against losing a sound body that ends with the start of a status line, of a target that has sent no copy before, in one
// piece or with that end in a piece of its own.
func TestSoundBodyEndsLikeStatusLine(t *testing.T) {
	const (
		earlier = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nId: r0\r\n\r\nbody"
		head    = "HTTP/1.1 200 OK\r\nId: r1\r\nContent-Length: 90\r\n\r\n"
		line    = "HTTP/1.1 "
	)
	for n := 1; n <= len(line); n++ {
		text, end := head+strings.Repeat("x", 90-n), line[:n]
		for name, pieces := range map[string][]string{"one piece": {text + end}, "two pieces": {text, end}} {
			t.Run(fmt.Sprint(n, " bytes in ", name), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				res, err := piecesTest(t, earlier, pieces[0], 5*time.Millisecond, pieces[1:])
				is.NoErr(err)
				is.True(strings.HasSuffix(string(res.Body), "x"+end))
			})
		}
	}
}
