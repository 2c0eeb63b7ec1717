package limit

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// minCutStatus is the least number of bytes of a status line at the end of a body that count as the start of
// another reply although nothing follows: a text may well end with "HTTP/1.1".
const minCutStatus = len("HTTP/1.0 0")

// minCutVersion is the least number of bytes of a version at the end of a body for which the bytes behind it are waited
// for. Fewer end too many binary bodies.
const minCutVersion = len("HTTP/")

// cutWait bounds how long the bytes behind a reply are waited for if its end may cut the head of another reply, of which the
// rest may arrive in further pieces, or if it may not be its end, see endWait.
const cutWait = 30 * time.Millisecond

// doubtfulWait bounds it where the end came later than the rest of the body, just from the first byte of a status line
// on, where the target has sent copies before, or where it is in doubt whether its empty successes are empty. It exceeds the
// pauses of targets that are busy.
const doubtfulWait = 300 * time.Millisecond

// splicing finds the start of another reply inside a body. It gets there if a reply without a length is followed
// by a copy, or if a reply breaks off and a copy follows on the same connection. A body that only mentions
// status lines or contains replies to other requests is no such case.
type splicing struct {
	// own is the status line of the reply that the body belongs to.
	own string
	// replyID is Pool.ReplyID.
	replyID func(*Response) string
	// known reports whether the connection has carried the sub-request with the ID.
	known func(id string) bool
	// isReply is Pool.IsReply.
	isReply func(*Response) bool
	// earlier, if set, reports whether the connection has carried a reply with the status line.
	earlier func(line string) bool
	// partial is true if only a part of the body is known. Only an identity is then a sign of another reply.
	partial bool
	// unframed is true if the body ends with the connection. Nothing behind it can show another reply then, so
	// that one with any status line may be cut by its end.
	unframed bool
	// found is set if a status line may start in the body.
	found bool
	// cut is set if the end of the body may cut the head of another reply, from the index cutAt on. Only the bytes behind it
	// can tell.
	cut   bool
	cutAt int
	// plainFrom and plainTo bound the fields of the last head in the body that hold nothing that tells whose they are: the
	// heads that start among them begin with the rest of these.
	plainFrom, plainTo int
}

// in reports whether another reply starts in the body. behind is what has been received after the body.
func (s *splicing) in(body, behind []byte) bool {
	s.plainFrom, s.plainTo = 0, 0
	for from := 0; ; {
		i := bytes.Index(body[from:], versionPrefix)
		if i < 0 {
			break
		}
		s.found = true
		if s.at(body, from+i, behind) {
			return true
		}
		from += i + 1
	}
	tail := max(0, len(body)-len(versionPrefix)+1)
	i := bytes.LastIndexByte(body[tail:], versionPrefix[0])
	if i < 0 || !bytes.HasPrefix(versionPrefix, body[tail+i:]) {
		return false
	}
	s.found = true
	s.noteCut(tail+i, len(body)-tail-i >= minCutVersion)
	return len(behind) > 0 && s.at(body, tail+i, behind)
}

// at reports whether another reply starts at the index of the body.
func (s *splicing) at(body []byte, start int, behind []byte) bool {
	text := body[start:]
	if len(text) < readBufferSize && len(behind) > 0 {
		text = append(bytes.Clone(text), behind...)
	}
	whole := !s.partial && len(text) <= readBufferSize
	// Bytes behind a body with a length are no part of a sound reply either.
	doubtful := !s.partial && (s.unframed || len(behind) > 0)
	text = text[:min(len(text), readBufferSize)]
	if !isStatus(text) {
		inForm := whole && hasStatusForm(text[:min(len(text), len(statusForm))])
		s.noteCut(start, inForm)
		// Nothing but the rest of what may be a status line has arrived behind the body, where a sound target sends nothing.
		if inForm && len(text) < len(statusForm) && len(behind) > 0 {
			return true
		}
		return whole && len(text) >= minCutStatus && s.isCutLine(text)
	}
	line, rest, ended := bytes.Cut(text, lineEnd)
	if !ended {
		s.noteCut(start, whole)
		return whole && s.isCutLine(line)
	}
	from := start + len(line) + len(lineEnd)
	if from < s.plainFrom || from > s.plainTo {
		s.plainFrom, s.plainTo = from, from
	}
	fields, rest, state := cutFields(rest[s.plainTo-from:])
	header := Header{text: string(fields)}
	copied := whole && state == fieldsEnded && len(rest) == 0 && s.earlier != nil && s.earlier(string(line))
	id, reply := s.replyID(&Response{Header: header}), (doubtful || copied) && s.isReply(&Response{Header: header})
	if id == "" && !reply {
		s.plainTo += len(fields)
	}
	s.noteCut(start, whole && state == fieldsCut)
	switch {
	case id != "" && s.known(id):
		return true
	case state == fieldsCut && whole && (doubtful || string(line) == s.own):
		return true
	case state == fieldsEnded && reply:
		return true
	case state == fieldsEnded && !s.partial && id == "" && string(line) == s.own && repeats(body[:start], rest):
		return true
	}
	return false
}

