package relay

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabirelay/portion"
)

// reply is what a target sends in reply to each request. ID in it stands for the identity of the request.
type reply struct {
	text string
	// byByte sends each byte in a piece of its own, open keeps the connection open.
	byByte, open bool
	// pause is the time between the head and the body; 0 sends both in one piece. gaps receives what it was.
	pause time.Duration
	gaps  chan<- time.Duration
}

func (r reply) write(conn net.Conn, req *http.Request) {
	text := strings.ReplaceAll(r.text, "ID", req.Header.Get(headers.Request))
	if r.pause > 0 {
		head, body, _ := strings.Cut(text, headEnd)
		started := time.Now()
		_, _ = io.WriteString(conn, head+headEnd) // an error means that the host has closed the connection
		time.Sleep(r.pause)
		text = body
		if r.gaps != nil {
			defer func() { r.gaps <- time.Since(started) }()
		}
	}
	size := len(text)
	if r.byByte {
		size = 1
	}
	for ; text != ""; text = text[min(size, len(text)):] {
		_, _ = io.WriteString(conn, text[:size]) // an error means that the host has closed the connection
	}
}

// serve is a target on a connection.
func (r reply) serve(conn net.Conn) {
	serveRequests(conn, func(req *http.Request) bool {
		r.write(conn, req)
		return r.open
	})
}

// replyOf makes the target send the reply.
func (f *fakeTarget) replyOf(r reply) *fakeTarget {
	f.reply = func(w http.ResponseWriter, req *http.Request) {
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		if r.write(conn, req); r.open {
			_, _ = conn.Read(make([]byte, 1)) // until the host closes the connection
		}
		conn.Close()
	}
	return f
}

// ask returns the answer of a relay whose target sends the reply. It asks another one if the machine was too busy for the pause in the
// reply: nothing tells a body that comes later from none.
func (r reply) ask(t *testing.T, relay func(r reply) *harness, change func(*http.Request)) (res response, body string) {
	t.Helper()
	for range 10 {
		gaps := make(chan time.Duration, 1)
		r.gaps = gaps
		res, body = relay(r).get(t, change)
		if r.pause == 0 || <-gaps <= lateRest {
			return res, body
		}
	}
	t.Fatal("the machine was too busy for the pause in the reply")
	return res, body
}

// checkRejected checks that no caller gets the reply to one of the methods as an answer, on any way that replies take.
func checkRejected(t *testing.T, r reply, methods ...string) {
	t.Helper()
	for _, passed := range []bool{false, true} {
		for _, method := range methods {
			t.Run(fmt.Sprintf("%s, passed on: %t", method, passed), func(t *testing.T) {
				is := is.New(t)
				res, body := r.ask(t, func(r reply) *harness {
					h := newRawHarness(t, 1, r.serve)
					if passed {
						other := h
						h = newHarness(t, singleRoute(false, 1), newTarget("a", "s1"))
						h.loseLinks()
						h.passTo(map[string]func(context.Context, *portion.Request, func(*portion.Frame, error)){"other": other.collectEncoded})
					}
					return h
				}, func(req *http.Request) { req.Method = method })
				is.Equal(res.StatusCode, http.StatusBadGateway) // at once, not at the deadline
				is.Equal(res.Header.Get(headers.Signature), "")
				is.True(!strings.Contains(body, "odd"))
			})
		}
	}
	for _, divided := range []bool{false, true} {
		t.Run(fmt.Sprintf("of a shard, in a portion: %t", divided), func(t *testing.T) {
			is := is.New(t)
			res, body := r.ask(t, func(r reply) *harness {
				h, _ := eightShards(t, 0.5, map[int]func(*fakeTarget){7: func(f *fakeTarget) { f.replyOf(r) }})
				if divided {
					h.divided(4, h.collectEncoded)
				}
				return h
			}, nil)
			is.Equal(res.StatusCode, http.StatusOK)
			is.True(!strings.Contains(body, "odd"))
			is.Equal(res.Header.Get(headers.Missing), "1")
			is.Equal(len(strings.Split(res.Header.Get(headers.Parts), ",")), 7)
		})
	}
}

