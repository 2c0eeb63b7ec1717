package limit

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"wasabirelay/control"
)

// harness is a pool with one target, the server behind it, and counters of the connections
// that were opened to it.
type harness struct {
	pool    *Pool
	clock   *clockwork.FakeClock
	target  *control.Target
	server  *httptest.Server
	share   Share
	dials   atomic.Int64
	open    atomic.Int64
	maxOpen atomic.Int64
}

func newHarness(t *testing.T, connections int, handler http.HandlerFunc) *harness {
	return newHarnessFor(t, connections, httptest.NewServer(handler))
}

func newHarnessFor(t *testing.T, connections int, server *httptest.Server) *harness {
	h := &harness{clock: clockwork.NewFakeClock(), server: server}
	h.target = &control.Target{Name: "t0", Incarnation: "1", Service: "order-desk"}
	h.share = Share{Incarnation: "1", Connections: connections}
	h.share.Address = netip.MustParseAddrPort(h.server.Listener.Addr().String())
	h.pool = &Pool{Clock: h.clock, Dial: h.dial}
	if server.TLS != nil {
		h.pool.TLS = server.Client().Transport.(*http.Transport).TLSClientConfig
	}
	h.pool.SetShares(map[string]Share{"t0": h.share})
	t.Cleanup(func() { h.pool.Close(); h.server.Close() })
	return h
}

// countedConn calls close when the connection is closed for the first time.
type countedConn struct {
	*net.TCPConn
	once  sync.Once
	close func()
}

func (c *countedConn) Close() error {
	c.once.Do(c.close)
	return c.TCPConn.Close()
}

func (h *harness) dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	h.dials.Add(1)
	storeMax(&h.maxOpen, h.open.Add(1))
	return &countedConn{TCPConn: conn.(*net.TCPConn), close: func() { h.open.Add(-1) }}, nil
}

func storeMax(most *atomic.Int64, n int64) {
	for old := most.Load(); n > old && !most.CompareAndSwap(old, n); old = most.Load() {
	}
}

func (h *harness) acquire(t *testing.T) *Permit {
	t.Helper()
	permit, err := h.pool.Acquire(t.Context(), h.target)
	if err != nil {
		t.Fatal(err)
	}
	return permit
}

// query sends one sub-request.
func (h *harness) query(ctx context.Context, permit *Permit, body string) (*Response, error) {
	req, _ := http.NewRequest(http.MethodPost, "http://t0/query", strings.NewReader(body))
	return h.pool.Do(ctx, permit, req, nil)
}

// writeRaw writes the text to the connection and closes it, with a TCP reset if reset is
// true.
func writeRaw(w http.ResponseWriter, text string, reset bool) {
	conn, _, _ := w.(http.Hijacker).Hijack()
	_, _ = io.WriteString(conn, text)
	if reset {
		_ = conn.(*net.TCPConn).SetLinger(0)
	}
	conn.Close()
}

func echo(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	_, _ = w.Write(body)
}

// TestReplies guards against accepting incomplete replies as complete, and against reusing
// their connections.
func TestReplies(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Length: "
	big := strings.Repeat("x", 200_000)
	tests := []struct {
		name, text string
		reset      bool
		fault      Fault // "" for a network error, unless body is set
		body       string
	}{
		{"complete", head + "2\r\n\r\nok", false, "", "ok"},
		{"interim reply first", "HTTP/1.1 103 Early Hints\r\n\r\n" + head + "2\r\n\r\nok", false, "", "ok"},
		{"large", head + "200000\r\n\r\n" + big, false, "", big},
		{"chunked", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", false, "", "ok"},
		{"more than the length", head + "2\r\n\r\nokHTTP", false, "", "ok"},
		{"cut body", head + "100\r\n\r\nok", false, Truncated, ""},
		{"cut chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", false, Truncated, ""},
		{"no length", "HTTP/1.1 200 OK\r\n\r\nok", false, NoLength, ""},
		{"too large", head + "1048577\r\n\r\n" + big, false, TooLarge, ""},
		{"not HTTP", "ok\r\n\r\n", false, Malformed, ""},
		{"cut header", "HTTP/1.1 200 OK\r\nContent-", false, "", ""},
		{"reset after the request", "", true, "", ""},
		{"closed after the request", "", false, "", ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t, 1, func(w http.ResponseWriter, r *http.Request) {
				if body, _ := io.ReadAll(r.Body); string(body) == "again" {
					_, _ = w.Write(body)
					return
				}
				if test.body == "" {
					writeRaw(w, test.text, test.reset)
					return
				}
				conn, _, _ := w.(http.Hijacker).Hijack()
				_, _ = io.WriteString(conn, test.text)
				serveRaw(conn)
			})
			permit := h.acquire(t)
			res, err := h.query(t.Context(), permit, "q")
			var lost *LostError
			var bad *ReplyError
			switch {
			case test.body != "":
				is.NoErr(err)
				is.Equal(string(res.Body), test.body)
			case test.fault != "":
				is.True(errors.As(err, &bad) && bad.Reason == test.fault)
				is.True(errors.As(err, &lost) && lost.Sent)
			default:
				is.True(errors.As(err, &lost) && lost.Sent)
				is.True(!errors.As(err, &bad))
			}
			res, err = h.query(t.Context(), permit, "again")
			is.NoErr(err)
			is.Equal(string(res.Body), "again")
			is.Equal(h.maxOpen.Load(), int64(1))
		})
	}
}

