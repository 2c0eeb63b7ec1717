package limit

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// readBufferSize is the size of a connection's read buffer in bytes. The header of a reply
// must fit into it.
const readBufferSize = 8 << 10

// maxInterim is the maximum number of interim (1xx) replies before a reply. A target that sends more
// would keep the sub-request busy without end.
const maxInterim = 8

// maxStatusLines is the number of different status lines that a connection remembers.
const maxStatusLines = 4

var (
	headerEnd = []byte("\r\n\r\n")
	// interruptDeadline is a deadline in the past, which interrupts blocked reads and writes.
	interruptDeadline = time.Unix(1, 0)
)

// targetConn counts the bytes that were written to the network, and keeps the error that ended reading. The kernel
// reports a reset only once: whatever reads next would get io.EOF, the regular end of a body without a length.
type targetConn struct {
	net.Conn
	written int64
	// readErr is the error that ended reading; all later reads return it.
	readErr error
	// filled is true if the latest read got as many bytes as it asked for: more may have arrived.
	filled bool
	// pause is the longest time that a read has taken since it was reset.
	pause time.Duration
}

// Read reads bytes. A timeout doesn't end reading.
func (c *targetConn) Read(b []byte) (int, error) {
	if c.readErr != nil {
		return 0, c.readErr
	}
	started := time.Now()
	n, err := c.Conn.Read(b)
	c.filled, c.pause = n == len(b), max(c.pause, time.Since(started))
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		c.readErr = err
	}
	return n, err
}

// Write writes the bytes and counts those that were written.
func (c *targetConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.written += int64(n)
	return n, err
}

// connection is an HTTP/1.1 connection that carries one sub-request at a time.
type connection struct {
	raw  *targetConn
	conn net.Conn // raw, or TLS over raw
	// address is that of the target.
	address netip.AddrPort
	// socket is the socket of raw; nil if it can't be read directly, because of socketErr or
	// because raw has none.
	socket    syscall.RawConn
	socketErr error
	reader    *bufio.Reader
	// interrupted receives a value once an interruption is complete.
	interrupted chan struct{}
	// interruption is the method interrupt.
	interruption func()
	// head is that of the reply that is being read; readBody reads its body.
	head head
	// piece is the index in the body of that reply from which on it has arrived after the rest; negative if all of it has
	// arrived with the head.
	piece int
	// record is what replies of the target have shown; nil if nothing notes it.
	record *record
	// emptied is true if the latest reply was an empty success, which the next bytes on the connection may prove false.
	emptied bool
	// late is true if that reply is a late copy of an earlier one, bodiless if it has no body.
	late, bodiless bool
	// sent holds the IDs and methods of the sub-requests that the connection has carried, current is the latest ID.
	sent    sentIDs
	current uint64
	// repeatable holds the contents of those that it may carry again.
	repeatable sentIDs
	// lines holds the latest different status lines of replies, next the place of the next one.
	lines [maxStatusLines]string
	next  int
	// replyID is Pool.ReplyID, isReply is Pool.IsReply.
	replyID func(*Response) string
	isReply func(*Response) bool
	// closing is true if the connection closes after the reply.
	closing bool
	// expires is when the target closes the connection if it stays idle; zero if the target
	// did not announce it.
	expires time.Time
}

func newConnection(raw *targetConn, conn net.Conn, address netip.AddrPort) *connection {
	c := &connection{
		raw: raw, conn: conn, address: address,
		reader:      bufio.NewReaderSize(conn, readBufferSize),
		interrupted: make(chan struct{}, 1),
	}
	c.interruption = c.interrupt
	if s, ok := raw.Conn.(syscall.Conn); ok {
		c.socket, c.socketErr = s.SyscallConn()
	}
	return c
}

func (c *connection) close() {
	c.conn.Close()
}

// hasCopies reports whether the target has sent a copy of a reply.
func (c *connection) hasCopies() bool { return c.record != nil && c.record.copies.Load() }

// expired reports whether the target is about to close the idle connection.
func (c *connection) expired() bool { return !c.expires.IsZero() && time.Now().After(c.expires) }

// usable reports whether the idle connection is still open and the target has sent nothing on
// it. Without this check, the first sub-requests after a restart of the target would be lost
// although they can be sent safely on a new connection.
func (c *connection) usable() bool {
	if c.closing || c.reader.Buffered() > 0 || c.expired() {
		return false
	}
	if c.socket == nil {
		return c.socketErr == nil
	}
	pending, err := c.peek()
	switch {
	case !pending:
		return errors.Is(err, syscall.EAGAIN)
	case c.conn != net.Conn(c.raw):
		return true // TLS may send session tickets at any time
	}
	c.checkEmptied()
	return false
}

