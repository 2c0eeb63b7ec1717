package limit

import (
	"bytes"
	"context"
	"net/http"

	"github.com/pkg/errors"
)

// Response is a complete reply.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// reply is the end of reading a reply.
type reply struct {
	response *Response
	err      error
}

// EncodedRequest is an encoded sub-request.
type EncodedRequest struct {
	// Request tells what replies are valid: its method and header are used.
	Request *http.Request
	// Bytes is the sub-request as it is sent.
	Bytes []byte
}

// Do encodes the request and sends it; see Send. The error is a *LostError.
func (p *Pool) Do(ctx context.Context, permit *Permit, req *http.Request, check func() error) (*Response, error) {
	var b bytes.Buffer
	if err := req.Write(&b); err != nil {
		return nil, &LostError{Err: err}
	}
	return p.Send(ctx, permit, &EncodedRequest{Request: req, Bytes: b.Bytes()}, check)
}

// Send sends the message and reads the whole reply. The URL's host is not used to
// connect: the connection goes to the address of the permit's share. The error is a
// *LostError. If ctx ends while the reply is awaited, the reply is awaited in the
// background and the connection used again, because opening a new one may take
// longer than a query; until then the permit's place stays taken.
//
// check, unless it is nil, runs once the connection is open, directly before the
// first byte is written. If it returns an error, nothing is sent, the connection
// stays open, and the error is a *RefusedError in the *LostError.
func (p *Pool) Send(ctx context.Context, permit *Permit, message *EncodedRequest, check func() error) (*Response, error) {
	if ended(ctx) {
		return nil, &LostError{Err: ctx.Err()}
	}
	c, err := permit.member.take(ctx)
	if err != nil {
		return nil, &LostError{Err: err}
	}
	if check != nil {
		if err := check(); err != nil {
			permit.member.keep(c)
			return nil, &LostError{Err: &RefusedError{Reason: CheckFailed, Err: err}}
		}
	}
	req, before := message.Request, c.raw.wrote
	stop := c.watch(ctx)
	if _, err := c.conn.Write(message.Bytes); err != nil {
		if stop() {
			err = ctx.Err()
		}
		permit.member.discard(c)
		return nil, &LostError{Sent: c.raw.wrote > before, Err: err}
	}
	err = c.head(req)
	interrupted := stop()
	if err != nil {
		return nil, p.headFailed(ctx, permit, c, req, err, interrupted)
	}
	return p.rest(ctx, permit, c, req)
}

// headFailed ends a sub-request whose reply has not begun in time or is unusable.
func (p *Pool) headFailed(ctx context.Context, permit *Permit, c *connection, req *http.Request, err error, interrupted bool) error {
	if interrupted && isTimeout(err) {
		p.drain(permit, c, func() reply { return p.late(c, req) })
		return &LostError{Sent: true, Err: ctx.Err()}
	}
	permit.member.discard(c)
	return &LostError{Sent: true, Err: err}
}

// late reads the reply of a cancelled sub-request.
func (p *Pool) late(c *connection, req *http.Request) reply {
	if err := c.head(req); err != nil {
		return reply{err: err}
	}
	return p.read(c, req)
}

// read reads the body of the reply.
func (p *Pool) read(c *connection, req *http.Request) reply {
	body, err := c.body(p.maxBody(), p.AllowUnframed)
	if err != nil {
		return reply{err: err}
	}
	res := &Response{Status: c.response.StatusCode, Header: c.response.Header, Body: body}
	if p.CheckReply != nil {
		if err := p.CheckReply(req, res); err != nil {
			return reply{err: &ReplyError{Reason: Crossed, Err: err}}
		}
	}
	return reply{response: res}
}

// rest reads the body, in the background if that may block.
func (p *Pool) rest(ctx context.Context, permit *Permit, c *connection, req *http.Request) (*Response, error) {
	if c.buffered() {
		return permit.member.finish(c, p.read(c, req))
	}
	done := make(chan reply, 1)
	go func() { done <- p.read(c, req) }()
	select {
	case r := <-done:
		return permit.member.finish(c, r)
	case <-ctx.Done():
	}
	p.drain(permit, c, func() reply { return <-done })
	return nil, &LostError{Sent: true, Err: ctx.Err()}
}

// drain waits in the background for the reply of a cancelled sub-request, and closes
// the connection if it does not come within a bound.
func (p *Pool) drain(permit *Permit, c *connection, wait func() reply) {
	m := permit.member
	permit.hold()
	timer := p.clock().AfterFunc(orDefault(p.DrainTimeout, defaultDrain), c.close)
	go func() {
		r := wait()
		timer.Stop()
		_, _ = m.finish(c, r) // nobody waits for the reply
		m.mu.Lock()
		defer m.mu.Unlock()
		if r.err == nil {
			m.stats.Drained++
		}
		permit.leave()
	}()
}

// finish keeps the connection if the reply was read to its end.
func (m *member) finish(c *connection, r reply) (*Response, error) {
	if r.err != nil {
		m.discard(c)
		return nil, &LostError{Sent: true, Err: r.err}
	}
	if c.last || c.reader.Buffered() > 0 {
		m.discard(c)
		return r.response, nil
	}
	m.keep(c)
	return r.response, nil
}

// keep makes a connection available after its use.
func (m *member) keep(c *connection) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.put(c)
}

// discard closes a connection that can't be used again.
func (m *member) discard(c *connection) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.drop(c)
	m.fill()
}

func ended(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return true
	default:
		return false
	}
}

func isTimeout(err error) bool {
	var timeout interface{ Timeout() bool }
	return errors.As(err, &timeout) && timeout.Timeout()
}