// failingConn is a connection on which writes fail after takes bytes.
type failingConn struct {
	net.Conn
	takes int
}

func (c *failingConn) Write(b []byte) (int, error) {
	return min(c.takes, len(b)), syscall.ECONNRESET
}

// TestSent guards against a sub-request that is reported as not sent although a byte was
// written: it might run twice.
func TestSent(t *testing.T) {
	refused := errors.New("refused")
	tests := []struct {
		name    string
		dial    func() (net.Conn, error)
		sent    bool
		connect bool
	}{
		{"no connection", func() (net.Conn, error) { return nil, refused }, false, true},
		{"reset before the first byte", func() (net.Conn, error) { return &failingConn{Conn: &net.TCPConn{}}, nil }, false, false},
		{"reset after the first byte", func() (net.Conn, error) { return &failingConn{Conn: &net.TCPConn{}, takes: 1}, nil }, true, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t, 1, echo)
			h.pool.Dial = func(context.Context, string, string) (net.Conn, error) { return test.dial() }
			_, err := h.query(t.Context(), h.acquire(t), "q")
			var lost *LostError
			var connect *ConnectError
			is.True(errors.As(err, &lost) && lost.Sent == test.sent)
			is.Equal(errors.As(err, &connect), test.connect)
		})
	}
}

// TestCheckBeforeFirstByte guards against a sub-request that is sent although the permission
// to send it ended while the connection was being opened, and against the loss of the
// connection.
func TestCheckBeforeFirstByte(t *testing.T) {
	is := is.New(t)
	var received atomic.Int64
	h := newHarness(t, 1, func(w http.ResponseWriter, r *http.Request) {
		received.Add(1)
		echo(w, r)
	})
	permit := h.acquire(t)
	withheld := errors.New("the lease is lost")
	for range 2 { // on a new connection and on an idle one
		req, _ := http.NewRequest(http.MethodPost, "http://t0/query", strings.NewReader("q"))
		_, err := h.pool.Do(t.Context(), permit, req, func() error {
			is.Equal(h.open.Load(), int64(1)) // fails if the check ran before the connection was open
			return withheld
		})
		var lost *LostError
		var refused *RefusedError
		is.True(errors.As(err, &lost) && !lost.Sent)
		is.True(errors.As(err, &refused) && refused.Reason == CheckFailed && errors.Is(err, withheld))
	}
	res, err := h.query(t.Context(), permit, "q")
	is.NoErr(err)
	is.Equal(string(res.Body), "q") // fails if a byte of a withheld request was written
	is.Equal(received.Load(), int64(1))
	is.Equal(h.dials.Load(), int64(1))
}

// TestClosedWhileIdle guards against losing sub-requests because the target closed an idle
// connection.
func TestClosedWhileIdle(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, 1, echo)
	permit := h.acquire(t)
	for i := range 3 {
		_, err := h.query(t.Context(), permit, "q")
		is.NoErr(err)
		is.Equal(h.dials.Load(), int64(i+1))
		h.server.CloseClientConnections() // returns once they are closed
	}
	h.pool.Sweep()
	for h.dials.Load() < 4 { // hangs unless Sweep replaces the connection
		runtime.Gosched()
	}
}