// peek reports whether bytes have arrived in the socket that are not in the buffer yet. Otherwise the error is EAGAIN
// if the connection is open, and nil or another one if it is not. Later reads return another one as well.
func (c *connection) peek() (pending bool, err error) {
	var read error
	err = c.socket.Read(func(fd uintptr) bool {
		var b [1]byte
		n, _, e := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		pending, read = n > 0, e
		return true
	})
	if err != nil {
		return false, err
	}
	if read != nil && !errors.Is(read, syscall.EAGAIN) {
		c.raw.readErr = os.NewSyscallError("recvfrom", read)
	}
	return pending, read
}

// Watcher is a context that calls at most one function when it ends. Send uses it in place of
// context.AfterFunc if the context of a sub-request implements it.
type Watcher interface {
	// Watch makes the context call the function in its own goroutine when it ends, or at once if
	// it has ended.
	Watch(func())
	// Unwatch reports whether it has prevented the call.
	Unwatch() bool
}

// watch is the interruption of a connection when a context ends.
type watch struct {
	c          *connection
	watcher    Watcher
	unregister func() bool
}

// watch interrupts reads and writes when ctx ends, until the watch is stopped.
func (c *connection) watch(ctx context.Context) watch {
	if w, ok := ctx.(Watcher); ok {
		w.Watch(c.interruption)
		return watch{c: c, watcher: w}
	}
	return watch{c: c, unregister: context.AfterFunc(ctx, c.interruption)}
}

func (c *connection) interrupt() {
	_ = c.conn.SetDeadline(interruptDeadline) // fails only if the connection is closed
	c.interrupted <- struct{}{}
}

// stop ends the watch. It reports whether there was an interruption; the connection can be used
// again after it.
func (w *watch) stop() bool {
	if w.watcher != nil && w.watcher.Unwatch() || w.watcher == nil && w.unregister() {
		return false
	}
	<-w.c.interrupted
	_ = w.c.conn.SetDeadline(time.Time{}) // fails only if the connection is closed
	return true
}

// readHeader reads the status line and the header of the reply. It blocks only while nothing
// has been consumed, so that it can be called again after an interruption.
func (c *connection) readHeader() error {
	for range 1 + maxInterim {
		if err := c.parseBuffered(); err != nil {
			return err
		}
		switch {
		case c.head.status == http.StatusSwitchingProtocols:
			return &ReplyError{Reason: Malformed, Err: errors.New("the protocol was switched without a request to do so")}
		case c.head.status >= http.StatusOK:
			c.noteStatusLine()
			c.closing = c.head.close
			c.noteKeepAlive()
			return nil
		}
	}
	return &ReplyError{Reason: Malformed, Err: errors.New("too many interim replies")}
}

// noteStatusLine remembers the status line of the reply.
func (c *connection) noteStatusLine() {
	if !slices.Contains(c.lines[:], c.head.line) {
		c.lines[c.next] = c.head.line
		c.next = (c.next + 1) % len(c.lines)
	}
}

// parseBuffered waits for the next complete head and consumes it. It returns as soon as the head can't become valid.
func (c *connection) parseBuffered() error {
	for seen := 0; ; {
		text, err := c.buffer(seen)
		if err != nil {
			return err
		}
		if seen == 0 && c.raw != nil {
			c.raw.pause = 0 // the time until the first byte is no pause in the reply
		}
		h, err := parseHead(text)
		if errors.Is(err, errHeadCut) {
			seen = len(text)
			continue
		}
		if end := bytes.Index(text, headerEnd); end >= 0 {
			text = text[:end+len(headerEnd)]
		}
		if isHeadSpliced(text) {
			return &ReplyError{Reason: Spliced}
		}
		if err != nil {
			return &ReplyError{Reason: Malformed, Err: err}
		}
		c.head = h
		_, _ = c.reader.Discard(h.size) // can't fail: the head is in the buffer
		return nil
	}
}

// buffer waits until more bytes are in the buffer than have been seen, and returns them all.
func (c *connection) buffer(seen int) ([]byte, error) {
	if _, err := c.reader.Peek(seen + 1); errors.Is(err, bufio.ErrBufferFull) {
		return nil, &ReplyError{Reason: Malformed, Err: errors.New("the header is too large")}
	} else if err != nil {
		return nil, err
	}
	return c.reader.Peek(c.reader.Buffered())
}

// await waits until n bytes are in the buffer, at most for the time. An error that ended reading is returned by the next read, too.
func (c *connection) await(n int, wait time.Duration) error {
	_ = c.conn.SetReadDeadline(time.Now().Add(wait)) // fails only if the connection is closed
	defer func() { _ = c.conn.SetReadDeadline(time.Time{}) }()
	_, err := c.reader.Peek(n)
	return err
}

