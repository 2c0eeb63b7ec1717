package daemon_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabirelay/answer"
	"wasabirelay/operator"
	"wasabirelay/problem"
	"wasabirelay/quorum"
)

// Guards against a restart that restores an older inventory: every process is killed after
// many changes, and after the restart the last accepted change must be in force.
func TestRestartOfAllKeepsTheLastChange(t *testing.T) {
	const changes = 300
	is := is.New(t)
	g := newGroup(t, 3, "h1", "h2", "h3")
	g.startAll()
	for i := range changes {
		g.mustApply("h1", uint64(i), fmt.Sprintf("c%d", i), g.inventory(fmt.Sprintf("r%d", i)))
	}
	for _, name := range g.names {
		g.daemons[name].kill()
	}
	g.startAll()
	for _, name := range g.names {
		g.waitFor(name+" has the last version", func() bool { return g.inventoryVersion(name) == changes })
	}
	status, _, refusal := g.apply("h2", changes-1, "late", g.inventory("late"))
	is.Equal(status, http.StatusConflict) // an older base is also refused after the restart
	is.Equal(refusal.Change, fmt.Sprintf("c%d", changes-1))
	again := g.mustApply("h3", changes-1, fmt.Sprintf("c%d", changes-1), g.inventory(fmt.Sprintf("r%d", changes-1)))
	is.Equal(again.Version, uint64(changes)) // a resend returns the outcome of the first request
}

// Guards against a host that votes with an empty log after it lost its disk: it must rejoin
// as a learner, and losing a second host right after the repair must not lose an accepted
// change.
func TestLostDiskAndSecondLossKeepAcceptedChanges(t *testing.T) {
	is := is.New(t)
	g := newGroup(t, 3, "h1", "h2", "h3")
	g.startAll()
	g.mustApply("h1", 0, "one", g.inventory("one"))
	var old string
	g.waitFor("the leader lists h2", func() bool { old = memberID(g.members("h1"), "h2"); return old != "" })
	g.daemons["h2"].kill()
	is.NoErr(os.RemoveAll(g.dataDir("h2")))
	g.mustApply("h1", 1, "two", g.inventory("two"))
	time.Sleep(time.Second) // The old member is silent for longer than an election.
	g.start("h2")
	g.waitFor("h2 is a voter again and its old member is removed", func() bool {
		members := g.members("h1")
		return g.inventoryVersion("h2") == 2 && countVoters(members) == 3 && len(members) == 3 && memberID(members, "h2") != old
	})
	g.daemons["h1"].kill()
	g.mustApply("h2", 2, "three", g.inventory("three"))
	for _, name := range []string{"h2", "h3"} {
		g.waitFor(name+" has version 3", func() bool { return g.inventoryVersion(name) == 3 })
	}
}

// countVoters returns the number of voters in a list of members. Callers must compare it with
// the length of the same list: a member that is removed between two requests can hide a learner.
func countVoters(members []quorum.Member) int {
	n := 0
	for _, m := range members {
		if !m.Learner {
			n++
		}
	}
	return n
}

// memberID returns the ID of the first member on the host, or "" if there is none.
func memberID(members []quorum.Member, host string) string {
	for _, m := range members {
		if m.Host == host {
			return m.ID
		}
	}
	return ""
}

// Guards against the bootstrap of a second group beside an existing one: a host that lost its
// disk while the others are down must wait for them.
func TestBlankReplicaBootstrapsNoSecondGroup(t *testing.T) {
	is := is.New(t)
	g := newGroup(t, 3, "h1", "h2", "h3")
	g.startAll()
	g.mustApply("h1", 0, "one", g.inventory("one"))
	for _, name := range g.names {
		g.daemons[name].kill()
	}
	is.NoErr(os.RemoveAll(g.dataDir("h1")))
	g.start("h1")
	time.Sleep(time.Second) // A bootstrap would take two intervals of 200 ms.
	is.Equal(g.isReady("h1"), false)
	g.start("h2")
	g.start("h3")
	g.waitFor("h1 has the first change", func() bool { return g.inventoryVersion("h1") == 1 })
}

