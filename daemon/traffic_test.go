package daemon_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabirelay/answer"
	"wasabirelay/problem"
	"wasabirelay/searcher"
)

// maxChangeDelay is the time within which an accepted change must take effect on every host.
// It is the bound that these tests set for "a few seconds" in groups of their size.
const maxChangeDelay = 2 * time.Second

// injectFault activates a fault in a stand-in searcher.
func (g *group) injectFault(name string, body map[string]any) {
	g.t.Helper()
	if status, text := sendRequest("POST", "http://"+g.adminAddresses[name]+"/fault", body, nil); status != http.StatusOK {
		g.t.Fatalf("fault at %s: %d %s", name, status, text)
	}
}

// counts returns the counters of a stand-in searcher; ok is false if it does not answer.
func (g *group) counts(name string) (c searcher.Counts, ok bool) {
	status, text := sendRequest("GET", "http://"+g.adminAddresses[name]+"/counts", nil, nil)
	return c, status == http.StatusOK && json.Unmarshal(text, &c) == nil
}

// startLoad sends queries to all hosts until stop is called. stop returns the number of
// complete answers and a description of each failed query.
func (g *group) startLoad(callers int, query string) (stop func() (int64, []string)) {
	return g.startLoadAt(g.names, callers, query)
}

// startLoadAt is startLoad for some of the hosts.
func (g *group) startLoadAt(hosts []string, callers int, query string) (stop func() (int64, []string)) {
	end := make(chan struct{})
	var wg sync.WaitGroup
	var complete atomic.Int64
	var mu sync.Mutex
	var failures []string
	for n := range callers {
		wg.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-end:
					return
				case <-time.After(4 * time.Millisecond):
				}
				request := fmt.Sprintf("%s-%d-%d", query, n, i)
				host := hosts[(n+i)%len(hosts)]
				a, refusal := g.query(host, request)
				var why string
				if a != nil {
					why = checkComplete(a, request)
				} else {
					why = fmt.Sprintf("%s: %d %s %s", host, refusal.Status, refusal.Type, refusal.Detail)
				}
				if why == "" {
					complete.Add(1)
					continue
				}
				mu.Lock()
				failures = append(failures, why)
				mu.Unlock()
			}
		})
	}
	return func() (int64, []string) {
		close(end)
		wg.Wait()
		return complete.Load(), failures
	}
}

// isFromOneSnapshot reports whether all results of an answer are from the answer's snapshot.
func isFromOneSnapshot(a *answer.Answer) bool {
	for _, s := range a.Shards {
		var result struct{ Snapshot uint64 }
		if json.Unmarshal(s.Result, &result) != nil || result.Snapshot != a.Snapshot {
			return false
		}
	}
	return true
}

// Guards against work that reaches a data centre after operators have taken it out of
// service, also through a host that is frozen at that time.
func TestDataCentreTakenOutGetsNoNewWork(t *testing.T) {
	is := is.New(t)
	g := newGroup(t, 3, "h1", "h2", "h3", "h4")
	g.startAll()
	g.mustApply("h1", 0, "one", g.inventory("one"))
	g.startSearchers(2)
	stop := g.startLoad(8, "dc")
	g.waitFor("data centre b gets work", func() bool { c, _ := g.counts("0-b"); return c.Served > 20 })
	g.daemons["h4"].signal(syscall.SIGSTOP)
	g.mustApply("h1", 1, "two", g.inventory("two", "b"))
	accepted := time.Now()
	time.Sleep(maxChangeDelay - time.Since(accepted))
	g.daemons["h4"].signal(syscall.SIGCONT)
	before := received(g, "0-b") + received(g, "1-b")
	time.Sleep(time.Second)
	is.Equal(received(g, "0-b")+received(g, "1-b"), before) // no new work after 2 s
	complete, failures := stop()
	is.True(complete > 100)
	for _, f := range failures {
		if !strings.HasPrefix(f, "h4: ") {
			t.Errorf("a host other than the frozen one refused a query: %s", f)
		}
	}
}

func received(g *group, name string) int {
	c, _ := g.counts(name)
	return c.Received
}

