package daemon_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"wasabirelay/answer"
	"wasabirelay/operator"
	"wasabirelay/problem"
)

// The tests in this package run real processes on loopback addresses with real files. They
// wait for each state with a generous timeout. A result depends on the speed of the machine
// only if a test checks a guaranteed time limit.

// waitTimeout limits the wait for an expected state.
const waitTimeout = 20 * time.Second

var binaries struct {
	once sync.Once
	dir  string
	err  error
}

func TestMain(m *testing.M) {
	code := m.Run()
	if binaries.dir != "" {
		_ = os.RemoveAll(binaries.dir) // It is a temporary directory.
	}
	os.Exit(code)
}

// programPath returns the path of a program of this module. The first call builds all
// programs.
func programPath(t *testing.T, name string) string {
	t.Helper()
	binaries.once.Do(func() {
		binaries.dir, binaries.err = os.MkdirTemp("", "wasabirelay")
		if binaries.err == nil {
			var out []byte
			out, binaries.err = exec.Command("go", "build", "-o", binaries.dir, "wasabirelay/cmd/...").CombinedOutput()
			if binaries.err != nil {
				binaries.err = fmt.Errorf("%w: %s", binaries.err, out)
			}
		}
	})
	if binaries.err != nil {
		t.Fatal(binaries.err)
	}
	return filepath.Join(binaries.dir, name)
}

// firstPort and lastPort are the range of the daemons' ports. The system assigns no port in
// it to listeners that request no specific port, of which tests open many at the same time.
const firstPort, lastPort = 15000, 30000

// freePorts returns ports that no listener uses at the time of the call.
func freePorts(t *testing.T, n int) []int {
	t.Helper()
	var ports []int
	for len(ports) < n {
		port := firstPort + rand.IntN(lastPort-firstPort)
		l, err := net.Listen("tcp", loopback(port))
		if err != nil {
			continue // the port is in use
		}
		defer l.Close()
		ports = append(ports, port)
	}
	return ports
}

func loopback(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }

// process is a running program under test.
type process struct {
	cmd    *exec.Cmd
	log    *bytes.Buffer
	exited chan struct{}
}

func startProcess(t *testing.T, name string, args ...string) *process {
	t.Helper()
	p := &process{cmd: exec.Command(programPath(t, name), args...), log: &bytes.Buffer{}, exited: make(chan struct{})}
	p.cmd.Stderr = p.log
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() { _ = p.cmd.Wait(); close(p.exited) }()
	t.Cleanup(func() {
		p.signal(syscall.SIGKILL)
		<-p.exited
		if t.Failed() {
			t.Logf("%s %v:\n%s", name, args, p.log)
		}
	})
	return p
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.exited
}

// group is a set of daemons with their stand-in searchers.
type group struct {
	t     *testing.T
	dir   string
	names []string
	ports map[string][3]int // caller, operator, peer
	// controlAddresses holds, for each host, the peer addresses of the control hosts in its
	// settings.
	controlAddresses map[string]map[string]string
	hasData          map[string]bool
	daemons          map[string]*process
	// tls, if set, is the TLS configuration of every listener and of connections to targets.
	tls map[string]any
	// searcherNames holds the names of the stand-in searchers, adminAddresses their
	// addresses for fault injection.
	searcherNames  []string
	adminAddresses map[string]string
}

// newGroup prepares hosts but starts no daemon. The first of them, control in number, have a
// replica of the control state.
func newGroup(t *testing.T, control int, names ...string) *group {
	t.Helper()
	g := &group{
		t: t, dir: t.TempDir(), names: names, ports: map[string][3]int{}, controlAddresses: map[string]map[string]string{},
		hasData: map[string]bool{}, daemons: map[string]*process{},
	}
	ports := freePorts(t, 3*len(names))
	for i, name := range names {
		g.ports[name] = [3]int{ports[3*i], ports[3*i+1], ports[3*i+2]}
		g.hasData[name] = i < control
	}
	for _, name := range names {
		g.controlAddresses[name] = map[string]string{}
		for _, other := range names[:control] {
			g.controlAddresses[name][other] = loopback(g.ports[other][2])
		}
	}
	return g
}

func (g *group) dataDir(name string) string { return filepath.Join(g.dir, name) }

func (g *group) start(name string) {
	g.t.Helper()
	s := map[string]any{
		"host": name, "centre": g.centre(name), "control": g.controlAddresses[name], "log": "debug",
		"caller": g.listener(name, 0), "operator": g.listener(name, 1), "peer": g.listener(name, 2),
	}
	if g.tls != nil {
		s["target"] = g.tls
	}
	if g.hasData[name] {
		s["data"] = g.dataDir(name)
	}
	text, err := json.Marshal(s)
	if err != nil {
		g.t.Fatal(err)
	}
	path := filepath.Join(g.dir, name+".json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		g.t.Fatal(err)
	}
	g.daemons[name] = startProcess(g.t, "wasabirelayd", path)
}

func (g *group) listener(name string, i int) map[string]any {
	l := map[string]any{"address": loopback(g.ports[name][i])}
	if g.tls != nil {
		l["tls"] = g.tls
	}
	return l
}

func (g *group) startAll() {
	for _, name := range g.names {
		g.start(name)
	}
}

// centre returns the data centre of a host. Hosts are assigned to a, b and c in turn.
func (g *group) centre(name string) string {
	for i, n := range g.names {
		if n == name {
			return string(rune('a' + i%3))
		}
	}
	return "a"
}

