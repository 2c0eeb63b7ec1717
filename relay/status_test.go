package relay

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"wasabirelay/portion"
)

// oddStatuses are no final statuses of HTTP.
var oddStatuses = []string{"000", "042", "099", "100", "101", "150", "199", "600", "777", "999", "1000", "00", "0200"}

// serveStatus returns a target that answers each request with the status, a good identity and a good signature.
func serveStatus(status string) func(net.Conn) {
	return func(conn net.Conn) {
		serveRequests(conn, func(r *http.Request) bool {
			writeStatus(conn, status, r)
			return true
		})
	}
}

func writeStatus(conn net.Conn, status string, r *http.Request) {
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 %s Odd\r\n%s: %s\r\n%s: sign\r\nContent-Length: %d\r\n\r\n%s",
		status, headers.Request, r.Header.Get(headers.Request), headers.Signature, recordSize, record("odd"))
}

// checkNoAnswer checks that the caller has got an answer of this host, not of the target.
func checkNoAnswer(t *testing.T, res response, body string) {
	t.Helper()
	is := is.New(t)
	is.True(res.StatusCode == http.StatusBadGateway || res.StatusCode == http.StatusGatewayTimeout)
	is.Equal(res.Header.Get(headers.Signature), "")
	is.True(!strings.Contains(body, "odd"))
}

// Guards against replies with a status that is no final status of HTTP and that a caller takes for an answer, or for
// the promise that its request has not run.
func TestOddStatuses(t *testing.T) {
	for _, status := range oddStatuses {
		quick := func(r *http.Request) { r.Header.Set(headers.Timeout, "300") } // some of them are interim replies
		t.Run(status+" of one target", func(t *testing.T) {
			res, body := newRawHarness(t, 1, serveStatus(status)).get(t, quick)
			checkNoAnswer(t, res, body)
		})
		t.Run(status+" passed on", func(t *testing.T) {
			other, h := newRawHarness(t, 1, serveStatus(status)), newRawHarness(t, 1, serveStatus(status))
			h.cutOff()
			h.loseLinks()
			h.passTo(map[string]func(context.Context, *portion.Request, func(*portion.Frame, error)){"other": other.collectHere})
			res, body := h.get(t, quick)
			checkNoAnswer(t, res, body)
		})
	}
	for _, portions := range []bool{false, true} {
		for _, status := range oddStatuses {
			t.Run(fmt.Sprintf("%s of shards, in a portion: %t", status, portions), func(t *testing.T) {
				is := is.New(t)
				h, _ := eightShards(t, 0.5, map[int]func(*fakeTarget){7: func(f *fakeTarget) {
					f.reply = func(w http.ResponseWriter, r *http.Request) {
						conn, _, err := w.(http.Hijacker).Hijack()
						if err == nil {
							writeStatus(conn, status, r)
							conn.Close()
						}
					}
				}})
				if portions {
					h.divided(4, h.collectHere)
				}
				res, body := h.get(t, func(r *http.Request) { r.Header.Set(headers.Timeout, "400") })
				is.Equal(res.StatusCode, http.StatusOK)
				is.True(!strings.Contains(body, "odd"))
				is.Equal(res.Header.Get(headers.Missing), "1")
				is.Equal(len(strings.Split(res.Header.Get(headers.Parts), ",")), 7)
			})
		}
	}
}

// Guards against another host, perhaps of an earlier version, that passes on a reply with such a status.
func TestOddStatusesOfOtherHosts(t *testing.T) {
	for _, status := range []int{-1, 0, 42, 99, 100, 101, 150, 199, 600, 777, 999, 1000} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			h := newHarness(t, singleRoute(false, 1), newTarget("t1", "s1"))
			h.cutOff()
			h.loseLinks()
			h.passTo(map[string]func(context.Context, *portion.Request, func(*portion.Frame, error)){
				"other": func(_ context.Context, r *portion.Request, receive func(*portion.Frame, error)) {
					reply := &portion.Reply{Status: status, Body: record("odd")}
					reply.SetHeader(http.Header{headers.Request: {r.Header.Get(headers.Request)}, headers.Signature: {"sign"}})
					receive(&portion.Frame{Last: true, Reply: reply}, nil)
				},
			})
			res, body := h.get(t, nil)
			checkNoAnswer(t, res, body)
		})
	}
}

// Guards against another host, perhaps of an earlier version, that passes on a reply whose head was broken.
func TestBrokenFieldsOfOtherHosts(t *testing.T) {
	for _, tt := range []struct {
		name, value string
		served      bool
	}{
		{"X", "a\tb", true},
		{"X", "", true},
		{"Transfer Encoding", "chunked", false},
		{"Content Length", "16", false},
		{"X ", "1", false},
		{"X\x01y", "1", false},
		{"X(y)", "1", false},
		{"", "1", false},
		{"X", "a\r\nY: 1", false},
		{"X", "a\x00", false},
		{headers.Signature + " ", "sign", false},
	} {
		for _, raw := range []string{"", "\xff"} { // a byte that is no UTF-8 makes the header travel as it is
			t.Run(fmt.Sprintf("%q: %q, raw %t", tt.name, tt.value, raw != ""), func(t *testing.T) {
				is := is.New(t)
				h := newHarness(t, singleRoute(false, 1), newTarget("t1", "s1"))
				h.cutOff()
				h.loseLinks()
				h.passTo(map[string]func(context.Context, *portion.Request, func(*portion.Frame, error)){
					"other": func(_ context.Context, r *portion.Request, receive func(*portion.Frame, error)) {
						reply := &portion.Reply{Status: http.StatusOK, Body: record("odd")}
						reply.Header = http.Header{headers.Request: {r.Header.Get(headers.Request)}, headers.Signature: {"sign"}, tt.name: {tt.value}}
						if raw != "" {
							reply.Raw = fmt.Appendf(nil, "%s: %s\r\n%s: sign\r\nRaw: %s\r\n%s: %s\r\n",
								headers.Request, r.Header.Get(headers.Request), headers.Signature, raw, tt.name, tt.value)
						}
						receive(&portion.Frame{Last: true, Reply: reply}, nil)
					},
				})
				res, body := h.get(t, nil)
				switch {
				case tt.served:
					is.Equal(res.StatusCode, http.StatusOK)
					is.Equal(res.Header.Get("X"), tt.value)
					is.Equal(body, string(record("odd")))
				case raw != "" && strings.Contains(tt.value, "\n"): // it travels as two fields
				default:
					checkNoAnswer(t, res, body)
				}
			})
		}
	}
}