// The ways in which replies are sent: in one piece and byte by byte, the connection closed behind them or kept open.
var (
	inAnyPieces = []reply{{}, {byByte: true}, {open: true}}
	inOnePiece  = []reply{{}, {open: true}}
	untilClosed = []reply{{}, {byByte: true}}
)

// checkAllRejected is checkRejected for the texts, by name, each sent in all the ways.
func checkAllRejected(t *testing.T, texts map[string]string, ways []reply, methods ...string) {
	t.Helper()
	for name, text := range texts {
		for _, r := range ways {
			r.text = text
			t.Run(fmt.Sprintf("%s, by byte: %t, open: %t, pause: %s", name, r.byByte, r.open, r.pause), func(t *testing.T) { checkRejected(t, r, methods...) })
		}
	}
}

// oddBody is the body of broken replies, oddChunks the same in chunks.
var (
	oddBody   = string(record("odd"))
	oddChunks = "10\r\n" + oddBody + "\r\n0\r\n\r\n"
)

const (
	headEnd = "\r\n\r\n"
	// soundHead is a head without its end and without a word on the body, soundFields what follows its status line.
	soundHead   = "HTTP/1.1 200 OK" + soundFields
	soundFields = "\r\nReq: ID\r\nSign: sign\r\n"
	// closingHead is soundHead of a reply that may end with its connection.
	closingHead = soundHead + "Connection: close\r\n"
	// stated states the length of oddBody.
	stated = "Content-Length: 16\r\n"
)

