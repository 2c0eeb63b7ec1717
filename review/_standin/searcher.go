package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// searcher is a stand-in for one searcher.
type searcher struct {
	id, service, zone string
	slots, queue      int
	work              time.Duration
	sys               *system
	runs              *runs
	// extra, if set, reports whether a late second copy of an answer follows it.
	extra func() bool
	// cold is how long the searcher is cold after its start.
	cold time.Duration
	// crash, if set, reports whether the searcher crashes as it begins to run a request; crashed is
	// called after that.
	crash   func(*http.Request) bool
	crashed func()

	listener net.Listener
	born     int64
	mu       sync.Mutex
	sequence uint64
	state    string
	pinned   string
	busy     chan struct{}
	waiting  int
	stop     chan struct{}
	ended    sync.Once
	conns    map[net.Conn]bool
}

// runs counts how often each request has run.
type runs struct {
	mu    sync.Mutex
	count map[string]int
	zones map[string][]arrival
}

// arrival is one arrival of a request at a searcher.
type arrival struct {
	at   time.Time
	zone string
}

func newRuns() *runs { return &runs{count: map[string]int{}, zones: map[string][]arrival{}} }

func (r *runs) add(id, zone string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.count[id]++
	r.zones[id] = append(r.zones[id], arrival{time.Now(), zone})
	return r.count[id]
}

func (s *searcher) start() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s.listener, s.born, s.state = l, time.Now().UnixMilli(), "ready"
	s.conns = map[net.Conn]bool{}
	s.busy, s.stop = make(chan struct{}, s.slots), make(chan struct{})
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns[conn] = true
			s.mu.Unlock()
			go s.serve(conn)
		}
	}()
	go s.beat()
	return nil
}

func (s *searcher) close() {
	s.ended.Do(func() {
		close(s.stop)
		s.listener.Close()
	})
}

// die ends the searcher as a crash of its process does: its connections are reset.
func (s *searcher) die() {
	s.ended.Do(func() {
		s.sys.record.write("crash", "searcher", s.id)
		close(s.stop)
		s.listener.Close()
		s.mu.Lock()
		for conn := range s.conns {
			_ = conn.(*net.TCPConn).SetLinger(0)
			conn.Close()
		}
		s.mu.Unlock()
		go s.crashed()
	})
}

// beat sends heartbeats to one control host, and to the next one when that fails.
func (s *searcher) beat() {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	controls := s.sys.controls()
	next := int(s.born) % len(controls)
	for {
		s.mu.Lock()
		s.sequence++
		body, err := json.Marshal(map[string]any{
			"service": s.service, "address": s.listener.Addr().String(), "zone": s.zone, "version": "v1", "capacity": s.slots,
			"state": s.state, "warmup-remaining-ms": max(0, s.cold.Milliseconds()-(time.Now().UnixMilli()-s.born)), "sequence": s.sequence, "born": s.born,
		})
		s.mu.Unlock()
		for tries := 0; err == nil && tries < len(controls); tries++ {
			address := s.sys.address(controls[next%len(controls)], controlPort)
			status, _, err := call(http.MethodPost, address, "/instances/"+s.id+"/heartbeat", body, answerTimeout)
			if err == nil && status == http.StatusOK {
				break
			}
			next++
		}
		select {
		case <-s.stop:
			return
		case <-ticker.C:
		}
	}
}

// admit takes a slot, or waits in the queue for one. It reports false if the searcher is full.
func (s *searcher) admit() bool {
	select {
	case s.busy <- struct{}{}:
		return true
	default:
	}
	s.mu.Lock()
	if s.waiting >= s.queue {
		s.mu.Unlock()
		return false
	}
	s.waiting++
	s.mu.Unlock()
	s.busy <- struct{}{}
	s.mu.Lock()
	s.waiting--
	s.mu.Unlock()
	return true
}

// serve serves one request at a time on a connection.
func (s *searcher) serve(conn net.Conn) {
	defer func() {
		conn.Close()
		s.mu.Lock()
		delete(s.conns, conn)
		s.mu.Unlock()
	}()
	reader := bufio.NewReader(conn)
	var late []byte // a second copy of the last answer, which arrives where the next one is expected
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		if late != nil {
			s.sys.record.write("extra-copy", "searcher", s.id, "before-answer-to", request.Header.Get(attemptHeader))
			if _, err := conn.Write(late); err != nil {
				return
			}
		}
		answer := s.answer(request, body)
		if _, err := conn.Write(answer); err != nil {
			return
		}
		late = nil
		if s.extra != nil && s.extra() {
			late = answer
		}
	}
}

// Headers of requests and answers.
const (
	attemptHeader   = "X-Wasabirelay-Attempt-Id"
	deadlineHeader  = "X-Wasabirelay-Deadline-Ms"
	expectedHeader  = "X-Wasabirelay-Expected-Instance"
	signatureHeader = "X-Wasabirelay-Response-Signature"
	notRunHeader    = "X-Wasabirelay-Not-Executed"
	instanceHeader  = "X-Wasabirelay-Instance-Id"
)

// answer runs a request, or refuses it.
func (s *searcher) answer(request *http.Request, body []byte) []byte {
	id := request.Header.Get(attemptHeader)
	if expected := request.Header.Get(expectedHeader); expected != "" && expected != s.id {
		return encode(421, id, map[string]string{notRunHeader: "1"}, nil)
	}
	if !s.admit() {
		s.sys.record.write("refused-full", "searcher", s.id, "id", id)
		return encode(503, id, map[string]string{notRunHeader: "1"}, nil)
	}
	defer func() { <-s.busy }()
	if s.crash != nil && s.crash(request) {
		s.die()
		return nil
	}
	n := s.runs.add(id, s.zone)
	s.sys.record.write("run", "searcher", s.id, "zone", s.zone, "id", id, "method", request.Method, "path", request.URL.RequestURI(), "bytes", len(body), "nth", n)
	time.Sleep(s.work)
	return encode(200, id, map[string]string{signatureHeader: "sig." + s.service + "." + id}, []byte("done "+id))
}

// encode returns an answer in wire format.
func encode(status int, id string, headers map[string]string, body []byte) []byte {
	text := fmt.Sprintf("HTTP/1.1 %d %s\r\n%s: %s\r\n", status, http.StatusText(status), attemptHeader, id)
	for name, value := range headers {
		text += name + ": " + value + "\r\n"
	}
	return append([]byte(text+fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body))), body...)
}
