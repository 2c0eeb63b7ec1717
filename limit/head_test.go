package limit

import (
	"bufio"
	"bytes"
	"net/http"
	"reflect"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against heads that are taken for complete and valid although net/http rejects them or
// reads another length, and against valid ones of the common form that take the slow path.
func TestParseHead(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	tests := []struct {
		name, text string
		want       bool
	}{
		{"common", ok + "X-Id: 1\r\nContent-Length: 12\r\n\r\n", true},
		{"no reason", "HTTP/1.1 503\r\ncontent-length:0\r\n\r\n", true},
		{"closing", ok + "Connection: x, Close\r\nContent-Length: 2\r\n\r\n", true},
		{"interim", "HTTP/1.1 103 Early Hints\r\nContent-Length: 2\r\n\r\n", false},
		{"without a body", "HTTP/1.1 204 No Content\r\nContent-Length: 2\r\n\r\n", false},
		{"other version", "HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\n", false},
		{"no length", ok + "X-Id: 1\r\n\r\n", false},
		{"two lengths", ok + "Content-Length: 2\r\nContent-Length: 3\r\n\r\n", false},
		{"list of lengths", ok + "Content-Length: 2, 2\r\n\r\n", false},
		{"signed length", ok + "Content-Length: +2\r\n\r\n", false},
		{"huge length", ok + "Content-Length: 99999999999999999999\r\n\r\n", false},
		{"chunked", ok + "Transfer-Encoding: chunked\r\nContent-Length: 2\r\n\r\n", false},
		{"folded line", ok + "Content-Length: 2\r\n X: 1\r\n\r\n", false},
		{"space before the colon", ok + "Content-Length : 2\r\n\r\n", false},
		{"bare line feed", ok + "X: 1\nContent-Length: 9\r\nContent-Length: 2\r\n\r\n", false},
		{"control character", ok + "X: \x00\r\nContent-Length: 2\r\n\r\n", false},
		{"not HTTP", "ok\r\n\r\n", false},
		{"empty", "\r\n\r\n", false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, got := parseHead([]byte(tt.text))
			is.New(t).Equal(got, tt.want)
			checkHead(t, []byte(tt.text))
		})
	}
}

// checkHead fails if parseHead accepts the head and net/http rejects or understands it otherwise.
func checkHead(t *testing.T, text []byte) {
	is := is.New(t)
	h, ok := parseHead(text)
	if !ok {
		return
	}
	res, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(text)), &http.Request{Method: http.MethodGet})
	is.NoErr(err)
	defer res.Body.Close()
	is.Equal(h.status, res.StatusCode)
	is.Equal(h.length, res.ContentLength)
	is.True(h.close || !res.Close) // closing a connection that could be kept is safe
	for name, values := range res.Header {
		is.Equal(h.header.Get(name), values[0])
	}
	fields := h.header.Fields()
	for _, name := range []string{"Connection", "Content-Length"} { // net/http handles these
		fields.Del(name)
		res.Header.Del(name)
	}
	is.True(reflect.DeepEqual(fields, res.Header))
}

// Guards against heads that this package and net/http understand differently: a reply could be
// taken for another one, or its end missed.
func FuzzParseHead(f *testing.F) {
	f.Add("200 OK", "X-Id: 1\r\nContent-Length: 12\r\nKeep-Alive: timeout=3")
	f.Add("503", "Connection: close\r\nContent-Length:\t0 ")
	f.Add("200 ", "Content-Length: 1\r\ncontent-length: 1")
	f.Fuzz(func(t *testing.T, status, fields string) {
		text := "HTTP/1.1 " + status + "\r\n" + fields + "\r\n\r\n"
		if end := strings.Index(text, "\r\n\r\n"); end >= 0 {
			text = text[:end+4]
		}
		checkHead(t, []byte(text))
	})
}
