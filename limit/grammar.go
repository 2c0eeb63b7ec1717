package limit

import (
	"bytes"
	"net/http"
	"slices"
	"strings"

	"github.com/pkg/errors"
)

// statusForm is the start of a status line, in which 0 stands for any digit.
const statusForm = "HTTP/1.0 000"

// MaxStatus is the largest status of HTTP: RFC 9110, section 15 calls those beyond it invalid.
const MaxStatus = 599

var (
	// versionPrefix begins all status lines.
	versionPrefix = []byte("HTTP/1.")
	lineEnd       = []byte("\r\n")
)

// parseStatusLine returns the status of a status line without its line break. It reports false if the line is none of HTTP/1.1 or
// HTTP/1.0. The blank before an empty reason may be missing, as many servers leave it out.
func parseStatusLine(line []byte) (status int, ok bool) {
	if !isStatus(line) || !isFieldValue(line) || line[len(versionPrefix)] > '1' {
		return 0, false
	}
	for _, digit := range line[len(statusForm)-3 : len(statusForm)] {
		status = 10*status + int(digit-'0')
	}
	return status, status >= http.StatusContinue && status <= MaxStatus
}

// isStatusLineStart reports whether the text can be the start of a status line and its line break.
func isStatusLineStart(text []byte) bool {
	if len(text) < len(statusForm) {
		return hasStatusForm(text)
	}
	_, ok := parseStatusLine(bytes.TrimSuffix(text, lineEnd[:1]))
	return ok
}

// isStatus reports whether the text begins with a status line, complete up to its status.
func isStatus(text []byte) bool {
	if len(text) < len(statusForm) || !hasStatusForm(text[:len(statusForm)]) {
		return false
	}
	return len(text) == len(statusForm) || text[len(statusForm)] == ' ' || text[len(statusForm)] == '\r'
}

// hasStatusForm reports whether the text, which is not longer than statusForm, has its form as far as it goes.
func hasStatusForm(text []byte) bool {
	for i, c := range text {
		if c != statusForm[i] && (statusForm[i] != '0' || c < '0' || c > '9') {
			return false
		}
	}
	return true
}

// fieldsState says what follows the last field.
type fieldsState int

const (
	// fieldsEnded means the empty line that ends a head or a trailer.
	fieldsEnded fieldsState = iota
	// fieldsCut means the end of the text, perhaps within a field.
	fieldsCut
	// fieldsBroken means a line that is no field.
	fieldsBroken
)

// cutFields returns the complete fields that the text begins with, each with its line break, and what follows
// them. A line that continues the one before is no field: RFC 9112, section 5.2 lets a proxy reject it.
func cutFields(text []byte) (fields, rest []byte, state fieldsState) {
	for rest = text; ; {
		line, next, ended := bytes.Cut(rest, lineEnd)
		fields = text[:len(text)-len(rest)]
		switch {
		case !ended:
			if isFieldStart(line) {
				return fields, rest, fieldsCut
			}
			return fields, rest, fieldsBroken
		case len(line) == 0:
			return fields, next, fieldsEnded
		case !isField(line):
			return fields, rest, fieldsBroken
		}
		rest = next
	}
}

// CheckFields returns an error if a name or a value is none of HTTP.
func CheckFields(fields http.Header) error {
	for name, values := range fields {
		broken := func(value string) bool { return !isFieldValue([]byte(value)) }
		if !isToken([]byte(name)) || slices.ContainsFunc(values, broken) {
			return errors.New("a header field breaks the grammar of HTTP")
		}
	}
	return nil
}

func isField(line []byte) bool {
	name, value, ok := bytes.Cut(line, []byte(":"))
	return ok && isToken(name) && isFieldValue(value)
}

// isFieldStart reports whether the line can be the start of a field or of an empty line.
func isFieldStart(line []byte) bool {
	line = bytes.TrimSuffix(line, lineEnd[:1])
	return len(line) == 0 || isToken(line) || isField(line)
}

// isToken reports whether the text is a valid name of a header field.
func isToken(text []byte) bool {
	for _, c := range text {
		letter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9'
		if !letter && strings.IndexByte("!#$%&'*+-.^_`|~", c) < 0 {
			return false
		}
	}
	return len(text) > 0
}

// isFieldValue reports whether the text has no control characters but tabs.
func isFieldValue(text []byte) bool {
	for _, c := range text {
		if c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}