// inventory returns an inventory document with the hosts of the group. The data centres in
// out are out of service.
func (g *group) inventory(note string, out ...string) string {
	centres := map[string]any{"a": map[string]any{}, "b": map[string]any{}, "c": map[string]any{}}
	for _, c := range out {
		centres[c] = map[string]any{"out": true}
	}
	hosts := map[string]any{}
	for _, name := range g.names {
		p := g.ports[name]
		hosts[name] = map[string]any{
			"centre": g.centre(name), "caller": loopback(p[0]), "operator": loopback(p[1]), "peer": loopback(p[2]),
			"control": g.hasData[name],
		}
	}
	text, err := json.MarshalIndent(map[string]any{
		"region": note, "centres": centres, "hosts": hosts,
		"services": map[string]any{"desk": map[string]any{"slots": 8, "connections": 40, "deadline": "1s"}},
		"rules":    map[string]any{"keep": "1s", "renew": "300ms", "expire": "2s"},
	}, "", " ")
	if err != nil {
		g.t.Fatal(err)
	}
	return string(text)
}

// sendRequest sends a request and returns the status and the body of the response. The status
// is 0 if there was no response.
func sendRequest(method, url string, body any, header map[string]string) (int, []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), 6*time.Second)
	defer cancel()
	var in io.Reader
	if body != nil {
		text, err := json.Marshal(body)
		if err != nil {
			return 0, nil
		}
		in = bytes.NewReader(text)
	}
	req, err := http.NewRequestWithContext(ctx, method, url, in)
	if err != nil {
		return 0, nil
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	for k, v := range header {
		req.Header.Set(k, v)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, nil
	}
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	if err != nil {
		return 0, nil
	}
	return res.StatusCode, text
}

// apply sends a change to a host and returns the status with the response or the refusal.
func (g *group) apply(host string, base uint64, change, text string) (int, operator.ChangeResponse, operator.Refusal) {
	status, body := sendRequest("POST", "http://"+loopback(g.ports[host][1])+"/v1/inventory",
		operator.ApplyRequest{Base: base, Change: change, Operator: "test", Text: text}, nil)
	var a operator.ChangeResponse
	var f operator.Refusal
	if status == http.StatusOK {
		_ = json.Unmarshal(body, &a)
	} else {
		_ = json.Unmarshal(body, &f)
	}
	return status, a, f
}

// mustApply sends a change, always with the same identity, until it is accepted.
func (g *group) mustApply(host string, base uint64, change, text string) operator.ChangeResponse {
	g.t.Helper()
	var a operator.ChangeResponse
	g.waitFor("change "+change+" is accepted", func() bool {
		status, applied, refusal := g.apply(host, base, change, text)
		if status >= 400 && status < 500 {
			g.t.Fatalf("change %s refused: %d %s %v", change, status, refusal.Detail, refusal.Faults)
		}
		a = applied
		return status == http.StatusOK
	})
	return a
}

// inventoryVersion returns the inventory version of a host, or 0 if it does not answer.
func (g *group) inventoryVersion(host string) uint64 {
	_, body := sendRequest("GET", "http://"+loopback(g.ports[host][1])+"/v1/version", nil, nil)
	var v operator.Version
	_ = json.Unmarshal(body, &v)
	return v.Inventory
}

func (g *group) isReady(host string) bool {
	status, _ := sendRequest("GET", "http://"+loopback(g.ports[host][0])+"/readyz", nil, nil)
	return status == http.StatusOK
}

// query sends an idempotent query and returns the answer or the refusal.
func (g *group) query(host, request string) (*answer.Answer, *problem.Details) {
	status, body := sendRequest("POST", "http://"+loopback(g.ports[host][0])+"/v1/services/desk/query",
		answer.Request{Request: request, Query: json.RawMessage(`{"q":1}`), Idempotent: true}, nil)
	if status == http.StatusOK {
		var a answer.Answer
		if json.Unmarshal(body, &a) == nil {
			return &a, nil
		}
	}
	d := &problem.Details{Status: status, Executed: problem.Unknown}
	_ = json.Unmarshal(body, d)
	return nil, d
}

// waitFor waits until ok returns true. what describes the state for the error message.
func (g *group) waitFor(what string, ok func() bool) {
	g.t.Helper()
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if ok() {
			return
		}
	}
	g.t.Fatalf("state not reached within %s: %s", waitTimeout, what)
}

// startSearchers starts stand-in searchers and waits until every host returns a complete answer.
func (g *group) startSearchers(shards int, args ...string) {
	g.t.Helper()
	g.spawnSearchers(shards, args...)
	g.waitFor("every host returns a complete answer", func() bool {
		for _, name := range g.names {
			if a, _ := g.query(name, "warm-up"); a == nil {
				return false
			}
		}
		return true
	})
}

// spawnSearchers starts a stand-in searcher for each shard in each of the data centres a, b
// and c, with names such as "1-b".
func (g *group) spawnSearchers(shards int, args ...string) {
	g.t.Helper()
	ports := freePorts(g.t, 6*shards)
	hosts := ""
	for i, name := range g.names {
		if i > 0 {
			hosts += ","
		}
		hosts += loopback(g.ports[name][0])
	}
	g.adminAddresses = map[string]string{}
	for shard := range shards {
		for i, centre := range []string{"a", "b", "c"} {
			name := fmt.Sprintf("%d-%s", shard, centre)
			g.searcherNames = append(g.searcherNames, name)
			g.adminAddresses[name] = loopback(ports[6*shard+2*i+1])
			startProcess(g.t, "standin", append([]string{
				"--name", name, "--service", "desk", "--centre", centre, "--listen", loopback(ports[6*shard+2*i]),
				"--admin", g.adminAddresses[name], "--hosts", hosts, "--shards", fmt.Sprint(shard), "--total", fmt.Sprint(shards),
				"--time", "1ms", "--connections", "40", "--slots", "8",
			}, args...)...)
		}
	}
}
