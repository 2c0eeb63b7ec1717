package relay

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabirelay/portion"
)

// bodilessTarget answers the requests on each connection: the first one with a reply, whose identity and signature it
// adds, the others with a record.
type bodilessTarget struct {
	reply       string
	connections atomic.Int64
	methods     []string
}

func (f *bodilessTarget) serve(conn net.Conn) {
	defer conn.Close()
	f.connections.Add(1)
	reader := bufio.NewReader(conn)
	for first := true; ; first = false {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		reply := "HTTP/1.1 200 OK\r\nContent-Length: 16\r\n\r\n" + string(record("whole"))
		if first {
			f.methods = append(f.methods, r.Method)
			reply = f.reply
		}
		interim := strings.HasPrefix(reply, "HTTP/1.1 1")
		if interim {
			_, _ = io.WriteString(conn, "HTTP/1.1 103 Early Hints\r\nLink: x\r\nTransfer-Encoding: chunked\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n")
			_, reply, _ = strings.Cut(reply, "\r\n\r\n")
		}
		head, rest, _ := strings.Cut(reply, "\r\n")
		_, _ = fmt.Fprintf(conn, "%s\r\n%s: %s\r\n%s: sign\r\n%s", head, headers.Request, r.Header.Get(headers.Request), headers.Signature, rest)
	}
}

