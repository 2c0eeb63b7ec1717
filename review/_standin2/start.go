package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"time"
)

const (
	// killAfter is the time from the start of the machines to the disruption, downTime how long all control processes are
	// down: less than the second that the pages allow.
	killAfter, downTime = 700 * time.Millisecond, 500 * time.Millisecond
	// serveWithin is how long requests may go unserved after the disruption; the bound recovery-s is 12 s.
	serveWithin = 30 * time.Second
)

const firstConfig = `{"version":7,"routes":[
 {"name":"r-all","host":"leno12.example","path-prefix":"/nono601/","kind":"idempotent","timeout-ms":500,"target-latency-ms":80,"priority":1,"fanout-services":["huvo11a","lohu93e","daje37f"],"attempts":2,"result-limit":5,"min-shard-fraction":0.66},
 {"name":"r-one","host":"hufi27.example","path-prefix":"/goka902/","kind":"idempotent","timeout-ms":1500,"target-latency-ms":250,"priority":2,"service":"kafi81c","attempts":2}],
 "services":[
 {"name":"huvo11a","health-path":"/healthz","max-connections":26,"protocol":"h1","tls":false,"warmup-s":3.0,"warmup-per-s":0.0},
 {"name":"lohu93e","health-path":"/healthz","max-connections":26,"protocol":"h1","tls":false,"warmup-s":3.0,"warmup-per-s":0.0},
 {"name":"daje37f","health-path":"/healthz","max-connections":26,"protocol":"h1","tls":false,"warmup-s":3.0,"warmup-per-s":0.0},
 {"name":"kafi81c","health-path":"/healthz","max-connections":100,"protocol":"h1","tls":false,"warmup-s":3.0,"warmup-per-s":0.0}],
 "limits":{"max-header-bytes":16384,"max-body-bytes":262144,"header-timeout-ms":3000,"idle-timeout-ms":15000}}`

// startSearchers starts three searchers of each service.
func startSearchers(d *deployment, r *recorder) ([]*searcher, error) {
	var list []*searcher
	for _, service := range []string{"huvo11a", "lohu93e", "daje37f", "kafi81c"} {
		for i, centre := range centres {
			s := &searcher{id: fmt.Sprintf("i-%s-%d", service, i), service: service, centre: centre, operators: d.operators(), record: r, work: 5 * time.Millisecond}
			if err := s.start(); err != nil {
				return list, err
			}
			list = append(list, s)
		}
	}
	return list, nil
}

// sendConfig sends the first config to one control host after the other until one acknowledges it.
func sendConfig(ctx context.Context, d *deployment, r *recorder) {
	for i := 0; ctx.Err() == nil; i++ {
		to := d.operators()[i%len(d.controls)]
		status, text, err := post(ctx, to, "/config/replace", []byte(firstConfig))
		r.line("operator: config 7 to %s: %s", to, outcome(status, text, err))
		if err == nil && status == http.StatusOK {
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(500 * time.Millisecond):
		}
	}
}

func outcome(status int, text []byte, err error) string {
	if err != nil {
		return err.Error()
	}
	return strings.TrimSpace(fmt.Sprintf("%d %.120s", status, text))
}

// ask sends a consumer's request to an entry host and returns the status.
func ask(ctx context.Context, to netip.AddrPort, host, path, id string) (int, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+to.String()+path, nil)
	if err != nil {
		return 0, err
	}
	req.Host = host
	req.Header.Set(attemptHeader, id)
	req.Header.Set(deadlineHeader, "500")
	res, err := client.Do(req)
	if err != nil {
		return 0, err
	}
	defer res.Body.Close()
	_, err = io.Copy(io.Discard, res.Body)
	return res.StatusCode, err
}

// firstStart kills the processes of the core once, at the same moment, while the system starts for the first time.
func firstStart(r *recorder, program, dir string, trouble bool) (int, error) {
	return startSystem(r, program, dir, func(d *deployment) error {
		if !trouble {
			return nil
		}
		for _, m := range d.controls {
			m.kill()
		}
		r.line("platform: all processes of the core were killed at the same moment; their disks are preserved")
		time.Sleep(downTime)
		for _, m := range d.controls {
			m.bootstrap = false // it is not the whole system that starts
			if err := m.start(); err != nil {
				return err
			}
		}
		r.line("platform: all processes of the core are back")
		return nil
	})
}

// startWithoutOne loses one core machine for good while the system starts for the first time.
func startWithoutOne(r *recorder, program, dir string, trouble bool) (int, error) {
	return startSystem(r, program, dir, func(d *deployment) error {
		if trouble {
			lost := d.controls[len(d.controls)-1]
			lost.kill()
			r.line("platform: %s is lost; the other machines run on", lost.name)
		}
		return nil
	})
}

// startSystem starts the system for the first time, disrupts it, and checks that it serves a request after that.
func startSystem(r *recorder, program, dir string, disrupt func(*deployment) error) (int, error) {
	d, err := newDeployment(program, dir, 3, 3)
	if err != nil {
		return notRun, err
	}
	defer d.close()
	if err := d.start(); err != nil {
		return notRun, err
	}
	r.line("platform: all machines started, bootstrap true")
	searchers, err := startSearchers(d, r)
	defer func() {
		for _, s := range searchers {
			s.stop()
		}
	}()
	if err != nil {
		return notRun, err
	}
	time.Sleep(killAfter)
	if err := disrupt(d); err != nil {
		return notRun, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), serveWithin)
	defer cancel()
	go sendConfig(ctx, d, r)
	for i := 0; ctx.Err() == nil; i++ {
		to := d.entries[i%len(d.entries)].caller()
		id := fmt.Sprintf("%016x", 0x1c41d07b00000000+i)
		status, err := ask(ctx, to, "leno12.example", "/nono601/2f", id)
		r.line("consumer: request %s to %s: %s", id, to, outcome(status, nil, err))
		if err == nil && status == http.StatusOK {
			return held, nil
		}
		select {
		case <-ctx.Done():
		case <-time.After(250 * time.Millisecond):
		}
	}
	return broken, nil
}
