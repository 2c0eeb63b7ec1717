package limit

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// readBuffer is the size of a connection's read buffer in bytes. The header of a
// reply must fit into it.
const readBuffer = 8 << 10

var (
	headerEnd = []byte("\r\n\r\n")
	// past is a deadline that interrupts blocked reads and writes.
	past = time.Unix(1, 0)
)

// countingConn counts the bytes that the network has taken.
type countingConn struct {
	net.Conn
	wrote int64
}

// Write counts the written bytes.
func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.wrote += int64(n)
	return n, err
}

// connection is an HTTP/1.1 connection that carries one sub-request at a time.
type connection struct {
	raw    *countingConn
	conn   net.Conn // raw, or TLS over raw
	reader *bufio.Reader
	// interrupted receives a value once an interruption is complete.
	interrupted chan struct{}
	// response is the reply whose header was read last.
	response *http.Response
	// last states that the reply ends the connection.
	last bool
	// expires is when the target closes the connection if it stays idle; zero if the
	// target did not say.
	expires time.Time
}

func newConnection(raw *countingConn, conn net.Conn) *connection {
	return &connection{
		raw: raw, conn: conn,
		reader:      bufio.NewReaderSize(conn, readBuffer),
		interrupted: make(chan struct{}, 1),
	}
}

func (c *connection) close() {
	c.conn.Close()
}

// expired reports whether the target is about to close the idle connection.
func (c *connection) expired() bool { return !c.expires.IsZero() && time.Now().After(c.expires) }

// usable reports whether the target has neither closed the idle connection nor sent
// anything on it. Without this check, the first sub-requests after a restart of the
// target would be lost although they can be sent safely on a new connection.
func (c *connection) usable() bool {
	if c.last || c.reader.Buffered() > 0 || c.expired() {
		return false
	}
	sc, ok := c.raw.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	rc, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = rc.Read(func(fd uintptr) bool {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case n > 0:
			open = c.conn != net.Conn(c.raw) // TLS may send session tickets at any time
		case err != nil:
			open = errors.Is(err, syscall.EAGAIN)
		}
		return true
	})
	return err == nil && open
}

// watch interrupts reads and writes when ctx ends, until stop is called. Stop
// reports whether there was an interruption; the connection is usable after it.
func (c *connection) watch(ctx context.Context) (stop func() bool) {
	unregister := context.AfterFunc(ctx, func() {
		_ = c.conn.SetDeadline(past) // fails only if the connection is closed
		c.interrupted <- struct{}{}
	})
	return func() bool {
		if unregister() {
			return false
		}
		<-c.interrupted
		_ = c.conn.SetDeadline(time.Time{}) // fails only if the connection is closed
		return true
	}
}

// head reads the status line and the header of the reply. It blocks only while
// nothing has been consumed, so it can be called again after an interruption.
func (c *connection) head(req *http.Request) error {
	for {
		if err := c.awaitHead(); err != nil {
			return err
		}
		var err error
		c.response, err = http.ReadResponse(c.reader, req) //nolint:bodyclose // see body
		if err != nil {
			return &ReplyError{Reason: Malformed, Err: err}
		}
		switch code := c.response.StatusCode; {
		case code == http.StatusSwitchingProtocols:
			return &ReplyError{Reason: Malformed, Err: errors.New("the protocol was switched without a request to do so")}
		case code >= http.StatusOK:
			c.last = c.response.Close
			c.noteKeepAlive()
			return nil
		}
	}
}

// idleMargin is how long before the target closes an idle connection it is no
// longer used: a request takes some of it to arrive.
const idleMargin = 500 * time.Millisecond

// noteKeepAlive notes when the target closes the connection if it stays idle.
func (c *connection) noteKeepAlive() {
	_, text, ok := strings.Cut(c.response.Header.Get("Keep-Alive"), "timeout=")
	if !ok {
		return
	}
	text, _, _ = strings.Cut(text, ",")
	seconds, err := strconv.Atoi(strings.TrimSpace(text))
	if err != nil || seconds < 0 {
		return // a header that can't be read promises nothing
	}
	c.expires = time.Now().Add(max(0, time.Duration(seconds)*time.Second-idleMargin))
}

// awaitHead waits until a whole header is in the buffer.
func (c *connection) awaitHead() error {
	for n := 1; ; n = c.reader.Buffered() + 1 {
		_, err := c.reader.Peek(n)
		if errors.Is(err, bufio.ErrBufferFull) {
			return &ReplyError{Reason: Malformed, Err: errors.New("the header is too large")}
		}
		if err != nil {
			return err
		}
		text, _ := c.reader.Peek(c.reader.Buffered())
		if bytes.Contains(text, headerEnd) {
			return nil
		}
	}
}

// body reads the whole body of the reply. It does not close the body: that would
// read on after an error, and the connection is closed then.
func (c *connection) body(limit int64, unframed bool) ([]byte, error) {
	res := c.response
	if res.ContentLength > limit {
		return nil, &ReplyError{Reason: TooLarge}
	}
	if res.ContentLength >= 0 {
		body := make([]byte, res.ContentLength)
		if _, err := io.ReadFull(res.Body, body); err != nil {
			return nil, &ReplyError{Reason: CutShort, Err: err}
		}
		return body, nil
	}
	if len(res.TransferEncoding) == 0 && !unframed {
		// The end of the connection is the end of the body: a cut would not show.
		return nil, &ReplyError{Reason: NoLength}
	}
	body, err := io.ReadAll(io.LimitReader(res.Body, limit+1))
	if err != nil {
		return nil, &ReplyError{Reason: CutShort, Err: err}
	}
	if int64(len(body)) > limit {
		return nil, &ReplyError{Reason: TooLarge}
	}
	return body, nil
}

// buffered reports whether reading the body would not block.
func (c *connection) buffered() bool {
	n := c.response.ContentLength
	return n >= 0 && n <= int64(c.reader.Buffered())
}