// Guards against damage that is mistaken for a torn write: the daemon must refuse a log with
// a flipped bit and a truncated log, and name the file and the offset, but remove a torn
// tail.
func TestDamagedJournal(t *testing.T) {
	is := is.New(t)
	g := newGroup(t, 3, "h1", "h2", "h3")
	g.startAll()
	for i := range 5 {
		g.mustApply("h1", uint64(i), fmt.Sprint("c", i), g.inventory(fmt.Sprint("r", i)))
	}
	g.daemons["h3"].kill()
	logs, err := filepath.Glob(filepath.Join(g.dataDir("h3"), "log-*"))
	is.NoErr(err)
	is.Equal(len(logs), 1)
	good, err := os.ReadFile(logs[0])
	is.NoErr(err)

	end := len(bytes.TrimRight(good, "\x00"))
	torn := slices.Clone(good)
	clear(torn[end-9 : end])
	is.NoErr(os.WriteFile(logs[0], torn, 0o600))
	g.start("h3")
	g.waitFor("h3 starts with a torn tail", func() bool { return g.inventoryVersion("h3") == 5 })
	g.daemons["h3"].kill()

	flipped := slices.Clone(good)
	flipped[end/2] ^= 4
	for _, bad := range [][]byte{flipped, good[:end/2]} {
		is.NoErr(os.WriteFile(logs[0], bad, 0o600))
		g.start("h3")
		select {
		case <-g.daemons["h3"].exited:
		case <-time.After(waitTimeout):
			t.Fatal("the daemon did not exit although its journal is damaged")
		}
		log := g.daemons["h3"].log.String()
		is.True(strings.Contains(log, filepath.Base(logs[0])))
		is.True(strings.Contains(log, "offset"))
	}
}

// Guards against two accepted changes with the same base, and against a refusal that doesn't
// name the accepted change.
func TestConcurrentChangesWithOneBase(t *testing.T) {
	is := is.New(t)
	g := newGroup(t, 3, "h1", "h2", "h3")
	g.startAll()
	g.mustApply("h1", 0, "first", g.inventory("first"))
	for round := range 5 {
		var wg sync.WaitGroup
		var accepted atomic.Int32
		won := make(chan string, 3)
		for _, name := range g.names {
			wg.Go(func() {
				change := fmt.Sprintf("%s-%d", name, round)
				status, _, refusal := g.apply(name, uint64(round+1), change, g.inventory(change))
				if status == http.StatusOK {
					accepted.Add(1)
					return
				}
				won <- refusal.Change
			})
		}
		wg.Wait()
		close(won)
		is.Equal(accepted.Load(), int32(1))
		first := <-won
		is.True(strings.HasSuffix(first, fmt.Sprintf("-%d", round)))
		is.Equal(<-won, first) // both refusals name the same accepted change
	}
}

// Guards against an entry host that dispatches work on an old inventory after it was frozen
// for longer than its lease: when it resumes, it reads the requests that waited in its sockets
// before it learns of the change, and none of them may reach the data centre that is out of
// service.
func TestFrozenHostDispatchesNoWorkOnAnOldInventory(t *testing.T) {
	const waiting = 60
	is := is.New(t)
	g := newGroup(t, 3, "h1", "h2", "h3", "h4")
	g.startAll()
	g.mustApply("h1", 0, "one", g.inventory("one"))
	g.startSearchers(2)
	g.daemons["h4"].signal(syscall.SIGSTOP)
	g.mustApply("h1", 1, "two", g.inventory("two", "b"))
	time.Sleep(maxChangeDelay)
	before := received(g, "0-b") + received(g, "1-b")
	var wg sync.WaitGroup
	for i := range waiting {
		wg.Go(func() {
			if _, refusal := g.query("h4", fmt.Sprint("thaw-", i)); refusal != nil && refusal.Executed != problem.None {
				t.Errorf("refused with executed %q: %s", refusal.Executed, refusal.Detail)
			}
		})
	}
	time.Sleep(300 * time.Millisecond)
	g.daemons["h4"].signal(syscall.SIGCONT)
	wg.Wait()
	is.Equal(received(g, "0-b")+received(g, "1-b"), before)
	g.waitFor("h4 serves again", func() bool { return g.isReady("h4") && g.inventoryVersion("h4") == 2 })
}

