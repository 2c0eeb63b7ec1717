package relay

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/matryer/is"

	"wasabirelay/control"
	"wasabirelay/limit"
	"wasabirelay/routing"
)

const (
	// drawnPause is the pause between the pieces of a reply and before a late end of its connection. A rest that
	// came later than lateRest, because the machine was busy, can't be told from none.
	drawnPause = 3 * time.Millisecond
	lateRest   = 15 * time.Millisecond
	// drawnTimeout is the timeout of requests. Nothing waits for it: a broken reply ends with its connection.
	drawnTimeout = 20 * time.Second
	// drawnWorkers is the number of requests in flight.
	drawnWorkers = 8
)

// drawnReply is a reply that is drawn at random. If it is broken, the line that tells where its body ends is spoilt.
type drawnReply struct {
	fields string
	// whole is the body of the answer, body what is sent of it, with the marks of chunks if it is in chunks.
	whole, body string
	// line tells where the body ends; empty if the connection does.
	line   string
	broken bool
	// closes is true if the head says that the connection closes, early if only half of the body is sent.
	closes, early bool
	pieces        []string
	// longest is the longest pause between two pieces, as it was measured until sent was closed.
	longest time.Duration
	sent    chan struct{}
}

// drawReply draws a reply to the request. Its body is its own, so that a caller can tell whether it got all of it.
func drawReply(rnd *rand.Rand, id, signature, method, whole string) *drawnReply {
	r := &drawnReply{whole: whole, body: whole, sent: make(chan struct{})}
	r.fields = fmt.Sprintf("%s: %s\r\n%s: %s\r\n", headers.Request, id, headers.Signature, signature)
	r.broken, r.closes = rnd.IntN(2) == 0, rnd.IntN(4) == 0
	switch kind := rnd.IntN(8); {
	case kind == 0 && !r.broken:
		r.closes = true
	case kind < 4:
		r.line, r.body = "Transfer-Encoding: chunked\r\n", inChunks(rnd, whole)
	default:
		r.line = fmt.Sprintf("Content-Length: %d\r\n", len(whole))
	}
	if r.broken {
		r.line, r.early = spoilLine(rnd, r.line), rnd.IntN(3) == 0
	}
	if method == http.MethodHead {
		r.whole, r.body = "", ""
	}
	if r.early {
		r.body = r.body[:len(r.body)/2]
	}
	if r.closes {
		r.fields += "Connection: close\r\n"
	}
	head := "HTTP/1.1 200 OK\r\n" + r.fields + r.line + "\r\n"
	switch rnd.IntN(4) {
	case 0:
		r.pieces = []string{head + r.body}
	case 1:
		r.pieces = []string{head, r.body}
	case 2:
		r.pieces = []string{head}
		size := max(1, len(whole)/10)
		for rest := r.body; rest != ""; rest = rest[min(size, len(rest)):] {
			r.pieces = append(r.pieces, rest[:min(size, len(rest))])
		}
	default:
		text := head + r.body
		cuts := []int{rnd.IntN(len(text)), rnd.IntN(len(text))}
		slices.Sort(cuts)
		r.pieces = []string{text[:cuts[0]], text[cuts[0]:cuts[1]], text[cuts[1]:]}
	}
	return r
}

// inChunks returns the body in one to three chunks and the last one.
func inChunks(rnd *rand.Rand, body string) (text string) {
	for n := 1 + rnd.IntN(3); n > 0 && body != ""; n-- {
		size := (len(body) + n - 1) / n
		text += fmt.Sprintf("%x\r\n%s\r\n", size, body[:size])
		body = body[size:]
	}
	return text + "0\r\n\r\n"
}

// spoilLine changes, drops or adds a byte of the line, cuts it, leaves it out, or puts a line of one byte beside it.
func spoilLine(rnd *rand.Rand, line string) string {
	at, b := rnd.IntN(len(line)-len("\r\n")), string([]byte{byte(rnd.IntN(256))})
	if rnd.IntN(2) == 0 { // spoil the value, which is short, as often as the name
		at = strings.Index(line, ":") + len(": ")
		at += rnd.IntN(len(line) - len("\r\n") - at)
	}
	switch rnd.IntN(6) {
	case 0:
		return line[:at] + b + line[at+1:]
	case 1:
		return line[:at] + line[at+1:]
	case 2:
		return line[:at] + b + line[at:]
	case 3:
		return line[:at] + "\r\n"
	case 4:
		return ""
	}
	return b + "\r\n" + line
}

// length returns the length that the head states; negative if it states none.
func (r *drawnReply) length() int {
	name, value, _ := strings.Cut(strings.TrimSuffix(r.line, "\r\n"), ":")
	n, err := strconv.Atoi(strings.Trim(value, " \t"))
	if err != nil || !strings.EqualFold(name, "Content-Length") {
		return -1
	}
	return n
}

