package relay

import (
	"net/http"
	"testing"
	"time"
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
