package limit

import (
	"bufio"
	"io"
	"net/http"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const chunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

// readChunked reads a reply with a chunked body as a connection does, and returns what follows it.
func readChunked(text string) (body, rest string, err error) {
	c := &connection{reader: bufio.NewReaderSize(strings.NewReader(chunkedHead+text), readBufferSize)}
	if err := c.readHeader(); err != nil {
		return "", "", err
	}
	c.expectBody(false)
	b, err := c.readBody(defaultMaxBody, false)
	if err != nil {
		return "", "", err
	}
	following, _ := io.ReadAll(c.reader)
	return string(b), string(following), nil
}

// readChunkedByNetHTTP is readChunked with net/http.
func readChunkedByNetHTTP(text string) (body, rest string, err error) {
	reader := bufio.NewReaderSize(strings.NewReader(chunkedHead+text), readBufferSize)
	res, err := http.ReadResponse(reader, nil)
	if err != nil {
		return "", "", err
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	if err != nil {
		return "", "", err
	}
	following, _ := io.ReadAll(reader)
	return string(b), string(following), nil
}

// soundTrailer matches the end of a chunked body of which each line behind the last chunk is a field.
var soundTrailer = regexp.MustCompile("(?s)(^|\r\n)0+[ \t]*(;[^\n]*)?\r\n([!#$%&'*+.^_`|~0-9A-Za-z-]+:[^\x00-\x08\x0a-\x1f\x7f]*\r\n)*\r\n$")

// checkChunked fails if a body is read otherwise than by net/http. Only a trailer that breaks the grammar of HTTP, which net/http
// may take, has to be rejected.
func checkChunked(t *testing.T, text string) (body string, err error) {
	is := is.New(t)
	body, rest, err := readChunked(text)
	wantBody, wantRest, wantErr := readChunkedByNetHTTP(text)
	if wantErr == nil && !soundTrailer.MatchString(strings.TrimSuffix(text, wantRest)) {
		is.True(err != nil)
		return body, err
	}
	is.Equal(err == nil, wantErr == nil)
	is.Equal(body, wantBody)
	is.Equal(rest, wantRest)
	return body, err
}

// Guards against a chunked body that is taken for complete although it is not, and against another end than its own:
// the next reply would begin in the wrong place.
func TestChunkedBody(t *testing.T) {
	const next = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno"
	for name, tt := range map[string]struct {
		text string
		ok   bool
	}{
		"complete":                       {"2\r\nok\r\n0\r\n\r\n", true},
		"with a reply behind it":         {"2\r\nok\r\n0\r\n\r\n" + next, true},
		"trailer":                        {"2\r\nok\r\n0\r\nA: b\r\nC: d\r\n\r\n" + next, true},
		"extension":                      {"2;a=b\r\nok\r\n0\r\n\r\n", true},
		"no last chunk":                  {"2\r\nok\r\n", false},
		"no empty line":                  {"2\r\nok\r\n0\r\n", false},
		"half an empty line":             {"2\r\nok\r\n0\r\n\r", false},
		"cut trailer":                    {"2\r\nok\r\n0\r\nA: b\r\n", false},
		"a reply in place of a trailer":  {"2\r\nok\r\n0\r\n" + next, false},
		"a reply in place of a chunk":    {"2\r\nok\r\n" + next, false},
		"a chunk longer than its length": {"2\r\nokay\r\n0\r\n\r\n", false},
		"blank in a trailer's name":      {"2\r\nok\r\n0\r\nA B: c\r\n\r\n", false},
		"blank behind a trailer's name":  {"2\r\nok\r\n0\r\nA : b\r\n\r\n", false},
		"continued line in a trailer":    {"2\r\nok\r\n0\r\nA: b\r\n c\r\n\r\n", false},
		"line feed alone in a trailer":   {"2\r\nok\r\n0\r\nA: b\nC: d\r\n\r\n", false},
		"line feed alone behind a chunk": {"2\r\nok\n0\r\n\r\n", false},
		"line feed alone behind a size":  {"2\nok\r\n0\r\n\r\n", false},
		"size with a sign":               {"+2\r\nok\r\n0\r\n\r\n", false},
		"size with a control byte":       {"2\x00\r\nok\r\n0\r\n\r\n", false},
		"size with a blank in front":     {" 2\r\nok\r\n0\r\n\r\n", false},
		"no size":                        {"\r\nok\r\n0\r\n\r\n", false},
		"huge size":                      {"10000000000000002\r\nok\r\n0\r\n\r\n", false},
		"bytes in place of a trailer":    {"2\r\nok\r\n0\r\n\x00\xff\r\n\r\n", false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			body, err := checkChunked(t, tt.text)
			is.Equal(err == nil, tt.ok)
			is.True(err != nil || body == "ok")
		})
	}
}

// Guards against chunked bodies that this package and net/http read differently.
func FuzzChunkedBody(f *testing.F) {
	f.Add("2\r\nok\r\n0\r\n\r\nHTTP/1.1 200 OK\r\n\r\n")
	f.Add("2;x\r\nok\r\n0\r\nA: b\r\n\r\n")
	f.Add("0\r\n A: b\r\n\r\n")
	f.Add("02\nok\n0\n\n")
	f.Fuzz(func(t *testing.T, text string) { _, _ = checkChunked(t, text) })
}
