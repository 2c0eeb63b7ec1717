package relay

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// callerRequest returns a request of a caller in wire format, with lines in its head.
func callerRequest(method, path, id, body string, lines ...string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: h\r\n%s: %s\r\n%s: 1500\r\n%s\r\n%s",
		method, path, headers.Request, id, headers.Timeout, strings.Join(append(lines, ""), "\r\n"), body)
}

func lengthOf(body string) string { return fmt.Sprint("Content-Length: ", len(body)) }

// Guards against bytes of a body that become a request of their own, against an answer that goes to another request
// of the same caller's connection, and against a request that targets get without its whole body: callers that
// pipeline, that send a body slowly, that end it wrongly or that get an answer before its end.
func TestRequestsOnOneConnection(t *testing.T) {
	const chunked = "Transfer-Encoding: chunked"
	inner := callerRequest("POST", "/q/inner", "inner", "", "Content-Length: 0")
	long := strings.Repeat("x", 100) + inner // longer than the routing document allows
	huge := strings.Repeat("x", 300<<10) + inner
	for _, tt := range []struct {
		name  string
		parts []string // sent one after the other, with a pause
		// closed is true if the sending direction is closed after them.
		closed bool
		// statuses are those of the answers, paths those of the requests that targets get, with their
		// bodies. Without statuses, only the answers that arrive are checked.
		statuses []int
		paths    []string
	}{
		{"pipelined", []string{
			callerRequest("GET", "/q/1", "1", "") + callerRequest("POST", "/q/2", "2", "two", "Content-Length: 3") + callerRequest("GET", "/q/3", "3", ""),
		}, false, []int{200, 200, 200}, []string{"/q/1", "/q/2 two", "/q/3"}},
		{"pipelined, and the sending direction closed", []string{
			callerRequest("GET", "/q/1", "1", "") + callerRequest("GET", "/q/2", "2", ""),
		}, true, nil, nil},
		{"slow body", []string{
			callerRequest("POST", "/q/1", "1", "sl", "Content-Length: 4"), "ow", callerRequest("GET", "/q/2", "2", ""),
		}, false, []int{200, 200}, []string{"/q/1 slow", "/q/2"}},
		{"slow chunks", []string{
			callerRequest("POST", "/q/1", "1", "2\r\nsl", chunked), "\r\n2\r\now\r\n0\r\n", "\r\n" + callerRequest("GET", "/q/2", "2", ""),
		}, false, []int{200, 200}, []string{"/q/1 slow", "/q/2"}},
		{"chunks and a length", []string{
			callerRequest("POST", "/q/1", "1", "2\r\nok\r\n0\r\n\r\n", "Content-Length: 1", chunked) + callerRequest("GET", "/q/2", "2", ""),
		}, false, []int{200, 200}, []string{"/q/1 ok", "/q/2"}},
		{"two lengths", []string{callerRequest("POST", "/q/1", "1", inner, "Content-Length: 0", lengthOf(inner))}, false, []int{400}, nil},
		{"wrong end of a chunk", []string{callerRequest("POST", "/q/1", "1", "2\r\nokX"+inner, chunked)}, false, []int{400}, nil},
		{"no chunk size", []string{callerRequest("POST", "/q/1", "1", "\r\n"+inner, chunked)}, false, []int{400}, nil},
		{"body that ends early", []string{callerRequest("POST", "/q/1", "1", "ok", "Content-Length: 4")}, true, []int{400}, nil},
		{"chunks that end early", []string{callerRequest("POST", "/q/1", "1", "4\r\nok", chunked)}, true, []int{400}, nil},
		{"no route, with a body", []string{
			callerRequest("POST", "/none", "1", inner, lengthOf(inner)) + callerRequest("GET", "/q/2", "2", ""),
		}, false, []int{404, 200}, []string{"/q/2"}},
		{"no route, with a slow body", []string{
			callerRequest("POST", "/none", "1", inner[:7], lengthOf(inner)), inner[7:] + callerRequest("GET", "/q/2", "2", ""),
		}, false, []int{404, 200}, []string{"/q/2"}},
		{"no identity, with a body", []string{
			callerRequest("POST", "/q/1", "", inner, lengthOf(inner)) + callerRequest("GET", "/q/2", "2", ""),
		}, false, []int{400, 200}, []string{"/q/2"}},
		{"body that is too long", []string{
			callerRequest("POST", "/q/1", "1", long, lengthOf(long)) + callerRequest("GET", "/q/2", "2", ""),
		}, false, []int{413, 200}, []string{"/q/2"}},
		{"body that is far too long", []string{callerRequest("POST", "/q/1", "1", huge, lengthOf(huge))}, false, []int{413}, nil},
		{"body that is far too long, no route", []string{callerRequest("POST", "/none", "1", huge, lengthOf(huge))}, false, []int{404}, nil},
		{"chunks that are far too long", []string{
			callerRequest("POST", "/q/1", "1", fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(huge), huge), chunked),
		}, false, []int{413}, nil},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var mu sync.Mutex
			var paths []string
			target := newTarget("a", "s1")
			target.reply = func(w http.ResponseWriter, r *http.Request) {
				mu.Lock()
				defer mu.Unlock()
				paths = append(paths, strings.TrimSuffix(r.RequestURI+" "+target.body, " "))
				w.Header().Set(headers.Signature, "sign")
				_, _ = io.WriteString(w, r.RequestURI)
			}
			h := newHarness(t, singleRoute(false, 1), target)
			conn, err := net.Dial("tcp", h.server.Listener.Addr().String())
			is.NoErr(err)
			defer conn.Close()
			is.NoErr(conn.SetDeadline(time.Now().Add(5 * time.Second)))
			sent := make(chan struct{})
			go func() {
				defer close(sent)
				for i, part := range tt.parts {
					if i > 0 {
						time.Sleep(20 * time.Millisecond)
					}
					_, _ = io.WriteString(conn, part) // fails if the answer comes before the end of the body
				}
				if tt.closed {
					_ = conn.(*net.TCPConn).CloseWrite()
				}
			}()
			reader := bufio.NewReader(conn)
			var statuses []int
			for {
				if len(statuses) >= len(tt.statuses) { // no other answer may follow
					is.NoErr(conn.SetReadDeadline(time.Now().Add(100 * time.Millisecond)))
				}
				res, err := http.ReadResponse(reader, nil)
				if err != nil {
					break
				}
				body, err := io.ReadAll(res.Body)
				res.Body.Close()
				is.NoErr(err)
				statuses = append(statuses, res.StatusCode)
				if res.StatusCode == http.StatusOK {
					is.Equal(res.Header.Get(headers.Request), strings.TrimPrefix(string(body), "/q/"))
				}
			}
			conn.Close()
			<-sent
			mu.Lock()
			defer mu.Unlock()
			is.True(!slices.Contains(paths, "/q/inner"))
			if tt.statuses != nil {
				is.Equal(statuses, tt.statuses)
				is.Equal(paths, tt.paths)
			}
		})
	}
}

