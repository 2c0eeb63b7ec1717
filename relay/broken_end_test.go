package relay

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// unstatedEnds are replies without a length and a coding that don't say that the connection closes behind them. Their head is a
// valid one: the line that told the end of the body was spoilt to another field, or is gone.
var unstatedEnds = map[string]string{
	"another name of the length":                    soundHead + "Content-Lengtg: 16\r\n\r\n" + oddBody[:8],
	"a letter less in the name of the length":       soundHead + "Content-Lenth: 16\r\n\r\n" + oddBody[:8],
	"a letter more in the name of the length":       soundHead + "Content-Lengthh: 16\r\n\r\n" + oddBody[:8],
	"the line of the length is gone":                soundHead + "\r\n" + oddBody[:8],
	"the line of the length is gone, a whole body":  soundHead + "\r\n" + oddBody,
	"the line of the length is gone, an empty body": soundHead + "\r\n",
	"another name of the coding, half a chunk":      soundHead + "Transfer-Encodinf: chunked\r\n\r\n10\r\n" + oddBody[:8],
	"another name of the coding, no last chunk":     soundHead + "Transfer-Encodinf: chunked\r\n\r\n10\r\n" + oddBody + "\r\n",
	"the line of the coding is gone":                soundHead + "\r\n10\r\n" + oddBody + "\r\n0\r\n",
	"another option of the connection":              soundHead + "Connection: closed\r\n\r\n" + oddBody[:8],
	"HTTP/1.0 that keeps the connection":            "HTTP/1.0 200 OK" + soundFields + "Connection: keep-alive\r\n\r\n" + oddBody[:8],
}

// Guards against a part of a body, or chunks with their marks, that pass as the whole body: the line that told its end was spoilt to
// another field, and the reply ends early.
func TestUnstatedEnds(t *testing.T) {
	ways := append([]reply{{pause: 3 * time.Millisecond}, {pause: 3 * time.Millisecond, open: true}}, inAnyPieces...)
	checkAllRejected(t, unstatedEnds, ways, http.MethodGet)
}

// emptyLengths are replies whose length was spoilt to 0.
var emptyLengths = map[string]string{
	"0":                        soundHead + "Content-Length: 0\r\n\r\n" + oddBody,
	"00":                       soundHead + "Content-Length: 00\r\n\r\n" + oddBody,
	"0, half of the body":      soundHead + "Content-Length: 0\r\n\r\n" + oddBody[:8],
	"0, the connection closes": closingHead + "Content-Length: 0\r\n\r\n" + oddBody,
}

// Guards against an empty success in place of a body: the length was spoilt to 0, and the body comes behind the head in a piece of
// its own.
func TestBodiesBehindEmptyLengths(t *testing.T) {
	checkAllRejected(t, emptyLengths, []reply{{pause: 3 * time.Millisecond}, {pause: 3 * time.Millisecond, open: true}, {byByte: true}}, http.MethodGet)
}

// Guards against an empty success of a target that ended the connection in place of sending the body.
func TestConnectionEndsInPlaceOfABody(t *testing.T) {
	checkAllRejected(t, map[string]string{"0": soundHead + "Content-Length: 0\r\n\r\n"}, untilClosed, http.MethodGet)
}

// Guards against losing sound empty successes, whose connection stays open or closes as their head says, and other empty replies.
func TestSoundEmptyReplies(t *testing.T) {
	for name, r := range map[string]reply{
		"the connection stays open": {text: soundHead + "Content-Length: 0\r\n\r\n", open: true},
		"the connection closes":     {text: closingHead + "Content-Length: 0\r\n\r\n"},
		"until the close":           {text: closingHead + "\r\n"},
		"in chunks":                 {text: soundHead + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n", open: true},
		"no content":                {text: strings.Replace(soundHead, "200 OK", "204 No Content", 1) + "\r\n", open: true},
		"a failure":                 {text: strings.Replace(soundHead, "200 OK", "404 Not Found", 1) + "Content-Length: 0\r\n\r\n", open: true},
		"a late copy comes behind":  {text: soundHead + "Content-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nReq: ID\r\n", open: true, pause: 3 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := newRawHarness(t, 1, r.serve)
			for i := range 3 {
				id := fmt.Sprint("r", i)
				res, body := h.get(t, func(req *http.Request) { req.Header.Set(headers.Request, id) })
				is.Equal(strconv.Itoa(res.StatusCode), strings.Fields(r.text)[1])
				is.Equal(res.Header.Get(headers.Signature), "sign")
				is.Equal(body, "")
			}
		})
	}
}
