package limit

import (
	"bufio"
	"bytes"
	"errors"
	"net/http"
	"reflect"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against heads that are taken for valid although they break the grammar of HTTP, against lengths that net/http reads
// otherwise, and against rejecting valid heads in an unusual form.
func TestParseHead(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	tests := []struct {
		name, text string
		want       bool
	}{
		{"common", ok + "X-Id: 1\r\nContent-Length: 12\r\n\r\n", true},
		{"no reason", "HTTP/1.1 503\r\ncontent-length:0\r\n\r\n", true},
		{"empty reason", "HTTP/1.1 503 \r\ncontent-length:0\r\n\r\n", true},
		{"closing", ok + "Connection: x, Close\r\nContent-Length: 2\r\n\r\n", true},
		{"interim", "HTTP/1.1 103 Early Hints\r\nContent-Length: 2\r\n\r\n", true},
		{"without a body", "HTTP/1.1 204 No Content\r\nContent-Length: 2\r\n\r\n", true},
		{"other version", "HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\n", true},
		{"other version, kept open", "HTTP/1.0 200 OK\r\nConnection: Keep-Alive\r\nContent-Length: 2\r\n\r\n", true},
		{"no fields", ok + "\r\n", true},
		{"no length", ok + "X-Id: 1\r\n\r\n", true},
		{"empty value", ok + "X:\r\nY: \t \r\n\r\n", true},
		{"odd bytes in a name", ok + "!#$%&'*+-.^_`|~1aZ: 1\r\n\r\n", true},
		{"tabs, and bytes beyond ASCII, in a value", ok + "X:\t a\t\xe9\xff \t\r\n\r\n", true},
		{"bytes beyond ASCII in the reason", "HTTP/1.1 200 \xe9t\xe9\r\n\r\n", true},
		{"length with zeros", ok + "Content-Length: 0000000000000000000000012\r\n\r\n", true},
		{"the same length twice", ok + "Content-Length: 2\r\ncontent-length:2\t\r\n\r\n", true},
		{"chunked", ok + "Transfer-Encoding: Chunked\r\n\r\n", true},
		{"two lengths", ok + "Content-Length: 2\r\nContent-Length: 3\r\n\r\n", false},
		{"list of lengths", ok + "Content-Length: 2, 2\r\n\r\n", false},
		{"signed length", ok + "Content-Length: +2\r\n\r\n", false},
		{"empty length", ok + "Content-Length: \r\n\r\n", false},
		{"huge length", ok + "Content-Length: 99999999999999999999\r\n\r\n", false},
		{"length beyond 63 bits", ok + "Content-Length: 9223372036854775808\r\n\r\n", false},
		{"chunked twice", ok + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n", false},
		{"another coding", ok + "Transfer-Encoding: identity\r\n\r\n", false},
		{"chunked, with a length", ok + "Transfer-Encoding: chunked\r\nContent-Length: 2\r\n\r\n", false},
		{"with a length, chunked", ok + "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n", false},
		{"chunked in HTTP/1.0", "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", false},
		{"folded line", ok + "Content-Length: 2\r\n X: 1\r\n\r\n", false},
		{"space before the colon", ok + "Content-Length : 2\r\n\r\n", false},
		{"space in a name", ok + "X Y: 2\r\n\r\n", false},
		{"no name", ok + ": 2\r\n\r\n", false},
		{"no colon", ok + "X\r\n\r\n", false},
		{"bare line feed", ok + "X: 1\nContent-Length: 9\r\nContent-Length: 2\r\n\r\n", false},
		{"bare line feed at the end", ok + "X: 1\n\r\n\r\n", false},
		{"bare carriage return", ok + "X: 1\rY: 2\r\n\r\n", false},
		{"control character", ok + "X: \x00\r\nContent-Length: 2\r\n\r\n", false},
		{"control character in the reason", "HTTP/1.1 200 \x7f\r\n\r\n", false},
		{"status below those of HTTP", "HTTP/1.1 099 OK\r\n\r\n", false},
		{"status beyond those of HTTP", "HTTP/1.1 600 OK\r\n\r\n", false},
		{"two spaces before the status", "HTTP/1.1  200 OK\r\n\r\n", false},
		{"unknown version", "HTTP/1.2 200 OK\r\n\r\n", false},
		{"version 2", "HTTP/2.0 200 OK\r\n\r\n", false},
		{"not HTTP", "ok\r\n\r\n", false},
		{"empty", "\r\n\r\n", false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			h, err := parseHead([]byte(tt.text))
			is.Equal(err == nil, tt.want)
			is.True(!errors.Is(err, errHeadCut))
			is.True(err != nil || h.size == len(tt.text))
			checkHead(t, []byte(tt.text))
			for n := range tt.text { // a valid head may come in any pieces
				_, err := parseHead([]byte(tt.text[:n]))
				is.True(err != nil)
				is.True(!tt.want || errors.Is(err, errHeadCut))
			}
		})
	}
}

// checkHead fails if parseHead accepts the head and net/http rejects or understands it otherwise.
func checkHead(t *testing.T, text []byte) {
	is := is.New(t)
	h, err := parseHead(text)
	if err != nil {
		return
	}
	res, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(text)), headRequest)
	is.NoErr(err)
	defer res.Body.Close()
	is.Equal(h.status, res.StatusCode)
	is.Equal(h.line, res.Proto+" "+res.Status)
	is.Equal(h.length, res.ContentLength)
	is.Equal(h.chunked, len(res.TransferEncoding) > 0)
	is.True(h.close || !res.Close) // closing a connection that could be kept is safe
	for name, values := range res.Header {
		is.Equal(h.header.Get(name), values[0])
	}
	fields := h.header.Fields()
	for _, name := range []string{"Connection", "Content-Length", "Transfer-Encoding", "Trailer"} { // net/http handles these
		fields.Del(name)
		res.Header.Del(name)
	}
	is.True(reflect.DeepEqual(fields, res.Header))
}

// headRequest makes net/http parse a head without regard to the body that follows it.
var headRequest = &http.Request{Method: http.MethodHead}

// Guards against heads that this package and net/http understand differently: a reply could be
// taken for another one, or its end missed.
func FuzzParseHead(f *testing.F) {
	f.Add("200 OK", "X-Id: 1\r\nContent-Length: 12\r\nKeep-Alive: timeout=3")
	f.Add("503", "Connection: close\r\nContent-Length:\t0 ")
	f.Add("200 ", "Content-Length: 1\r\ncontent-length: 1")
	f.Add("200 OK", "Transfer-Encoding: chunked\r\nTrailer: X")
	f.Add("200 OK", "X : 1\nContent-Length: 1\r\n Y: 2")
	f.Fuzz(func(t *testing.T, status, fields string) {
		text := "HTTP/1.1 " + status + "\r\n" + fields + "\r\n\r\n"
		if end := strings.Index(text, "\r\n\r\n"); end >= 0 {
			text = text[:end+4]
		}
		checkHead(t, []byte(text))
	})
}