// brokenHeads are replies whose head is not one of HTTP.
var brokenHeads = map[string]string{
	"blank in the name of the coding":         soundHead + "Transfer Encoding: chunked\r\n\r\n" + oddChunks,
	"blank behind the name of the coding":     soundHead + "Transfer-Encoding : chunked\r\n\r\n" + oddChunks,
	"tab behind the name of the coding":       soundHead + "Transfer-Encoding\t: chunked\r\n\r\n" + oddChunks,
	"blank before the name of the coding":     soundHead + " Transfer-Encoding: chunked\r\n\r\n" + oddChunks,
	"control byte in the name of the coding":  soundHead + "Transfer\x01Encoding: chunked\r\n\r\n" + oddChunks,
	"coding continues a line":                 soundHead + "X: 1\r\n Transfer-Encoding: chunked\r\n\r\n" + oddChunks,
	"coding behind a line feed alone":         soundHead + "X: 1\nTransfer-Encoding: chunked\r\n\r\n" + oddChunks,
	"coding before a line feed alone":         soundHead + "Transfer-Encoding: chunked\nX: 1\r\n\r\n" + oddChunks,
	"coding behind a carriage return alone":   soundHead + "X: 1\rTransfer-Encoding: chunked\r\n\r\n" + oddChunks,
	"unknown coding":                          soundHead + "Transfer-Encoding: chunkee\r\n\r\n" + oddChunks,
	"coding with a control byte":              soundHead + "Transfer-Encoding: chunked\x00\r\n\r\n" + oddChunks,
	"coding in quotes":                        soundHead + "Transfer-Encoding: \"chunked\"\r\n\r\n" + oddChunks,
	"two codings":                             soundHead + "Transfer-Encoding: gzip, chunked\r\n\r\n" + oddChunks,
	"blank in the name of the length":         soundHead + "Content Length: 16\r\n\r\n" + oddBody,
	"blank behind the name of the length":     soundHead + "Content-Length : 3\r\n\r\n" + oddBody,
	"line feed alone between two lengths":     soundHead + "Content-Length: 3\nContent-Length: 16\r\n\r\n" + oddBody,
	"line feed alone between length and more": soundHead + "Content-Length: 3\nX: 1\r\n\r\n" + oddBody,
	"line feed alone behind the status line":  strings.Replace(soundHead, "\r\n", "\n", 1) + stated + "\r\n" + oddBody,
	"line feeds alone":                        strings.ReplaceAll(soundHead+stated+"\r\n", "\r\n", "\n") + oddBody,
	"length with a sign":                      soundHead + "Content-Length: +16\r\n\r\n" + oddBody,
	"length with a control byte":              soundHead + "Content-Length: 1\x006\r\n\r\n" + oddBody,
	"length with a blank":                     soundHead + "Content-Length: 1 6\r\n\r\n" + oddBody,
	"length in hexadecimal":                   soundHead + "Content-Length: 0x10\r\n\r\n" + oddBody,
	"length with a separator":                 soundHead + "Content-Length: 1_6\r\n\r\n" + oddBody,
	"empty length":                            soundHead + "Content-Length:\r\n\r\n" + oddBody,
	"length that is too large for a number":   soundHead + "Content-Length: 18446744073709551632\r\n\r\n" + oddBody,
	"list of lengths":                         soundHead + "Content-Length: 3, 16\r\n\r\n" + oddBody,
	"two lengths":                             soundHead + stated + "Content-Length: 3\r\n\r\n" + oddBody,
	"blank in a name":                         soundHead + "X Y: 1\r\n" + stated + "\r\n" + oddBody,
	"blank behind a name":                     soundHead + "X : 1\r\n" + stated + "\r\n" + oddBody,
	"control byte in a name":                  soundHead + "X\x01Y: 1\r\n" + stated + "\r\n" + oddBody,
	"delete in a name":                        soundHead + "X\x7fY: 1\r\n" + stated + "\r\n" + oddBody,
	"byte beyond ASCII in a name":             soundHead + "X\xe9Y: 1\r\n" + stated + "\r\n" + oddBody,
	"separator in a name":                     soundHead + "X(Y): 1\r\n" + stated + "\r\n" + oddBody,
	"no name":                                 soundHead + ": 1\r\n" + stated + "\r\n" + oddBody,
	"no colon":                                soundHead + "X\r\n" + stated + "\r\n" + oddBody,
	"control byte in a value":                 soundHead + "X: \x01\r\n" + stated + "\r\n" + oddBody,
	"continued line":                          soundHead + "X: 1\r\n 2\r\n" + stated + "\r\n" + oddBody,
	"continued status line":                   "HTTP/1.1 200 OK\r\n X: 1\r\nReq: ID\r\nSign: sign\r\n" + stated + "\r\n" + oddBody,
	"status 000":                              "HTTP/1.1 000 OK" + soundFields + stated + "\r\n" + oddBody,
	"status with a sign":                      "HTTP/1.1 +20 OK" + soundFields + stated + "\r\n" + oddBody,
	"status of four digits":                   "HTTP/1.1 2000 OK" + soundFields + stated + "\r\n" + oddBody,
	"status of two digits":                    "HTTP/1.1 20 OK" + soundFields + stated + "\r\n" + oddBody,
	"status behind two blanks":                "HTTP/1.1  200 OK" + soundFields + stated + "\r\n" + oddBody,
	"status behind a tab":                     "HTTP/1.1\t200 OK" + soundFields + stated + "\r\n" + oddBody,
	"tab behind the status":                   "HTTP/1.1 200\tOK" + soundFields + stated + "\r\n" + oddBody,
	"control byte in the reason":              "HTTP/1.1 200 O\x01" + soundFields + stated + "\r\n" + oddBody,
	"version 2.0":                             "HTTP/2.0 200 OK" + soundFields + stated + "\r\n" + oddBody,
	"version 1.7":                             "HTTP/1.7 200 OK" + soundFields + stated + "\r\n" + oddBody,
	"version 1.10":                            "HTTP/1.10 200 OK" + soundFields + stated + "\r\n" + oddBody,
	"version in small letters":                "http/1.1 200 OK" + soundFields + stated + "\r\n" + oddBody,
	"blank before the status line":            " " + soundHead + stated + "\r\n" + oddBody,
	"empty line before the status line":       "\r\n" + soundHead + stated + "\r\n" + oddBody,
}

