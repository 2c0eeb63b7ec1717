package control

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// largeDocument returns the text of a routing document with many routes to 90 shards, 1.2 MB in size.
func largeDocument() []byte {
	shards := make([]string, 90)
	for i := range shards {
		shards[i] = fmt.Sprintf("%q", fmt.Sprintf("s%05x", i*7919))
	}
	var b bytes.Buffer
	for i := range 1400 {
		fmt.Fprintf(&b, `{"route":"r-%d","prefix":"/p%d/","shards":[%s]},`, i, i*31, strings.Join(shards, ","))
	}
	return b.Bytes()
}

// Guards against a large document that is sent and written in full at each step, and against a
// document that differs from what the operator sent.
func TestPackedRouting(t *testing.T) {
	is := is.New(t)
	text := largeDocument()
	is.True(len(text) > 1<<20)
	a, err := NewApplyRouting(7, text)
	is.NoErr(err)
	command, err := json.Marshal(Command{Routing: a})
	is.NoErr(err)
	is.True(len(command) < len(text)/8)
	var decoded Command
	is.NoErr(json.Unmarshal(command, &decoded))
	var s State
	is.True(s.Apply(1, decoded).Refusal == nil)
	snapshot, err := s.Snapshot()
	is.NoErr(err)
	var restored State
	is.NoErr(restored.Restore(snapshot))
	routing := restored.RoutingState().Routing
	got, err := routing.Text()
	is.NoErr(err)
	is.Equal(got, text)
	is.Equal(restored.Digest(), s.Digest())

	small, err := NewApplyRouting(8, []byte(`{"version":8}`))
	is.NoErr(err)
	is.Equal(string(small.Source), `{"version":8}`) // readable in the log
}

// Guards against a damaged document that ends a process or takes all memory.
func TestDamagedPackedRouting(t *testing.T) {
	packed, err := NewApplyRouting(7, largeDocument())
	if err != nil {
		t.Fatal(err)
	}
	var endless bytes.Buffer
	w := gzip.NewWriter(&endless)
	zeros := make([]byte, 1<<20)
	for range maxDocumentBytes>>20 + 1 {
		_, _ = w.Write(zeros) // a buffer does not fail
	}
	_ = w.Close()
	for name, source := range map[string][]byte{
		"empty": {}, "no gzip": []byte("{}"), "truncated": packed.Source[:len(packed.Source)/2], "too large": endless.Bytes(),
	} {
		t.Run(name, func(t *testing.T) {
			_, err := (&Routing{Version: 7, Source: source, Packed: true}).Text()
			is.New(t).True(err != nil)
		})
	}
}
