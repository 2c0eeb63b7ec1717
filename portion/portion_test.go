package portion

import (
	"context"
	"encoding/json"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"wasabirelay/peer"
)

// received is a call of the receiver of frames.
type received struct {
	frame *Frame
	err   error
}

// pair is a host that takes portions, and one that leaves them to it.
type pair struct {
	server  *Server
	helpers *Helpers
	address netip.AddrPort
	calls   chan received
}

func newPair(t *testing.T, collect func(ctx context.Context, r *Request, send func(*Frame)) *Frame) *pair {
	t.Helper()
	p := &pair{
		server:  &Server{Collect: collect, Clock: clockwork.NewRealClock(), Log: zerolog.Nop()},
		helpers: &Helpers{Clock: clockwork.NewRealClock(), Log: zerolog.Nop(), DialTimeout: time.Second},
		calls:   make(chan received, 16),
	}
	s := &peer.Server{Address: netip.MustParseAddrPort("127.0.0.1:0"), Handlers: p.server.Handlers(), Log: zerolog.Nop()}
	ctx, cancel := context.WithCancel(context.Background())
	l, err := s.Listen(ctx)
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = s.Run(ctx, l)
	}()
	t.Cleanup(func() { cancel(); <-done })
	p.address = netip.MustParseAddrPort(l.Addr().String())
	p.helpers.Set([]Host{{Name: "h1", Address: p.address}})
	return p
}

func (p *pair) collect(t *testing.T, change func(*Request)) *Collection {
	t.Helper()
	r := &Request{Method: "GET", URI: "/q/", Host: "h", Shards: []string{"s1", "s2"}, Timeout: 2 * time.Second}
	if change != nil {
		change(r)
	}
	c, err := p.helpers.Collect([]string{"h1"}, r, func(f *Frame, err error) { p.calls <- received{f, err} })
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func (p *pair) next(t *testing.T) received {
	t.Helper()
	select {
	case c := <-p.calls:
		return c
	case <-time.After(5 * time.Second):
		t.Fatal("no frame")
		return received{}
	}
}

// Guards against frames that arrive in another order, at another portion, or without the last one.
func TestFrames(t *testing.T) {
	is := is.New(t)
	p := newPair(t, func(_ context.Context, r *Request, send func(*Frame)) *Frame {
		send(&Frame{})
		send(&Frame{Parts: []Part{{Service: r.Shards[0], Signature: "a"}}, Records: []byte("x")})
		return &Frame{Failed: []FailedShard{{Service: r.Shards[1], Reason: "r", Ran: true}}}
	})
	for range 3 {
		p.collect(t, nil)
		is.Equal(len(p.next(t).frame.Parts), 0)
		second, last := p.next(t), p.next(t)
		is.Equal(second.frame.Parts, []Part{{Service: "s1", Signature: "a"}})
		is.Equal(string(second.frame.Records), "x")
		is.True(last.frame.Last && last.frame.Failed[0].Ran)
	}
}

// Guards against work on a portion whose request has ended, and frames that arrive after that.
func TestCancel(t *testing.T) {
	is := is.New(t)
	ended := make(chan error, 1)
	p := newPair(t, func(ctx context.Context, _ *Request, send func(*Frame)) *Frame {
		send(&Frame{})
		<-ctx.Done()
		ended <- ctx.Err()
		return &Frame{}
	})
	c := p.collect(t, nil)
	p.next(t)
	c.Cancel()
	is.True(errors.Is(<-ended, context.Canceled))
	select {
	case f := <-p.calls:
		t.Fatalf("a frame arrived after the end: %+v", f)
	case <-time.After(50 * time.Millisecond):
	}
}

// Guards against work on a portion that was cancelled before the other host began with it, because both messages
// arrive together: that host was frozen, or the caller left at once.
func TestEarlyCancel(t *testing.T) {
	is := is.New(t)
	var began, lasted atomic.Int64
	p := newPair(t, func(ctx context.Context, _ *Request, _ func(*Frame)) *Frame {
		began.Add(1)
		select {
		case <-ctx.Done():
		case <-time.After(500 * time.Millisecond):
			lasted.Add(1)
		}
		return &Frame{}
	})
	const portions = 300
	for range portions {
		p.collect(t, nil).Cancel()
	}
	conn, err := (&peer.Client{Address: p.address}).Connect(t.Context())
	is.NoErr(err)
	defer conn.Close()
	for id := range uint64(portions) {
		r := &Request{ID: id, Method: "GET", URI: "/q/", Host: "h", Shards: []string{"s1"}, Timeout: 2 * time.Second}
		go func() { _ = conn.Call(t.Context(), MethodCollect, r, &Frame{}) }()
		is.NoErr(conn.Notify(t.Context(), MethodCancel, cancelRequest{ID: id}))
	}
	time.Sleep(700 * time.Millisecond)
	t.Logf("%d of %d portions were begun", began.Load(), 2*portions)
	is.Equal(lasted.Load(), int64(0))
	p.server.mu.Lock()
	defer p.server.mu.Unlock()
	is.Equal(len(p.server.running), 0)
}

// Guards against a portion that counts as not run although the other host may have sent it to
// targets, and the reverse.
func TestLostPortion(t *testing.T) {
	for _, tt := range []struct {
		name    string
		prepare func(p *pair)
		change  func(*Request)
		refused bool
	}{
		{"invalid request", nil, func(r *Request) { r.Shards = nil }, true},
		{"host shuts down", func(p *pair) { p.server.Drain(context.Background()) }, nil, true},
		{"no listener", func(p *pair) {
			p.helpers.Set([]Host{{Name: "h1", Address: netip.MustParseAddrPort("127.0.0.1:1")}})
		}, nil, true},
		{"panic", func(p *pair) { p.server.Collect = nil }, nil, false},
		{"silent host", func(p *pair) {
			p.server.Collect = func(ctx context.Context, _ *Request, _ func(*Frame)) *Frame {
				<-ctx.Done()
				time.Sleep(time.Second) // longer than replyMargin
				return &Frame{}
			}
		}, func(r *Request) { r.Timeout = 50 * time.Millisecond }, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			p := newPair(t, func(context.Context, *Request, func(*Frame)) *Frame { return &Frame{} })
			if tt.prepare != nil {
				tt.prepare(p)
			}
			p.collect(t, tt.change)
			err := p.next(t).err
			var refused *RefusedError
			var lost *LostError
			is.Equal(errors.As(err, &refused), tt.refused)
			is.Equal(errors.As(err, &lost), !tt.refused)
		})
	}
}