// isChunked reports whether the head says that the body is in chunks.
func (r *drawnReply) isChunked() bool {
	name, value, _ := strings.Cut(strings.TrimSuffix(r.line, "\r\n"), ":")
	return strings.EqualFold(name, "Transfer-Encoding") && strings.EqualFold(strings.Trim(value, " \t"), "chunked")
}

// indistinct says why nothing tells the reply from a sound one; empty if something does.
func (r *drawnReply) indistinct() string {
	n := r.length()
	switch {
	case n < 0 && !r.isChunked() && r.closes && (r.early || r.line == "\r\n"):
		return "ends with its connection, as it says"
	case n >= 0 && n == len(r.body):
		return "states the length of what was sent"
	case n == 0 && r.longest > lateRest:
		return "a rest that came late"
	}
	sent := -len(strings.Join(r.pieces, "")) + len(r.body) // behind the head
	for _, piece := range r.pieces {
		if sent += len(piece); n > 0 && sent == n {
			return "a piece ends where the stated length does"
		}
	}
	return ""
}

// write sends the reply and ends the connection in a drawn way behind a broken one and one that says so.
func (r *drawnReply) write(conn net.Conn, end int) (open bool) {
	defer close(r.sent)
	last := time.Now()
	for i, piece := range r.pieces {
		if i > 0 {
			time.Sleep(drawnPause)
		}
		started := time.Now()
		if _, err := io.WriteString(conn, piece); err != nil {
			return false
		}
		if i > 0 {
			r.longest = max(r.longest, time.Since(last))
		}
		last = started
	}
	if !r.broken && !r.closes {
		return true
	}
	switch end {
	case 0: // at once
	case 1:
		_ = conn.(*net.TCPConn).CloseWrite() // an error means that the host has closed the connection
		_ = conn.SetReadDeadline(time.Now().Add(10 * drawnPause))
		_, _ = conn.Read(make([]byte, 1))
	default:
		time.Sleep(drawnPause)
	}
	return false
}

// drawnTarget answers requests with drawn replies and keeps them by the identity of the request.
type drawnTarget struct {
	seed    uint64
	name    string
	body    func(rnd *rand.Rand, id string) string
	mu      sync.Mutex
	replies map[string]*drawnReply
}

func newDrawnTarget(seed uint64, name string, body func(*rand.Rand, string) string) *drawnTarget {
	return &drawnTarget{seed: seed, name: name, body: body, replies: map[string]*drawnReply{}}
}

func (d *drawnTarget) signature(id string) string { return d.name + "-" + id }

func (d *drawnTarget) serve(conn net.Conn) {
	serveRequests(conn, func(req *http.Request) bool {
		id := req.Header.Get(headers.Request)
		rnd := rand.New(rand.NewPCG(d.seed, xxhash.Sum64String(d.name+id)))
		r := drawReply(rnd, id, d.signature(id), req.Method, d.body(rnd, id))
		d.mu.Lock()
		d.replies[id] = r
		d.mu.Unlock()
		if rnd.IntN(8) == 0 {
			_, _ = io.WriteString(conn, "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n")
		}
		return r.write(conn, rnd.IntN(3))
	})
}

// find returns the reply to the request once it has been sent, or nil if there is none.
func (d *drawnTarget) find(id string) *drawnReply {
	d.mu.Lock()
	r := d.replies[id]
	d.mu.Unlock()
	if r != nil {
		<-r.sent
	}
	return r
}

// drawnBody returns a body of up to 40,000 bytes, now and then an empty one.
func drawnBody(rnd *rand.Rand, id string) string {
	size := []int{0, 60, 60, 60, 100, 100, 2000, 40000}[rnd.IntN(8)]
	return strings.Repeat(testBody(id), size/len(testBody(id))+1)[:size]
}

// drawnAnswer is what the caller of a request got.
type drawnAnswer struct {
	response
	id, body string
}

// Guards against a body that is not the whole one of the target, whatever becomes of the line that tells where it ends, of
// the pieces in which the reply comes, and of the connection behind it; and against losing sound replies.
func TestDrawnEnds(t *testing.T) {
	const requests = 1000
	for seed := range uint64(2) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			targets, h := newDrawnHarness(t, seed, drawnBody, singleRoute(false, 1))
			counts := map[string]int{}
			for a := range h.getDrawn(t, requests) {
				counts[checkDrawn(t, &a, targets["s1"].find(a.id))]++
			}
			t.Log(counts)
			is.New(t).True(counts["broken, refused"] > requests/8)
		})
	}
}