// bodilessReplies are replies without a body, by the method of the request. length is what the caller is told of
// their length, empty if nothing: net/http omits it from 204 and 304.
var bodilessReplies = []struct {
	name, method, reply string
	status              int
	length              string
}{
	{"HEAD", http.MethodHead, "HTTP/1.1 200 OK\r\nContent-Length: 4096\r\nETag: \"e\"\r\n\r\n", 200, "4096"},
	{"HEAD of more than fits", http.MethodHead, "HTTP/1.1 200 OK\r\nContent-Length: 9000000000\r\n\r\n", 200, "9000000000"},
	{"HEAD of nothing", http.MethodHead, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", 200, "0"},
	{"HEAD, not found", http.MethodHead, "HTTP/1.1 404 Not Found\r\nContent-Length: 9\r\n\r\n", 404, "9"},
	{"HEAD, chunked", http.MethodHead, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", 200, ""},
	{"HEAD, without a length", http.MethodHead, "HTTP/1.1 200 OK\r\n\r\n", 200, ""},
	{"HEAD, not modified", http.MethodHead, "HTTP/1.1 304 Not Modified\r\nContent-Length: 7\r\n\r\n", 304, ""},
	{"HEAD after interim replies", http.MethodHead, "HTTP/1.1 103 \r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", 200, "5"},
	{"no content", http.MethodGet, "HTTP/1.1 204 No Content\r\n\r\n", 204, ""},
	{"no content, with a length", http.MethodGet, "HTTP/1.1 204 No Content\r\nContent-Length: 5\r\n\r\n", 204, ""},
	{"no content, chunked", http.MethodPost, "HTTP/1.1 204 No Content\r\nTransfer-Encoding: chunked\r\n\r\n", 204, ""},
	{"not modified", http.MethodGet, "HTTP/1.1 304 Not Modified\r\n\r\n", 304, ""},
	{"not modified, with a length", http.MethodGet, "HTTP/1.1 304 Not Modified\r\nContent-Length: 4096\r\n\r\n", 304, ""},
	{"not modified, chunked", http.MethodGet, "HTTP/1.1 304 Not Modified\r\nTransfer-Encoding: chunked\r\n\r\n", 304, ""},
}

// exchangeTwo sends a request and a GET on one connection and returns the responses with their bodies.
func exchangeTwo(t *testing.T, h *harness, method, fields, body string) (res [2]response, bodies [2]string) {
	t.Helper()
	conn, err := net.Dial("tcp", h.server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	reader := bufio.NewReader(conn)
	for i, m := range []string{method, http.MethodGet} {
		_, _ = fmt.Fprintf(conn, "%s /q/x HTTP/1.1\r\nHost: h\r\n%s: r%d\r\n%s: 5000\r\n%s\r\n%s", m, headers.Request, i, headers.Timeout, fields, body)
		fields, body = "", ""
		for res[i].StatusCode < http.StatusOK { // interim answers come first
			res[i], bodies[i] = readResponse(t, reader, m)
		}
	}
	return res, bodies
}

func readResponse(t *testing.T, reader *bufio.Reader, method string) (response, string) {
	t.Helper()
	res, err := http.ReadResponse(reader, &http.Request{Method: method})
	if err != nil {
		t.Fatal(method, err)
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	if err != nil {
		t.Fatal(method, err)
	}
	return response{res.StatusCode, res.Header}, string(body)
}

// Guards against answers to HEAD, and others without a body, that are waited for or reported with another length, and
// against connections that can't be used after them.
func TestRepliesWithoutABody(t *testing.T) {
	for _, tt := range bodilessReplies {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			f := &bodilessTarget{reply: tt.reply}
			h := newRawHarness(t, 1, f.serve)
			res, bodies := exchangeTwo(t, h, tt.method, "", "")
			is.Equal(res[0].StatusCode, tt.status)
			is.Equal(res[0].Header.Get("Content-Length"), tt.length)
			is.Equal(res[0].Header.Get(headers.Signature), "sign")
			is.Equal(res[0].Header.Get(headers.Request), "r0")
			is.Equal(res[0].Header.Get("ETag") != "", strings.Contains(tt.reply, "ETag"))
			is.Equal(bodies[0], "")
			is.Equal(res[1].StatusCode, http.StatusOK)
			is.Equal(bodies[1], string(record("whole")))
			is.Equal(f.methods, []string{tt.method})
			is.Equal(f.connections.Load(), int64(1))
		})
	}
}

// Guards against a caller that waits for an interim answer before it sends its body, and against a target that sends
// one for it.
func TestInterimAnswersInBothDirections(t *testing.T) {
	is := is.New(t)
	f := &bodilessTarget{reply: "HTTP/1.1 100 \r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"}
	h := newRawHarness(t, 1, f.serve)
	res, bodies := exchangeTwo(t, h, http.MethodPost, "Expect: 100-continue\r\nContent-Length: 3\r\n", "abc")
	is.Equal(res[0].StatusCode, http.StatusOK)
	is.Equal(bodies[0], "ok")
	is.Equal(res[1].StatusCode, http.StatusOK)
	is.Equal(bodies[1], string(record("whole")))
	is.Equal(f.connections.Load(), int64(1))
}

// collectEncoded is collectHere with the messages encoded as between hosts.
func (h *harness) collectEncoded(ctx context.Context, r *portion.Request, receive func(*portion.Frame, error)) {
	var request portion.Request
	if err := recode(r, &request); err != nil {
		receive(nil, err)
		return
	}
	h.collectHere(ctx, &request, func(f *portion.Frame, err error) {
		var frame portion.Frame
		if failed := recode(f, &frame); failed != nil {
			err = failed
		}
		receive(&frame, err)
	})
}

func recode(from, to any) error {
	b, err := json.Marshal(from)
	if err != nil {
		return err
	}
	return json.Unmarshal(b, to)
}

// Guards against answers without a body that another host has passed on and that state another length, or the length
// of a body that the caller then waits for.
func TestPassedRepliesWithoutABody(t *testing.T) {
	for _, tt := range bodilessReplies {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			f := &bodilessTarget{reply: tt.reply}
			other := newRawHarness(t, 1, f.serve)
			h := newHarness(t, singleRoute(false, 1), newTarget("a", "s1"))
			h.loseLinks()
			h.passTo(map[string]func(context.Context, *portion.Request, func(*portion.Frame, error)){"other": other.collectEncoded})
			res, bodies := exchangeTwo(t, h, tt.method, "", "")
			is.Equal(res[0].StatusCode, tt.status)
			is.Equal(res[0].Header.Get("Content-Length"), tt.length)
			is.Equal(res[0].Header.Get(headers.Signature), "sign")
			is.Equal(res[0].Header.Get(headers.Request), "r0")
			is.Equal(bodies[0], "")
			is.Equal(res[1].StatusCode, http.StatusOK)
			is.Equal(bodies[1], string(record("whole")))
			is.Equal(f.methods, []string{tt.method})
			is.Equal(f.connections.Load(), int64(1))
		})
	}
}

