package peer

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
)

// maxEndless bounds what a peer can get rid of before its connection is closed: the largest message and the
// socket buffers of both sides.
const maxEndless = maxMessageSize + 16<<20

// Guards against a peer whose bytes never end and fill the memory, and against other connections that end with
// its own.
func TestEndlessMessages(t *testing.T) {
	for _, tt := range []struct {
		name       string
		size       uint64
		start, end string
	}{
		{"a text in a huge message", 1 << 40, `{"jsonrpc":"2.0","method":"`, "a"},
		{"blanks in a huge message", 1 << 62, "", " "},
		{"a text in a message of any size", 1 << 63, `["`, "a"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			c := start(t, map[string]Handler{"number": func(context.Context, *Conn, json.RawMessage) (any, error) { return 3, nil }})
			var out int
			is.NoErr(c.Call(t.Context(), "number", 1, &out))
			conn, err := net.Dial("tcp", c.Address.String())
			is.NoErr(err)
			defer conn.Close()
			is.NoErr(conn.SetDeadline(time.Now().Add(20 * time.Second)))
			written := 0
			block := []byte(strings.Repeat(tt.end, 64<<10))
			_, err = conn.Write(append(binary.AppendUvarint(nil, tt.size), tt.start...))
			for err == nil && written <= maxEndless {
				var n int
				n, err = conn.Write(block)
				written += n
			}
			is.True(written <= maxEndless) // the connection was closed
			is.NoErr(c.Call(t.Context(), "number", 1, &out))
		})
	}
}

// Guards against a message that every receiver rejects and that ends the connection for others.
func TestLargeMessages(t *testing.T) {
	is := is.New(t)
	c := start(t, map[string]Handler{"length": func(_ context.Context, _ *Conn, params json.RawMessage) (any, error) {
		var text string
		err := Decode(params, &text)
		return len(text), err
	}})
	var out int
	is.NoErr(c.Call(t.Context(), "length", strings.Repeat("a", 8<<20), &out))
	is.Equal(out, 8<<20)
	var size *MessageSizeError
	is.True(errors.As(c.Call(t.Context(), "length", strings.Repeat("a", maxMessageSize), &out), &size))
	is.NoErr(c.Call(t.Context(), "length", "abc", &out))
	is.Equal(out, 3)
}
