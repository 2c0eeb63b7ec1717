package door

import (
	"bufio"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"wasabirelay/eventlog"
)

const (
	legalHeader = 16384
	legalBody   = 262144
)

// serve serves a handler that reads bodies through a door.
func serve(t testing.TB, d *Door) (address string) {
	t.Helper()
	d.Clock = clockwork.NewFakeClock()
	d.Log, d.Events = zerolog.Nop(), &eventlog.Limiter{Clock: d.Clock}
	server := httptest.NewUnstartedServer(d.Handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		var refused *RefusedError
		if errors.As(err, &refused) {
			Refuse(w, refused)
			return
		}
		fmt.Fprint(w, len(body))
	})))
	server.Listener = d.Listener(server.Listener, "test", func() Limits { return Limits{HeaderBytes: legalHeader, HeaderTimeout: 3 * time.Second} })
	server.Config.ConnContext, server.Config.ConnState = ConnContext, ConnState
	server.Start()
	t.Cleanup(server.CloseClientConnections)
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

type caller struct {
	net.Conn
	in *bufio.Reader
	is *is.I
}

func dial(t testing.TB, address string) *caller {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	return &caller{c, bufio.NewReader(c), is.New(t)}
}

func (c *caller) send(text string) { _, _ = io.WriteString(c, text) }

// answer reads an answer and returns its status and its Retry-After.
func (c *caller) answer() (status int, retry string) {
	res, err := http.ReadResponse(c.in, nil)
	c.is.NoErr(err)
	_, err = io.Copy(io.Discard, res.Body)
	c.is.NoErr(err)
	res.Body.Close()
	return res.StatusCode, res.Header.Get("Retry-After")
}

func await(t testing.TB, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("timed out waiting for: " + what)
		}
	}
}

func post(fields string, size int) string {
	return fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\n%sContent-Length: %d\r\n\r\n", fields, size)
}

// Guards against limits that a single request inside those of the pages meets, and against memory that stays taken
// after it.
func TestLargestLegalRequestIsServed(t *testing.T) {
	d := &Door{Memory: 184 << 20}
	c := dial(t, serve(t, d))
	head := post("", legalBody)
	for range 3 { // on one connection
		c.send(post(strings.Repeat("a:\r\n", (legalHeader-len(head))/4), legalBody) + strings.Repeat("b", legalBody))
		status, _ := c.answer()
		c.is.Equal(status, http.StatusOK)
	}
	await(t, "no memory held", func() bool { return d.used.Load() == 0 })
}

// Guards against requests sent ahead that are lost or counted twice.
func TestRequestsSentAheadAreServed(t *testing.T) {
	d := &Door{}
	c := dial(t, serve(t, d))
	c.send(strings.Repeat(post("", 3)+"abc", 50))
	for range 50 {
		status, _ := c.answer()
		c.is.Equal(status, http.StatusOK)
	}
	await(t, "no memory held", func() bool { return d.used.Load() == 0 })
}

// Guards against refusals that don't arrive, or that don't say truly whether the request has run.
func TestRefusalsArrive(t *testing.T) {
	for _, tt := range []struct {
		name, text string
		memory     int64
		status     int
	}{
		{"large header", "GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a:\r\n", 1<<18), 64 << 20, http.StatusRequestHeaderFieldsTooLarge},
		{"no memory for the header", "GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a:\r\n", 4000) + "\r\n", 2 << 20, http.StatusServiceUnavailable},
		{"no memory for the body", post("", 1<<20) + strings.Repeat("b", 1<<20), 2 << 20, http.StatusServiceUnavailable},
	} {
		t.Run(tt.name, func(t *testing.T) {
			d := &Door{Memory: tt.memory}
			c := dial(t, serve(t, d))
			go c.send(tt.text) // the rest isn't read
			status, retry := c.answer()
			c.is.Equal(status, tt.status)
			c.is.Equal(retry, "1")
			await(t, "no memory held", func() bool { return d.used.Load() == 0 })
		})
	}
}

// Guards against a crowd that holds all memory with bodies that don't end: ordinary requests have a reserve, and the
// callers that have been silent for longest make room.
func TestStalledCallersMakeRoom(t *testing.T) {
	is := is.New(t)
	d := &Door{Memory: 8 << 20}
	address := serve(t, d)
	crowd := make([]*caller, 8)
	for i := range crowd {
		crowd[i] = dial(t, address)
		crowd[i].send(post("", legalBody) + strings.Repeat("b", legalBody-1))
	}
	await(t, "most memory held", func() bool { return d.used.Load() > d.Budget()/2 })
	ordinary := dial(t, address)
	ordinary.send(post("", 1000) + strings.Repeat("b", 1000))
	status, _ := ordinary.answer()
	is.Equal(status, http.StatusOK)
	await(t, "some are stalled", func() bool { d.sweep(); return stalled(d) > 0 })
	d.Clock.(*clockwork.FakeClock).Advance(time.Second)
	large := dial(t, address)
	large.send(post("", legalBody) + strings.Repeat("b", legalBody))
	status, _ = large.answer()
	is.Equal(status, http.StatusOK)
}