// Guards against a host that gets portions although it does not answer, and against one that gets
// none any more although it does.
func TestSuspectedHostIsAvoided(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	suspected := make(chan struct{})
	p := newPair(t, func(context.Context, *Request, func(*Frame)) *Frame {
		<-suspected
		return &Frame{}
	})
	p.collect(t, nil).Suspect()
	close(suspected)
	p.next(t)
	is.True(p.helpers.Usable("h1")) // its last frame has arrived
	p.helpers.Clock = clock
	one := p.helpers.hosts["h1"]
	before := p.helpers.Epoch()
	p.helpers.avoid(one)
	is.True(!p.helpers.Usable("h1"))
	is.True(p.helpers.Epoch() != before)
	_, err := p.helpers.Collect([]string{"h1", "unknown"}, &Request{}, nil)
	var refused *RefusedError
	is.True(errors.As(err, &refused))
	clock.Advance(avoidTime)
	is.True(p.helpers.Epoch() != before)
	is.True(p.helpers.Usable("h1"))
}

// Guards against connections to hosts that are gone that stay open, and against portions that are
// lost because their host has left the list.
func TestConnectionsOfGoneHostsAreClosed(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	p := newPair(t, func(_ context.Context, _ *Request, send func(*Frame)) *Frame {
		send(&Frame{})
		<-release
		return &Frame{}
	})
	p.collect(t, nil)
	p.next(t)
	conn, err := p.helpers.hosts["h1"].client.Connect(context.Background())
	is.NoErr(err)
	p.helpers.Set(nil)
	close(release)
	is.True(p.next(t).frame.Last)
	select {
	case <-conn.Done():
	case <-time.After(5 * time.Second):
		t.Fatal("the connection is still open")
	}
}

// Guards against a graceful shutdown that cuts portions off.
func TestDrainWaitsForPortions(t *testing.T) {
	is := is.New(t)
	var finished atomic.Bool
	started := make(chan struct{})
	p := newPair(t, func(context.Context, *Request, func(*Frame)) *Frame {
		close(started)
		time.Sleep(100 * time.Millisecond)
		finished.Store(true)
		return &Frame{}
	})
	p.collect(t, nil)
	<-started
	p.server.Drain(context.Background())
	is.True(finished.Load())
	is.True(p.next(t).frame.Last)
}

// Guards against a malformed message that ends the process.
func FuzzCollect(f *testing.F) {
	valid, _ := json.Marshal(Request{Method: "GET", URI: "/", Host: "h", Shards: []string{"s"}, Timeout: time.Second})
	f.Add(valid)
	f.Add([]byte(`{"shards":[""],"timeout":-1}`))
	f.Fuzz(func(_ *testing.T, data []byte) {
		var r Request
		if peer.Decode(data, &r) == nil {
			_ = r.Check()
		}
		var frame Frame
		_ = peer.Decode(data, &frame)
	})
}
