package peer

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/jsonrpc2"
)

// maxMessageSize bounds a message in bytes. The largest ones carry a routing document or a snapshot of
// the control state.
const maxMessageSize = 64 << 20

const (
	// messageTimeout bounds the time between the begin and the end of a message.
	messageTimeout = 10 * time.Second
	// smallMessage is the size in bytes of a message that may use the reserve of the budget.
	smallMessage = 64 << 10
)

// MessageSizeError reports a message that is too large to be sent or read.
type MessageSizeError struct {
	// Size is the size in bytes, Max the largest one that is allowed.
	Size, Max uint64
}

func (e *MessageSizeError) Error() string {
	return fmt.Sprintf("the message has %d bytes, at most %d are allowed", e.Size, e.Max)
}

// boundedCodec is jsonrpc2.VarintObjectCodec with a bound on the size of a message. Without it, a peer
// that announces a huge message and sends bytes without end fills the memory.
type boundedCodec struct {
	// budget, if set, bounds the messages that are received at the same time, conn is the connection.
	budget *budget
	conn   *timedConn
}

// WriteObject implements jsonrpc2.ObjectCodec.
func (*boundedCodec) WriteObject(stream io.Writer, message any) error {
	text, err := json.Marshal(message)
	if err != nil {
		return errors.Wrap(err, "encode message")
	}
	if len(text) > maxMessageSize {
		return &MessageSizeError{uint64(len(text)), maxMessageSize}
	}
	if _, err := stream.Write(binary.AppendUvarint(nil, uint64(len(text)))); err != nil {
		return err
	}
	_, err = stream.Write(text)
	return err
}

// ReadObject implements jsonrpc2.ObjectCodec. The connection ends after an error.
func (c *boundedCodec) ReadObject(stream *bufio.Reader, message any) error {
	size, err := binary.ReadUvarint(stream)
	if err != nil {
		return err
	}
	if size > maxMessageSize {
		return &MessageSizeError{size, maxMessageSize}
	}
	if c.budget == nil {
		if err := json.NewDecoder(io.LimitReader(stream, int64(size))).Decode(message); err != nil {
			return err
		}
		c.conn.messages.Add(1)
		return nil
	}
	if uint64(stream.Buffered()) < size {
		if err := c.conn.SetReadDeadline(time.Now().Add(messageTimeout)); err != nil {
			return err
		}
		defer func() { _ = c.conn.SetReadDeadline(time.Time{}) }() // it fails if the connection has ended
	}
	charged := chargedReader{Reader: io.LimitReader(stream, int64(size)), budget: c.budget, small: size <= smallMessage}
	defer charged.release()
	if err := json.NewDecoder(&charged).Decode(message); err != nil {
		return err
	}
	c.conn.messages.Add(1)
	return nil
}

var _ jsonrpc2.ObjectCodec = (*boundedCodec)(nil)

// budget bounds the memory of the messages that are received at the same time.
type budget struct {
	max  int64
	used atomic.Int64
}

// BudgetError reports that the messages that are received at the same time are too large together.
type BudgetError struct {
	// Max is the number of bytes that they may have.
	Max int64
}

func (e *BudgetError) Error() string {
	return fmt.Sprintf("the messages that are received at the same time have more than %d bytes", e.Max)
}

// chargedReader charges the bytes of a message as they arrive. A small message may use all of the budget, a larger one
// leaves the last quarter.
type chargedReader struct {
	io.Reader
	budget *budget
	small  bool
	held   int64
}

func (r *chargedReader) Read(b []byte) (int, error) {
	n, err := r.Reader.Read(b)
	r.held += int64(n)
	limit := r.budget.max
	if !r.small {
		limit -= limit / 4
	}
	if used := r.budget.used.Add(int64(n)); used > limit && n > 0 {
		return 0, &BudgetError{r.budget.max}
	}
	return n, err
}

func (r *chargedReader) release() { r.budget.used.Add(-r.held) }
