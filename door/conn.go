package door

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// Reason says why a caller was refused or its connection closed.
type Reason string

// Values of Reason.
const (
	// Memory means that requests hold all the memory that they may hold together.
	Memory Reason = "memory"
	// Connections means that there are too many connections.
	Connections Reason = "connections"
	// Header means that the header of a request is too large.
	Header Reason = "header"
	// SlowHeader, SlowBody and SlowReader mean that a caller sends a header or a body, or reads an answer, too slowly.
	SlowHeader Reason = "slow header"
	SlowBody   Reason = "slow body"
	SlowReader Reason = "slow reader"
)

// status returns the status of the refusal. 503 and 408 promise that the request has not run.
func (r Reason) status() int {
	switch r {
	case Header:
		return http.StatusRequestHeaderFieldsTooLarge
	case SlowHeader, SlowBody:
		return http.StatusRequestTimeout
	}
	return http.StatusServiceUnavailable
}

// RefusedError is the error of reads from a caller that is refused.
type RefusedError struct{ Reason Reason }

func (e *RefusedError) Error() string { return "the caller is refused: " + string(e.Reason) }

// Status returns the status of the answer that the caller gets.
func (e *RefusedError) Status() int { return e.Reason.status() }

// RetryAfter is the delay after which a refused caller may come back.
const RetryAfter = time.Second

const (
	// fieldMemory is the memory of a header field beside its bytes: its entries in the headers of the request and of the
	// copy that is sent on. A field may have four bytes.
	fieldMemory = 256
	// byteMemory is the memory of a byte of a request: the buffers that it is read into grow by doubling.
	byteMemory = 2
	// headerMargin is what is read beyond the limit of a header before the caller is refused: one buffer of net/http,
	// which may hold the beginning of the body, and the margin of net/http.
	headerMargin = 8 << 10
	// refusalTimeout bounds the write of a refusal.
	refusalTimeout = 100 * time.Millisecond
	// writePiece is the number of bytes of an answer after which its progress is recorded.
	writePiece = 16 << 10
)

// Phases of a connection.
const (
	// receiving means that the connection is idle or that a header is received.
	receiving int32 = iota
	// serving means that the handler of a request runs, or that what it left of the body is read.
	serving
)

// Conn is a connection of a caller.
type Conn struct {
	*net.TCPConn

	door   *Door
	name   string
	limits func() Limits

	phase            atomic.Int32
	reading, writing atomic.Bool
	// moved counts the bytes that were read and written, header those of the header that is received.
	moved, header atomic.Int64
	// held is the memory that the account has for this connection.
	held    atomic.Int64
	refusal atomic.Pointer[RefusedError]
	// told is true once the refusal has been written.
	told atomic.Bool
	gone atomic.Bool

	// The fields below belong to the sweep and are guarded by door.mu. seen is moved at the last sweep, still the number
	// of sweeps since it has changed, headerSweeps the number of sweeps since the header has begun; bodySweeps
	// counts those while a body is awaited, bodyStart is moved at the first of them.
	seen         int64
	still        int
	headerSweeps int
	bodySweeps   int
	bodyStart    int64
	// closing is true once net/http has closed the connection of a refused caller.
	closing bool
}

// isStalled reports whether the caller sends a request, or reads an answer, and has made no progress lately. The
// caller of isStalled holds door.mu.
func (c *Conn) isStalled() bool {
	if c.still == 0 || c.refusal.Load() != nil {
		return false
	}
	if c.writing.Load() {
		return c.still > stalledReader
	}
	return c.reading.Load() && (c.phase.Load() == serving || c.header.Load() > 0)
}

// isIdle reports whether the connection waits for a request. The caller of isIdle holds door.mu.
func (c *Conn) isIdle() bool {
	return c.still > 0 && c.refusal.Load() == nil && c.reading.Load() && c.phase.Load() == receiving
}

// Read reads from the caller and charges what was read. Its error is a *RefusedError, wrapped in a *net.OpError, if the
// caller is refused.
func (c *Conn) Read(b []byte) (int, error) {
	if len(b) == 1 { // net/http waits for the end of the connection while a handler runs
		return c.TCPConn.Read(b)
	}
	if refused := c.refusal.Load(); refused != nil {
		return 0, c.tell(refused)
	}
	c.reading.Store(true)
	n, err := c.TCPConn.Read(b)
	c.reading.Store(false)
	if refused := c.refusal.Load(); refused != nil {
		return 0, c.tell(refused)
	}
	if n == 0 {
		return 0, err
	}
	c.moved.Add(int64(n))
	if reason, ok := c.charge(b[:n]); !ok {
		c.refuse(reason)
		c.door.record(reason, c.name)
		return 0, c.tell(c.refusal.Load())
	}
	return n, err
}

// charge takes the memory for bytes that were read.
func (c *Conn) charge(b []byte) (Reason, bool) {
	cost := int64(len(b)) * byteMemory
	if c.phase.Load() == receiving {
		if limit := c.limits().HeaderBytes; c.header.Add(int64(len(b))) > int64(limit)+headerMargin {
			return Header, false
		}
		cost += int64(bytes.Count(b, []byte{'\n'})) * fieldMemory
	}
	return Memory, c.door.reserve(c, cost)
}

// refuse makes all further reads fail, also one that waits.
func (c *Conn) refuse(reason Reason) {
	c.refusal.CompareAndSwap(nil, &RefusedError{reason})
	_ = c.TCPConn.SetReadDeadline(time.Unix(1, 0)) // it fails if the connection is closed
}

// tell writes the refusal, unless a handler does so, and returns it as the error of a read.
func (c *Conn) tell(refused *RefusedError) error {
	if c.phase.Load() == receiving && c.header.Load() > 0 && !c.told.Swap(true) {
		if c.SetWriteDeadline(time.Now().Add(refusalTimeout)) == nil {
			_, _ = fmt.Fprintf(c.TCPConn, "HTTP/1.1 %d %s\r\nRetry-After: %d\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
				refused.Status(), http.StatusText(refused.Status()), RetryAfter/time.Second) // the caller may have left
		}
	}
	// After another kind of error, net/http would answer with 400.
	return &net.OpError{Op: "read", Net: "tcp", Err: refused}
}

// SetReadDeadline sets the deadline of reads. It has no effect once the caller is refused.
func (c *Conn) SetReadDeadline(t time.Time) error {
	err := c.TCPConn.SetReadDeadline(t)
	if c.refusal.Load() != nil {
		return c.TCPConn.SetReadDeadline(time.Unix(1, 0))
	}
	return err
}

// Write writes a part of an answer. A large one counts until its caller has taken it.
func (c *Conn) Write(b []byte) (written int, err error) {
	c.writing.Store(true)
	defer c.writing.Store(false)
	if len(b) > writePiece {
		c.door.reserveAnswer(c, int64(len(b)))
	}
	for len(b) > 0 && err == nil {
		var n int
		n, err = c.TCPConn.Write(b[:min(len(b), writePiece)])
		c.moved.Add(int64(n))
		written += n
		b = b[n:]
	}
	return written, err
}

// drop closes the connection at once.
func (c *Conn) drop() {
	c.gone.Store(true)
	_ = c.TCPConn.Close() // it fails if the connection is closed
}

// Close closes the connection. If its caller is refused, it is closed a little later, because unread bytes would end it
// before the caller has got the refusal.
func (c *Conn) Close() error {
	if c.door.remove(c) {
		return c.CloseWrite()
	}
	return c.TCPConn.Close()
}
