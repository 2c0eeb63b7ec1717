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

// Guards against faults that are applied in part, and against invalid fields that are
// accepted.
func TestFaultValidation(t *testing.T) {
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
		{`{"snapshot":{"number":7}}`, "snapshots"}, // This snapshot is already announced.
		{`{"repartition":{"number":8,"shards":2,"hold":[2]}}`, "shards"},
		{`{"fail":0.5`, "body"},
	} {
		t.Run(c.text, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t, nil)
			w := h.post("/fault", c.text)
			var got struct{ Field string }
			is.NoErr(json.Unmarshal(w.Body.Bytes(), &got))
			is.Equal(got.Field, c.field)
			is.Equal(w.Code == 200, c.field == "")
			is.Equal(h.faults == Faults{}, c.field != "") // A refused POST changes no field.
		})
	}
}

// Guards against a POST that resets fields it does not contain.
func TestFaultsAreMerged(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, nil)
	h.setFaults(`{"slow":3,"crash":"boom"}`)
	h.setFaults(`{"slow":1,"drain":true}`)
	w := httptest.NewRecorder()
	h.handler.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/fault", nil))
	var got Faults
	is.NoErr(json.Unmarshal(w.Body.Bytes(), &got))
	is.Equal(got, Faults{SlowFactor: 1, Crash: "boom"}) // Without the drain action.
}

// Guards against faults that have no effect.
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
			h := newHarness(t, func(s *Searcher) { s.ServiceTime.Mean = time.Second })
			h.setFaults(c.fault)
			done := h.send("r1")
			h.awaitSleepers(1)
			h.clock.Advance(c.after - 1)
			is.Equal(len(done), 0)
			h.clock.Advance(1)
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

// Guards against a reply with a wrong identity that no request has used.
func TestWrongIdentityIsThePreviousOne(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, nil)
	receive(t, h.send("r1", target.HeaderShard, "0"))
	h.setFaults(`{"crossed":1}`)
	var reply target.Reply
	is.NoErr(json.Unmarshal(receive(t, h.send("r2")).Body.Bytes(), &reply))
	is.Equal(reply.Request, "r1")
	is.Equal(reply.Shard, 0)
}

// Guards against a delayed reply that occupies its slot.
func TestDelayedReplyFreesItsSlot(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, func(s *Searcher) { s.Target.Slots = 1 })
	h.setFaults(`{"late":"5s"}`)
	first := h.send("r1")
	h.awaitSleepers(1)
	second := h.send("r2")
	h.awaitSleepers(2)
	is.Equal(h.Counts().Served, 2)
	h.clock.Advance(5 * time.Second)
	is.Equal(receive(t, first).Code, 200)
	is.Equal(receive(t, second).Code, 200)
}

// Guards against a crash that ends the test process, or that is not counted as a run.
func TestCrashCallsExit(t *testing.T) {
	is := is.New(t)
	code := 0
	h := newHarness(t, func(s *Searcher) { s.Exit = func(c int) { code = c } })
	h.setFaults(`{"crash":"boom"}`)
	receive(t, h.send("boom-1"))
	is.Equal(code, crashExitCode)
	is.Equal(h.Counts().MaxRuns, 1)
}

// Guards against a health report that shows the actual state despite a fault.
func TestHealthFaults(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, nil)
	report := func() (got Health) {
		w := httptest.NewRecorder()
		h.handler.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/health", nil))
		is.NoErr(json.Unmarshal(w.Body.Bytes(), &got))
		return got
	}
	is.Equal(report(), Health{State: "warm"})
	h.setFaults(`{"lag":"5s"}`)
	receive(t, h.send("r1"))
	is.Equal(report().Served, 0)
	h.clock.Advance(5 * time.Second)
	is.Equal(report().Served, 1)
	h.setFaults(`{"health":"cold"}`)
	is.Equal(report().State, h.faults.Health)
}