// Guards against answers that wait for slow readers and take the reserve of ordinary requests.
func TestAnswersLeaveTheReserve(t *testing.T) {
	is := is.New(t)
	d := &Door{Memory: 2 << 20}
	address := serve(t, d)
	dial(t, address).send("GET / HTTP/1.1\r\n")
	await(t, "the connection is open", func() bool { return d.used.Load() > 0 })
	d.mu.Lock()
	conns := slices.Collect(maps.Keys(d.open))
	d.mu.Unlock()
	d.reserveAnswer(conns[0], d.Budget()/2)
	d.reserveAnswer(conns[0], 1<<30)
	is.True(d.used.Load() >= d.Budget()/2)
	is.True(d.used.Load() <= d.Budget()*3/4)
	ordinary := dial(t, address)
	ordinary.send(post("", 1000) + strings.Repeat("b", 1000))
	status, _ := ordinary.answer()
	is.Equal(status, http.StatusOK)
}

func stalled(d *Door) (count int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for c := range d.open {
		if c.isStalled() {
			count++
		}
	}
	return count
}

// Guards against connections that are open for good and leave no place for ordinary callers.
func TestSilentConnectionsMakePlace(t *testing.T) {
	is := is.New(t)
	d := &Door{Descriptors: 300}
	address := serve(t, d)
	for range d.MaxConnections() {
		dial(t, address).send("GET / HTTP/1.1\r\n")
	}
	await(t, "all are open", func() bool { d.mu.Lock(); defer d.mu.Unlock(); return len(d.open) == d.MaxConnections() }) // without sweeps: five of them make the first ones slow
	await(t, "some are stalled", func() bool { d.sweep(); return stalled(d) > 0 })
	c := dial(t, address)
	c.send(post("", 0))
	status, _ := c.answer()
	is.Equal(status, http.StatusOK)
}

// Guards against idle connections that keep new callers out while there is no memory either.
func TestIdleConnectionsMakePlaceWithoutMemory(t *testing.T) {
	d := &Door{CallerConnections: 1}
	address := serve(t, d)
	dial(t, address)
	await(t, "the connection is idle", func() bool {
		d.sweep()
		d.mu.Lock()
		defer d.mu.Unlock()
		for c := range d.open {
			return c.isIdle()
		}
		return false
	})
	is.New(t).True(!d.reserve(&Conn{door: d}, 1<<40))
	c := dial(t, address)
	c.send(post("", 0))
	status, _ := c.answer()
	c.is.Equal(status, http.StatusOK)
}

// Guards against callers that send slowly for ever, and against idle callers that are closed with them.
func TestSlowCallers(t *testing.T) {
	for _, tt := range []struct {
		name, text string
		sweeps     int
		status     int // 0 if the caller is not closed
	}{
		{"header", "GET / HTTP/1.1\r\n", 6, http.StatusRequestTimeout},
		{"header in time", "GET / HTTP/1.1\r\n", 4, 0},
		{"body", post("", 1000) + "abc", 10, http.StatusRequestTimeout},
		{"idle", "", 50, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			d := &Door{}
			c := dial(t, serve(t, d))
			c.send(tt.text)
			await(t, "the text has arrived", func() bool {
				d.mu.Lock()
				defer d.mu.Unlock()
				for o := range d.open {
					return o.moved.Load() == int64(len(tt.text)) && o.reading.Load()
				}
				return false
			})
			for range tt.sweeps {
				d.sweep()
			}
			if tt.status != 0 {
				status, _ := c.answer()
				is.Equal(status, tt.status)
				return
			}
			d.mu.Lock()
			defer d.mu.Unlock()
			is.Equal(len(d.open), 1)
		})
	}
}

// Guards against bytes of callers that end the process or leave memory taken.
func FuzzCaller(f *testing.F) {
	f.Add([]byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n"))
	f.Add([]byte(post("a:\r\n", 5) + "hello" + post("", 3) + "ab"))
	f.Add([]byte("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\nt: u\r\n\r\nGET"))
	f.Add([]byte("POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 9\r\n\r\n"))
	f.Add([]byte(strings.Repeat("\n", 30000)))
	d := &Door{Memory: 4 << 20}
	address := serve(f, d)
	f.Fuzz(func(t *testing.T, text []byte) {
		c, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = c.Write(text)
		_ = c.(*net.TCPConn).CloseWrite()
		_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
		_, _ = io.Copy(io.Discard, c) // a reset ends it too
		c.Close()
		await(t, "no memory held", func() bool { return d.used.Load() == 0 })
		d.sweep()
	})
}
