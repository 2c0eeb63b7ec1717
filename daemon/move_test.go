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

// reverts bounds the time from when a fault shows until the version gets nothing.
const reverts = 3 * time.Second

// moving returns the group's inventory with a move of the service to v2.
func (g *group) moving(note string, by time.Time, trial float64) string {
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

// spawnNew starts a replica of each shard in each of the data centres a and b with
// version v2 and returns their names.
func (g *group) spawnNew(shards int) []string {
	hosts := make([]string, len(g.names))
	for i, name := range g.names {
		hosts[i] = local(g.ports[name][0])
	}
	var names []string
	for shard := range shards {
		for _, centre := range []string{"a", "b"} {
			name := fmt.Sprintf("new-%d-%s", shard, centre)
			ports := freePorts(g.t, 2)
			names, g.admin[name] = append(names, name), local(ports[1])
			start(g.t, "standin", "--name", name, "--service", "desk", "--version", "v2", "--centre", centre,
				"--listen", local(ports[0]), "--admin", g.admin[name], "--hosts", strings.Join(hosts, ","),
				"--shards", fmt.Sprint(shard), "--total", fmt.Sprint(shards), "--time", "1ms", "--connections", "40", "--slots", "8")
		}
	}
	return names
}

func (g *group) move(host string) (m operator.Move) {
	_, body := do("GET", "http://"+local(g.ports[host][1])+"/v1/moves/desk", nil, nil)
	_ = json.Unmarshal(body, &m)
	return m
}

func (g *group) receivedBy(names []string) int {
	n := 0
	for _, name := range names {
		n += received(g, name)
	}
	return n
}

// Guards against a good version that does not get all traffic by its time,
// and against queries that fail during a move.
func TestGoodVersionIsDoneByItsTime(t *testing.T) {
	is := is.New(t)
	g := newGroup(t, 3, "h1", "h2", "h3")
	g.startAll()
	g.mustApply("h1", 0, "one", g.inventory("one"))
	g.searchers(2)
	stop := g.load(8, "good")
	by := time.Now().Add(30 * time.Second)
	g.mustApply("h1", 1, "two", g.moving("two", by, 0.1))
	g.until("the move waits for replicas", func() bool { return g.move("h1").Step == move.Waiting })
	is.Equal(g.move("h1").Share, 0.0)
	g.spawnNew(2)
	g.until("the version is on trial", func() bool { return g.move("h1").Step == move.Trial })
	for m := g.move("h1"); m.Step != move.Done && time.Now().Before(by); m = g.move("h1") {
		time.Sleep(200 * time.Millisecond)
	}
	is.Equal(g.move("h1").Step, move.Done) // by its time
	is.Equal(g.move("h1").Share, 1.0)
	time.Sleep(few)
	before := g.receivedBy(g.searcherNames)
	time.Sleep(time.Second)
	is.Equal(g.receivedBy(g.searcherNames), before) // the old version gets nothing
	whole, failures := stop()
	is.True(whole > 1000)
	is.Equal(len(failures), 0)
}

// Guards against a version that goes on getting traffic after its fault has shown,
// or gets more than the share of the rule before.
func TestFailingVersionGetsNothing(t *testing.T) {
	is := is.New(t)
	g := newGroup(t, 3, "h1", "h2", "h3")
	g.startAll()
	g.mustApply("h1", 0, "one", g.inventory("one"))
	g.searchers(2)
	names := g.spawnNew(2)
	stop := g.load(8, "bad")
	g.mustApply("h1", 1, "two", g.moving("two", time.Now().Add(time.Hour), 0.05))
	g.until("the version works on trial", func() bool { return g.receivedBy(names) > 100 })
	is.Equal(g.move("h1").Share, 0.05)
	for _, name := range names {
		g.fault(name, map[string]any{"fail": 1})
	}
	shows := time.Now()
	greatest := 0.0
	for time.Since(shows) < reverts {
		greatest = max(greatest, g.move("h2").Share)
		time.Sleep(50 * time.Millisecond)
	}
	before := g.receivedBy(names)
	time.Sleep(time.Second)
	is.Equal(g.receivedBy(names), before) // nothing after 3 s
	is.True(greatest <= 0.05)
	m := g.move("h3")
	is.True(m.Reverted)
	is.Equal(m.Step, control.StepReverted)
	is.True(strings.Contains(m.Reason, "failed"))
	whole, _ := stop()
	is.True(whole > 500)
}