// TestCancel guards against cancellations that close connections, and against connections that
// stay open forever because the reply never comes.
func TestCancel(t *testing.T) {
	tests := []struct {
		name  string
		first string // sent before the cancellation
		rest  string // sent after the cancellation; empty if never
		dials int64
	}{
		{"before the reply", "", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", 1},
		{"within the header", "HTTP/1.1 200 OK\r\nContent-", "Length: 2\r\n\r\nok", 1},
		{"within the body", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nok", "ok", 1},
		{"no reply", "", "", 2},
		{"no end of the body", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nok", "", 2},
	}
	for i := range 2 * len(tests) {
		test, start := tests[i/2], []func(http.Handler) *httptest.Server{httptest.NewServer, httptest.NewTLSServer}[i%2]
		t.Run(fmt.Sprint(test.name, i%2), func(t *testing.T) {
			is := is.New(t)
			cancelled := make(chan bool)
			ctx, cancel := context.WithCancel(t.Context())
			h := newHarnessFor(t, 1, start(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if body, _ := io.ReadAll(r.Body); string(body) == "again" {
					_, _ = w.Write(body)
					return
				}
				conn, _, _ := w.(http.Hijacker).Hijack()
				_, _ = io.WriteString(conn, test.first)
				cancel()
				<-cancelled
				_, _ = io.WriteString(conn, test.rest)
				if test.rest != "" { // continue as a server
					serveRaw(conn)
				}
			})))
			permit := h.acquire(t)
			_, err := h.query(ctx, permit, "q")
			is.True(errors.Is(err, context.Canceled))
			permit.Release(Failed)
			is.Equal(h.pool.Stats()["t0"].InUse, 1) // the target is still processing the sub-request
			close(cancelled)
			if test.rest == "" {
				h.clock.Advance(defaultDrainTimeout)
			}
			permit = h.acquire(t) // waits until the connection is free again
			res, err := h.query(t.Context(), permit, "again")
			is.NoErr(err)
			is.Equal(string(res.Body), "again")
			is.Equal(h.dials.Load(), test.dials)
		})
	}
}

// serveRaw answers further requests on a hijacked connection with "again".
func serveRaw(conn net.Conn) {
	buffer := make([]byte, 4096)
	for {
		if _, err := conn.Read(buffer); err != nil {
			conn.Close()
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nagain")
	}
}

// TestConnectionLimit guards against more connections or sub-requests than the share allows,
// with many goroutines, cancellations and resets.
func TestConnectionLimit(t *testing.T) {
	is := is.New(t)
	const share = 3
	var running, most, wrong atomic.Int64
	h := newHarness(t, share, func(w http.ResponseWriter, r *http.Request) {
		storeMax(&most, running.Add(1))
		body, _ := io.ReadAll(r.Body)
		running.Add(-1)
		if string(body) == "reset" {
			writeRaw(w, "", true)
			return
		}
		_, _ = w.Write(body)
	})
	var wg sync.WaitGroup
	for i := range 40 {
		rng := rand.New(rand.NewPCG(uint64(i), 7))
		wg.Go(func() {
			for range 30 {
				permit := h.acquire(t)
				ctx, cancel := context.WithCancel(t.Context())
				body := []string{"reset", fmt.Sprint(rng.Uint64())}[min(1, rng.IntN(6))]
				if rng.IntN(4) == 0 {
					go cancel()
				}
				if res, err := h.query(ctx, permit, body); err == nil && string(res.Body) != body {
					wrong.Add(1)
				}
				permit.Release(Result(rng.IntN(3)))
				cancel()
			}
		})
	}
	wg.Wait()
	is.Equal(wrong.Load(), int64(0)) // no reply to another request
	is.True(h.maxOpen.Load() <= share)
	is.True(most.Load() <= share)
}

// TestOpenedAhead guards against sub-requests that wait for a new connection that could have
// been opened before.
func TestOpenedAhead(t *testing.T) {
	is := is.New(t)
	dialed := make(chan bool, 10)
	h := newHarness(t, 4, echo)
	h.pool.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
		defer func() { dialed <- true }()
		return h.dial(ctx, network, address)
	}
	h.share.Warm = 2
	h.pool.SetShares(map[string]Share{"t0": h.share})
	<-dialed
	<-dialed
	is.Equal(len(dialed), 0) // only the Warm connections
	for range 2 {
		_, err := h.query(t.Context(), h.acquire(t), "q")
		is.NoErr(err)
	}
	<-dialed // one more connection than sub-requests in flight
}