// Guards against a host that continues after a silent partition, in which packets are dropped
// and no connection is refused. Its lease must end, it must refuse queries with executed
// "none", and the others must remove it from their address lists.
func TestSilentPartitionEndsTheLease(t *testing.T) {
	is := is.New(t)
	g := newGroup(t, 3, "h1", "h2", "h3", "h4")
	links := g.links("h4")
	g.startAll()
	g.mustApply("h1", 0, "one", g.inventory("one"))
	g.startSearchers(1)
	g.waitFor("h1 lists h4", func() bool { return g.listsHost("h1", "h4") })
	partitionedAt := time.Now()
	for _, l := range links {
		l.blackholed.Store(true)
	}
	g.waitFor("h4 refuses", func() bool { a, _ := g.query("h4", "cut"); return a == nil })
	is.True(time.Since(partitionedAt) < 2*time.Second+300*time.Millisecond) // 2 s, and the time of the query that detects it
	_, refusal := g.query("h4", "after")
	is.Equal(refusal.Executed, problem.None)
	g.waitFor("h1 does not list h4", func() bool { return !g.listsHost("h1", "h4") })
	for _, l := range links {
		l.blackholed.Store(false)
	}
	g.waitFor("h4 serves again", func() bool { a, _ := g.query("h4", "back"); return a != nil })
}

// Guards against a leader that is partitioned silently from the other control hosts but still
// reaches an entry host while the inventory changes: it must neither keep that host
// dispatching work on the old inventory nor restore the old inventory when the partition
// heals.
func TestSilentlyPartitionedLeader(t *testing.T) {
	is := is.New(t)
	g := newGroup(t, 3, "h1", "h2", "h3", "h4")
	linksOf := map[string][]*link{}
	for _, name := range g.names[:3] {
		for _, other := range g.names[:3] {
			if name != other {
				l := g.link(name, other)
				linksOf[name], linksOf[other] = append(linksOf[name], l), append(linksOf[other], l)
			}
		}
	}
	g.startAll()
	g.mustApply("h1", 0, "one", g.inventory("one"))
	g.startSearchers(2)
	leader := g.awaitLeader()
	others := slices.DeleteFunc([]string{"h1", "h2", "h3"}, func(name string) bool { return name == leader })
	for _, l := range linksOf[leader] {
		l.blackholed.Store(true)
	}
	stop := g.startLoad(6, "cut")
	g.mustApply(others[0], 1, "two", g.inventory("two", "b"))
	time.Sleep(maxChangeDelay)
	before := received(g, "0-b") + received(g, "1-b")
	time.Sleep(time.Second)
	is.Equal(received(g, "0-b")+received(g, "1-b"), before)
	_, refusal := g.query(leader, "cut-off")
	is.True(refusal != nil)
	is.Equal(refusal.Executed, problem.None)
	g.waitFor("h4 serves under the new leader", func() bool { a, _ := g.query("h4", "new"); return a != nil })
	stop()
	for _, l := range linksOf[leader] {
		l.blackholed.Store(false)
	}
	g.waitFor("the old leader has the new inventory", func() bool { return g.inventoryVersion(leader) == 2 && g.isReady(leader) })
	for _, name := range g.names {
		is.Equal(g.inventoryVersion(name), uint64(2))
	}
}

// awaitLeader waits until a leader is known and returns its host.
func (g *group) awaitLeader() string {
	g.t.Helper()
	var v operator.Version
	g.waitFor("a leader is known", func() bool {
		_, body := sendRequest("GET", "http://"+loopback(g.ports["h1"][1])+"/v1/version", nil, nil)
		return json.Unmarshal(body, &v) == nil && v.Leader.Host != ""
	})
	return v.Leader.Host
}

