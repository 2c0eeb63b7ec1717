package soak

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabirelay/platform"
	"wasabirelay/platform/standin"
)

// completeAnswer returns a complete answer to a request for all shards.
func completeAnswer(id string) *standin.Answer {
	a := &standin.Answer{Status: http.StatusOK}
	var records []string
	for _, s := range shards {
		signature := standin.Signature(s, id, "1")
		a.Parts = append(a.Parts, signature)
		for body := string(standin.Records(signature)); body != ""; body = body[16:] {
			records = append(records, body[:16])
		}
	}
	slices.Sort(records)
	slices.Reverse(records)
	a.Body = []byte(strings.Join(records[:standin.ResultLimit], ""))
	return a
}

// record records a run of a request at a service and returns it.
func record(c *checker, service, id, run string, status int) *standin.Execution {
	signature := standin.Signature(service, id, run)
	x := &standin.Execution{
		Target: &standin.Target{Service: service}, Request: id, Method: http.MethodGet, Signature: signature, Status: status, Body: standin.Records(signature),
	}
	c.recordRun(x)
	return x
}

// recordShards records a run at each shard, the last one with the status.
func recordShards(c *checker, id string, status int) {
	for i, s := range shards {
		if i < len(shards)-1 {
			record(c, s, id, "1", http.StatusOK)
		} else {
			record(c, s, id, "1", status)
		}
	}
}

// answerOf returns the answer that passes on the reply of a run.
func answerOf(x *standin.Execution) *standin.Answer {
	return &standin.Answer{Status: x.Status, Request: x.Request, Signature: x.Signature, Body: x.Body}
}