// Guards against new work for a target that has announced that it is draining.
func TestDrainingTargetGetsNoNewWork(t *testing.T) {
	is := is.New(t)
	g := newGroup(t, 3, "h1", "h2", "h3")
	g.startAll()
	g.mustApply("h1", 0, "one", g.inventory("one"))
	g.startSearchers(1)
	stop := g.startLoad(6, "leave")
	g.waitFor("the target gets work", func() bool { c, _ := g.counts("0-a"); return c.Served > 20 })
	g.injectFault("0-a", map[string]any{"drain": true})
	time.Sleep(maxChangeDelay + time.Second)
	c, ok := g.counts("0-a")
	is.True(ok)
	is.True(c.LastDraining.Duration <= maxChangeDelay)
	_, failures := stop()
	is.Equal(len(failures), 0)
}

// Guards against several hosts that each use the complete cold limit of a target. Every
// target starts cold with a cold limit of one sub-request, and three hosts have work for it.
func TestColdTargetsStayWithinTheirColdLimit(t *testing.T) {
	is := is.New(t)
	g := newGroup(t, 3, "h1", "h2", "h3")
	g.startAll()
	g.mustApply("h1", 0, "one", g.inventory("one"))
	g.spawnSearchers(2, "--cold", "--bears", "1", "--warm-served", "30", "--warm-after", "0s", "--time", "5ms")
	stop := g.startLoad(9, "cold")
	for _, name := range g.searcherNames {
		g.waitFor(name+" has become warm", func() bool { c, _ := g.counts(name); return c.Served >= 60 })
	}
	stop()
	for _, name := range g.searcherNames {
		c, _ := g.counts(name)
		is.True(c.MaxColdAdmitted >= 1)
		is.True(c.MaxColdAdmitted <= 1)
		is.Equal(c.Refused["cold"], 0)
	}
}

// Guards against cold targets that get no work because one host holds the grants for all of
// them, and after the targets nearby have become warm uses only those.
func TestColdTargetsWarmUpAfterOneHostHeldAllGrants(t *testing.T) {
	g := newGroup(t, 3, "h1", "h2", "h3")
	g.startAll()
	g.mustApply("h1", 0, "one", g.inventory("one"))
	g.spawnSearchers(2, "--cold", "--bears", "1", "--warm-served", "30", "--warm-after", "0s", "--time", "5ms")
	stopFirst := g.startLoadAt([]string{"h2"}, 1, "first")
	for _, name := range []string{"0-b", "1-b"} {
		g.waitFor(name+" has become warm", func() bool { c, _ := g.counts(name); return c.Served >= 60 })
	}
	stop := g.startLoadAt([]string{"h1", "h3"}, 2, "then")
	for _, name := range g.searcherNames {
		g.waitFor(name+" has become warm", func() bool { c, _ := g.counts(name); return c.Served >= 60 })
	}
	stop()
	stopFirst()
}

// Guards against a second execution of a request that is not idempotent: the host that
// executes it is killed, and the caller resends it to other hosts with the same key.
func TestNonIdempotentRequestRunsAtMostOnce(t *testing.T) {
	is := is.New(t)
	g := newGroup(t, 3, "h1", "h2", "h3", "h4")
	g.startAll()
	g.mustApply("h1", 0, "one", g.inventory("one"))
	g.startSearchers(2)
	for _, name := range g.searcherNames {
		g.injectFault(name, map[string]any{"slow": 30}) // 30 ms, so that requests are running when the host is killed
	}
	var wg sync.WaitGroup
	for i := range 20 {
		wg.Go(func() {
			request := fmt.Sprintf("book-%d", i)
			time.Sleep(time.Duration(i) * 5 * time.Millisecond)
			for range 3 {
				for _, name := range []string{"h4", "h1", "h2"} {
					g.sendNonIdempotent(name, request)
				}
			}
		})
	}
	time.Sleep(60 * time.Millisecond)
	g.daemons["h4"].kill()
	wg.Wait()
	ran := 0
	for _, name := range g.searcherNames {
		c, ok := g.counts(name)
		is.True(ok)
		for request := range c.Runs {
			if strings.HasPrefix(request, "book-") {
				ran++
			}
		}
	}
	is.True(ran > 0)
	is.Equal(g.countRepeated("book-"), 0) // no shard executed a request on two replicas
}

