package limit

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"wasabirelay/control"
)

// run is one execution of a request by a scriptedTarget.
type run struct {
	id, sign, body string
	status         int
}

// form is how the end of a reply is known.
type form byte

const (
	withLength form = iota
	inChunks
	withoutLength
	forms
)

func (r *run) reply(f form) string {
	head := fmt.Sprintf("HTTP/1.1 %d %s\r\nSign: %s\r\nId: %s\r\n", r.status, http.StatusText(r.status), r.sign, r.id)
	switch f {
	case inChunks:
		half := len(r.body) / 2
		chunks := ""
		for _, part := range []string{r.body[:half], r.body[half:]} {
			if part != "" {
				chunks += fmt.Sprintf("%x\r\n%s\r\n", len(part), part)
			}
		}
		return head + "Transfer-Encoding: chunked\r\n\r\n" + chunks + "0\r\n\r\n"
	case withoutLength:
		return head + "Connection: close\r\n\r\n" + r.body
	}
	return head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(r.body), r.body)
}

// behaviour is what a scriptedTarget does with a reply.
type behaviour byte

const (
	sendWhole behaviour = iota
	// sendTwice sends a copy at once, sendLate before the next reply on the connection.
	sendTwice
	sendLate
	// breakAndCopy breaks off at some byte and sends a copy, breakAndClose closes the connection there.
	breakAndCopy
	breakAndClose
	// cutCopy sends the start of a copy and closes the connection.
	cutCopy
	behaviours
)

// scriptedTarget executes each request and replies as the next bytes of its script say.
type scriptedTarget struct {
	mu     sync.Mutex
	script []byte
	runs   []*run
}

func (f *scriptedTarget) next() byte {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.script) == 0 {
		return 0
	}
	b := f.script[0]
	f.script = f.script[1:]
	return b
}

func (f *scriptedTarget) run(id string) *run {
	length, status := int(f.next())%16, []int{200, 200, 503, 500}[f.next()%4]
	f.mu.Lock()
	defer f.mu.Unlock()
	r := &run{id: id, sign: fmt.Sprint("sign-", len(f.runs)), status: status}
	r.body = strings.Repeat(fmt.Sprintf("<%s of HTTP/1.1 200 %d>H", r.sign, status), length)
	f.runs = append(f.runs, r)
	return r
}

// find returns the run that the response is the whole reply of, or nil.
func (f *scriptedTarget) find(id string, res *Response) *run {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range f.runs {
		if r.id == id && r.status == res.Status && r.sign == res.Header.Get("Sign") && r.body == string(res.Body) {
			return r
		}
	}
	return nil
}

// dial returns a connection to the target. A pair of sockets needs no port, of which fuzzing would use up all.
func (f *scriptedTarget) dial(context.Context, string, string) (net.Conn, error) {
	pair, err := syscall.Socketpair(syscall.AF_UNIX, syscall.SOCK_STREAM, 0)
	if err != nil {
		return nil, err
	}
	var conns [2]net.Conn
	for i, socket := range pair {
		file := os.NewFile(uintptr(socket), "socket")
		conns[i], err = net.FileConn(file)
		file.Close()
		if err != nil {
			return nil, err
		}
	}
	go f.serve(conns[1])
	return conns[0], nil
}

func (f *scriptedTarget) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	var served []*run
	late, open := "", false // open is true if the late copy has no length
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		r := f.run(req.Header.Get("Id"))
		served = append(served, r)
		own := form(f.next()) % forms
		reply := r.reply(own)
		copied, other := served[int(f.next())%len(served)], form(f.next())%forms
		copiedReply := copied.reply(other)
		at := int(f.next())
		text, closing := late+reply, own == withoutLength
		afterOpen := late != "" && open
		late = ""
		switch b := behaviour(f.next()) % behaviours; {
		case b == sendTwice:
			text += copiedReply
		case b == sendLate:
			late, open = copiedReply, other == withoutLength
		case b == breakAndCopy:
			text = text[:len(text)-len(reply)+at*len(reply)/256] + copiedReply
		case b == breakAndClose && own != withoutLength: // nothing tells the end of a connection from a break
			sent := at * len(reply) / 256
			if afterOpen && sent < minCutStatus {
				sent = 0 // nothing tells fewer bytes from the end of the copy
			}
			text, closing = text[:len(text)-len(reply)+sent], true
		case b == cutCopy:
			copiedReply = r.reply(form(at) % forms)
			text, closing = text+copiedReply[:minCutStatus+at*(len(copiedReply)-minCutStatus)/256], true
		}
		if _, err := io.WriteString(conn, text); err != nil || closing {
			return
		}
	}
}

// Guards against an answer that is not the whole reply to a run of its own request, whatever targets send on a
// connection.
func FuzzReplySequence(f *testing.F) {
	// Per request: identity and whether it may run once; of its run the length and status; of the reply the form, which
	// run is copied, in which form, where it breaks, and the behaviour.
	whole := []byte{0, 5, 0, byte(withLength), 0, 0, 0, byte(sendWhole)}
	for b := range behaviours {
		for own := range forms {
			for _, which := range []byte{0, 1} {
				for _, at := range []byte{35, 160} { // in the head, in the body
					f.Add(append(append([]byte{}, whole...), 1, 5, 0, byte(own), which, byte(withLength), at, byte(b), 2, 3, 0, 0, 0, 0, 0, 0))
				}
			}
		}
	}
	f.Add([]byte("000002020020000X")) // a late copy without a length, then the start of a failure
	f.Fuzz(func(t *testing.T, script []byte) {
		const requests = 6
		is := is.New(t)
		target := &scriptedTarget{script: script[:min(len(script), 8*requests)]}
		p := &Pool{Dial: target.dial, Clock: clockwork.NewRealClock(), DrainTimeout: time.Millisecond, AllowUnframed: true}
		p.ReplyID = func(res *Response) string { return res.Header.Get("Id") }
		p.CheckReply = func(req *http.Request, res *Response) error {
			if res.Header.Get("Id") != req.Header.Get("Id") {
				return errors.New("another identity")
			}
			return nil
		}
		defer p.Close()
		p.SetShares(map[string]Share{"t0": {Incarnation: "1", Address: netip.MustParseAddrPort("127.0.0.1:1"), Connections: 1}})
		p.targets["t0"].record.confirmEmpty() // a wait behind each empty body would exceed the timeout of most requests
		for range requests {
			b := target.next()
			id := fmt.Sprint("r", b%4)
			req, err := http.NewRequest(http.MethodGet, "http://t0/", nil)
			is.NoErr(err)
			req.Header.Set("Id", id)
			permit, err := p.Acquire(t.Context(), &control.Target{Name: "t0", Incarnation: "1"})
			is.NoErr(err)
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
			bytes := []byte("GET / HTTP/1.1\r\nHost: t0\r\nId: " + id + "\r\n\r\n")
			res, err := p.Send(ctx, permit, &EncodedRequest{Request: req, Bytes: bytes, ID: id, Once: b >= 128}, nil)
			cancel()
			permit.Release(Failed)
			if err == nil && target.find(id, res) == nil {
				t.Fatalf("the answer to %s is not one of its runs: %d %q %q", id, res.Status, res.Header.Get("Sign"), res.Body)
			}
		}
	})
}
