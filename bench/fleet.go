// Package bench measures wasabirelay with daemon processes and stand-in searchers on one machine.
// It writes each figure as one line of JSON.
package bench

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"wasabirelay/inventory"
	"wasabirelay/operator"
)

const (
	// waitTimeout is how long WaitFor waits for a condition.
	waitTimeout = 60 * time.Second
	// pollInterval is the time between two checks of the condition.
	pollInterval = 10 * time.Millisecond
	callTimeout  = 10 * time.Second
	// firstPort and lastPort bound the ports of the processes. They are below the range for
	// outgoing connections, which begins at 32768 on Linux.
	firstPort, lastPort = 20_000, 32_000
	portAttempts        = 100
)

// Units that several figures share.
const (
	unitBytes = "bytes"
	unitHeap  = "bytes of heap"
)

// Figure is one result. Base is the result of the baseline for the same work in the same run.
type Figure struct {
	Name  string   `json:"name"`
	Value float64  `json:"value"`
	Unit  string   `json:"unit"`
	Base  *float64 `json:"base,omitempty"`
	// Bound describes the required value.
	Bound string `json:"bound,omitempty"`
	Shape string `json:"shape,omitempty"`
	Hosts int    `json:"hosts,omitempty"`
	Note  string `json:"note,omitempty"`
}

// Print writes the figure as one line of JSON.
func Print(w io.Writer, f Figure) error {
	return errors.Wrap(json.NewEncoder(w).Encode(f), "write figure")
}

// Fleet is a set of daemon processes. The caller sets Bin, Dir, Names and Control before Start.
type Fleet struct {
	// Bin is the directory of the programs. Dir is the directory of settings, data and logs.
	Bin, Dir string
	Names    []string
	// Control is the number of control hosts, which are the first hosts in Names.
	Control int

	Hosts   map[string]inventory.Host
	daemons map[string]*exec.Cmd
	spawned []*exec.Cmd
}

// triedPorts holds the ports that FreePort has returned or found in use.
var triedPorts sync.Map

// FreePort returns a port of the loopback address without a listener. The port is below the range
// that the system uses for outgoing connections, because such a connection could take it before
// the intended process listens, or while that process restarts. FreePort returns no port twice,
// because the listener of the first caller may not be open yet.
func FreePort() (int, error) {
	for range portAttempts {
		port := firstPort + rand.IntN(lastPort-firstPort)
		if _, tried := triedPorts.LoadOrStore(port, true); tried {
			continue
		}
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port)) //nolint:noctx // It returns at once.
		if err == nil {
			l.Close()
			return port, nil
		}
	}
	return 0, errors.Errorf("no free port found in %d attempts", portAttempts)
}

func freeAddress() (netip.AddrPort, error) {
	port, err := FreePort()
	if err != nil {
		return netip.AddrPort{}, err
	}
	return netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(port)), nil
}

// Start starts all daemons.
func (f *Fleet) Start() error {
	f.Hosts, f.daemons = map[string]inventory.Host{}, map[string]*exec.Cmd{}
	for i, name := range f.Names {
		h := inventory.Host{Centre: f.Centre(i), Control: i < f.Control}
		for _, a := range []*netip.AddrPort{&h.Caller, &h.Operator, &h.Peer} {
			address, err := freeAddress()
			if err != nil {
				return err
			}
			*a = address
		}
		f.Hosts[name] = h
	}
	for _, name := range f.Names {
		if err := f.StartHost(name); err != nil {
			return err
		}
	}
	return nil
}

// Centre returns the data centre of the i-th host: a, b or c.
func (f *Fleet) Centre(i int) string { return string(rune('a' + i%3)) }

// ControlAddresses returns the peer addresses of the control hosts.
func (f *Fleet) ControlAddresses() map[string]netip.AddrPort {
	out := map[string]netip.AddrPort{}
	for _, name := range f.Names[:f.Control] {
		out[name] = f.Hosts[name].Peer
	}
	return out
}

// StartHost starts one daemon.
func (f *Fleet) StartHost(name string) error {
	h := f.Hosts[name]
	s := map[string]any{
		"host": name, "centre": h.Centre, "control": f.ControlAddresses(), "log": "warn",
		"caller": listener(h.Caller), "operator": listener(h.Operator), "peer": listener(h.Peer),
	}
	if h.Control {
		s["data"] = filepath.Join(f.Dir, name)
	}
	text, err := json.Marshal(s)
	if err != nil {
		return errors.Wrap(err, "encode settings")
	}
	path := filepath.Join(f.Dir, name+".json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return errors.Wrap(err, "write settings")
	}
	cmd, err := f.spawn(name, "wasabirelayd", path)
	f.daemons[name] = cmd
	return err
}

func listener(address netip.AddrPort) map[string]any { return map[string]any{"address": address} }

// Spawn starts a program other than the daemon. Stop kills it.
func (f *Fleet) Spawn(log, program string, args ...string) (*exec.Cmd, error) {
	cmd, err := f.spawn(log, program, args...)
	if err == nil {
		f.spawned = append(f.spawned, cmd)
	}
	return cmd, err
}

