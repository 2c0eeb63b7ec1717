package client

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"

	"github.com/dghubble/sling"
	"github.com/matryer/is"
)

// rawHost answers each request with the text and closes the connection. It returns its address and the number of requests.
func rawHost(t *testing.T, text string) (netip.AddrPort, *atomic.Int64) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	var calls atomic.Int64
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				calls.Add(1)
				_, _ = io.WriteString(conn, text)
			}
			conn.Close()
		}
	}()
	return netip.MustParseAddrPort(listener.Addr().String()), &calls
}

// Guards against a call that counts as done although the answer has a status that says nothing of the kind, and against not
// asking the next host then.
func TestStatusThatIsNoOutcome(t *testing.T) {
	for _, status := range []string{"000 OK", "042 OK", "099 OK", "101 Switching Protocols", "199 OK", "300 OK", "304 Not Modified"} {
		t.Run(status, func(t *testing.T) {
			is := is.New(t)
			address, calls := rawHost(t, "HTTP/1.1 "+status+"\r\nContent-Length: 2\r\n\r\n{}")
			c := &Client{Addresses: []netip.AddrPort{address}}
			is.True(c.Leave(t.Context(), "t1", "1") != nil)
			var out map[string]string
			is.True(c.Do(t.Context(), func(s *sling.Sling) *sling.Sling { return s.Get("/") }, &out) != nil)
			once := Call{Build: func(s *sling.Sling) *sling.Sling { return s.Post("/") }}
			is.True(c.Send(t.Context(), once) != nil)
			is.True(calls.Load() > 0)
			next := newHost(t, accept)
			c.Addresses = append(c.Addresses, next.address)
			is.True(c.Send(t.Context(), once) != nil) // it may have run
			is.Equal(next.calls.Load(), int64(0))
			is.NoErr(c.Leave(t.Context(), "t1", "1"))
			is.Equal(next.calls.Load(), int64(1))
		})
	}
}

// Guards against a value that is not the one of the host, because the head of the answer is broken.
func TestBrokenAnswers(t *testing.T) {
	const (
		ok     = "HTTP/1.1 200 OK\r\n"
		body   = `{"name":"value"}`
		chunks = "10\r\n" + body + "\r\n0\r\n\r\n"
	)
	for name, text := range map[string]string{
		"blank in the name of the coding":         ok + "Transfer Encoding: chunked\r\n\r\n" + chunks,
		"blank behind the name of the coding":     ok + "Transfer-Encoding : chunked\r\n\r\n" + chunks,
		"coding in HTTP/1.0":                      "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks,
		"unknown coding":                          ok + "Transfer-Encoding: chunkee\r\n\r\n" + chunks,
		"length that is too short":                ok + "Content-Length: 9\r\n\r\n" + body,
		"length that is too long":                 ok + "Content-Length: 17\r\n\r\n" + body,
		"length of nothing":                       ok + "Content-Length: 0\r\n\r\n" + body,
		"length of nothing, no body":              ok + "Content-Length: 0\r\n\r\n",
		"another name of the length, ends early":  ok + "Content-Lengtg: 16\r\n\r\n" + body[:9],
		"another name of the coding, ends early":  ok + "Transfer-Encodinf: chunked\r\n\r\n10\r\n" + body[:9],
		"until the close, ends early":             ok + "Connection: close\r\n\r\n" + body[:9],
		"two lengths":                             ok + "Content-Length: 9\r\nContent-Length: 16\r\n\r\n" + body,
		"line feed alone between two lengths":     ok + "Content-Length: 9\nContent-Length: 16\r\n\r\n" + body,
		"line feed alone between length and more": ok + "Content-Length: 9\nX: 1\r\n\r\n" + body,
		"control byte in a name":                  ok + "X\x01: 1\r\nContent-Length: 16\r\n\r\n" + body,
		"no colon":                                ok + "X\r\nContent-Length: 16\r\n\r\n" + body,
		"no body":                                 ok + "\r\n",
		"other bytes":                             "\x00\xff\x17\r\n\r\n" + body,
	} {
		t.Run(name, func(t *testing.T) {
			address, calls := rawHost(t, text)
			c := &Client{Addresses: []netip.AddrPort{address}}
			var out map[string]string
			err := c.Do(t.Context(), func(s *sling.Sling) *sling.Sling { return s.Get("/") }, &out)
			is := is.New(t)
			is.True(err != nil || out["name"] == "value")
			is.True(calls.Load() > 0)
		})
	}
}
