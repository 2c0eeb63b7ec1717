package relay

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabirelay/routing"
)

// Guards against an empty success for a caller that has closed its sending direction and still reads.
func TestCallerThatClosesOneDirection(t *testing.T) {
	for _, r := range []routing.Route{singleRoute(true, 1), singleRoute(false, 1), shardsRoute(1, "s1")} {
		t.Run(fmt.Sprint(r.Name, " ", r.Idempotent), func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t, r, newTarget("a", "s1").hang())
			conn := h.dial(t)
			_, err := fmt.Fprintf(conn, "GET /q/x HTTP/1.1\r\nHost: h\r\n%s: r1\r\n%s: 1500\r\n\r\n", headers.Request, headers.Timeout)
			is.NoErr(err)
			time.Sleep(50 * time.Millisecond)
			is.NoErr(conn.(*net.TCPConn).CloseWrite())
			res, err := http.ReadResponse(bufio.NewReader(conn), nil)
			is.NoErr(err)
			defer res.Body.Close()
			is.Equal(res.StatusCode, http.StatusBadGateway)
		})
	}
}