// idleMargin is how long before its announced expiry an idle connection is no longer used,
// because a request takes some time to arrive.
const idleMargin = 500 * time.Millisecond

// noteKeepAlive records when the target closes the connection if it stays idle.
func (c *connection) noteKeepAlive() {
	_, text, ok := strings.Cut(c.head.header.Get("Keep-Alive"), "timeout=")
	if !ok {
		return
	}
	text, _, _ = strings.Cut(text, ",")
	seconds, err := strconv.Atoi(strings.TrimSpace(text))
	if err != nil || seconds < 0 {
		return // ignore a malformed header
	}
	c.expires = time.Now().Add(max(0, time.Duration(seconds)*time.Second-idleMargin))
}

// expectBody notes whether the reply has a body: that follows from its status, and from whether the method of the
// sub-request that it belongs to is HEAD.
func (c *connection) expectBody(head bool) {
	c.bodiless = head || isBodiless(c.head.status)
	if c.isUnframed() {
		c.closing = true
	}
}

// isAnonymousCopy reports whether the reply, which names no sub-request, may be a copy of an earlier one. It is
// skipped only if all of it has arrived: nothing tells whether the rest ever does.
func (c *connection) isAnonymousCopy() bool {
	return c.sent.several() && !c.closing && c.bodyBuffered()
}

// readBody reads the complete body of the reply.
func (c *connection) readBody(limit int64, unframed bool) ([]byte, error) {
	c.piece = -1
	switch {
	case c.bodiless:
		return nil, nil
	case c.head.length > limit:
		return nil, &ReplyError{Reason: TooLarge}
	case c.head.length >= 0:
		body := make([]byte, c.head.length)
		err := c.readFull(body)
		if errors.Is(err, errSplicedBody) {
			return nil, &ReplyError{Reason: Spliced}
		}
		if err != nil {
			return nil, &ReplyError{Reason: Truncated, Err: err}
		}
		return body, nil
	case c.head.chunked:
		body, err := readUpTo(httputil.NewChunkedReader(c.reader), limit)
		if err != nil {
			return nil, err
		}
		return body, c.readTrailer()
	case !unframed:
		// The body ends with the connection, so a truncated body would not be detected.
		return nil, &ReplyError{Reason: NoLength}
	case !c.head.close:
		// The head has lost the field that says where the body ends, or the target doesn't send one: any part of the body would pass.
		return nil, &ReplyError{Reason: NoLength, Err: errors.New("the head does not say that the connection closes")}
	}
	body, err := readUpTo(c.reader, limit)
	if err == nil && isChunkedMessage(body) {
		return nil, &ReplyError{Reason: Malformed, Err: errors.New("the body is in chunks, which the head does not say")}
	}
	return body, err
}

// isChunkedMessage reports whether the text consists of chunks, the last one included, and a trailer. A body without a
// length that does has lost its Transfer-Encoding: a sound one happens to have this form next to never.
func isChunkedMessage(text []byte) bool {
	if !bytes.HasSuffix(text, headerEnd) {
		return false
	}
	reader := bufio.NewReader(bytes.NewReader(text))
	if _, err := io.Copy(io.Discard, httputil.NewChunkedReader(reader)); err != nil {
		return false
	}
	trailer, _ := io.ReadAll(reader) // can't fail: it is in memory
	_, rest, state := cutFields(trailer)
	return state == fieldsEnded && len(rest) == 0
}

// readUpTo reads a body of at most limit bytes to its end.
func readUpTo(reader io.Reader, limit int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(reader, limit+1))
	if err != nil {
		return nil, &ReplyError{Reason: Truncated, Err: err}
	}
	if int64(len(body)) > limit {
		return nil, &ReplyError{Reason: TooLarge}
	}
	return body, nil
}

// readTrailer reads the fields that follow a chunked body, and the empty line. They are not passed on.
func (c *connection) readTrailer() error {
	for seen := 0; ; {
		text, err := c.buffer(seen)
		if err != nil {
			return &ReplyError{Reason: Truncated, Err: err}
		}
		_, rest, state := cutFields(text)
		switch state {
		case fieldsEnded:
			_, _ = c.reader.Discard(len(text) - len(rest)) // can't fail: the fields are in the buffer
			return nil
		case fieldsBroken:
			return &ReplyError{Reason: Malformed, Err: errors.New("a line behind the last chunk is no field")}
		}
		seen = len(text)
	}
}

// bodyBuffered reports whether reading the body would not block.
func (c *connection) bodyBuffered() bool {
	n := c.head.length
	return c.bodiless || n >= 0 && n <= int64(c.reader.Buffered())
}
