package searcher

import (
	"bufio"
	"encoding/json"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"wasabirelay/target"
)

// Guards against faults that are switched on by half, or not as the test that
// switches them on means it.
func TestFaultsAreRefusedByField(t *testing.T) {
	for _, c := range []struct{ text, field string }{
		{`{"slow":3,"fail":0.5,"late":"20ms","health":"warm"}`, ""},
		{`{"speed":3}`, "speed"},
		{`{"slow":-1}`, "slow"},
		{`{"slow":null}`, "slow"},
		{`{"fail":1.5}`, "fail"},
		{`{"crossed":-0.1}`, "crossed"},
		{`{"late":20}`, "late"},
		{`{"late":"-20ms"}`, "late"},
		{`{"health":"fine"}`, "health"},
		{`{"snapshot":{"shards":2}}`, "snapshot.number"},
		{`{"snapshot":{"number":8,"total":2}}`, "snapshot.total"},
		{`{"snapshot":{"number":7}}`, "snapshots"}, // It is announced already.
		{`{"repartition":{"number":8,"shards":2,"hold":[2]}}`, "shards"},
		{`{"fail":0.5`, "body"},
	} {
		t.Run(c.text, func(t *testing.T) {
			is := is.New(t)
			b := newBench(t, nil)
			w := b.post("/fault", c.text)
			var got struct{ Field string }
			is.NoErr(json.Unmarshal(w.Body.Bytes(), &got))
			is.Equal(got.Field, c.field)
			is.Equal(w.Code == 200, c.field == "")
			is.Equal(b.faults == Faults{}, c.field != "") // All or nothing.
		})
	}
}

// Guards against fields that a later POST resets although it does not name them.
func TestFaultsAreMerged(t *testing.T) {
	is := is.New(t)
	b := newBench(t, nil)
	b.fault(`{"slow":3,"crash":"boom"}`)
	b.fault(`{"slow":1,"drain":true}`)
	w := httptest.NewRecorder()
	b.h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/fault", nil))
	var got Faults
	is.NoErr(json.Unmarshal(w.Body.Bytes(), &got))
	is.Equal(got, Faults{SlowFactor: 1, Crash: "boom"}) // Without the action.
}

// Guards against faults without their effect.
func TestFaultEffects(t *testing.T) {
	for _, c := range []struct {
		name, fault string
		status      int
		request     string
		after       time.Duration
	}{
		{"none", `{}`, 200, "r1", time.Second},
		{"slow", `{"slow":3}`, 200, "r1", 3 * time.Second},
		{"fail", `{"fail":1}`, 500, "", time.Second},
		{"crossed", `{"crossed":1}`, 200, "crossed-r1", time.Second},
		{"other query does not crash", `{"crash":"r2"}`, 200, "r1", time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			b := newBench(t, func(s *Searcher) { s.ServiceTime.Mean = time.Second })
			b.fault(c.fault)
			done := b.send("r1")
			b.sleepers(1)
			b.clock.Advance(c.after - 1)
			is.Equal(len(done), 0)
			b.clock.Advance(1)
			w := receive(t, done)
			is.Equal(w.Code, c.status)
			var reply target.Reply
			if c.status == 200 {
				is.NoErr(json.Unmarshal(w.Body.Bytes(), &reply))
			}
			is.Equal(reply.Request, c.request)
		})
	}
}

// Guards against a crossed reply that takes an identity that was never used.
func TestCrossedTakesPreviousIdentity(t *testing.T) {
	is := is.New(t)
	b := newBench(t, nil)
	receive(t, b.send("r1", target.HeaderShard, "0"))
	b.fault(`{"crossed":1}`)
	var reply target.Reply
	is.NoErr(json.Unmarshal(receive(t, b.send("r2")).Body.Bytes(), &reply))
	is.Equal(reply.Request, "r1")
	is.Equal(reply.Shard, 0)
}