// Guards against a caller that gets a body which is not the target's, or a line that is no field, because the head of
// the reply is broken, and against one that waits for its deadline although the head can't become valid.
func TestBrokenHeads(t *testing.T) {
	checkAllRejected(t, brokenHeads, inAnyPieces, http.MethodGet, http.MethodHead)
}

// contradictoryFraming are replies whose head states the end of the body twice, or in a way that its version doesn't have.
var contradictoryFraming = map[string]string{
	"a length beside the coding":                soundHead + "Transfer-Encoding: chunked\r\n" + stated + "\r\n" + oddChunks,
	"a coding behind the length":                soundHead + stated + "Transfer-Encoding: chunked\r\n\r\n" + oddChunks,
	"the length of the chunks":                  soundHead + "Transfer-Encoding: chunked\r\nContent-Length: 27\r\n\r\n" + oddChunks,
	"a length of nothing beside the coding":     soundHead + "Transfer-Encoding: chunked\r\nContent-Length: 0\r\n\r\n" + oddChunks,
	"a coding beside the length of a body":      soundHead + "Transfer-Encoding: chunked\r\n" + stated + "\r\n" + oddBody,
	"a coding in version 1.0":                   "HTTP/1.0 200 OK" + soundFields + "Transfer-Encoding: chunked\r\n\r\n" + oddChunks,
	"a coding beside the length in version 1.0": "HTTP/1.0 200 OK" + soundFields + "Transfer-Encoding: chunked\r\n" + stated + "\r\n" + oddBody,
}

// Guards against a body that ends elsewhere than the target meant because its head states two ends.
func TestContradictoryFraming(t *testing.T) {
	checkAllRejected(t, contradictoryFraming, inAnyPieces, http.MethodGet, http.MethodHead)
}

// brokenTrailers are replies in chunks behind which a line comes that is no field.
var brokenTrailers = map[string]string{
	"blank in a name":         trailerReply("X Y: 1\r\n"),
	"blank behind a name":     trailerReply("X : 1\r\n"),
	"control byte in a name":  trailerReply("X\x01Y: 1\r\n"),
	"no colon":                trailerReply("X\r\n"),
	"no name":                 trailerReply(": 1\r\n"),
	"control byte in a value": trailerReply("X: \x01\r\n"),
	"continued line":          trailerReply("X: 1\r\n 2\r\n"),
	"line feed alone":         trailerReply("X: 1\nY: 2\r\n"),
	"line feed at the end":    trailerReply("X: 1\n"),
	"chunk":                   trailerReply("3\r\nodd\r\n"),
	"status line":             trailerReply("HTTP/1.1 200 OK\r\n"),
}

func trailerReply(lines string) string {
	return soundHead + "Transfer-Encoding: chunked\r\n\r\n10\r\n" + oddBody + "\r\n0\r\n" + lines + "\r\n"
}

// Guards against a reply whose body may have another end, because a line behind its last chunk is no field.
func TestBrokenTrailers(t *testing.T) {
	checkAllRejected(t, brokenTrailers, inAnyPieces, http.MethodGet)
}

// Guards against the marks of chunks in the body of a caller: the head lost the word on the coding, and its body then ends with
// the connection.
func TestChunksWithoutCoding(t *testing.T) {
	checkAllRejected(t, map[string]string{
		"another name":       closingHead + "Transfer-Encodinf: chunked\r\n\r\n" + oddChunks,
		"no line":            closingHead + "\r\n" + oddChunks,
		"HTTP/1.0":           "HTTP/1.0 200 OK" + soundFields + "\r\n" + oddChunks,
		"several chunks":     closingHead + "\r\n8\r\nodd body\r\n" + oddChunks,
		"extension, trailer": closingHead + "\r\n10;a=b\r\n" + oddBody + "\r\n000\r\nX: y\r\n\r\n",
		"empty":              closingHead + "\r\n0\r\n\r\n",
	}, untilClosed, http.MethodGet)
}

