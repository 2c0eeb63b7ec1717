package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// crashes is what a request that crashes its searchers has done.
type crashes struct {
	mu    sync.Mutex
	times []time.Time
	// late holds the ids of the attempts that reached a searcher later than connectivity after the
	// third crash.
	late map[string]bool
}

const (
	crashingPath = "/order/crash"
	// crashesBorne is the number of crashes after which the request is known, retriesBorne the number
	// of its retries that may reach searchers after that.
	crashesBorne, retriesBorne = 3, 3
)

// arrive notes that an attempt of the request reaches a searcher, and that it crashes it.
func (c *crashes) arrive(id string, crash bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if len(c.times) >= crashesBorne && now.After(c.times[crashesBorne-1].Add(connectivity)) {
		c.late[id] = true
	}
	if crash {
		c.times = append(c.times, now)
	}
}

// crashingRequest sends one request again and again, beside others. In trouble it crashes each
// searcher that begins to run it; the searcher is back after three seconds.
func crashingRequest(rec *record, trouble bool) (int, error) {
	const (
		searchers = 9
		back      = 3 * time.Second
		again     = 2 * time.Second
		length    = 60 * time.Second
		pause     = 25 * time.Millisecond
	)
	sys, err := newSystem(rec, 3, 3)
	if err != nil {
		return failed, err
	}
	defer sys.stopAll()
	if err := sys.startAll(); err != nil {
		return failed, err
	}
	counts := newRuns()
	done := &crashes{late: map[string]bool{}}
	stop := make(chan struct{})
	var run func(place, life int) error
	run = func(place, life int) error {
		s := &searcher{
			id: fmt.Sprintf("i-%d-%d", place, life), service: "finish-bench", zone: zoneName(place % zones), slots: 3, queue: 8,
			work: 60 * time.Millisecond, sys: sys, runs: counts,
		}
		if life > 0 {
			s.cold = back
		}
		s.crash = func(r *http.Request) bool {
			if !strings.HasPrefix(r.URL.Path, crashingPath) {
				return false
			}
			done.arrive(r.Header.Get(attemptHeader), trouble)
			return trouble
		}
		s.crashed = func() {
			select {
			case <-stop:
			case <-time.After(back):
				if err := run(place, life+1); err != nil {
					rec.write("error", "text", err)
				}
			}
		}
		return s.start()
	}
	for i := range searchers {
		if err := run(i, 0); err != nil {
			return failed, err
		}
	}
	route := func(name, prefix, kind string) map[string]any {
		return map[string]any{
			"name": name, "host": "order.example", "path-prefix": prefix, "kind": kind, "timeout-ms": 1500,
			"target-latency-ms": 250, "priority": 2, "service": "finish-bench", "attempts": 2,
		}
	}
	config, err := json.Marshal(map[string]any{
		"version": 7,
		"routes":  []any{route("r-order", "/order/", "idempotent"), route("r-book", "/book/", "non_idempotent")},
		"services": []any{map[string]any{
			"name": "finish-bench", "health-path": "/healthz", "max-connections": 100, "protocol": "h1", "tls": false, "warmup-s": 3.0, "warmup-per-s": 0.0,
		}},
		"limits": map[string]int{"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	})
	if err != nil {
		return failed, err
	}
	if err := sys.order("config 7", "/config/replace", config, startupTimeout, sys.controls()...); err != nil {
		return failed, err
	}
	if err := sys.awaitReady(); err != nil {
		return failed, err
	}
	time.Sleep(2 * time.Second)
	c := &caller{sys: sys, client: &http.Client{Timeout: 2 * time.Second}, answers: map[string]int{}, prefix: "/book/"}
	attempts := 0
	var wg sync.WaitGroup
	next := time.Now()
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(pause) {
		c.send()
		if time.Now().Before(next) {
			continue
		}
		next = next.Add(again)
		attempts++
		id, m := fmt.Sprintf("crash%04d", attempts), sys.entries()[attempts%len(sys.entries())]
		wg.Go(func() { sendCrashing(sys, c.client, m, id) })
	}
	wg.Wait()
	c.wg.Wait()
	close(stop)
	time.Sleep(time.Second)
	statuses := map[int]int{}
	for _, status := range c.answers {
		statuses[status]++
	}
	done.mu.Lock()
	defer done.mu.Unlock()
	rec.write("sum", "attempts", attempts, "crashes", len(done.times), "late-attempts", len(done.late), "others", statuses)
	fmt.Println("attempts", attempts, "crashes", len(done.times), "BUDGET: attempts at searchers 4 s after the third crash", len(done.late), "other requests", statuses)
	if trouble && len(done.late) > retriesBorne {
		return broken, nil
	}
	return held, nil
}

// sendCrashing sends one attempt of the request: always the same path, caller and body.
func sendCrashing(sys *system, client *http.Client, m *machine, id string) {
	request, err := http.NewRequest(http.MethodGet, "http://"+sys.address(m, frontendPort)+crashingPath, nil)
	if err != nil {
		return
	}
	request.Host = "order.example"
	request.Header.Set(attemptHeader, id)
	request.Header.Set(deadlineHeader, "1500")
	status := 0
	if response, err := client.Do(request); err == nil {
		status = response.StatusCode
		var b bytes.Buffer
		_, _ = b.ReadFrom(response.Body)
		response.Body.Close()
	}
	sys.record.write("answer", "id", id, "from", m.name, "status", status)
}