// Guards against a late reply that keeps its slot.
func TestLateReplyFreesItsSlot(t *testing.T) {
	is := is.New(t)
	b := newBench(t, func(s *Searcher) { s.Target.Slots = 1 })
	b.fault(`{"late":"5s"}`)
	first := b.send("r1")
	b.sleepers(1)
	second := b.send("r2")
	b.sleepers(2)
	is.Equal(b.Counts().Served, 2)
	b.clock.Advance(5 * time.Second)
	is.Equal(receive(t, first).Code, 200)
	is.Equal(receive(t, second).Code, 200)
}

// Guards against a crash that ends the test process, or that is not counted as a run.
func TestCrashGoesThroughExit(t *testing.T) {
	is := is.New(t)
	code := 0
	b := newBench(t, func(s *Searcher) { s.Exit = func(c int) { code = c } })
	b.fault(`{"crash":"boom"}`)
	receive(t, b.send("boom-1"))
	is.Equal(code, crashCode)
	is.Equal(b.Counts().MaxRuns, 1)
}

// Guards against a health report that is true although it should not be.
func TestHealthLagsAndLies(t *testing.T) {
	is := is.New(t)
	b := newBench(t, nil)
	report := func() (h Health) {
		w := httptest.NewRecorder()
		b.h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/health", nil))
		is.NoErr(json.Unmarshal(w.Body.Bytes(), &h))
		return h
	}
	is.Equal(report(), Health{State: "warm"})
	b.fault(`{"lag":"5s"}`)
	receive(t, b.send("r1"))
	is.Equal(report().Served, 0)
	b.clock.Advance(5 * time.Second)
	is.Equal(report().Served, 1)
	b.fault(`{"health":"cold"}`)
	is.Equal(report().State, b.faults.Health)
}

// Guards against damaged replies that a client takes as whole.
func TestDamagedRepliesOnTheWire(t *testing.T) {
	for _, c := range []struct {
		fault string
		whole int
	}{{`{}`, 1}, {`{"cut":1}`, 0}, {`{"doubled":1}`, 2}} {
		t.Run(c.fault, func(t *testing.T) {
			is := is.New(t)
			b := newBench(t, nil)
			b.fault(c.fault)
			server := httptest.NewServer(b.h)
			defer server.Close()
			conn, err := net.Dial("tcp", strings.TrimPrefix(server.URL, "http://"))
			is.NoErr(err)
			defer conn.Close()
			_, err = io.WriteString(conn, "POST /query HTTP/1.1\r\nHost: od-1\r\nConnection: close\r\n"+
				"Wasabi-Request: r1\r\nWasabi-Shard: 1\r\nWasabi-Snapshot: 7\r\nContent-Length: 2\r\n\r\n{}")
			is.NoErr(err)
			whole := 0
			for r := bufio.NewReader(conn); ; whole++ {
				res, err := http.ReadResponse(r, nil)
				if err != nil {
					break
				}
				_, err = io.ReadAll(res.Body)
				res.Body.Close()
				if err != nil {
					break
				}
			}
			is.Equal(whole, c.whole)
		})
	}
}