// Guards against a checker that misses a violation, or that reports one for a correct
// sequence of events.
func TestChecker(t *testing.T) {
	for _, tt := range []struct {
		name string
		do   func(c *checker)
		want string
	}{
		{"correct", func(c *checker) {
			recordShards(c, "r1", 200)
			c.checkAnswer("r1", &mergedRoute, completeAnswer("r1"))
			c.expectSingleRun("r2")
			record(c, "one", "r2", "1", 200)
			c.checkAnswer("r2", &singleRunRoute, &standin.Answer{Status: http.StatusBadGateway})
			c.expectSingleRun("r3")
			c.checkAnswer("r3", &singleRunRoute, &standin.Answer{Status: http.StatusServiceUnavailable})
			record(c, "one", "r4", "1", 500)
			c.checkAnswer("r4", &repeatedRoute, answerOf(record(c, "one", "r4", "2", 200)))
			c.checkAnswer("r5", &repeatedRoute, answerOf(record(c, "one", "r5", "1", 404)))
			x := record(c, "one", "r6", "1", 200)
			x.Method = http.MethodHead
			c.checkAnswer("r6", &repeatedRoute, &standin.Answer{Status: 200, Signature: x.Signature})
			c.checkError("r7", &net.OpError{Err: syscall.ECONNRESET})
		}, ""},
		{"part of another request", func(c *checker) {
			recordShards(c, "r1", 200)
			a := completeAnswer("r1")
			a.Parts[0] = standin.Signature(shards[0], "r9", "1")
			c.checkAnswer("r1", &mergedRoute, a)
		}, "another request"},
		{"coverage too high", func(c *checker) {
			recordShards(c, "r1", 200)
			a := completeAnswer("r1")
			a.Parts = a.Parts[1:]
			c.checkAnswer("r1", &mergedRoute, a)
		}, "missing of"},
		{"wrong records", func(c *checker) {
			recordShards(c, "r1", 200)
			a := completeAnswer("r1")
			a.Body = a.Body[16:]
			c.checkAnswer("r1", &mergedRoute, a)
		}, "greatest records"},
		{"failure as a part", func(c *checker) {
			recordShards(c, "r1", 409)
			c.checkAnswer("r1", &mergedRoute, completeAnswer("r1"))
		}, "a failure with status 409"},
		{"part without a run", func(c *checker) {
			record(c, shards[0], "r1", "1", 200)
			record(c, shards[1], "r1", "1", 200)
			c.checkAnswer("r1", &mergedRoute, completeAnswer("r1"))
		}, "no run of it has signed"},
		{"part twice", func(c *checker) {
			recordShards(c, "r1", 200)
			a := completeAnswer("r1")
			a.Parts[1] = a.Parts[0]
			c.checkAnswer("r1", &mergedRoute, a)
		}, "a duplicate"},
		{"run of another request", func(c *checker) {
			record(c, "one", "r1", "1", 200)
			a := answerOf(record(c, "one", "r2", "1", 200))
			a.Request = ""
			c.checkAnswer("r1", &repeatedRoute, a)
		}, "which no run of it has"},
		{"identity of another request", func(c *checker) {
			a := answerOf(record(c, "one", "r1", "1", 200))
			a.Request = "r2"
			c.checkAnswer("r1", &repeatedRoute, a)
		}, "the answer to request r2"},
		{"success without a signature", func(c *checker) {
			record(c, "one", "r1", "1", 200)
			c.checkAnswer("r1", &repeatedRoute, &standin.Answer{Status: 200})
		}, "which no run of it has"},
		{"body of another run", func(c *checker) {
			a := answerOf(record(c, "one", "r1", "1", 200))
			a.Body = record(c, "one", "r1", "2", 200).Body
			c.checkAnswer("r1", &repeatedRoute, a)
		}, "bytes that are not"},
		{"success of a run that failed", func(c *checker) {
			a := answerOf(record(c, "one", "r1", "1", 500))
			a.Status = 200
			c.checkAnswer("r1", &repeatedRoute, a)
		}, "which replied 500"},
		{"failure with another status", func(c *checker) {
			a := answerOf(record(c, "one", "r1", "1", 409))
			a.Status = 502
			c.checkAnswer("r1", &repeatedRoute, a)
		}, "which replied 409"},
		{"body for HEAD", func(c *checker) {
			x := record(c, "one", "r1", "1", 200)
			x.Method = http.MethodHead
			a := answerOf(x)
			a.Body = []byte("x")
			c.checkAnswer("r1", &repeatedRoute, a)
		}, "bytes that are not"},
		{"no answer", func(c *checker) { c.checkError("r1", &standin.ProtocolError{Waiting: true, Err: io.ErrNoProgress}) }, "bytes that are no answer"},
		{"changed body", func(c *checker) {
			c.expect(&standin.Query{ID: "r1", Method: http.MethodGet, Body: []byte("x")})
			record(c, "one", "r1", "1", 200)
		}, "but was sent as GET with 1"},
		{"too many attempts", func(c *checker) {
			for i := range maxExcessRequests + 1 {
				q := &standin.Query{ID: fmt.Sprint("r", i), Method: http.MethodGet, Path: mergedRoute.path}
				c.expect(q)
				for run := range mergedRoute.attempts + 1 {
					record(c, shards[0], q.ID, fmt.Sprint(run), 500).Target.ID = fmt.Sprint("t", run)
				}
			}
			c.checkAttempts()
		}, "more targets than their route allows"},
		{"answered without a run", func(c *checker) {
			recordShards(c, "r1", 200)
			c.runs = nil
			c.checkAnswer("r1", &mergedRoute, completeAnswer("r1"))
		}, "no target ran it"},
		{"ran twice", func(c *checker) {
			c.expectSingleRun("r1")
			record(c, "one", "r1", "1", 200)
			record(c, "one", "r1", "2", 200)
		}, "ran 2 times"},
		{"refused and ran later", func(c *checker) {
			c.expectSingleRun("r1")
			c.checkAnswer("r1", &singleRunRoute, &standin.Answer{Status: http.StatusServiceUnavailable})
			record(c, "one", "r1", "1", 200)
		}, "as not run, but ran"},
		{"route lost", func(c *checker) { c.checkAnswer("r1", &mergedRoute, &standin.Answer{Status: http.StatusNotFound}) }, "404"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var c checker
			c.init()
			tt.do(&c)
			violations := c.report(&Run{}).Violations
			if tt.want == "" {
				is.Equal(len(violations), 0)
				return
			}
			is.Equal(len(violations), 1)
			is.True(strings.Contains(violations[0], tt.want))
		})
	}
}