// countRepeated returns the number of pairs of request and shard that were executed more than
// once, over all stand-in searchers.
func (g *group) countRepeated(prefix string) int {
	runs := map[string]int{}
	for _, name := range g.searcherNames {
		c, _ := g.counts(name)
		for request, shards := range c.Runs {
			for shard, n := range shards {
				if strings.HasPrefix(request, prefix) {
					runs[fmt.Sprint(request, "/", shard)] += n
				}
			}
		}
	}
	repeated := 0
	for _, n := range runs {
		if n > 1 {
			repeated++
		}
	}
	return repeated
}

// sendNonIdempotent sends a request that is not idempotent, with its identity as the key.
func (g *group) sendNonIdempotent(host, request string) {
	sendRequest("POST", "http://"+loopback(g.ports[host][0])+"/v1/services/desk/query",
		answer.Request{Request: request, Query: json.RawMessage(`{"book":1}`)}, map[string]string{"Idempotency-Key": request})
}

// Guards against replies that reach the wrong caller or are truncated, against answers with
// mixed snapshots while the index changes, and against stragglers, all at the same time.
func TestAnswersStayCompleteUnderReplyFaultsAndNewSnapshots(t *testing.T) {
	is := is.New(t)
	g := newGroup(t, 3, "h1", "h2", "h3")
	g.startAll()
	g.mustApply("h1", 0, "one", g.inventory("one"))
	g.startSearchers(3)
	for shard := range 3 {
		g.injectFault(fmt.Sprintf("%d-a", shard), map[string]any{"crossed": 0.3, "cut": 0.3, "doubled": 0.3})
		g.injectFault(fmt.Sprintf("%d-b", shard), map[string]any{"late": "50ms"})
	}
	seen := map[uint64]int{}
	for i := range 300 {
		switch i {
		case 100: // The replicas get the new index one after the other.
			for _, name := range g.searcherNames {
				g.injectFault(name, map[string]any{"snapshot": map[string]any{"number": 2}})
			}
		case 200:
			for _, name := range g.searcherNames {
				g.injectFault(name, map[string]any{"snapshot": map[string]any{"number": 3, "drop": true}})
			}
		}
		request := fmt.Sprintf("s-%d", i)
		a, refusal := g.query(g.names[i%3], request)
		if a == nil {
			// A refusal is allowed while replicas have dropped a snapshot that the host still
			// uses. A wrong answer is never allowed.
			is.True(refusal.Executed != problem.None || refusal.Status == http.StatusServiceUnavailable)
			continue
		}
		is.Equal(checkComplete(a, request), "")
		is.True(isFromOneSnapshot(a))
		seen[a.Snapshot]++
	}
	is.True(seen[1] > 50)
	is.True(seen[2] > 50)
	is.True(seen[3] > 50)
}

// Guards against a request that crashes one target after another while its caller resends
// it, and against refusing other requests that were in flight at the crashes.
func TestPoisonRequestIsRefusedBeforeAShardIsLost(t *testing.T) {
	is := is.New(t)
	g := newGroup(t, 3, "h1", "h2", "h3")
	g.startAll()
	g.mustApply("h1", 0, "one", g.inventory("one"))
	g.startSearchers(2)
	for _, name := range g.searcherNames {
		g.injectFault(name, map[string]any{"crash": "boom"})
	}
	stop := g.startLoad(4, "beside")
	refused := false
	for i := range 30 {
		status, body := sendRequest("POST", "http://"+loopback(g.ports[g.names[i%3]][0])+"/v1/services/desk/query", answer.Request{
			Request: "poison", Query: json.RawMessage(`{"q":"boom"}`), Idempotent: true,
		}, nil)
		if status == http.StatusUnprocessableEntity && strings.Contains(string(body), "poison") {
			refused = true
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	is.True(refused)
	alive := map[string]int{}
	for _, name := range g.searcherNames {
		if _, ok := g.counts(name); ok {
			alive[name[:1]]++
		}
	}
	is.True(alive["0"] >= 1)
	is.True(alive["1"] >= 1)
	_, failures := stop()
	for _, f := range failures {
		if strings.Contains(f, "poison") {
			t.Errorf("another request was refused as poison: %s", f)
		}
	}
}
