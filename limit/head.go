package limit

import (
	"bufio"
	"bytes"
	"net/http"
	"slices"
	"strconv"
	"strings"
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

// statusPrefix begins the status line of the common form.
const statusPrefix = "HTTP/1.1 "

// maxLengthDigits is the number of digits of a Content-Length that always fits into an int64.
const maxLengthDigits = 18

// parseHead parses a head of the common form: a final status and a body with a length. It reports
// false for all other heads, valid or not; net/http decides on those. text ends with an empty
// line.
func parseHead(text []byte) (h head, ok bool) {
	const statusEnd = len(statusPrefix) + 3
	if len(text) < statusEnd || !bytes.HasPrefix(text, []byte(statusPrefix)) {
		return h, false
	}
	line, rest, _ := strings.Cut(string(text), "\r\n")
	if len(line) < statusEnd || len(line) > statusEnd && line[statusEnd] != ' ' || !isFieldValue(line) {
		return h, false
	}
	for _, c := range []byte(line[len(statusPrefix):statusEnd]) {
		if c < '0' || c > '9' {
			return h, false
		}
		h.status = 10*h.status + int(c-'0')
	}
	if isBodiless(h.status) {
		return h, false
	}
	h.line, h.header.text = line, rest[:len(rest)-len("\r\n")]
	h.size, h.length = len(text), -1
	for rest = h.header.text; rest != ""; {
		line, rest, _ = strings.Cut(rest, "\r\n")
		if !h.addField(line) {
			return h, false
		}
	}
	return h, h.length >= 0
}

// headRequest makes net/http parse a head without regard to the body that follows it.
var headRequest = &http.Request{Method: http.MethodHead}

// parseUncommonHead parses any head with net/http. text ends with an empty line.
func parseUncommonHead(text []byte) (head, error) {
	source := bytes.NewReader(text)
	reader := bufio.NewReaderSize(source, len(text))
	res, err := http.ReadResponse(reader, headRequest) //nolint:bodyclose // there is none
	if err != nil {
		return head{}, err
	}
	return head{
		line: res.Proto + " " + res.Status, status: res.StatusCode, size: len(text) - reader.Buffered() - source.Len(), // net/http also accepts an empty line without a carriage return
		length: res.ContentLength, chunked: len(res.TransferEncoding) > 0 && !isBodiless(res.StatusCode),
		close: res.Close, header: NewHeader(res.Header),
	}, nil
}

// isBodiless reports whether replies with the status have no body, whatever their header says.
func isBodiless(status int) bool {
	return status < http.StatusOK || status == http.StatusNoContent || status == http.StatusNotModified
}

// addField takes account of a header field. It reports false if the field is malformed or needs
// net/http.
func (h *head) addField(line string) bool {
	colon := strings.IndexByte(line, ':')
	if colon <= 0 || !isToken(line[:colon]) || !isFieldValue(line[colon+1:]) {
		return false
	}
	switch name, value := line[:colon], trimValue(line[colon+1:]); {
	case strings.EqualFold(name, "Content-Length"):
		if h.length >= 0 || value == "" || len(value) > maxLengthDigits || strings.Trim(value, "0123456789") != "" {
			return false
		}
		h.length, _ = strconv.ParseInt(value, 10, 64) // can't fail: it has at most 18 digits
	case strings.EqualFold(name, "Transfer-Encoding"), strings.EqualFold(name, "Trailer"):
		return false
	case strings.EqualFold(name, "Connection"):
		for option := range strings.SplitSeq(value, ",") {
			h.close = h.close || strings.EqualFold(trimValue(option), "close")
		}
	}
	return true
}

// isToken reports whether the text is a valid name of a header field.
func isToken(text string) bool {
	for i := range len(text) {
		c := text[i]
		letter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9'
		if !letter && strings.IndexByte("!#$%&'*+-.^_`|~", c) < 0 {
			return false
		}
	}
	return text != ""
}

// isFieldValue reports whether the text has no control characters but tabs.
func isFieldValue(text string) bool {
	for i := range len(text) {
		if c := text[i]; c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}