// Guards against truncated replies that a client reads as complete, and against a
// duplicate that is not sent.
func TestReplyFaultsOnTheWire(t *testing.T) {
	for _, c := range []struct {
		fault    string
		complete int
	}{{`{}`, 1}, {`{"cut":1}`, 0}, {`{"doubled":1}`, 2}} {
		t.Run(c.fault, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t, nil)
			h.setFaults(c.fault)
			server := httptest.NewServer(h.handler)
			defer server.Close()
			conn, err := net.Dial("tcp", strings.TrimPrefix(server.URL, "http://"))
			is.NoErr(err)
			defer conn.Close()
			_, err = io.WriteString(conn, "POST /query HTTP/1.1\r\nHost: od-1\r\nConnection: close\r\n"+
				"Wasabi-Request: r1\r\nWasabi-Shard: 1\r\nWasabi-Snapshot: 7\r\nContent-Length: 2\r\n\r\n{}")
			is.NoErr(err)
			complete := 0
			for r := bufio.NewReader(conn); ; complete++ {
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
			is.Equal(complete, c.complete)
		})
	}
}

// Guards against connections above the limit, and against new connections that are not delayed.
func TestLimitListener(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, func(s *Searcher) {
		s.Target.Connections, s.Target.ConnectCost.Duration = 1, 6*time.Millisecond
	})
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	l := h.LimitListener(inner)
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
	h.awaitSleepers(1)
	is.Equal(len(read), 0)
	h.clock.Advance(6 * time.Millisecond)
	is.Equal(receive(t, read)+receive(t, read), 2) // Only the first read is delayed.
	server.Close()
	server.Close() // A second Close does not decrement the count again.
	third := dial()
	receive(t, accepted).Close()
	third.Close()
	is.Equal(l.(*listener).open, 0)
	is.Equal(h.Counts().Connections, 2)
	is.Equal(h.Counts().RejectedConnections, 1)
}

// Guards against counts that grow without bound, and against a maximum number of runs
// that is lost when its identity is evicted.
func TestCountsEvictOldIdentities(t *testing.T) {
	is := is.New(t)
	c := counts{runs: map[identity]int{}}
	c.recordRun(identity{"twice", 0})
	c.recordRun(identity{"twice", 0})
	for i := range maxIdentities {
		c.recordRun(identity{"r", i})
	}
	is.Equal(len(c.runs), maxIdentities)
	is.Equal(c.runs[identity{"twice", 0}], 0)
	is.Equal(c.MaxRuns, 2)
}

// Guards against a second attempt that is counted as another request.
func TestCountsByCallerIdentity(t *testing.T) {
	for _, c := range []struct{ request, caller string }{
		{"r1/5f0c/1", "r1"},
		{"r1/5f0c/12", "r1"},
		{"a/b/5f0c/1", "a/b"},
		{"r1", "r1"},
		{"r1/1", "r1/1"},
		{"r1/5f0c/x", "r1/5f0c/x"},
		{"/5f0c/1", ""},
	} {
		is.New(t).Equal(callerIdentity(c.request), c.caller)
	}
	is := is.New(t)
	h := newHarness(t, nil)
	receive(t, h.send("r1/5f0c/1"))
	receive(t, h.send("r1/5f0c/3"))
	is.Equal(h.Counts().Runs, map[string]map[int]int{"r1": {1: 2}})
	is.Equal(h.Counts().MaxRuns, 2)
}

// Guards against a distribution whose mean differs from Mean.
func TestServiceTimeMean(t *testing.T) {
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
				t.Fatal("refused without naming a field")
			}
			return
		}
		if got.FailShare < 0 || got.FailShare > 1 || got.SlowFactor < 0 || got.ReplyDelay.Duration < 0 {
			t.Fatalf("accepted values out of range: %s", text)
		}
		s := &Searcher{Clock: clockwork.NewFakeClock()}
		_ = s.SetFaults(text) // Must not panic, even though the searcher has no target.
	})
}
