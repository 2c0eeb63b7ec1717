//go:build crowd

// Package crowd plays callers that don't behave against real processes on loopback addresses. The tests check only
// what doesn't depend on the speed of the machine: the process lives, its memory and its descriptors stay within its
// settings, and an ordinary request is answered while the crowd is still connected.
package crowd

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"wasabirelay/platform"
	"wasabirelay/platform/standin"
)

const (
	// bodyBytes and headerBytes are the limits of the routing document.
	bodyBytes, headerBytes = 262144, 16384
	// largeHeader is far beyond headerBytes.
	largeHeader = 1 << 20
	// operatorBytes is the limit of a body at the operator's listener.
	operatorBytes = 8 << 20
	host          = "Host: " + standin.Host + "\r\n"
)

// identity holds the header fields of a request.
var identity = identityOf("crowd")

func identityOf(request string) string {
	names := platform.Interfaces().Headers
	return names.Request + ": " + request + "\r\n" + names.Timeout + ": 2000\r\n"
}

// shortFields returns header fields of four bytes each.
func shortFields(size int) string { return strings.Repeat("a:\r\n", size/4) }

// distinctFields returns header fields of six bytes each, with different names.
func distinctFields(size int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz0123456789"
	var b strings.Builder
	for i := 0; b.Len()+6 <= size; i++ {
		fmt.Fprintf(&b, "%c%c%c:\r\n", letters[i%36], letters[i/36%36], letters[i/1296%36])
	}
	return b.String()
}

// oneShort sends a body of legal size in one piece, one byte short of its end.
func oneShort(path, header string, size int) func(net.Conn) {
	return func(c net.Conn) {
		fmt.Fprintf(c, "POST %s HTTP/1.1\r\n%s%s%sContent-Length: %d\r\n\r\n", path, host, identity, header, size)
		_, _ = io.WriteString(c, strings.Repeat("b", size-1))
	}
}

// whole sends a whole request.
func whole(path, body string) func(net.Conn) {
	return func(c net.Conn) {
		fmt.Fprintf(c, "POST %s HTTP/1.1\r\n%sContent-Length: %d\r\n\r\n%s", path, host, len(body), body)
	}
}

// chunked sends a body in chunks of the given size. Its last chunk is missing.
func chunked(path string, size, chunk int) func(net.Conn) {
	text := strings.Repeat(fmt.Sprintf("%x\r\n%s\r\n", chunk, strings.Repeat("b", chunk)), size/chunk)
	return func(c net.Conn) {
		fmt.Fprintf(c, "POST %s HTTP/1.1\r\n%s%sTransfer-Encoding: chunked\r\n\r\n", path, host, identity)
		_, _ = io.WriteString(c, text)
	}
}

// header sends a request with the header fields.
func header(path, fields string) func(net.Conn) {
	return func(c net.Conn) {
		_, _ = io.WriteString(c, "GET "+path+" HTTP/1.1\r\n"+host+identity+fields+"\r\n")
	}
}

// ahead sends requests until the connection takes no more, and reads no answer.
func ahead(path, fields string, count int) func(net.Conn) {
	text := strings.Repeat("GET "+path+" HTTP/1.1\r\n"+host+identity+fields+"\r\n", count)
	return func(c net.Conn) { _, _ = io.WriteString(c, text) }
}

// unreadAnswers sends requests of their own identities, and reads no answer.
func unreadAnswers(path string, count int) func(net.Conn) {
	var last atomic.Int64
	return func(c net.Conn) {
		for range count {
			text := "GET " + path + " HTTP/1.1\r\n" + host + identityOf(fmt.Sprint("crowd-", last.Add(1))) + "\r\n"
			if _, err := io.WriteString(c, text); err != nil {
				return
			}
		}
	}
}

