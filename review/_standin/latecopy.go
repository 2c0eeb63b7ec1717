package main

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// Doses of the disruption "garble, extra late" in the site file.
const (
	garbleShare  = 0.6
	garbleRate   = 0.03
	garbleLength = 5 * time.Second
	garbleTimes  = 10
)

// lateCopy sends requests that may run at most once in small bursts, so that some searchers are
// full for a moment. In trouble, three of five searchers repeat a few of their answers late.
func lateCopy(rec *record, trouble bool) (int, error) {
	const entries, searchers, burst, pause = 7, 5, 28, 330 * time.Millisecond
	sys, err := newSystem(rec, 3, entries)
	if err != nil {
		return failed, err
	}
	defer sys.stopAll()
	if err := sys.startAll(); err != nil {
		return failed, err
	}
	counts := newRuns()
	var active struct {
		sync.Mutex
		until time.Time
	}
	for i := range searchers {
		s := &searcher{
			id: fmt.Sprintf("i-%d", i+1), service: "finish-bench", zone: zoneName(i % zones), slots: 2, queue: 2, work: 35 * time.Millisecond,
			sys: sys, runs: counts,
		}
		if faulty := float64(i) < garbleShare*searchers; faulty && trouble {
			s.extra = func() bool {
				active.Lock()
				defer active.Unlock()
				return time.Now().Before(active.until) && rand.Float64() < garbleRate
			}
		}
		if err := s.start(); err != nil {
			return failed, err
		}
		defer s.close()
	}
	config, err := json.Marshal(map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "r-order", "host": "order.example", "path-prefix": "/order/", "kind": "non_idempotent", "timeout-ms": 1500,
			"target-latency-ms": 250, "priority": 1, "service": "finish-bench", "attempts": 1,
		}},
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
	time.Sleep(3 * time.Second)
	c := &caller{sys: sys, client: &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}, answers: map[string]int{}}
	for window := range garbleTimes {
		active.Lock()
		active.until = time.Now().Add(garbleLength)
		active.Unlock()
		rec.write("window", "number", window+1, "trouble", trouble)
		for end := time.Now().Add(garbleLength + time.Second); time.Now().Before(end); time.Sleep(pause) {
			for range burst {
				c.send()
			}
		}
		time.Sleep(3 * time.Second)
	}
	c.wg.Wait()
	time.Sleep(time.Second)
	return c.judge(rec, counts), nil
}

// caller sends requests that may run once each and keeps their answers.
type caller struct {
	sys    *system
	client *http.Client
	wg     sync.WaitGroup
	next   int
	// prefix is that of the paths; "/order/" if empty.
	prefix string

	mu      sync.Mutex
	answers map[string]int
}

// send sends one request to an entry host drawn at random.
func (c *caller) send() {
	c.next++
	id := fmt.Sprintf("a%08d", c.next)
	entries := c.sys.entries()
	m := entries[rand.IntN(len(entries))]
	prefix := cmp.Or(c.prefix, "/order/")
	c.wg.Go(func() {
		request, err := http.NewRequest(http.MethodPost, "http://"+c.sys.address(m, frontendPort)+prefix+id, bytes.NewReader([]byte("book "+id)))
		if err != nil {
			return
		}
		request.Host = "order.example"
		request.Header.Set(attemptHeader, id)
		request.Header.Set(deadlineHeader, "1500")
		status := 0
		response, err := c.client.Do(request)
		if err == nil {
			status = response.StatusCode
			var b bytes.Buffer
			_, _ = b.ReadFrom(response.Body)
			response.Body.Close()
		}
		c.sys.record.write("answer", "id", id, "from", m.name, "status", status)
		c.mu.Lock()
		c.answers[id] = status
		c.mu.Unlock()
	})
}

// judge checks the rules TWICE and REFUSED for each request.
func (c *caller) judge(rec *record, counts *runs) int {
	statuses, twice, refused := map[int]int{}, 0, 0
	for id, status := range c.answers {
		statuses[status]++
		n := counts.count[id]
		if n > 1 {
			twice++
			rec.write("broken", "rule", "TWICE", "id", id, "runs", n, "status", status)
		}
		if promise := status == 429 || status == 503 || status == 408 || status == 421; promise && n > 0 {
			refused++
			rec.write("broken", "rule", "REFUSED", "id", id, "runs", n, "status", status)
		}
	}
	rec.write("sum", "requests", len(c.answers), "statuses", statuses, "twice", twice, "refused", refused)
	fmt.Println("requests", len(c.answers), "statuses", statuses, "TWICE", twice, "REFUSED", refused)
	if twice+refused > 0 {
		return broken
	}
	return held
}
