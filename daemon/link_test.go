package daemon_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"wasabirelay/answer"
	"wasabirelay/host"
	"wasabirelay/peer"
	"wasabirelay/quorum"
)

// link is a proxy for the connections of one host to another. While it is blackholed, it drops
// the bytes in both directions but still accepts connections.
type link struct {
	blackholed atomic.Bool
	to         string
}

// links inserts a link between a host and each other control host.
func (g *group) links(name string) []*link {
	g.t.Helper()
	var out []*link
	for other := range g.controlAddresses[name] {
		if other != name {
			out = append(out, g.link(name, other))
		}
	}
	return out
}

// link inserts a link between a host and a control host that it connects to.
func (g *group) link(name, other string) *link {
	g.t.Helper()
	l := &link{to: loopback(g.ports[other][2])}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		g.t.Fatal(err)
	}
	g.t.Cleanup(func() { listener.Close() })
	g.controlAddresses[name][other] = listener.Addr().String()
	go l.run(listener)
	return l
}

func (l *link) run(listener net.Listener) {
	for {
		a, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			b, err := net.Dial("tcp", l.to)
			if err != nil {
				a.Close()
				return
			}
			go l.pipe(a, b)
			go l.pipe(b, a)
		}()
	}
}

// pipe copies bytes, or drops them while the link is blackholed.
func (l *link) pipe(from, to net.Conn) {
	defer to.Close()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !l.blackholed.Load() {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// listsHost reports whether the address list of a host contains another host.
func (g *group) listsHost(host, name string) bool {
	for _, a := range g.addresses(host) {
		if a.Host == name {
			return true
		}
	}
	return false
}

// addresses returns the address list of a host.
func (g *group) addresses(name string) []host.Address {
	_, body := sendRequest("GET", "http://"+loopback(g.ports[name][0])+"/v1/addresses?service=desk", nil, nil)
	var list host.AddressList
	_ = json.Unmarshal(body, &list)
	return list.Addresses
}

// members returns the members of the group as reported by the leader, or nil on failure. The
// request goes to the named host.
func (g *group) members(name string) []quorum.Member {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	c := &peer.Client{Address: netip.MustParseAddrPort(loopback(g.ports[name][2]))}
	defer c.Close()
	var s quorum.Status
	if c.Call(ctx, quorum.MethodStatus, quorum.StatusRequest{}, &s) != nil {
		return nil
	}
	return s.Replicas
}

// caller keeps an address list until it expires and sends each query to one address. It does
// not try another address after a failure.
type caller struct {
	g     *group
	list  []host.Address
	until time.Time
}

func (g *group) caller() *caller { return &caller{g: g} }

// send sends one query and returns why it failed, or "" on success.
func (c *caller) send(request string) string {
	if time.Now().After(c.until) {
		for _, name := range c.g.names {
			if list := c.g.addresses(name); len(list) > 0 {
				c.list, c.until = list, time.Now().Add(time.Second)
				break
			}
		}
	}
	if len(c.list) == 0 {
		return "no address"
	}
	at := c.list[rand.IntN(len(c.list))]
	a, refusal := c.g.query(at.Host, request)
	if a == nil {
		return fmt.Sprintf("%s: status %d %s", at.Host, refusal.Status, refusal.Detail)
	}
	return checkComplete(a, request)
}

// checkComplete returns "" if the answer is the complete answer to the request, or else a
// description.
func checkComplete(a *answer.Answer, request string) string {
	if a.Request != request || a.Coverage.Answered != a.Coverage.Total {
		return fmt.Sprintf("answer %+v is not the complete answer to %s", a, request)
	}
	return ""
}