// slowly sends a head in pieces of one byte.
func slowly(path string) func(net.Conn) {
	return func(c net.Conn) {
		for _, b := range []byte("POST " + path + " HTTP/1.1\r\n" + host + identity) {
			if _, err := c.Write([]byte{b}); err != nil {
				return
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
}

// halfClosed sends a body without its end and closes its side of the connection.
func halfClosed(path string) func(net.Conn) {
	send := oneShort(path, "", bodyBytes)
	return func(c net.Conn) {
		send(c)
		_ = c.(*net.TCPConn).CloseWrite()
	}
}

// Guards against callers that end an entry host: its memory or its descriptors run out.
func TestEntryHost(t *testing.T) {
	control, entry := start(t, settings{})
	for _, tt := range []struct {
		name        string
		listener    standin.Listener
		connections int
		behave      func(net.Conn)
	}{
		{"bodies one byte short", standin.Callers, 400, oneShort("/one/x", "", bodyBytes)},
		{"bodies one byte short, without a route", standin.Callers, 400, oneShort("/none", "", bodyBytes)},
		{"bodies one byte short, for all shards", standin.Callers, 400, oneShort("/all/x", "", bodyBytes)},
		{"bodies in chunks", standin.Callers, 400, chunked("/one/x", bodyBytes, 8192)},
		{"bodies in chunks of one byte", standin.Callers, 500, chunked("/one/x", bodyBytes, 1)},
		{"bodies far over the limit", standin.Callers, 200, oneShort("/one/x", "", 64*bodyBytes)},
		{"bodies far over the limit, in chunks", standin.Callers, 200, chunked("/one/x", 16*bodyBytes, 8192)},
		{"bodies at the ready address", standin.Ready, 300, oneShort("/readyz", "", bodyBytes)},
		{"legal headers and bodies one byte short", standin.Callers, 400, oneShort("/one/x", shortFields(headerBytes-512), bodyBytes)},
		{"legal headers of different fields", standin.Callers, 400, oneShort("/one/x", distinctFields(headerBytes-512), 1024)},
		{"large headers", standin.Callers, 100, header("/any/x", shortFields(largeHeader))},
		{"large headers without a route", standin.Callers, 100, header("/none", shortFields(largeHeader))},
		{"large headers, ready", standin.Ready, 100, header("/readyz", shortFields(largeHeader))},
		{"large headers, metrics", standin.Metrics, 100, header("/metrics", shortFields(largeHeader))},
		{"large headers without an end", standin.Callers, 100, func(c net.Conn) { _, _ = io.WriteString(c, "GET /any/x HTTP/1.1\r\n"+shortFields(largeHeader)) }},
		{"requests sent ahead", standin.Callers, 600, ahead("/any/x", "", 4000)},
		{"requests with legal headers sent ahead", standin.Callers, 200, ahead("/any/x", shortFields(headerBytes-512), 20)},
		{"metrics sent ahead", standin.Metrics, 100, ahead("/metrics", "", 1000)},
		{"half-closed", standin.Callers, 400, halfClosed("/one/x")},
	} {
		t.Run(tt.name, func(t *testing.T) {
			check(t, control, entry, entry.Address(tt.listener), tt.connections, tt.behave, askEntry)
		})
	}
}

// Guards against callers that take all descriptors of an entry host.
func TestDescriptorsOfEntryHost(t *testing.T) {
	control, entry := start(t, settings{descriptors: 600})
	for listener, behave := range map[standin.Listener]func(net.Conn){standin.Callers: slowly("/one/x"), standin.Ready: slowly("/readyz"), standin.Peers: func(net.Conn) {}} {
		t.Run(fmt.Sprint("port ", listener), func(t *testing.T) {
			check(t, control, entry, entry.Address(listener), 600, behave, askEntry)
		})
	}
}

// Guards against callers that take all descriptors of a control host.
func TestDescriptorsOfControlHost(t *testing.T) {
	control, entry := start(t, settings{descriptors: 600})
	for listener, behave := range map[standin.Listener]func(net.Conn){standin.Operators: slowly("/config/fetch"), standin.Directory: slowly("/resolve"), standin.Peers: func(net.Conn) {}} {
		t.Run(fmt.Sprint("port ", listener), func(t *testing.T) {
			check(t, entry, control, control.Address(listener), 600, behave, askControl)
		})
	}
}

// Guards against callers that don't read large answers of targets.
func TestLargeAnswers(t *testing.T) {
	control, entry := start(t, settings{padding: 1000 << 10})
	check(t, control, entry, entry.Address(standin.Callers), 600, unreadAnswers("/any/x", 50), askEntry)
}

// Guards against callers that reach a control host, by mistake or not, and end it.
func TestControlHost(t *testing.T) {
	control, entry := start(t, settings{largeDocument: true})
	short := func(c net.Conn) {
		_, _ = c.Write([]byte{0x80, 0x80, 0x80, 0x10}) // announces 32 MB
		_, _ = io.WriteString(c, `{"method":"`+strings.Repeat("b", 12<<20))
	}
	document := whole(standin.RoutingPath, `{"version":9,"routes":[`+strings.Repeat("{},", 1<<20)+`{}]}`)
	heartbeat := whole(standin.HeartbeatPath("t"), `{"a":1`+strings.Repeat(`,"a":[]`, 1<<20)+`}`)
	for _, tt := range []struct {
		name        string
		listener    standin.Listener
		connections int
		behave      func(net.Conn)
	}{
		{"documents one byte short", standin.Operators, 40, oneShort(standin.RoutingPath, "", operatorBytes)},
		{"heartbeats one byte short", standin.Operators, 40, oneShort(standin.HeartbeatPath("t"), "", operatorBytes)},
		{"documents of many short fields", standin.Operators, 16, document},
		{"heartbeats of many short fields", standin.Operators, 16, heartbeat},
		{"large headers", standin.Operators, 100, header("/config/fetch", shortFields(largeHeader))},
		{"large headers, directory", standin.Directory, 100, header("/resolve", shortFields(largeHeader))},
		{"answers that are not read", standin.Operators, 200, ahead("/config/fetch", "", 50)},
		{"messages of hosts one byte short", standin.Peers, 16, short},
	} {
		t.Run(tt.name, func(t *testing.T) {
			check(t, entry, control, control.Address(tt.listener), tt.connections, tt.behave, askControl)
		})
	}
}

// askEntry sends an ordinary request to an entry host.
func askEntry(t *testing.T, m *standin.Machine, id string) error {
	a, err := standin.SendRequest(t.Context(), m.CallerAddress(), http.MethodPost, "/one/x", id, 2*time.Second)
	if err == nil && a.Status != http.StatusOK {
		err = fmt.Errorf("status %d", a.Status)
	}
	return err
}

// askControl reads the routing document at a control host.
func askControl(t *testing.T, m *standin.Machine, _ string) error {
	_, err := standin.RoutingVersionAt(t.Context(), m.Address(standin.Operators))
	return err
}