// Guards against connections above the limit, and new connections without a cost.
func TestListen(t *testing.T) {
	is := is.New(t)
	b := newBench(t, func(s *Searcher) {
		s.Target.Connections, s.Target.ConnectCost.Duration = 1, 6*time.Millisecond
	})
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	l := b.LimitListener(inner)
	defer l.Close()
	accepted := make(chan net.Conn)
	go func() {
		for c, err := l.Accept(); err == nil; c, err = l.Accept() {
			accepted <- c
		}
	}()
	dial := func() net.Conn {
		c, err := net.Dial("tcp", l.Addr().String())
		is.NoErr(err)
		return c
	}
	first := dial()
	server := receive(t, accepted)
	second := dial()
	is.NoErr(second.SetReadDeadline(time.Now().Add(10 * time.Second)))
	_, err = second.Read(make([]byte, 1)) // The searcher closes it.
	is.True(errors.Is(err, io.EOF))
	_, err = first.Write([]byte("xy"))
	is.NoErr(err)
	read := make(chan int, 2)
	go func() {
		for range 2 {
			n, _ := server.Read(make([]byte, 1))
			read <- n
		}
	}()
	b.sleepers(1)
	is.Equal(len(read), 0)
	b.clock.Advance(6 * time.Millisecond)
	is.Equal(receive(t, read)+receive(t, read), 2) // The cost is paid once.
	server.Close()
	server.Close() // A second close does not free a second place.
	third := dial()
	receive(t, accepted).Close()
	third.Close()
	is.Equal(l.(*listener).open, 0)
	is.Equal(b.Counts().Connections, 2)
	is.Equal(b.Counts().RejectedConnections, 1)
}

// Guards against counts that grow without bound, and against a double run that
// is forgotten with its identity.
func TestCountsForgetOldIdentities(t *testing.T) {
	is := is.New(t)
	c := counts{runs: map[identity]int{}}
	c.ran(identity{"twice", 0})
	c.ran(identity{"twice", 0})
	for i := range remembered {
		c.ran(identity{"r", i})
	}
	is.Equal(len(c.runs), remembered)
	is.Equal(c.runs[identity{"twice", 0}], 0)
	is.Equal(c.MaxRuns, 2)
}

// Guards against a second attempt at a request that counts as another request.
func TestCountsBelongToTheCaller(t *testing.T) {
	for _, c := range []struct{ request, caller string }{
		{"r1/5f0c/1", "r1"},
		{"r1/5f0c/12", "r1"},
		{"a/b/5f0c/1", "a/b"},
		{"r1", "r1"},
		{"r1/1", "r1/1"},
		{"r1/5f0c/x", "r1/5f0c/x"},
		{"/5f0c/1", ""},
	} {
		is.New(t).Equal(callerOf(c.request), c.caller)
	}
	is := is.New(t)
	b := newBench(t, nil)
	receive(t, b.send("r1/5f0c/1"))
	receive(t, b.send("r1/5f0c/3"))
	is.Equal(b.Counts().Runs, map[string]map[int]int{"r1": {1: 2}})
	is.Equal(b.Counts().MaxRuns, 2)
}

// Guards against a distribution whose mean is not the one asked for.
func TestTimeKeepsItsMean(t *testing.T) {
	for _, d := range []Distribution{Fixed, Exponential, Lognormal} {
		r := rand.New(rand.NewPCG(3, 4))
		var sum time.Duration
		const draws = 100_000
		for range draws {
			sum += ServiceTime{Mean: time.Millisecond, Distribution: d, Sigma: 0.5}.Sample(r)
		}
		mean := sum / draws
		if mean < 980*time.Microsecond || mean > 1020*time.Microsecond {
			t.Errorf("%s: mean %s", d, mean)
		}
	}
}

// Guards against panics, and against accepted faults that are out of range.
func FuzzDecodeFaults(f *testing.F) {
	f.Add([]byte(`{"slow":3,"fail":0.5,"late":"20ms","crash":"boom"}`))
	f.Add([]byte(`{"snapshot":{"number":8,"shards":2,"drop":true},"repartition":{"number":9,"shards":4,"hold":[3]}}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		got, bad := DecodeFaults(Faults{}, text)
		if bad != nil {
			if bad.Field == "" {
				t.Fatal("a refusal without a field")
			}
			return
		}
		if got.FailShare < 0 || got.FailShare > 1 || got.SlowFactor < 0 || got.ReplyDelay.Duration < 0 {
			t.Fatalf("%s was accepted", text)
		}
		s := &Searcher{Clock: clockwork.NewFakeClock()}
		_ = s.SetFaults(text) // Must not panic, whatever the searcher holds.
	})
}
