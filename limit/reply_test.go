package limit

import (
	"errors"
	"io"
	"net/http"
	"testing"

	"github.com/matryer/is"
)

// ask runs one sub-request and returns what came of it.
func (g *rig) ask(t *testing.T) (*Response, error) {
	t.Helper()
	permit := g.acquire(t)
	defer permit.Release(Succeeded)
	return g.query(t.Context(), permit, "q")
}

// Guards against a reply of another request that is taken for the own one, and
// against the use of its connection for the next request.
func TestCrossed(t *testing.T) {
	is := is.New(t)
	g := newRig(t, 1, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "theirs") })
	g.pool.CheckReply = func(*http.Request, *Response) error { return errors.New("theirs") }
	_, err := g.ask(t)
	var reply *ReplyError
	is.True(errors.As(err, &reply))
	is.Equal(reply.Reason, Crossed)
	var lost *LostError
	is.True(errors.As(err, &lost) && lost.Sent)
	g.pool.CheckReply = nil
	res, err := g.ask(t)
	is.NoErr(err)
	is.Equal(string(res.Body), "theirs")
	is.Equal(g.dials.Load(), int64(2)) // the first connection is closed
}

// Guards against a reply that a reset cut short and that looks whole, and against the
// loss of one that ends with its connection.
func TestUnframed(t *testing.T) {
	for _, tt := range []struct {
		name     string
		unframed bool
		reset    bool
		want     Fault
	}{
		{"not accepted", false, false, NoLength},
		{"accepted", true, false, ""},
		{"reset", true, true, CutShort},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			g := newRig(t, 1, func(w http.ResponseWriter, _ *http.Request) { raw(w, "HTTP/1.1 200 OK\r\n\r\nbody", tt.reset) })
			g.pool.AllowUnframed = tt.unframed
			res, err := g.ask(t)
			if tt.want == "" {
				is.NoErr(err)
				is.Equal(string(res.Body), "body")
				return
			}
			var lost *LostError
			is.True(errors.As(err, &lost) && lost.Sent)
			var reply *ReplyError
			if errors.As(err, &reply) { // a reset may also come before the header was read
				is.Equal(reply.Reason, tt.want)
			}
		})
	}
}

// Guards against a request on a connection that the target is about to close.
func TestKeepAlive(t *testing.T) {
	for _, tt := range []struct {
		header string
		dials  int64
	}{{"timeout=0", 2}, {"timeout=60", 1}, {"timeout=60, max=5", 1}, {"timeout=x", 1}, {"", 1}} {
		t.Run(tt.header, func(t *testing.T) {
			is := is.New(t)
			g := newRig(t, 1, func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Keep-Alive", tt.header) })
			for range 2 {
				_, err := g.ask(t)
				is.NoErr(err)
			}
			is.Equal(g.dials.Load(), tt.dials)
		})
	}
}

// Guards against connections that are opened again and again for nobody: beyond those
// kept ahead, and after one has expired unused.
func TestLean(t *testing.T) {
	is := is.New(t)
	g := newRig(t, 4, func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Keep-Alive", "timeout=0") })
	g.share.Warm, g.share.CapAtWarm = 1, true
	g.pool.SetShares(map[string]Share{"t0": g.share})
	_, err := g.ask(t)
	is.NoErr(err)
	dials := g.dials.Load()
	is.True(dials <= 2) // the one ahead, and one if the request came before it was open
	g.pool.Sweep()      // the connection has expired
	g.pool.Sweep()
	is.Equal(g.dials.Load(), dials)
	_, err = g.ask(t)
	is.NoErr(err)
}