// Guards against missed violations: too many requests to a cold target, too many repeated
// arrivals, and arrivals at a target that must get none.
func TestTraffic(t *testing.T) {
	is := is.New(t)
	start := func(id string, cold time.Duration) *standin.Target {
		t := &standin.Target{ID: id, Service: "s", ColdDuration: cold, ControlAddresses: func() []netip.AddrPort { return nil }}
		is.NoErr(t.Start())
		return t
	}
	cold, warm := start("cold", time.Minute), start("warm", 0)
	defer cold.Crash()
	defer warm.Crash()
	for _, tt := range []struct {
		name                  string
		to                    *standin.Target
		sent, first, repeated int
		forbidden, limited    string
		want                  string
	}{
		{"correct", warm, 300, 300, 100, "", "", ""},
		{"cold", cold, 14, 14, 0, "", "", ""},
		{"too many for a cold target", cold, 15, 15, 0, "", "", "cold target cold got 15"},
		{"too many repeated arrivals", warm, 300, 300, 111, "", "", "111 repeated arrivals for 300"},
		{"leaving", warm, 300, 100, 0, "warm", "", ""},
		{"request to a leaving target", warm, 300, 101, 0, "warm", "", "r101 arrived at warm, which leaves"},
		{"declared limit", warm, 300, 65, 0, "", "warm", ""},
		{"beyond a declared limit", warm, 300, 66, 0, "", "warm", "got 66 requests in 4s"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var c traffic
			c.init()
			c.forbid(map[string]string{tt.forbidden: "leaves"}, 100)
			c.declare(tt.limited, "")
			for range tt.sent {
				c.recordSent([]string{"s"})
			}
			for i := range tt.first {
				c.recordArrival(tt.to, fmt.Sprint("r", i+1))
			}
			for range tt.repeated {
				c.recordArrival(tt.to, "r1")
			}
			var to checker
			c.report(&to)
			if tt.want == "" {
				is.Equal(len(to.violations), 0)
				return
			}
			is.Equal(len(to.violations), 1)
			is.True(strings.Contains(to.violations[0], tt.want))
		})
	}
}

// Guards against a wrong number of requests in a window where they are recorded out of order.
func TestRecordSentAt(t *testing.T) {
	is := is.New(t)
	var c traffic
	c.init()
	now := time.Now()
	for _, after := range []time.Duration{standin.RetryWindow, 0, standin.RetryWindow / 4} {
		c.recordSentAt(now.Add(after), []string{"s"})
	}
	is.Equal(c.maxSent("s", now), 2)
}

// Guards against a missed violation: a request of a host to a target that has told it that it
// leaves; and against a false one: the first request of another host.
func TestLeavingByReplies(t *testing.T) {
	is := is.New(t)
	var c traffic
	c.init()
	c.declare("", "t")
	now := time.Now()
	c.recordLeaving("t", "r1@0", "0", now)
	c.recordLeaving("t", "r2@0", "0", now.Add(drainTime/2))
	c.recordLeaving("t", "r3@1", "1", now.Add(2*drainTime))
	c.recordLeaving("u", "r4@0", "0", now.Add(2*drainTime))
	is.Equal(len(c.forbiddenArrivals), 0)
	c.recordLeaving("t", "r5@0", "0", now.Add(2*drainTime))
	is.True(strings.Contains(c.forbiddenArrivals["t"], "r5@0 arrived at t"))
}

// Guards against a missed violation where hosts can't use all replies: a request of a host that has passed an answer of
// the target on; and against false ones: of a host that has had no answer that it could pass on.
func TestLeavingByAnswersPassedOn(t *testing.T) {
	is := is.New(t)
	c := traffic{stuttering: true}
	c.init()
	c.declare("", "t")
	now := time.Now()
	answerFrom := func(target string, leaving bool) *standin.Answer {
		return &standin.Answer{Leaving: leaving, Signature: standin.Signature("s", "r2@0", target+"-7")}
	}
	c.recordLeaving("t", "r1@0", "0", now)
	c.recordPassedOn("r2@0", answerFrom("t", false), now)
	c.recordPassedOn("r2@0", answerFrom("u", true), now)
	c.recordLeaving("t", "r3@0", "0", now.Add(2*drainTime))
	c.recordPassedOn("r2@0", answerFrom("t", true), now.Add(2*drainTime))
	c.recordLeaving("t", "r4@0", "0", now.Add(2*drainTime))
	is.Equal(len(c.forbiddenArrivals), 0)
	c.recordLeaving("t", "r5@0", "0", now.Add(4*drainTime))
	is.True(strings.Contains(c.forbiddenArrivals["t"], "r5@0 arrived at t"))
}

