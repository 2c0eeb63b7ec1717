package relay

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabirelay/control"
	"wasabirelay/limit"
)

// movedTarget serves an address that passes from one target to another. Until it is released it holds the replies
// to requests for the first one. A connection that has carried a request for it sends a copy of the reply with the
// next one.
type movedTarget struct {
	release chan struct{}
	mu      sync.Mutex
	// seen holds the target and the identity of each request, by connection.
	seen [][]string
}

func (f *movedTarget) serve(conn net.Conn) {
	defer conn.Close()
	f.mu.Lock()
	n := len(f.seen)
	f.seen = append(f.seen, nil)
	f.mu.Unlock()
	reader := bufio.NewReader(conn)
	last := ""
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		target, id := r.Header.Get(headers.Target), r.Header.Get(headers.Request)
		f.mu.Lock()
		f.seen[n] = append(f.seen[n], target+" "+id)
		f.mu.Unlock()
		if target == "a" {
			<-f.release
		}
		reply := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\nContent-Length: 16\r\n\r\n%s", headers.Request, id, headers.Signature, target, record(target))
		_, _ = io.WriteString(conn, last+reply)
		last = reply
	}
}

// Guards against a reply of a target that is gone for a request to the target that has its address now, and the
// reverse: connections must not pass from one to the other.
func TestAddressOfAnotherTarget(t *testing.T) {
	for _, idempotent := range []bool{false, true} {
		for _, incarnation := range []bool{false, true} {
			t.Run(fmt.Sprint("idempotent ", idempotent, ", another incarnation ", incarnation), func(t *testing.T) {
				is := is.New(t)
				f := &movedTarget{release: make(chan struct{})}
				h := newRawHarness(t, 1, f.serve)
				h.view.Routing.Match("h", "/q/x").Idempotent = idempotent
				var view atomic.Pointer[View]
				view.Store(h.view)
				h.service.View = view.Load
				old := h.view.Targets["s1"][0]
				first := make(chan string, 1)
				go func() {
					_, body := h.get(t, func(r *http.Request) { r.Header.Set(headers.Timeout, "3000") })
					first <- body
				}()
				for deadline := time.Now().Add(time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
					f.mu.Lock()
					started := len(f.seen) > 0 && len(f.seen[0]) > 0
					f.mu.Unlock()
					if started {
						break
					}
				}
				next := *old
				next.Name, next.Incarnation = "b", "2"
				if incarnation {
					next.Name = "a"
				}
				view.Store(&View{
					Routing: h.view.Routing, Division: h.view.Division, Out: h.view.Out, Targets: map[string][]*control.Target{"s1": {&next}},
				})
				h.service.Pool.SetShares(map[string]limit.Share{next.Name: {Incarnation: "2", Address: next.Address, Connections: 1, Slots: 2}})
				second := make(chan string, 1)
				go func() { // with the identity of the first one
					_, body := h.get(t, func(r *http.Request) { r.Header.Set(headers.Timeout, "3000") })
					second <- body
				}()
				time.Sleep(20 * time.Millisecond)
				close(f.release)
				is.Equal(<-first, string(record("a")))
				is.Equal(<-second, string(record(next.Name)))
				f.mu.Lock()
				defer f.mu.Unlock()
				is.Equal(len(f.seen), 2)
				for _, seen := range f.seen {
					is.Equal(strings.Join(seen, ", "), seen[0]) // one request each
				}
			})
		}
	}
}
