package limit

import (
	"bytes"
	"cmp"
	"context"
	"net/http"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// Response is a complete reply.
type Response struct {
	Status int
	Header Header
	Body   []byte
}

// readResult is the result of reading a reply.
type readResult struct {
	response *Response
	err      error
}

// EncodedRequest is a sub-request that is ready to be sent.
type EncodedRequest struct {
	// Request determines which replies are valid: its method and header are used.
	Request *http.Request
	// Bytes is the sub-request in wire format.
	Bytes []byte
	// ID, if set, identifies the sub-request in its reply. If the same one is sent again, a
	// connection that has carried it is used only if there is no other.
	ID string
	// Content is a hash that differs between sub-requests with the same ID and other content: such a
	// sub-request never uses a connection that has carried the other. If it is 0, all sub-requests with the
	// same ID count as the same.
	Content uint64
	// Once is true if the target may run the sub-request at most once. A connection that has
	// carried the ID is then not used for it: a late copy of the reply to the earlier sending would
	// pass for the reply to this one.
	Once bool
}

func (e *EncodedRequest) wanted() wanted {
	if e.ID == "" {
		return wanted{}
	}
	id := xxhash.Sum64String(e.ID)
	return wanted{id: id, content: cmp.Or(e.Content, id), fresh: e.Once, head: e.Request.Method == http.MethodHead}
}

// Do encodes the request and sends it; see Send. The error is a *LostError.
func (p *Pool) Do(ctx context.Context, permit *Permit, req *http.Request, check func() error) (*Response, error) {
	var b bytes.Buffer
	if err := req.Write(&b); err != nil {
		return nil, &LostError{Err: err}
	}
	return p.Send(ctx, permit, &EncodedRequest{Request: req, Bytes: b.Bytes()}, check)
}

// Send sends the encoded sub-request and reads the complete reply. It connects to the address
// of the permit's share, not to the host of the URL. The error is a *LostError. If ctx ends
// while the reply is pending, the reply is read in the background and the connection reused,
// because opening a new one may take longer than a query; until then the permit's in-flight
// slot stays taken. If check is not nil, it is called once the connection is open, directly
// before the first byte is written. If it returns an error, nothing is sent, the connection
// stays open, and the *LostError wraps a *RefusedError.
func (p *Pool) Send(ctx context.Context, permit *Permit, encoded *EncodedRequest, check func() error) (*Response, error) {
	if isDone(ctx) {
		return nil, &LostError{Err: ctx.Err()}
	}
	wanted := encoded.wanted()
	c, err := permit.target.get(ctx, wanted)
	if err != nil {
		return nil, &LostError{Err: err}
	}
	if check != nil {
		if err := check(); err != nil {
			permit.target.release(c)
			return nil, &LostError{Err: &RefusedError{Reason: CheckFailed, Err: err}}
		}
	}
	req, before := encoded.Request, c.raw.written
	c.sent.add(wanted.id, wanted.head)
	if !wanted.fresh {
		c.repeatable.add(wanted.content, wanted.head)
	}
	c.current, c.replyID, c.isReply, c.record = wanted.id, p.ReplyID, p.isReply, &permit.target.record
	w := c.watch(ctx)
	if _, err := c.conn.Write(encoded.Bytes); err != nil {
		if w.stop() {
			err = ctx.Err()
		}
		permit.target.discard(c)
		return nil, &LostError{Sent: c.raw.written > before, Err: err}
	}
	for range maxReplies {
		err = p.readHead(c, req)
		interrupted := w.stop()
		if err != nil {
			return nil, p.handleHeaderError(ctx, permit, c, req, err, interrupted)
		}
		res, err := p.finishReply(ctx, permit, c, req)
		if !errors.Is(err, errLateCopy) {
			return res, err
		}
		w = c.watch(ctx)
	}
	w.stop()
	permit.target.discard(c)
	return nil, &LostError{Sent: true, Err: &ReplyError{Reason: Mismatched, Err: errLateCopy}}
}

// handleHeaderError ends a sub-request whose reply header did not arrive in time or is
// unusable.
func (p *Pool) handleHeaderError(ctx context.Context, permit *Permit, c *connection, req *http.Request, err error, interrupted bool) error {
	if interrupted && isTimeout(err) {
		p.drain(permit, c, func() readResult { return p.readReply(c, req) })
		return &LostError{Sent: true, Err: ctx.Err()}
	}
	permit.target.record.note(err)
	permit.target.discard(c)
	return &LostError{Sent: true, Err: err}
}

// maxReplies bounds the replies that are read for one sub-request: late copies of earlier replies on its
// connection, and its own.
const maxReplies = 8

// errLateCopy reports a late copy of the reply to an earlier sub-request on the connection. The reply to this
// one may follow.
var errLateCopy = errors.New("late copy of an earlier reply")

// readReply reads the complete reply of a cancelled sub-request.
func (p *Pool) readReply(c *connection, req *http.Request) (r readResult) {
	for range maxReplies {
		if err := p.readHead(c, req); err != nil {
			return readResult{err: err}
		}
		if r = p.read(c, req); !errors.Is(r.err, errLateCopy) {
			return r
		}
	}
	return r
}

// readRest returns the reply of a cancelled sub-request of which one reply has been read.
func (p *Pool) readRest(c *connection, req *http.Request, first readResult) readResult {
	if errors.Is(first.err, errLateCopy) {
		return p.readReply(c, req)
	}
	return first
}

// readHead reads the head of the reply and looks up which sub-request it belongs to: whether it has a body depends on
// the method of that. After a reply to one that the connection has not carried, the connection can't be trusted.
func (p *Pool) readHead(c *connection, req *http.Request) (err error) {
	defer recoverPanic(&err)
	if err := c.readHeader(); err != nil {
		var reply *ReplyError
		if c.emptied && errors.As(err, &reply) {
			c.record.denyEmpty()
		}
		return err
	}
	name, id, head := "", c.current, req.Method == http.MethodHead
	if p.ReplyID != nil {
		name = p.ReplyID(&Response{Status: c.head.status, Header: c.head.header})
		id = xxhash.Sum64String(name)
	}
	c.late = false
	if id != c.current {
		if sentHead, ok := c.sent.find(id); ok {
			c.late, head = true, sentHead
		}
	}
	c.expectBody(head)
	if p.ReplyID != nil && name == "" {
		c.late = c.isAnonymousCopy()
	}
	known := c.late || id == c.current || c.current == 0 // without an ID, only CheckReply can tell
	if !known || c.late && c.closing {
		return &ReplyError{Reason: Mismatched, Err: errors.Errorf("the reply is for request %q", name)}
	}
	return nil
}

// read reads the body of the reply and checks the reply.
func (p *Pool) read(c *connection, req *http.Request) (r readResult) {
	defer recoverPanic(&r.err)
	emptied := c.emptied
	c.emptied = false
	body, err := c.readBody(p.maxBody(), p.AllowUnframed)
	if err != nil {
		return readResult{err: err}
	}
	if c.isSpliced(body, false) {
		return readResult{err: &ReplyError{Reason: Spliced}}
	}
	if err := c.checkEnd(); err != nil {
		return readResult{err: err}
	}
	res := &Response{Status: c.head.status, Header: c.head.header, Body: body}
	if c.late {
		if p.OnSkipped != nil {
			p.OnSkipped(c.address, res)
		}
		return readResult{err: &ReplyError{Reason: Mismatched, Err: errLateCopy}}
	}
	if p.CheckReply != nil {
		if err := p.check(req, res); err != nil {
			return readResult{err: &ReplyError{Reason: Mismatched, Err: err}}
		}
	}
	if emptied {
		c.record.confirmEmpty() // this reply began where the one before it ended
	}
	c.emptied = c.isEmptySuccess()
	return readResult{response: res}
}

// recoverPanic makes a panic while a reply is read an error: one reply must not end the process, and its connection is closed.
func recoverPanic(err *error) {
	if v := recover(); v != nil {
		*err = &ReplyError{Reason: Malformed, Err: errors.Errorf("panic while the reply was read: %v", v)}
	}
}

func (p *Pool) isReply(res *Response) bool { return p.IsReply != nil && p.IsReply(res) }

// check calls CheckReply. A panic in it counts as a mismatch, so that the connection is closed and
// its place becomes free.
func (p *Pool) check(req *http.Request, res *Response) (err error) {
	defer func() {
		if v := recover(); v != nil {
			err = errors.Errorf("panic in the check of the reply: %v", v)
		}
	}()
	return p.CheckReply(req, res)
}

// finishReply reads the body, in the background if that may block. If the reply is a late copy, the error wraps
// errLateCopy and the connection is still in use.
func (p *Pool) finishReply(ctx context.Context, permit *Permit, c *connection, req *http.Request) (*Response, error) {
	finish := func(r readResult) (*Response, error) {
		if errors.Is(r.err, errLateCopy) {
			permit.target.record.note(r.err)
			return nil, r.err
		}
		return permit.target.recycle(c, r)
	}
	if c.bodyBuffered() && !c.hasCopies() && c.endWait() == 0 {
		return finish(p.read(c, req))
	}
	done := make(chan readResult, 1)
	go func() { done <- p.read(c, req) }()
	select {
	case r := <-done:
		return finish(r)
	case <-ctx.Done():
	}
	p.drain(permit, c, func() readResult { return p.readRest(c, req, <-done) })
	return nil, &LostError{Sent: true, Err: ctx.Err()}
}

// drain reads the reply of a cancelled sub-request in the background, and closes the
// connection if the reply is not complete within DrainTimeout.
func (p *Pool) drain(permit *Permit, c *connection, wait func() readResult) {
	t := permit.target
	permit.addHolder()
	timer := p.clock().AfterFunc(orDefault(p.DrainTimeout, defaultDrainTimeout), c.close)
	go func() {
		r := wait()
		timer.Stop()
		_, _ = t.recycle(c, r) // the reply is not needed
		t.mu.Lock()
		defer t.mu.Unlock()
		if r.err == nil {
			t.stats.Drained++
		}
		permit.removeHolder()
	}()
}

// recycle keeps the connection for reuse if the reply was read to its end, and otherwise
// closes it.
func (t *targetPool) recycle(c *connection, r readResult) (*Response, error) {
	if r.err != nil {
		t.record.note(r.err)
		t.discard(c)
		return nil, &LostError{Sent: true, Err: r.err}
	}
	if c.closing || c.reader.Buffered() > 0 {
		t.discard(c)
		return r.response, nil
	}
	t.release(c)
	return r.response, nil
}

// release makes a connection available after its use.
func (t *targetPool) release(c *connection) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.put(c)
}

// discard closes a connection that can't be reused.
func (t *targetPool) discard(c *connection) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.drop(c)
	t.dialMissing()
}

func isDone(ctx context.Context) bool {
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