// Guards against a request that runs without the identity that its caller sent, or with another one, against an
// answer that names another, and against refusing an unusual identity.
func TestIdentityOfRequest(t *testing.T) {
	const chunked = "Transfer-Encoding: chunked"
	long := strings.Repeat("i", 4<<10)
	for _, tt := range []struct {
		name   string
		lines  []string // of the head
		body   string
		status int
		id     string // at the target and in the answer
	}{
		{"usual", []string{"Req: r1"}, "", 200, "r1"},
		{"none", nil, "", 400, ""},
		{"empty", []string{"Req:"}, "", 400, ""},
		{"blanks", []string{"Req: \t "}, "", 400, ""},
		{"among blanks", []string{"Req: \t r1 \t"}, "", 200, "r1"},
		{"with blanks and signs", []string{"Req: a  b,\"c\";\\=:"}, "", 200, "a  b,\"c\";\\=:"},
		{"other case of the name", []string{"rEQ: r1"}, "", 200, "r1"},
		{"no UTF-8", []string{"Req: a\xe9\xff"}, "", 200, "a\xe9\xff"},
		{"long", []string{"Req: " + long}, "", 200, long},
		{"control character", []string{"Req: a\x01"}, "", 400, ""},
		{"bare carriage return", []string{"Req: a\rX: b"}, "", 400, ""},
		{"twice the same", []string{"Req: r1", "Req: r1"}, "", 200, "r1"},
		{"two", []string{"Req: r1", "Req: r2"}, "", 200, "r1"},
		{"one and an empty one", []string{"Req:", "Req: r2"}, "", 400, ""},
		{"only in the trailer", []string{chunked, "Trailer: Req"}, "2\r\nok\r\n0\r\nReq: r1\r\n\r\n", 400, ""},
		{"another in the trailer", []string{"Req: r1", chunked, "Trailer: Req"}, "2\r\nok\r\n0\r\nReq: r2\r\n\r\n", 200, "r1"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			target := newTarget("a", "s1").records("x")
			h := newHarness(t, singleRoute(false, 1), target)
			conn, err := net.Dial("tcp", h.server.Listener.Addr().String())
			is.NoErr(err)
			defer conn.Close()
			is.NoErr(conn.SetDeadline(time.Now().Add(5 * time.Second)))
			head := append([]string{"POST /q/x HTTP/1.1", "Host: h", headers.Timeout + ": 1500"}, tt.lines...)
			_, err = io.WriteString(conn, strings.Join(head, "\r\n")+"\r\n\r\n"+tt.body)
			is.NoErr(err)
			res, err := http.ReadResponse(bufio.NewReader(conn), nil)
			is.NoErr(err)
			defer res.Body.Close()
			is.Equal(res.StatusCode, tt.status)
			is.Equal(res.Header.Get(headers.Request), tt.id)
			if tt.status != http.StatusOK {
				is.Equal(target.requests.Load(), int64(0))
				return
			}
			is.Equal(target.last.Header.Get(headers.Request), tt.id)
		})
	}
}