// Guards against requests that are interrupted by a graceful shutdown, or that are sent to a
// host that has exited while callers still have its address.
func TestRollingRestartInterruptsNoRequest(t *testing.T) {
	is := is.New(t)
	g := newGroup(t, 3, "h1", "h2", "h3")
	g.startAll()
	g.mustApply("h1", 0, "one", g.inventory("one"))
	g.startSearchers(2)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	var complete atomic.Int64
	var failed sync.Map
	for n := range 8 {
		c := g.caller()
		wg.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				case <-time.After(5 * time.Millisecond):
				}
				if err := c.send(fmt.Sprintf("%d-%d", n, i)); err != "" {
					failed.Store(err, true)
				} else {
					complete.Add(1)
				}
			}
		})
	}
	for _, name := range g.names {
		g.daemons[name].signal(syscall.SIGTERM)
		select {
		case <-g.daemons[name].exited:
		case <-time.After(waitTimeout):
			t.Fatal("the graceful shutdown did not end")
		}
		g.start(name)
		g.waitFor(name+" serves again", func() bool { return g.isReady(name) && g.listsHost(name, name) })
	}
	close(stop)
	wg.Wait()
	failed.Range(func(err, _ any) bool { t.Errorf("interrupted: %v", err); return true })
	is.True(complete.Load() > 100)
}

// Guards against a graceful shutdown that ends while a long request is still running.
func TestGracefulShutdownFinishesALongRequest(t *testing.T) {
	is := is.New(t)
	g := newGroup(t, 3, "h1", "h2", "h3")
	g.startAll()
	g.mustApply("h1", 0, "one", g.inventory("one"))
	g.startSearchers(1)
	for _, name := range g.searcherNames {
		g.injectFault(name, map[string]any{"slow": 4000}) // 4 s; the shutdown waits 2.5 s before it closes the listeners
	}
	status := make(chan int, 1)
	go func() {
		code, _ := sendRequest("POST", "http://"+loopback(g.ports["h2"][0])+"/v1/services/desk/query", answer.Request{
			Request: "long", Query: json.RawMessage(`{"q":1}`), Idempotent: true,
		}, map[string]string{"Wasabi-Timeout": "5500"})
		status <- code
	}()
	time.Sleep(100 * time.Millisecond)
	g.daemons["h2"].signal(syscall.SIGTERM)
	is.Equal(<-status, http.StatusOK)
	<-g.daemons["h2"].exited
}

// Guards against hosts that revert to an empty inventory because all control hosts started
// without their data: they must keep their inventory and refuse to serve.
func TestControlHostsThatLostAllDisksRevertNoHost(t *testing.T) {
	is := is.New(t)
	g := newGroup(t, 3, "h1", "h2", "h3", "h4")
	g.startAll()
	for i := range 5 {
		g.mustApply("h1", uint64(i), fmt.Sprint("c", i), g.inventory(fmt.Sprint("r", i)))
	}
	g.startSearchers(1)
	for _, name := range g.names[:3] {
		g.daemons[name].kill()
		is.NoErr(os.RemoveAll(g.dataDir(name)))
	}
	for _, name := range g.names[:3] {
		g.start(name)
	}
	g.waitFor("a new group is bootstrapped", func() bool { return g.isReady("h1") && g.isReady("h2") })
	// The log of the new group becomes longer than the log that h4 has applied.
	for i := range 60 {
		g.mustApply("h1", uint64(i), fmt.Sprint("new", i), g.inventory(fmt.Sprint("n", i)))
	}
	time.Sleep(maxChangeDelay)
	a, refusal := g.query("h4", "after")
	is.True(a == nil)
	is.Equal(refusal.Executed, problem.None)
	is.Equal(g.inventoryVersion("h4"), uint64(5)) // an older inventory does not replace the accepted one
}
