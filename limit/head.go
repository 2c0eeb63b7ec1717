package limit

import (
	"bytes"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// Header holds the header fields of a reply. Replies of the common form keep them as text,
// because most are read for one or two of their fields only.
type Header struct {
	// text holds the lines of the fields, each with its line break; unused if fields is set.
	text   string
	fields http.Header
}

// NewHeader returns a Header with the fields.
func NewHeader(fields http.Header) Header { return Header{fields: fields} }

// Get returns the first value of the field, or "" if there is none.
func (h *Header) Get(name string) string {
	if h.fields != nil {
		return h.fields.Get(name)
	}
	value, _, _ := nextValue(h.text, name)
	return value
}

// Only returns the value of the field, or "" if there is none. It reports false if the field occurs with
// different values.
func (h *Header) Only(name string) (value string, ok bool) {
	if h.fields != nil {
		value = h.fields.Get(name)
		if slices.ContainsFunc(h.fields.Values(name), func(other string) bool { return other != value }) {
			return "", false
		}
		return value, true
	}
	value, rest, found := nextValue(h.text, name)
	for found {
		var other string
		if other, rest, found = nextValue(rest, name); found && other != value {
			return "", false
		}
	}
	return value, true
}

// nextValue returns the first value of the field in the lines, and the lines after it.
func nextValue(lines, name string) (value, rest string, found bool) {
	for lines != "" {
		var line string
		line, lines, _ = strings.Cut(lines, "\r\n")
		if len(line) > len(name) && line[len(name)] == ':' && strings.EqualFold(line[:len(name)], name) {
			return trimValue(line[len(name)+1:]), lines, true
		}
	}
	return "", "", false
}

// Fields returns all fields.
func (h *Header) Fields() http.Header {
	if h.fields != nil {
		return h.fields
	}
	fields := http.Header{}
	for text := h.text; text != ""; {
		var line string
		line, text, _ = strings.Cut(text, "\r\n")
		name, value, _ := strings.Cut(line, ":")
		fields.Add(name, trimValue(value))
	}
	return fields
}

func trimValue(value string) string { return strings.Trim(value, " \t") }

// head is the status line and the header of a reply.
type head struct {
	// line is the status line without its line break.
	line   string
	status int
	// size is the number of bytes of the head.
	size int
	// length is the length of the body, negative if the header does not state it. A reply without a body
	// may state the one that another reply would have.
	length int64
	// chunked is true if the body is sent in chunks.
	chunked bool
	// close is true if the connection closes after the reply.
	close  bool
	header Header
}

// The errors of parseHead reach callers as the reason of a refusal and name no bytes of the target.
var (
	// errHeadCut reports that a head may go on behind the text that was parsed.
	errHeadCut      = errors.New("the head is cut")
	errNoStatusLine = errors.New("the first line of the head is no status line of HTTP")
)

// parseHead parses the head that the text begins with, by the grammar of RFC 9112. net/http also takes heads that break it:
// with a line that is passed over, the body ends elsewhere than the target meant. The error is errHeadCut if
// the head is valid as far as it goes and the text ends within it.
func parseHead(text []byte) (head, error) {
	line, rest, ended := bytes.Cut(text, lineEnd)
	if !ended {
		if !isStatusLineStart(line) {
			return head{}, errNoStatusLine
		}
		return head{}, errHeadCut
	}
	status, ok := parseStatusLine(line)
	if !ok {
		return head{}, errNoStatusLine
	}
	fields, rest, state := cutFields(rest)
	switch state {
	case fieldsCut:
		return head{}, errHeadCut
	case fieldsBroken:
		return head{}, errors.Errorf("line %d of the head is no header field", 2+bytes.Count(fields, lineEnd))
	}
	h := head{status: status, size: len(text) - len(rest), length: -1}
	all := string(text[:h.size])
	h.line, h.header.text = all[:len(line)], all[len(line)+len(lineEnd):h.size-len(lineEnd)]
	return h, h.readFields()
}

// readFields takes account of the fields that say where the body ends and whether the connection closes.
func (h *head) readFields() error {
	isHTTP10 := strings.HasPrefix(h.line, "HTTP/1.0")
	keepAlive := !isHTTP10
	for rest := h.header.text; rest != ""; {
		var line string
		line, rest, _ = strings.Cut(rest, "\r\n")
		name, value, _ := strings.Cut(line, ":")
		switch value = trimValue(value); {
		case strings.EqualFold(name, "Content-Length"):
			length, err := strconv.ParseUint(value, 10, 63)
			if err != nil || h.length >= 0 && h.length != int64(length) {
				return errors.New("the Content-Length is not one number")
			}
			h.length = int64(length)
		case strings.EqualFold(name, "Transfer-Encoding"):
			if h.chunked || !strings.EqualFold(value, "chunked") {
				return errors.New("the Transfer-Encoding is not chunked")
			}
			h.chunked = true
		case strings.EqualFold(name, "Connection"):
			for option := range strings.SplitSeq(value, ",") {
				option = trimValue(option)
				h.close = h.close || strings.EqualFold(option, "close")
				keepAlive = keepAlive || strings.EqualFold(option, "keep-alive")
			}
		}
	}
	h.close = h.close || !keepAlive
	if h.chunked && (isHTTP10 || h.length >= 0) {
		return errors.New("the Transfer-Encoding contradicts the version or a Content-Length")
	}
	return nil
}

// isBodiless reports whether replies with the status have no body, whatever their header says.
func isBodiless(status int) bool {
	return status < http.StatusOK || status == http.StatusNoContent || status == http.StatusNotModified
}
