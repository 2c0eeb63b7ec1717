package control

import (
	"bytes"
	"compress/gzip"
	"io"

	"github.com/pkg/errors"
)

const (
	// minPackBytes is the size of a document from which it is compressed.
	minPackBytes = 4 << 10
	// maxDocumentBytes bounds the size of a document after it is decompressed.
	maxDocumentBytes = 64 << 20
)

// NewApplyRouting returns the command that puts the operator's document in force. A large document
// is compressed once, because it is encoded and written many times on its way: to the leader, to
// the members of the group, to their disks and to every host.
func NewApplyRouting(version uint64, text []byte) (*ApplyRouting, error) {
	a := &ApplyRouting{Version: version, Source: text}
	if len(text) < minPackBytes {
		return a, nil
	}
	var b bytes.Buffer
	w, err := gzip.NewWriterLevel(&b, gzip.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "compress routing document")
	}
	if _, err := w.Write(text); err != nil {
		return nil, errors.Wrap(err, "compress routing document")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "compress routing document")
	}
	a.Source, a.Packed = b.Bytes(), true
	return a, nil
}

// Text returns the unmodified document of the operator. It fails if the compressed document is
// damaged or larger than 64 MiB.
func (r *Routing) Text() ([]byte, error) {
	if !r.Packed {
		return r.Source, nil
	}
	z, err := gzip.NewReader(bytes.NewReader(r.Source))
	if err != nil {
		return nil, errors.Wrap(err, "decompress routing document")
	}
	text, err := io.ReadAll(io.LimitReader(z, maxDocumentBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "decompress routing document")
	}
	if len(text) > maxDocumentBytes {
		return nil, errors.Errorf("the routing document of version %d exceeds %d bytes", r.Version, maxDocumentBytes)
	}
	return text, nil
}
