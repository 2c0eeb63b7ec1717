package relay

import (
	"bytes"
	"net/http"
	"strconv"
	"strings"

	"wasabirelay/control"
	"wasabirelay/limit"
)

// message is what the requests of a job to all targets have in common, encoded once.
type message struct {
	request *http.Request
	// head is the request line and the headers that are the same for all targets.
	head []byte
	body []byte
}

// encode prepares the requests of a job.
func (s *Service) encode(j *job) *message {
	header := forwarded(j.Header)
	header.Del(s.Headers.Timeout)
	header.Del(s.Headers.Target)
	if len(j.body) > 0 || j.Method == http.MethodPost || j.Method == http.MethodPut || j.Method == http.MethodPatch {
		header.Set("Content-Length", strconv.Itoa(len(j.body)))
	}
	var b bytes.Buffer
	b.WriteString(j.Method + " " + j.RequestURI + " HTTP/1.1\r\nHost: " + j.Host + "\r\n")
	_ = header.Write(&b) // a buffer takes everything
	return &message{request: j.Request, head: b.Bytes(), body: j.body}
}

// to returns the request to one target. Timeout is the time in milliseconds that the
// target has.
func (m *message) to(t *control.Target, names *Headers, timeout int64) *limit.EncodedRequest {
	const lines = 64 // bytes beside names and values of two headers
	b := make([]byte, 0, len(m.head)+len(names.Timeout)+len(names.Target)+len(t.Name)+lines+len(m.body))
	b = append(b, m.head...)
	b = append(append(b, names.Timeout...), ": "...)
	b = append(strconv.AppendInt(b, timeout, 10), "\r\n"...)
	b = append(append(b, names.Target...), ": "...)
	b = append(append(b, oneLine(t.Name)...), "\r\n\r\n"...)
	return &limit.EncodedRequest{Request: m.request, Bytes: append(b, m.body...)}
}

// lineBreaks replaces what would end a header line.
var lineBreaks = strings.NewReplacer("\r", " ", "\n", " ")

// oneLine keeps a name that a target announced from adding headers.
func oneLine(text string) string { return lineBreaks.Replace(text) }

// hopHeaders concern one connection only.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length",
}

// forwarded returns a copy of the header without what concerns one connection.
func forwarded(h http.Header) http.Header {
	out := h.Clone()
	for _, list := range h["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		out.Del(name)
	}
	return out
}