// Guards against a proxy whose modes don't have the documented effect on the link.
func TestProxy(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // it returns at once
	is.NoErr(err)
	defer l.Close()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(c, c) }()
		}
	}()
	p, err := NewProxy(anyPort, netip.MustParseAddrPort(l.Addr().String()))
	is.NoErr(err)
	defer p.Close()
	for _, tt := range []struct {
		mode        Mode
		alternate   bool
		bytes       int
		minDuration time.Duration
	}{
		{Pass, false, 4, 0},
		{Delay, false, 4, delayTime},
		{Blackhole, false, 0, 0},
		{OneWay, false, 0, 0},
		{Reset, false, 0, 0},
		{Pass, false, 4, 0},
		{Blackhole, true, 4, 0},
		{Blackhole, true, 0, 0}, // the seventh connection, which is odd, is not affected, the eighth is
	} {
		p.Set(tt.mode, tt.alternate)
		started := time.Now()
		c, err := net.Dial("tcp", p.Address.String()) //nolint:noctx // loopback
		if tt.mode == Reset && errors.Is(err, syscall.ECONNRESET) {
			continue // the proxy accepted and reset the connection before Dial returned
		}
		is.NoErr(err)
		_, _ = c.Write([]byte("ping")) // it fails if the connection is already reset
		is.NoErr(c.SetReadDeadline(time.Now().Add(4 * delayTime)))
		n, err := io.ReadFull(c, make([]byte, 4))
		is.Equal(n, tt.bytes)
		is.True((err == nil) == (tt.bytes == 4))
		is.True(time.Since(started) >= tt.minDuration)
		c.Close()
	}
}

// Guards against a proxy that turns a reset of the server into a clean close, which completes a body
// that has no length.
func TestProxyPassesOnResets(t *testing.T) {
	for _, reset := range []bool{false, true} {
		is := is.New(t)
		l, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // it returns at once
		is.NoErr(err)
		defer l.Close()
		p, err := NewProxy(anyPort, netip.MustParseAddrPort(l.Addr().String()))
		is.NoErr(err)
		defer p.Close()
		c, err := net.Dial("tcp", p.Address.String()) //nolint:noctx // loopback
		is.NoErr(err)
		defer c.Close()
		server, err := l.Accept()
		is.NoErr(err)
		_, err = server.Write([]byte("half"))
		is.NoErr(err)
		_, err = io.ReadFull(c, make([]byte, 4))
		is.NoErr(err)
		if reset {
			setReset(server)
		}
		server.Close()
		is.NoErr(c.SetReadDeadline(time.Now().Add(time.Second)))
		_, err = c.Read(make([]byte, 1))
		is.Equal(errors.Is(err, syscall.ECONNRESET), reset)
		is.Equal(errors.Is(err, io.EOF), !reset)
	}
}

// Guards against a run of a request with a key that the checker judges wrongly.
func TestOrganisationsOfRuns(t *testing.T) {
	header := platform.Interfaces().Headers
	for _, tt := range []struct {
		name, request, organisation string
		keyShown                    bool
		violations                  int
	}{
		{"sound", "keyed", "north", false, 0},
		{"without a key", "public", "", false, 0},
		{"another organisation", "keyed", "south", false, 1},
		{"no organisation", "keyed", "", false, 1},
		{"forged organisation", "public", "forged", false, 1},
		{"unknown key", "unknown", "", false, 1},
		{"key shown", "keyed", "north", true, 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var c checker
			c.init()
			x := &standin.Execution{Request: tt.request, Header: http.Header{}}
			if tt.organisation != "" {
				x.Header.Set(header.Organisation, tt.organisation)
			}
			if tt.keyShown {
				x.Header.Set(header.Credentials, "key")
			}
			o := organisations{expected: map[string]string{"keyed": "north", "unknown": ""}}
			o.checkRun(x, &c)
			is.Equal(len(c.violations), tt.violations)
		})
	}
}
