package relay

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabirelay/control"
	"wasabirelay/limit"
)

// crashesOn makes the target end, as its process does, when it begins to run a request whose path contains
// the text.
func (f *fakeTarget) crashesOn(text string) *fakeTarget {
	serve := f.reply
	f.reply = func(w http.ResponseWriter, r *http.Request) {
		if !strings.Contains(r.URL.Path, text) {
			serve(w, r)
			return
		}
		f.ran.Add(1)
		server := r.Context().Value(http.ServerContextKey).(*http.Server)
		if conn, _, err := w.(http.Hijacker).Hijack(); err == nil {
			_ = conn.(*net.TCPConn).SetLinger(0)
			defer conn.Close()
		}
		_ = server.Close()
	}
	return f
}

func crashPath(r *http.Request) { r.URL.Path, r.URL.RawPath = "/q/crash", "" }

// awaitDeaths waits until the host has recorded a number of deaths with one request.
func (h *harness) awaitDeaths(t *testing.T, n int) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); ; time.Sleep(time.Millisecond) {
		records, _ := h.service.Crashes.Since(time.Now(), 0)
		for i := range records {
			if len(records[i].Deaths) >= n {
				return
			}
		}
		if time.Now().After(end) {
			t.Fatalf("%d deaths are not recorded: %+v", n, records)
		}
	}
}

// Guards against a request that crashes its targets one after the other, on a route to one service and on
// one to shards of which one crashes, and against other requests that are refused with it.
func TestCrashingRequestIsRefused(t *testing.T) {
	for _, r := range []struct {
		name   string
		shards bool
	}{{"one service", false}, {"shards", true}} {
		t.Run(r.name, func(t *testing.T) {
			is := is.New(t)
			rt := singleRoute(true, 1)
			var targets []*fakeTarget
			if r.shards {
				rt = shardsRoute(0.5, "s1", "s2")
				rt.Attempts = 1
				targets = append(targets, newTarget("whole", "s2").records("b"))
			}
			const replicas = 6
			for i := range replicas {
				targets = append(targets, newTarget(fmt.Sprint("t", i), "s1").records("a").crashesOn("crash"))
			}
			h := newHarness(t, rt, targets...)
			crashes := func() int64 {
				n := int64(0)
				for _, f := range targets {
					if f.service == "s1" {
						n += f.ran.Load()
					}
				}
				return n
			}
			for i := range 3 {
				_, _ = h.get(t, crashPath)
				h.awaitDeaths(t, i+1)
			}
			is.Equal(crashes(), int64(3))
			arrivals := int64(0)
			for _, f := range targets {
				arrivals += f.requests.Load()
			}
			for range 5 {
				res, _ := h.get(t, func(req *http.Request) { crashPath(req); req.Header.Set(headers.Request, "another") })
				is.Equal(res.StatusCode, http.StatusServiceUnavailable)
				seconds, err := strconv.ParseFloat(res.Header.Get("Retry-After"), 64)
				is.NoErr(err)
				is.True(seconds > 60) // not before the hold ends
			}
			for _, f := range targets {
				arrivals -= f.requests.Load()
			}
			is.Equal(arrivals, int64(0)) // none reached a target
			res, _ := h.get(t, nil)
			is.Equal(res.StatusCode, http.StatusOK)
			res, _ = h.get(t, func(req *http.Request) { crashPath(req); req.URL.RawQuery = "b=2" }) // another request
			is.True(res.StatusCode != http.StatusServiceUnavailable)
		})
	}
}

// Guards against requests that are refused because targets reset connections, or turn new ones away, but
// do not die.
func TestResetsAreNoDeaths(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, singleRoute(true, 1), newTarget("a", "s1").reset(), newTarget("b", "s1").reset())
	for range 20 {
		res, _ := h.get(t, nil)
		is.True(res.StatusCode != http.StatusOK)
	}
	time.Sleep(10 * deathCheckDelay)
	is.True(h.service.Crashes.Empty())
}

// Guards against requests that are refused because this host has lost its links: the connections to its targets
// are reset, and new ones are refused.
func TestLostLinksAreNoDeaths(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, singleRoute(true, 1), newTarget("a", "s1").crashesOn("crash"))
	h.loseLinks()
	j := &job{Request: httptest.NewRequest(http.MethodGet, "/q/crash", nil), route: &h.view.Routing.Document.Routes[0]}
	h.cutOff()
	h.service.checkDeath(j, h.view.Targets["s1"][0])
	time.Sleep(20 * deathCheckDelay)
	is.True(h.service.Crashes.Empty())
}

// Guards against hosts that each let a request crash targets: what one host has seen counts at others, and an
// answer at one host counts at all.
func TestHostsShareDeaths(t *testing.T) {
	is := is.New(t)
	a := newHarness(t, singleRoute(true, 1), newTarget("a", "s1").records("x"))
	b := newHarness(t, singleRoute(true, 1), newTarget("b", "s1").records("x"))
	_, _ = a.get(t, crashPath) // the fingerprint is that of a request that callers send
	req, err := http.NewRequest(http.MethodGet, a.server.URL+"/q/crash?a=1", nil)
	is.NoErr(err)
	req.Host, req.RequestURI = "h", "/q/crash?a=1"
	req.Header.Set("User-Agent", "Go-http-client/1.1")
	req.Header.Set("Accept-Encoding", "gzip")
	fingerprint := a.service.fingerprint(&job{Request: req})
	now := time.Now()
	for i := range 3 {
		a.service.Crashes.RecordDeath(now, "s1", fingerprint, control.Death{Target: fmt.Sprint(i), Incarnation: "1"})
	}
	share := func(from, to *Service) {
		records, _ := from.Crashes.Own(time.Now().Add(time.Second), 0)
		to.Crashes.Merge(time.Now(), records)
	}
	share(a.service, b.service)
	res, _ := b.get(t, crashPath)
	is.Equal(res.StatusCode, http.StatusServiceUnavailable)
	b.service.Crashes.RecordAnswer(time.Now(), "s1", fingerprint) // a trial was answered
	share(b.service, a.service)
	res, _ = a.get(t, crashPath)
	is.Equal(res.StatusCode, http.StatusOK)
}

