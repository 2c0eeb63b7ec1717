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

// Guards against a checker that misses a violation, or that reports one for a correct
// sequence of events.
func TestChecker(t *testing.T) {
	for _, tt := range []struct {
		name string
		do   func(c *checker)
		want string
	}{
		{"correct", func(c *checker) {
			c.recordRun(&standin.Execution{Request: "r1"})
			c.checkAnswer("r1", false, completeAnswer("r1"))
			c.expectSingleRun("r2")
			c.recordRun(&standin.Execution{Request: "r2"})
			c.checkAnswer("r2", true, &standin.Answer{Status: http.StatusBadGateway})
			c.expectSingleRun("r3")
			c.checkAnswer("r3", true, &standin.Answer{Status: http.StatusServiceUnavailable})
		}, ""},
		{"part of another request", func(c *checker) {
			c.recordRun(&standin.Execution{Request: "r1"})
			a := completeAnswer("r1")
			a.Parts[0] = standin.Signature(shards[0], "r9", "1")
			c.checkAnswer("r1", false, a)
		}, "another request"},
		{"coverage too high", func(c *checker) {
			c.recordRun(&standin.Execution{Request: "r1"})
			a := completeAnswer("r1")
			a.Parts = a.Parts[1:]
			c.checkAnswer("r1", false, a)
		}, "missing of"},
		{"wrong records", func(c *checker) {
			c.recordRun(&standin.Execution{Request: "r1"})
			a := completeAnswer("r1")
			a.Body = a.Body[16:]
			c.checkAnswer("r1", false, a)
		}, "greatest records"},
		{"answered without a run", func(c *checker) { c.checkAnswer("r1", false, completeAnswer("r1")) }, "no target ran it"},
		{"ran twice", func(c *checker) {
			c.expectSingleRun("r1")
			c.recordRun(&standin.Execution{Request: "r1"})
			c.recordRun(&standin.Execution{Request: "r1"})
		}, "ran 2 times"},
		{"refused and ran later", func(c *checker) {
			c.expectSingleRun("r1")
			c.checkAnswer("r1", true, &standin.Answer{Status: http.StatusServiceUnavailable})
			c.recordRun(&standin.Execution{Request: "r1"})
		}, "as not run, but ran"},
		{"route lost", func(c *checker) { c.checkAnswer("r1", false, &standin.Answer{Status: http.StatusNotFound}) }, "404"},
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
