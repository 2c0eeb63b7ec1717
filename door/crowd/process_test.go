//go:build crowd

package crowd

import (
	"fmt"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"wasabirelay/platform/standin"
)

const (
	// memory is what the settings of the processes state, in MB.
	memory = 96
	// reservedDescriptors are those of the settings that the platform keeps for files.
	reservedDescriptors = 200
	// hold is how long the crowd stays connected after it has sent what the processes take.
	hold = 500 * time.Millisecond
	// sendTimeout bounds the time for which a member of the crowd sends.
	sendTimeout = 1500 * time.Millisecond
	// receiveBuffer is the size of the receive buffers of the crowd, in bytes.
	receiveBuffer = 4096
	// answerTimeout is how long an ordinary caller tries to get an answer.
	answerTimeout = 20 * time.Second
)

// settings are those of a deployment. largeDocument adds 2 MB to the routing document, padding so many bytes to the
// replies of targets.
type settings struct {
	descriptors   int
	largeDocument bool
	padding       int
}

var buildProgram = sync.OnceValues(func() (string, error) {
	program, err := filepath.Abs(filepath.Join("..", "..", "bin", "wasabirelay-node-crowd"))
	if err != nil {
		return "", err
	}
	if out, err := exec.Command("go", "build", "-o", program, "wasabirelay/cmd/wasabirelay-node").CombinedOutput(); err != nil {
		return "", fmt.Errorf("%w: %s", err, out)
	}
	return program, nil
})

// start starts a control host, an entry host and a target, and waits until they serve.
func start(t *testing.T, s settings) (control, entry *standin.Machine) {
	t.Helper()
	program, err := buildProgram()
	if err != nil {
		t.Fatal(err)
	}
	d := &standin.Deployment{Program: program, Dir: t.TempDir(), ControlHosts: 1, EntryHosts: 1, Memory: memory, Descriptors: s.descriptors}
	t.Cleanup(d.Close)
	if err := d.Start(); err != nil {
		t.Fatal(err)
	}
	for _, service := range []string{"one", "s0"} {
		target := &standin.Target{ID: "t-" + service, Service: service, Centre: "zone-0", Padding: s.padding, ControlAddresses: d.OperatorAddresses}
		if err := target.Start(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(target.Crash)
	}
	document := standin.RoutingDocument(1, []string{"s0"}, "one")
	if s.largeDocument {
		document = append(document, strings.Repeat(" ", 2<<20)...)
	}
	if err := standin.PutRouting(t.Context(), d.OperatorAddresses(), document); err != nil {
		t.Fatal(err)
	}
	control, entry = d.Machines()[0], d.Machines()[1]
	await(t, entry, askEntry)
	return control, entry
}

// await asks until there is an answer.
func await(t *testing.T, m *standin.Machine, ask func(*testing.T, *standin.Machine, string) error) {
	t.Helper()
	for i, end := 0, time.Now().Add(answerTimeout); ; i++ {
		err := ask(t, m, fmt.Sprintf("%s-%d-%d", m.Name, time.Now().UnixNano(), i))
		if err == nil {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("%s answers no ordinary request: %v", m.Name, err)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// check starts the machine anew, plays the crowd at the address, and checks what must hold.
func check(t *testing.T, other, m *standin.Machine, address netip.AddrPort, connections int, behave func(net.Conn), ask func(*testing.T, *standin.Machine, string) error) {
	t.Helper()
	m.Kill()
	if err := m.Start(); err != nil {
		t.Fatal(err)
	}
	await(t, m, ask)
	before := peakMemory(t, m)
	done := make(chan struct{})
	most := watch(t, m, done)
	leave := crowd(t, address, connections, behave)
	time.Sleep(hold)
	await(t, m, ask)
	leave()
	close(done)
	peak, used := peakMemory(t, m), <-most
	t.Logf("memory before %d MB, peak %d MB, unread %d MB, descriptors %d", before, peak, used.unread, used.descriptors)
	bound := m.Descriptors() - reservedDescriptors
	switch {
	case m.Starts() == 0 || m.Wait(0) || other.Wait(0):
		t.Error("a process has ended")
	case peak+used.unread > memory: // the platform counts what has arrived and was not read
		t.Errorf("the memory has reached %d MB and %d MB unread, its limit is %d MB", peak, used.unread, memory)
	case used.descriptors > bound:
		t.Errorf("%d descriptors were open, %d are allowed", used.descriptors, bound)
	}
	await(t, m, ask)
}

// crowd opens the connections and lets them behave, all at the same time. The function that it returns closes them.
func crowd(t *testing.T, address netip.AddrPort, connections int, behave func(net.Conn)) (leave func()) {
	t.Helper()
	var wg sync.WaitGroup
	open := make([]net.Conn, connections)
	for i := range open {
		wg.Go(func() {
			c, err := net.DialTimeout("tcp", address.String(), sendTimeout)
			if err != nil {
				return // refused
			}
			open[i] = c
			// Answers that aren't read wait in the process, not in the buffers of this side.
			if c.(*net.TCPConn).SetReadBuffer(receiveBuffer) == nil && c.SetWriteDeadline(time.Now().Add(sendTimeout)) == nil {
				behave(c)
			}
		})
	}
	wg.Wait()
	return func() {
		for _, c := range open {
			if c != nil {
				c.Close()
			}
		}
	}
}

// peakMemory returns the largest resident memory of the process so far, in MB.
func peakMemory(t *testing.T, m *standin.Machine) int {
	t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", m.PID()))
	if err != nil {
		t.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(text), "VmHWM:")
	fields := strings.Fields(rest)
	if len(fields) == 0 {
		t.Fatal("the process has ended")
	}
	kilobytes, err := strconv.Atoi(fields[0])
	if err != nil {
		t.Fatal(err)
	}
	return kilobytes >> 10
}

// unread returns the bytes that have arrived for the machine and wait in the kernel, in MB.
func unread(ip netip.Addr) int {
	text, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0
	}
	b := ip.As4()
	own := fmt.Sprintf("%02X%02X%02X%02X:", b[3], b[2], b[1], b[0])
	total := 0
	for line := range strings.Lines(string(text)) {
		f := strings.Fields(line)
		if len(f) < 5 || !strings.HasPrefix(f[1], own) || f[3] != "01" {
			continue
		}
		_, queue, _ := strings.Cut(f[4], ":")
		n, _ := strconv.ParseInt(queue, 16, 64)
		total += int(n)
	}
	return total >> 20
}

// usage is what a process uses beside its resident memory. unread is in MB.
type usage struct{ unread, descriptors int }

// watch sends the largest usage until done.
func watch(t *testing.T, m *standin.Machine, done <-chan struct{}) <-chan usage {
	t.Helper()
	result := make(chan usage, 1)
	dir := fmt.Sprintf("/proc/%d/fd", m.PID())
	go func() {
		var most usage
		for {
			most.unread = max(most.unread, unread(m.IP))
			if list, err := os.ReadDir(dir); err == nil {
				most.descriptors = max(most.descriptors, len(list))
			}
			select {
			case <-done:
				result <- most
				return
			case <-time.After(20 * time.Millisecond):
			}
		}
	}()
	return result
}
