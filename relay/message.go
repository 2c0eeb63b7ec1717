package relay

import (
	"bytes"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"wasabirelay/control"
	"wasabirelay/limit"
)

// message is the part of a request that is the same for all targets; it is encoded only once.
type message struct {
	request *http.Request
	// head is the request line and the headers without those that differ between targets.
	head []byte
	body []byte
	// id identifies the request in replies, content is a hash of all that targets receive of it; once is
	// true if it may run at most once.
	id      string
	content uint64
	once    bool
}

// encodeMessage encodes the request of a job.
func (s *Service) encodeMessage(j *job) *message {
	header := s.Headers.endToEnd(j.Header)
	header.Del(s.Headers.Timeout)
	header.Del(s.Headers.Target)
	if len(j.body) > 0 || j.Method == http.MethodPost || j.Method == http.MethodPut || j.Method == http.MethodPatch {
		header.Set("Content-Length", strconv.Itoa(len(j.body)))
	}
	var b bytes.Buffer
	b.WriteString(j.Method + " " + j.RequestURI + " HTTP/1.1\r\nHost: " + j.Host + "\r\n")
	_ = header.Write(&b) // writes to a buffer never fail
	content := xxhash.New()
	_, _ = content.Write(b.Bytes()) // writes to a hash never fail
	_, _ = content.Write(j.body)
	return &message{request: j.Request, head: b.Bytes(), body: j.body, id: j.id, content: content.Sum64(), once: !j.route.Idempotent}
}

// forTarget returns the request to one target. The timeout is the time in milliseconds that
// the target has.
func (m *message) forTarget(t *control.Target, names *Headers, timeout int64) *limit.EncodedRequest {
	const overhead = 64 // bytes for separators and the timeout
	b := make([]byte, 0, len(m.head)+len(names.Timeout)+len(names.Target)+len(t.Name)+overhead+len(m.body))
	b = append(b, m.head...)
	b = append(append(b, names.Timeout...), ": "...)
	b = append(strconv.AppendInt(b, timeout, 10), "\r\n"...)
	b = append(append(b, names.Target...), ": "...)
	b = append(append(b, sanitizeHeaderValue(t.Name)...), "\r\n\r\n"...)
	return &limit.EncodedRequest{Request: m.request, Bytes: append(b, m.body...), ID: m.id, Content: m.content, Once: m.once}
}

// lineBreaks replaces the characters that would end a header line.
var lineBreaks = strings.NewReplacer("\r", " ", "\n", " ")

// sanitizeHeaderValue prevents a name that a target has announced from adding headers.
func sanitizeHeaderValue(text string) string { return lineBreaks.Replace(text) }

// hopByHopHeaders lists the headers that apply to a single connection, and Content-Length.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length",
}

// endToEnd returns a copy of the headers without the hop-by-hop headers. A Connection header can't remove the
// identity of a request or the signatures of a response: they never concern one connection only.
func (n *Headers) endToEnd(h http.Header) http.Header {
	out := h.Clone()
	kept := []string{n.Request, n.Signature, n.Parts, n.Missing}
	for _, list := range h["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			name = strings.TrimSpace(name)
			if !slices.ContainsFunc(kept, func(own string) bool { return strings.EqualFold(own, name) }) {
				out.Del(name)
			}
		}
	}
	for _, name := range hopByHopHeaders {
		out.Del(name)
	}
	return out
}
