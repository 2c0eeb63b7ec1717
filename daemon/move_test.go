package daemon_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabirelay/control"
	"wasabirelay/move"
	"wasabirelay/operator"
)

// maxRevertDelay limits the time from the first failures of a version until it gets no
// traffic.
const maxRevertDelay = 3 * time.Second

// inventoryWithMove returns the inventory of the group with a move of the service to v2.
func (g *group) inventoryWithMove(note string, by time.Time, trial float64) string {
	var doc map[string]any
	if err := json.Unmarshal([]byte(g.inventory(note)), &doc); err != nil {
		g.t.Fatal(err)
	}
	doc["rules"].(map[string]any)["moves"] = map[string]any{
		"desk": map[string]any{"version": "v2", "by": by.UTC().Format(time.RFC3339Nano), "trial": trial},
	}
	text, err := json.Marshal(doc)
	if err != nil {
		g.t.Fatal(err)
	}
	return string(text)
}

// startNewVersion starts a replica of each shard with version v2 in each of the data centres
// a and b, and returns the names of the replicas.
func (g *group) startNewVersion(shards int) []string {
	hosts := make([]string, len(g.names))
	for i, name := range g.names {
		hosts[i] = loopback(g.ports[name][0])
	}
	var names []string
	for shard := range shards {
		for _, centre := range []string{"a", "b"} {
			name := fmt.Sprintf("new-%d-%s", shard, centre)
			ports := freePorts(g.t, 2)
			names, g.adminAddresses[name] = append(names, name), loopback(ports[1])
			startProcess(g.t, "standin", "--name", name, "--service", "desk", "--version", "v2", "--centre", centre,
				"--listen", loopback(ports[0]), "--admin", g.adminAddresses[name], "--hosts", strings.Join(hosts, ","),
				"--shards", fmt.Sprint(shard), "--total", fmt.Sprint(shards), "--time", "1ms", "--connections", "40", "--slots", "8")
		}
	}
	return names
}

func (g *group) getMove(host string) (m operator.Move) {
	_, body := sendRequest("GET", "http://"+loopback(g.ports[host][1])+"/v1/moves/desk", nil, nil)
	_ = json.Unmarshal(body, &m)
	return m
}

func (g *group) totalReceived(names []string) int {
	n := 0
	for _, name := range names {
		n += received(g, name)
	}
	return n
}

// Guards against a good version that does not get all traffic by the time in its rule, and
// against queries that fail during a move.
func TestGoodVersionIsDoneByItsTime(t *testing.T) {
	is := is.New(t)
	g := newGroup(t, 3, "h1", "h2", "h3")
	g.startAll()
	g.mustApply("h1", 0, "one", g.inventory("one"))
	g.startSearchers(2)
	stop := g.startLoad(8, "good")
	by := time.Now().Add(30 * time.Second)
	g.mustApply("h1", 1, "two", g.inventoryWithMove("two", by, 0.1))
	g.waitFor("the move waits for replicas", func() bool { return g.getMove("h1").Step == move.Waiting })
	is.Equal(g.getMove("h1").Share, 0.0)
	g.startNewVersion(2)
	g.waitFor("the version is on trial", func() bool { return g.getMove("h1").Step == move.Trial })
	for m := g.getMove("h1"); m.Step != move.Done && time.Now().Before(by); m = g.getMove("h1") {
		time.Sleep(200 * time.Millisecond)
	}
	is.Equal(g.getMove("h1").Step, move.Done) // by its time
	is.Equal(g.getMove("h1").Share, 1.0)
	time.Sleep(maxChangeDelay)
	before := g.totalReceived(g.searcherNames)
	time.Sleep(time.Second)
	is.Equal(g.totalReceived(g.searcherNames), before) // the old version gets nothing
	complete, failures := stop()
	is.True(complete > 1000)
	is.Equal(len(failures), 0)
}

// Guards against a version that continues to get traffic after it has begun to fail, or that
// got more than the share in its rule before.
func TestFailingVersionIsReverted(t *testing.T) {
	is := is.New(t)
	g := newGroup(t, 3, "h1", "h2", "h3")
	g.startAll()
	g.mustApply("h1", 0, "one", g.inventory("one"))
	g.startSearchers(2)
	names := g.startNewVersion(2)
	stop := g.startLoad(8, "bad")
	g.mustApply("h1", 1, "two", g.inventoryWithMove("two", time.Now().Add(time.Hour), 0.05))
	g.waitFor("the version on trial gets traffic", func() bool { return g.totalReceived(names) > 100 })
	is.Equal(g.getMove("h1").Share, 0.05)
	for _, name := range names {
		g.injectFault(name, map[string]any{"fail": 1})
	}
	failedSince := time.Now()
	maxShare := 0.0
	for time.Since(failedSince) < maxRevertDelay {
		maxShare = max(maxShare, g.getMove("h2").Share)
		time.Sleep(50 * time.Millisecond)
	}
	before := g.totalReceived(names)
	time.Sleep(time.Second)
	is.Equal(g.totalReceived(names), before) // no traffic after 3 s
	is.True(maxShare <= 0.05)
	m := g.getMove("h3")
	is.True(m.Reverted)
	is.Equal(m.Step, control.StepReverted)
	is.True(strings.Contains(m.Reason, "failed"))
	complete, _ := stop()
	is.True(complete > 500)
}