// Guards against refusing a request in absolute form, which every server has to accept, and against targets that
// get another path or query than the caller sent.
func TestFormsOfRequestTarget(t *testing.T) {
	for _, tt := range []struct{ sent, host, got string }{
		{"/q/x%2Fy?a=%20&b=http://h/r/", "h", "/q/x%2Fy?a=%20&b=http://h/r/"},
		{"/q//x/../y;z", "h:80", "/q//x/../y;z"},
		{"http://h/q/x%2Fy?a=/b", "other", "/q/x%2Fy?a=/b"},
		{"HTTP://H:80/q/x", "other", "/q/x"},
		{"http://h", "h", ""},
		{"http://h?a=/q/", "h", ""},
		{"//h/q/x", "h", ""},
		{"q/x", "h", ""},
		{"*", "h", ""},
	} {
		t.Run(tt.sent, func(t *testing.T) {
			is := is.New(t)
			target := newTarget("a", "s1").records("x")
			h := newHarness(t, singleRoute(false, 1), target)
			conn := h.dial(t)
			_, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: %s\r\n%s: r1\r\n%s: 1500\r\n\r\n", tt.sent, tt.host, headers.Request, headers.Timeout)
			is.NoErr(err)
			res, err := http.ReadResponse(bufio.NewReader(conn), nil)
			is.NoErr(err)
			defer res.Body.Close()
			if tt.got == "" {
				is.True(res.StatusCode == http.StatusNotFound || res.StatusCode == http.StatusBadRequest)
				is.Equal(target.requests.Load(), int64(0))
				return
			}
			is.Equal(res.StatusCode, http.StatusOK)
			is.Equal(target.last.RequestURI, tt.got)
		})
	}
}

// Guards against a caller whose body stalls and that gets no answer, while its request holds memory and a connection; and
// against a later request on a connection whose first body was read within a bound.
func TestStalledBody(t *testing.T) {
	const timeout = 300 * time.Millisecond
	head := func(id string, length int) string {
		return fmt.Sprintf("POST /q/x HTTP/1.1\r\nHost: h\r\n%s: %s\r\n%s: %d\r\nContent-Length: %d\r\n\r\n",
			headers.Request, id, headers.Timeout, timeout.Milliseconds(), length)
	}
	is := is.New(t)
	f := newTarget("a", "s1").records("x")
	h := newHarness(t, singleRoute(false, 1), f)
	dial := func() (net.Conn, *bufio.Reader) {
		conn := h.dial(t)
		return conn, bufio.NewReader(conn)
	}
	status := func(reader *bufio.Reader) int {
		res, err := http.ReadResponse(reader, nil)
		is.NoErr(err)
		defer res.Body.Close()
		_, err = io.Copy(io.Discard, res.Body)
		is.NoErr(err)
		return res.StatusCode
	}

	stalled, reader := dial()
	started := time.Now()
	_, err := io.WriteString(stalled, head("r1", 10)+"half")
	is.NoErr(err)
	is.Equal(status(reader), http.StatusRequestTimeout)
	is.True(time.Since(started) < 2*timeout)
	is.Equal(f.requests.Load(), int64(0))

	kept, reader := dial()
	for i := range 2 {
		_, err = io.WriteString(kept, head(fmt.Sprint("k", i), 4)+"body")
		is.NoErr(err)
		is.Equal(status(reader), http.StatusOK)
		time.Sleep(timeout + timeout/2) // longer than the body had
	}
}
