package main

import (
	"bytes"
	"context"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"
)

// Header names of the platform.
const (
	attemptHeader   = "X-Wasabirelay-Attempt-Id"
	deadlineHeader  = "X-Wasabirelay-Deadline-Ms"
	signatureHeader = "X-Wasabirelay-Response-Signature"
	instanceHeader  = "X-Wasabirelay-Expected-Instance"
	notRunHeader    = "X-Wasabirelay-Not-Executed"
)

const heartbeatInterval = 1200 * time.Millisecond

// searcher is a sound searcher. It runs each request that names it and answers at once.
type searcher struct {
	id, service, centre string
	operators           []netip.AddrPort
	record              *recorder
	work                time.Duration

	address  netip.AddrPort
	born     int64
	sequence atomic.Uint64
	runs     atomic.Int64
	server   *http.Server
	cancel   context.CancelFunc
}

func (s *searcher) start() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s.address = netip.MustParseAddrPort(l.Addr().String())
	s.born = time.Now().UnixMilli()
	s.server = &http.Server{Handler: s, ReadHeaderTimeout: time.Minute}
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	go func() { _ = s.server.Serve(l) }() // ends with stop
	go s.sendHeartbeats(ctx)
	return nil
}

func (s *searcher) stop() {
	s.cancel()
	_ = s.server.Close()
}

func (s *searcher) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/healthz" {
		w.Header().Set("X-Wasabirelay-Instance-Id", s.id)
		return
	}
	id := r.Header.Get(attemptHeader)
	w.Header().Set(attemptHeader, id)
	switch {
	case r.Header.Get(instanceHeader) != "" && r.Header.Get(instanceHeader) != s.id:
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case id == "":
		w.Header().Set(notRunHeader, "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	signature := fmt.Sprintf("%s.%s.%d", s.id, id, s.runs.Add(1))
	s.record.line("run %s at %s %s %s", id, s.id, r.Method, r.RequestURI)
	time.Sleep(s.work)
	w.Header().Set(signatureHeader, signature)
	_, _ = w.Write(records(signature)) // the caller may have left
}

// records returns the body of the reply with a signature.
func records(signature string) []byte {
	var b []byte
	for i := range uint64(6) {
		h := fnv.New64a()
		_, _ = fmt.Fprint(h, i, signature)
		b = binary.BigEndian.AppendUint64(b, h.Sum64())
		b = binary.BigEndian.AppendUint64(b, i)
	}
	return b
}

func (s *searcher) sendHeartbeats(ctx context.Context) {
	for ctx.Err() == nil {
		s.heartbeat(ctx)
		select {
		case <-ctx.Done():
		case <-time.After(heartbeatInterval):
		}
	}
}

func (s *searcher) heartbeat(ctx context.Context) {
	text, _ := json.Marshal(map[string]any{ // can't fail
		"service": s.service, "address": s.address, "zone": s.centre, "version": "v1", "capacity": 2, "state": "ready",
		"warmup-remaining-ms": 0, "sequence": s.sequence.Add(1), "born": s.born,
	})
	for _, to := range s.operators {
		if status, _, err := post(ctx, to, "/instances/"+s.id+"/heartbeat", text); err == nil && status == http.StatusOK {
			return
		}
	}
}

var client = &http.Client{Timeout: time.Second}

// post sends a request to a control host.
func post(ctx context.Context, to netip.AddrPort, path string, body []byte) (int, []byte, error) {
	return send(ctx, http.MethodPost, to, path, body)
}

func send(ctx context.Context, method string, to netip.AddrPort, path string, body []byte) (int, []byte, error) {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+to.String()+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	r.Header.Set("Content-Type", "application/json")
	res, err := client.Do(r)
	if err != nil {
		return 0, nil, err
	}
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	return res.StatusCode, text, err
}