// noteCut notes that the end of the body cuts what may be the head of another reply, which starts at the index.
func (s *splicing) noteCut(start int, cut bool) {
	if cut {
		s.cut, s.cutAt = true, start
	}
}

// isCutLine reports whether the end of the body cuts the status line of another reply there.
func (s *splicing) isCutLine(text []byte) bool {
	if strings.HasPrefix(s.own+"\r", string(text)) {
		return true
	}
	n := min(len(text), len(statusForm))
	if !s.unframed || !hasStatusForm(text[:n]) {
		return false
	}
	if n < len(statusForm) {
		return true
	}
	status, _ := strconv.Atoi(string(text[n-3 : n])) // can't fail: these are digits
	return strings.HasPrefix(" "+http.StatusText(status)+"\r", string(text[n:]))
}

// repeats reports whether the text after a head begins like the one before it.
func repeats(before, after []byte) bool {
	n := min(len(before), len(after))
	return n > 0 && bytes.Equal(before[:n], after[:n])
}

// isHeadSpliced reports whether a head holds the status line of another reply: it has broken off there.
func isHeadSpliced(head []byte) bool {
	for from := 1; from < len(head); {
		i := bytes.Index(head[from:], versionPrefix)
		if i < 0 {
			return false
		}
		if isStatus(head[from+i:]) {
			return true
		}
		from += i + 1
	}
	return false
}

// hasPending reports whether bytes have arrived that are not in the buffer yet. It can't tell with TLS.
func (c *connection) hasPending() bool {
	if c.socket == nil || c.conn != net.Conn(c.raw) {
		return false
	}
	pending, _ := c.peek() // the next read returns the error
	return pending
}

// errSplicedBody reports that a body that is being read holds the start of another reply.
var errSplicedBody = errors.New("another reply starts in the body")

// isSpliced reports whether another reply starts in the body that was read from the connection, or in the part of it.
func (c *connection) isSpliced(body []byte, partial bool) bool {
	if c.replyID == nil || len(body) == 0 {
		return false
	}
	s := splicing{
		own: c.head.line, replyID: c.replyID, isReply: c.isReply, unframed: c.isUnframed(), partial: partial,
		known:   func(id string) bool { return c.sent.has(xxhash.Sum64String(id)) },
		earlier: func(line string) bool { return slices.Contains(c.lines[:], line) },
	}
	var behind []byte
	if c.head.length >= 0 && !partial {
		behind, _ = c.reader.Peek(c.reader.Buffered())
	}
	if s.in(body, behind) {
		return true
	}
	if !s.found || partial || c.head.length < 0 {
		return false
	}
	pending := c.hasPending()
	if !pending && !s.cut {
		return false
	}
	switch {
	case pending:
		_, _ = c.reader.Peek(len(behind) + 1) // the next read returns an error that ended reading
	case s.cutAt == c.piece || c.hasCopies():
		_ = c.await(len(behind)+1, doubtfulWait)
	default:
		_ = c.await(len(behind)+1, cutWait)
	}
	behind, _ = c.reader.Peek(c.reader.Buffered())
	return s.in(body, behind)
}

// readFull fills the body. It ends early if another reply starts in it, because the rest may then never come.
func (c *connection) readFull(body []byte) error {
	for n := 0; n < len(body); {
		if c.reader.Buffered() == 0 {
			c.piece = n
		}
		m, err := c.reader.Read(body[n:])
		n += m
		switch {
		case n == len(body):
		case errors.Is(err, io.EOF):
			return io.ErrUnexpectedEOF
		case err != nil:
			return err
		case c.isSpliced(body[max(0, n-m-readBufferSize):n], true):
			return errSplicedBody
		}
	}
	return nil
}