// Guards against losing a body without a length that only resembles chunks.
func TestBodyLikeChunks(t *testing.T) {
	for _, body := range []string{
		"", "0\r\n", "1\r\na\r\n2\r\nbb\r\n", "10\r\n" + oddBody, oddChunks[:len(oddChunks)-1], oddChunks + "\r\n",
		"text\r\n" + oddChunks, "3\r\nodd\n0\r\n\r\n", "0\r\nno field\r\n\r\n",
	} {
		t.Run(fmt.Sprintf("%q", body), func(t *testing.T) {
			is := is.New(t)
			res, got := newRawHarness(t, 1, reply{text: closingHead + "\r\n" + body}.serve).get(t, nil)
			is.Equal(res.StatusCode, http.StatusOK)
			is.Equal(got, body)
		})
	}
}

// continuedReplies are replies behind whose end, as their head states it, more bytes come in the same piece.
var continuedReplies = map[string]string{
	"a length that is too short":                soundHead + "Content-Length: 9\r\n\r\n" + oddBody,
	"a length that is too short by one":         soundHead + "Content-Length: 15\r\n\r\n" + oddBody,
	"a length of nothing":                       soundHead + "Content-Length: 0\r\n\r\n" + oddBody,
	"seven bytes behind the body":               soundHead + stated + "\r\n" + oddBody + "seven b",
	"an empty line behind the body":             soundHead + stated + "\r\n" + oddBody + "\r\n",
	"a large body with a length too short":      soundHead + "Content-Length: 20000\r\n\r\n" + strings.Repeat(oddBody, 1250) + "seven b",
	"a very large body":                         soundHead + "Content-Length: 40000\r\n\r\n" + strings.Repeat(oddBody, 2500) + "seven b",
	"seven bytes behind the last chunk":         soundHead + "Transfer-Encoding: chunked\r\n\r\n" + oddChunks + "seven b",
	"a chunk behind the last one":               soundHead + "Transfer-Encoding: chunked\r\n\r\n" + "3\r\nodd\r\n0\r\n\r\n" + oddChunks,
	"a body behind a 204":                       "HTTP/1.1 204 No Content" + soundFields + "\r\n" + oddBody,
	"a body behind a 304":                       "HTTP/1.1 304 Not Modified" + soundFields + stated + "\r\n" + oddBody,
	"bytes that begin like a status line":       soundHead + stated + "\r\n" + oddBody + "HTTP is nice",
	"a status line that is none":                soundHead + stated + "\r\n" + oddBody + "HTTP/1.1 000 OK\r\n\r\n",
	"a status line and a line that is no field": soundHead + stated + "\r\n" + oddBody + "HTTP/1.1 200 OK\r\nodd\r\n",
}

// Guards against a body that is cut at a length which is too short: the rest comes behind it, where a sound target sends
// nothing.
func TestContinuedReplies(t *testing.T) {
	checkAllRejected(t, continuedReplies, inOnePiece, http.MethodGet, http.MethodHead)
}

// Guards against losing a whole reply because another one, perhaps cut, comes behind it.
func TestReplyBehindReply(t *testing.T) {
	sound := soundHead + stated + "\r\n" + oddBody
	for name, behind := range map[string]string{
		"nothing":                        "",
		"a copy":                         sound,
		"another reply":                  "HTTP/1.1 503 Busy\r\nReq: other\r\nContent-Length: 0\r\n\r\n",
		"a reply without identity":       "HTTP/1.0 200 OK\r\n\r\nbody",
		"a byte of a reply":              "H",
		"a reply cut in its status line": "HTTP/1.1 2",
		"a reply cut in a name":          "HTTP/1.1 200 OK\r\nCont",
		"a reply cut in its empty line":  "HTTP/1.1 200 OK\r\nX: y\r\n\r",
	} {
		for _, text := range []string{sound, soundHead + "Transfer-Encoding: chunked\r\n\r\n" + oddChunks} {
			t.Run(name, func(t *testing.T) {
				is := is.New(t)
				res, body := newRawHarness(t, 1, reply{text: text + behind}.serve).get(t, nil)
				is.Equal(res.StatusCode, http.StatusOK)
				is.Equal(body, oddBody)
				is.Equal(res.Header.Get(headers.Signature), "sign")
			})
		}
	}
}