// Guards against an identity that changes with the attempt, and against one that other requests share.
func TestFingerprint(t *testing.T) {
	is := is.New(t)
	s := &Service{Headers: headers}
	base := func() *job {
		r, _ := http.NewRequest(http.MethodPost, "http://h/q/x", nil)
		r.RequestURI, r.Host = "/q/x?a=1", "h"
		r.Header.Set("Tenant", "t1")
		return &job{Request: r, body: []byte("body")}
	}
	want := s.fingerprint(base())
	same := base()
	same.Header.Set(headers.Request, "r9")
	same.Header.Set(headers.Timeout, "77")
	same.Header.Set("Traceparent", "00-1")
	same.Header.Set("Connection", "close")
	is.Equal(s.fingerprint(same), want)
	for name, change := range map[string]func(*job){
		"method": func(j *job) { j.Method = http.MethodPut },
		"host":   func(j *job) { j.Host = "other" },
		"path":   func(j *job) { j.RequestURI = "/q/y?a=1" },
		"query":  func(j *job) { j.RequestURI = "/q/x?a=2" },
		"body":   func(j *job) { j.body = []byte("other") },
		"caller": func(j *job) { j.Header.Set("Tenant", "t2") },
	} {
		j := base()
		change(j)
		if s.fingerprint(j) == want {
			t.Errorf("the %s makes no difference", name)
		}
	}
}

// Guards against a harmless request that is refused with a crashing one: it has one path, is sent often, and
// is in flight at every death.
func TestHarmlessRequestBesideCrashes(t *testing.T) {
	is := is.New(t)
	var targets []*fakeTarget
	for i := range 8 {
		f := newTarget(fmt.Sprint("t", i), "s1").records("a")
		serve := f.reply
		f.reply = func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(5 * time.Millisecond)
			serve(w, r)
		}
		targets = append(targets, f.crashesOn("crash"))
	}
	h := newHarness(t, singleRoute(true, 3), targets...)
	h.service.RetrySlack = 1000
	h.fillBudgets()
	var sent, served atomic.Int64
	var wg sync.WaitGroup
	stop := make(chan struct{})
	for range 16 {
		wg.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				sent.Add(1)
				if res, _ := h.get(t, nil); res.StatusCode == http.StatusOK {
					served.Add(1)
				}
			}
		})
	}
	time.Sleep(100 * time.Millisecond)
	_, _ = h.get(t, crashPath) // crashes three
	h.awaitDeaths(t, 3)
	for range 20 {
		res, _ := h.get(t, crashPath)
		is.Equal(res.StatusCode, http.StatusServiceUnavailable)
		time.Sleep(5 * time.Millisecond)
	}
	close(stop)
	wg.Wait()
	t.Logf("%d of %d harmless requests were served", served.Load(), sent.Load())
	is.True(sent.Load()-served.Load() <= sent.Load()/100) // at most those in flight at a death whose retry met another one
}

// Guards against a harmless request that is refused because several targets die at once with it in flight: others
// answer it before the deaths are found out.
func TestAnswersBeforeDeathsAreKnown(t *testing.T) {
	is := is.New(t)
	const dying = 3
	var inFlight sync.WaitGroup
	inFlight.Add(dying)
	targets := []*fakeTarget{newTarget("good", "s1").records("a")}
	for i := range dying {
		f := newTarget(fmt.Sprint("t", i), "s1").crashesOn("crash")
		crash := f.reply
		f.reply = func(w http.ResponseWriter, r *http.Request) {
			inFlight.Done()
			inFlight.Wait()
			crash(w, r)
		}
		targets = append(targets, f)
	}
	h := newHarness(t, singleRoute(true, 1+dying), targets...)
	shares := map[string]limit.Share{}
	for _, f := range h.view.Targets["s1"] {
		shares[f.Name] = limit.Share{Incarnation: f.Incarnation, Address: f.Address, Connections: 1}
	}
	shares["good"] = limit.Share{Incarnation: "1", Address: h.view.Targets["s1"][0].Address, Connections: dying}
	h.service.Pool.SetShares(shares) // each of those that die gets one request
	h.view.Avoid = map[string]bool{"good": true}
	var callers sync.WaitGroup
	for range dying {
		callers.Go(func() {
			res, _ := h.get(t, crashPath)
			is.Equal(res.StatusCode, http.StatusOK)
		})
	}
	callers.Wait()
	time.Sleep(10 * deathCheckDelay)
	res, _ := h.get(t, crashPath)
	is.Equal(res.StatusCode, http.StatusOK)
	is.Equal(targets[0].ran.Load(), int64(dying+1))
}