// Guards against a refusal to HEAD by another host that the caller does not get, or a connection that can't be used
// after it.
func TestPassedRefusalToHead(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, singleRoute(false, 1), newTarget("a", "s1"))
	h.loseLinks()
	h.passTo(map[string]func(context.Context, *portion.Request, func(*portion.Frame, error)){
		"other": func(_ context.Context, _ *portion.Request, receive func(*portion.Frame, error)) {
			header := http.Header{"Content-Type": {"text/plain; charset=utf-8"}}
			receive(&portion.Frame{Last: true, Reply: &portion.Reply{Status: http.StatusBadGateway, Header: header, Body: []byte("no usable reply\n")}}, nil)
		},
	})
	res, bodies := exchangeTwo(t, h, http.MethodHead, "", "")
	is.Equal(res[0].StatusCode, http.StatusBadGateway)
	is.Equal(bodies, [2]string{"", "no usable reply\n"})
}

// Guards against a HEAD on a route to shards that fails although its targets answer, that reports a length which the
// records don't have, or whose incomplete response does not show.
func TestHeadOfShards(t *testing.T) {
	for _, tt := range []struct {
		name           string
		change         func(first *fakeTarget)
		divided        bool
		passed         bool
		parts, missing string
	}{
		{"all shards", nil, false, false, "sign-t0, sign-t1, sign-t2, sign-t3", "0"},
		{"divided among hosts", nil, true, false, "sign-t0, sign-t1, sign-t2, sign-t3", "0"},
		{"passed on", nil, false, true, "sign-t0, sign-t1, sign-t2, sign-t3", "0"},
		{
			"one shard fails", func(f *fakeTarget) { f.status(http.StatusNotFound, true) }, false, false,
			"sign-t1, sign-t2, sign-t3", "1",
		},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var targets []*fakeTarget
			for i := range 4 {
				targets = append(targets, newTarget(fmt.Sprint("t", i), fmt.Sprint("s", i)).records(fmt.Sprint(i)))
			}
			if tt.change != nil {
				tt.change(targets[0])
			}
			route := shardsRoute(0.75, "s0", "s1", "s2", "s3")
			h := newHarness(t, route, targets...)
			if tt.divided {
				h.divided(2, h.collectEncoded)
			}
			if tt.passed {
				other := h
				h = newHarness(t, route)
				h.loseLinks()
				h.passTo(map[string]func(context.Context, *portion.Request, func(*portion.Frame, error)){"other": other.collectEncoded})
			}
			res, bodies := exchangeTwo(t, h, http.MethodHead, "", "")
			is.Equal(res[0].StatusCode, http.StatusOK)
			is.Equal(res[0].Header.Values("Content-Length"), nil)
			is.Equal(res[0].Header.Get(headers.Missing), tt.missing)
			parts := strings.Split(res[0].Header.Get(headers.Parts), ", ")
			slices.Sort(parts)
			is.Equal(strings.Join(parts, ", "), tt.parts)
			is.Equal(bodies[0], "")
			is.Equal(res[1].StatusCode, http.StatusOK)
			is.Equal(len(bodies[1]), 3*recordSize)
			for _, f := range targets {
				is.Equal(f.requests.Load(), int64(2)) // no repeats
			}
		})
	}
}