func (f *Fleet) spawn(log, program string, args ...string) (*exec.Cmd, error) {
	out, err := os.OpenFile(filepath.Join(f.Dir, log+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, errors.Wrap(err, "open log")
	}
	defer out.Close()
	cmd := exec.Command(filepath.Join(f.Bin, program), args...) //nolint:gosec,noctx // a program of this project
	cmd.Stderr = out
	return cmd, errors.Wrapf(cmd.Start(), "start %s", program)
}

// Kill kills a daemon with SIGKILL and waits for it to exit.
func (f *Fleet) Kill(name string) {
	kill(f.daemons[name])
}

func kill(cmd *exec.Cmd) {
	if cmd == nil || cmd.Process == nil {
		return
	}
	_ = cmd.Process.Signal(syscall.SIGKILL) // An error means that the process has exited.
	_ = cmd.Wait()
}

// Stop kills all processes.
func (f *Fleet) Stop() {
	for _, cmd := range f.daemons {
		kill(cmd)
	}
	for _, cmd := range f.spawned {
		kill(cmd)
	}
}

// Document returns an inventory with the hosts of the fleet, extra entry hosts, and the given
// region, services and rules.
func (f *Fleet) Document(region string, extra map[string]inventory.Host, services, rules map[string]any) (string, error) {
	hosts := map[string]inventory.Host{}
	for name, h := range f.Hosts {
		hosts[name] = h
	}
	for name, h := range extra {
		hosts[name] = h
	}
	if services == nil {
		services = map[string]any{}
	}
	if rules == nil {
		rules = map[string]any{}
	}
	text, err := json.MarshalIndent(map[string]any{
		"region": region, "centres": map[string]any{"a": map[string]any{}, "b": map[string]any{}, "c": map[string]any{}},
		"hosts": hosts, "services": services, "rules": rules,
	}, "", "  ")
	return string(text), errors.Wrap(err, "encode inventory")
}

// Apply sends an inventory change to the first host and retries until the change is accepted. If
// wait is positive, each attempt waits up to that long for the change to be in force.
func (f *Fleet) Apply(base uint64, text string, wait time.Duration) (*operator.ChangeResponse, error) {
	url := "http://" + f.Hosts[f.Names[0]].Operator.String() + "/v1/inventory"
	if wait > 0 {
		url += "?wait=" + wait.String()
	}
	body := operator.ApplyRequest{Base: base, Change: fmt.Sprintf("bench-%d", base), Operator: "bench", Text: text}
	var applied operator.ChangeResponse
	err := WaitFor("change to be accepted", func() error { return Call(http.MethodPost, url, body, &applied) })
	return &applied, err
}

// Call sends a JSON request and decodes the JSON reply into out.
func Call(method, url string, in, out any) error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	var body io.Reader
	if in != nil {
		text, err := json.Marshal(in)
		if err != nil {
			return errors.Wrap(err, "encode request")
		}
		body = bytes.NewReader(text)
	}
	req, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return errors.Wrap(err, "build request")
	}
	req.Header.Set("Content-Type", "application/json")
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return errors.Wrap(err, "call")
	}
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	if err != nil {
		return errors.Wrap(err, "read reply")
	}
	if res.StatusCode >= http.StatusBadRequest {
		return errors.Errorf("status %d: %s", res.StatusCode, strings.TrimSpace(string(text)))
	}
	return errors.Wrap(json.Unmarshal(text, out), "decode reply")
}

// WaitFor calls f until it succeeds or waitTimeout has passed. what names the condition in the
// error.
func WaitFor(what string, f func() error) error {
	var err error
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(pollInterval) {
		if err = f(); err == nil {
			return nil
		}
	}
	return errors.Wrapf(err, "timed out after %s waiting for %s", waitTimeout, what)
}

// Metrics returns the sum of the samples of a metric for each daemon, by host name.
func (f *Fleet) Metrics(name string) (map[string]float64, error) {
	out := map[string]float64{}
	for _, host := range f.Names {
		v, err := f.Metric(host, name)
		if err != nil {
			return nil, err
		}
		out[host] = v
	}
	return out, nil
}

// Metric returns the sum of the samples of a metric of one daemon.
func (f *Fleet) Metric(host, name string) (float64, error) {
	res, err := http.Get("http://" + f.Hosts[host].Operator.String() + "/metrics") //nolint:noctx // loopback
	if err != nil {
		return 0, errors.Wrap(err, "get metrics")
	}
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	if err != nil {
		return 0, errors.Wrap(err, "read metrics")
	}
	sum, found := 0.0, false
	for line := range strings.Lines(string(text)) {
		sample, value, ok := strings.Cut(strings.TrimSpace(line), " ")
		metric, _, _ := strings.Cut(sample, "{")
		var v float64
		if !ok || metric != name {
			continue
		}
		if _, err := fmt.Sscan(value, &v); err == nil {
			sum, found = sum+v, true
		}
	}
	if !found {
		return 0, errors.Errorf("no metric %s on %s", name, host)
	}
	return sum, nil
}
