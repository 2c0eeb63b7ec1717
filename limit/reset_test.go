package limit

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabirelay/control"
)

// heldConn reads only once ready is closed.
type heldConn struct {
	*net.TCPConn
	ready <-chan struct{}
}

func (c *heldConn) Read(b []byte) (int, error) {
	<-c.ready
	return c.TCPConn.Read(b)
}

// resettingTarget answers the first request with earlier, and the second one with late and, after a pause, a reset.
type resettingTarget struct {
	earlier, late string
	pause         time.Duration
	// finish ends the connection regularly in place of the reset.
	finish bool
	// answered is closed once the host may read the replies.
	answered chan struct{}
}

func (r *resettingTarget) serve(l net.Listener) {
	conn, err := l.Accept()
	if err != nil {
		return
	}
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for i, text := range []string{r.earlier, r.late} {
		if _, err := http.ReadRequest(reader); err != nil {
			return
		}
		_, _ = io.WriteString(conn, text)
		if i == 0 {
			close(r.answered)
		}
	}
	time.Sleep(r.pause)
	if !r.finish {
		_ = conn.(*net.TCPConn).SetLinger(0)
	}
}

// Guards against a body without a length that passes as complete although its connection was reset: a check for bytes behind a
// late copy received the reset, which the kernel reports only once.
func TestResetBehindLateCopy(t *testing.T) {
	const (
		fields = "\r\nId: r0\r\nContent-Length: 8\r\n\r\n"
		broken = "HTTP/1.1 200 OK\r\nId: r1\r\nConnection: close\r\n\r\nhalf"
	)
	for _, tt := range []struct {
		name, body string
		pause      time.Duration
		finish     bool
	}{
		{name: "seen while looking for bytes behind the copy", body: "1234567H"},
		{name: "seen while waiting for bytes behind the copy", body: "12HTTP/1", pause: cutWait / 5},
		{name: "regular end", body: "1234567H", finish: true},
		{name: "regular end while waiting for bytes behind the copy", body: "12HTTP/1", pause: cutWait / 5, finish: true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			earlier := "HTTP/1.1 200 OK" + fields + tt.body
			l, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer l.Close()
			target := &resettingTarget{earlier: earlier, late: earlier + broken, pause: tt.pause, finish: tt.finish, answered: make(chan struct{})}
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				target.serve(l)
			}()
			var held *heldConn
			p := &Pool{AllowUnframed: true, Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
				conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
				if err != nil {
					return nil, err
				}
				held = &heldConn{TCPConn: conn.(*net.TCPConn), ready: target.answered}
				return held, nil
			}}
			p.ReplyID = func(res *Response) string { return res.Header.Get("Id") }
			defer p.Close()
			p.SetShares(map[string]Share{"t0": {Incarnation: "1", Address: netip.MustParseAddrPort(l.Addr().String()), Connections: 1}})
			send := func(id string) (*Response, error) {
				permit, err := p.Acquire(t.Context(), &control.Target{Name: "t0", Incarnation: "1"})
				is.NoErr(err)
				defer permit.Release(Failed)
				req, _ := http.NewRequest(http.MethodGet, "http://t0/", nil)
				return p.Send(t.Context(), permit, &EncodedRequest{Request: req, Bytes: []byte("GET / HTTP/1.1\r\nHost: t0\r\nId: " + id + "\r\n\r\n"), ID: id}, nil)
			}
			_, err = send("r0")
			is.NoErr(err)
			if tt.pause == 0 {
				held.ready = ended
			}
			res, err := send("r1")
			if tt.finish {
				is.NoErr(err)
				is.Equal(string(res.Body), "half")
				return
			}
			is.True(err != nil) // a body that a reset has cut off must not pass as the whole one
			is.True(errors.Is(err, syscall.ECONNRESET))
		})
	}
}
