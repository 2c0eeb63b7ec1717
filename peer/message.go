package peer

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"

	"github.com/pkg/errors"
	"github.com/sourcegraph/jsonrpc2"
)

// maxMessageSize bounds a message in bytes. The largest ones carry a routing document or a snapshot of
// the control state.
const maxMessageSize = 64 << 20

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
type boundedCodec struct{}

// WriteObject implements jsonrpc2.ObjectCodec.
func (boundedCodec) WriteObject(stream io.Writer, message any) error {
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
func (boundedCodec) ReadObject(stream *bufio.Reader, message any) error {
	size, err := binary.ReadUvarint(stream)
	if err != nil {
		return err
	}
	if size > maxMessageSize {
		return &MessageSizeError{size, maxMessageSize}
	}
	return json.NewDecoder(io.LimitReader(stream, int64(size))).Decode(message)
}

var _ jsonrpc2.ObjectCodec = boundedCodec{}
