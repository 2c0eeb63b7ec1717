package soak

import (
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabirelay/platform/standin"
)

// whole is a whole answer to a request for all shards.
func whole(id string) *standin.Answer {
	a := &standin.Answer{Status: http.StatusOK}
	for _, s := range shards {
		a.Parts = append(a.Parts, standin.Signature(s, id))
	}
	// The greatest records are those with the largest leading digit, of the last shards.
	for digit := 2; digit >= 0; digit-- {
		for i := len(shards) - 1; i >= 0 && len(a.Body) < standin.Limit*16; i-- {
			a.Body = append(a.Body, standin.Records(shards[i], id)[digit*16:(digit+1)*16]...)
		}
	}
	return a
}

// Guards against a soak that sees nothing: each planted violation is found, and a
// correct course is not blamed.
func TestChecker(t *testing.T) {
	for _, tt := range []struct {
		name string
		do   func(c *checker)
		want string
	}{
		{"correct", func(c *checker) {
			c.ran("r1")
			c.answered("r1", false, whole("r1"))
			c.once("r2")
			c.ran("r2")
			c.answered("r2", true, &standin.Answer{Status: http.StatusBadGateway})
			c.once("r3")
			c.answered("r3", true, &standin.Answer{Status: http.StatusServiceUnavailable})
		}, ""},
		{"part of another request", func(c *checker) {
			c.ran("r1")
			a := whole("r1")
			a.Parts[0] = standin.Signature(shards[0], "r9")
			c.answered("r1", false, a)
		}, "another request"},
		{"coverage too high", func(c *checker) {
			c.ran("r1")
			a := whole("r1")
			a.Parts = a.Parts[1:]
			c.answered("r1", false, a)
		}, "missing of"},
		{"wrong records", func(c *checker) {
			c.ran("r1")
			a := whole("r1")
			a.Body = a.Body[16:]
			c.answered("r1", false, a)
		}, "greatest records"},
		{"answered by nobody", func(c *checker) { c.answered("r1", false, whole("r1")) }, "no target ran it"},
		{"ran twice", func(c *checker) { c.once("r1"); c.ran("r1"); c.ran("r1") }, "ran 2 times"},
		{"refused and ran later", func(c *checker) {
			c.once("r1")
			c.answered("r1", true, &standin.Answer{Status: http.StatusServiceUnavailable})
			c.ran("r1")
		}, "has not run, and ran"},
		{"route lost", func(c *checker) { c.answered("r1", false, &standin.Answer{Status: http.StatusNotFound}) }, "404"},
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

// Guards against a proxy that does not harm the link as it says.
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
	p, err := NewProxy(netip.MustParseAddrPort(l.Addr().String()))
	is.NoErr(err)
	defer p.Close()
	for _, tt := range []struct {
		mode  Mode
		bytes int
		least time.Duration
	}{{Pass, 4, 0}, {Delay, 4, delay}, {Silence, 0, 0}, {Deaf, 0, 0}, {Reset, 0, 0}, {Pass, 4, 0}} {
		p.Set(tt.mode)
		started := time.Now()
		c, err := net.Dial("tcp", p.Address.String()) //nolint:noctx // loopback
		is.NoErr(err)
		_, _ = c.Write([]byte("ping")) // it may be reset already
		is.NoErr(c.SetReadDeadline(time.Now().Add(4 * delay)))
		n, err := io.ReadFull(c, make([]byte, 4))
		is.Equal(n, tt.bytes)
		is.True((err == nil) == (tt.bytes == 4))
		is.True(time.Since(started) >= tt.least)
		c.Close()
	}
}