// getDrawn sends the requests, some of them with HEAD, and returns what their callers got.
func (h *harness) getDrawn(t *testing.T, requests int) <-chan drawnAnswer {
	t.Helper()
	answers := make(chan drawnAnswer, requests)
	defer close(answers)
	var group sync.WaitGroup
	defer group.Wait()
	for w := range drawnWorkers {
		group.Go(func() {
			for i := range requests / drawnWorkers {
				a := drawnAnswer{id: fmt.Sprintf("r%d-%d", w, i)}
				a.response, a.body = h.get(t, func(req *http.Request) {
					req.Header.Set(headers.Request, a.id)
					req.Header.Set(headers.Timeout, strconv.FormatInt(drawnTimeout.Milliseconds(), 10))
					if i%10 == 9 {
						req.Method = http.MethodHead
					}
				})
				answers <- a
			}
		})
	}
	return answers
}

// drawnRecords returns up to eight records of the request.
func drawnRecords(rnd *rand.Rand, id string) (records string) {
	for range rnd.IntN(9) {
		records += string(record(fmt.Sprintf("%03d %s", rnd.IntN(1000), id)))
	}
	return records
}

// drawnTargets are the targets of a route, by service.
type drawnTargets map[string]*drawnTarget

// newDrawnHarness returns a relay with a route to targets that send drawn replies.
func newDrawnHarness(t *testing.T, seed uint64, body func(*rand.Rand, string) string, r routing.Route) (drawnTargets, *harness) {
	t.Helper()
	targets, shares, views := drawnTargets{}, map[string]limit.Share{}, map[string][]*control.Target{}
	services := r.Shards
	for _, b := range r.Backends {
		services = append(services, b.Service)
	}
	for _, name := range services {
		targets[name] = newDrawnTarget(seed, name, body)
		address := listenRaw(t, targets[name].serve)
		shares[name] = limit.Share{Incarnation: "1", Address: address, Connections: drawnWorkers, Slots: drawnWorkers}
		views[name] = []*control.Target{{Name: name, Incarnation: "1", Service: name, Centre: "c", Address: address, State: control.Warm}}
	}
	r.Timeout = drawnTimeout
	h := newHarness(t, r)
	h.view.Targets = views
	h.service.Pool.SetShares(shares)
	return targets, h
}

// checkMerged checks a merged response with what the targets have sent, and says what became of it.
func (d drawnTargets) checkMerged(t *testing.T, a *drawnAnswer) string {
	t.Helper()
	if !isSuccess(a.StatusCode) {
		return "refused"
	}
	var records []string
	for _, signature := range strings.Split(a.Header.Get(headers.Parts), ", ") {
		name, id, _ := strings.Cut(signature, "-")
		target := d[name]
		if target == nil || id != a.id || target.find(id) == nil {
			t.Errorf("%s: no shard has sent the part %q", a.id, signature)
			return "wrong"
		}
		r := target.find(id)
		if r.indistinct() != "" && r.broken {
			return r.indistinct()
		}
		for whole := r.whole; whole != ""; whole = whole[recordSize:] {
			records = append(records, whole[:recordSize])
		}
	}
	slices.Sort(records)
	slices.Reverse(records)
	if a.body != strings.Join(records, "") {
		t.Errorf("%s: %d records of %d of the parts %s", a.id, len(a.body)/recordSize, len(records), a.Header.Get(headers.Parts))
		return "wrong"
	}
	return "merged, missing " + a.Header.Get(headers.Missing)
}

// Guards against a merged response that lacks records of a part that it names, because the reply of the shard was cut or is no
// empty one.
func TestDrawnParts(t *testing.T) {
	const requests = 400
	for seed := range uint64(2) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			r := shardsRoute(0.25, "s0", "s1", "s2", "s3")
			r.ResultLimit = 64
			targets, h := newDrawnHarness(t, seed, drawnRecords, r)
			counts := map[string]int{}
			for a := range h.getDrawn(t, requests) {
				counts[targets.checkMerged(t, &a)]++
			}
			t.Log(counts)
			is := is.New(t)
			is.True(counts["merged, missing 0"] > 0)
			is.True(counts["merged, missing 2"] > 0)
		})
	}
}

// checkDrawn checks the answer to a request with what the target has sent, and says what became of it.
func checkDrawn(t *testing.T, a *drawnAnswer, r *drawnReply) string {
	t.Helper()
	success := isSuccess(a.StatusCode)
	switch {
	case r == nil && success:
		t.Errorf("%s: a success without a reply", a.id)
		return "wrong"
	case r == nil:
		return "not sent"
	case !success && r.broken:
		return "broken, refused"
	case !success:
		t.Errorf("%s: status %d for a sound reply: %q, %d bytes in %d pieces", a.id, a.StatusCode, r.fields+r.line, len(r.body), len(r.pieces))
		return "lost"
	case a.body == r.whole && r.broken:
		return "broken, whole"
	case a.body == r.whole:
		return "sound"
	case r.indistinct() != "":
		return r.indistinct()
	}
	t.Errorf("%s: %d bytes of %d as a success: %q, %d bytes in %d pieces", a.id, len(a.body), len(r.whole), r.fields+r.line, len(r.body), len(r.pieces))
	return "wrong"
}
