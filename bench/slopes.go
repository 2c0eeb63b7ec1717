package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/netip"
	"runtime"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"wasabirelay/control"
	"wasabirelay/document"
	"wasabirelay/inventory"
	"wasabirelay/limit"
	"wasabirelay/quorum"
)

const (
	// slopeTargets, slopeHosts and slopeConnections are large enough to make fixed costs
	// negligible.
	slopeTargets     = 8200
	slopeHosts       = 1300
	slopeConnections = 1000
)

// Slopes measures the cost of each additional target, host, connection and feed entry. All
// measurements run in this process.
type Slopes struct{ Out io.Writer }

// Run measures and prints all slopes.
func (s *Slopes) Run(ctx context.Context) error {
	for _, measure := range []func(context.Context) ([]Figure, error){s.measureTargets, s.measureHosts, s.measureConnections, s.measureEntries} {
		figures, err := measure(ctx)
		if err != nil {
			return err
		}
		for _, f := range figures {
			if err := Print(s.Out, f); err != nil {
				return err
			}
		}
	}
	return nil
}

func sampleTarget(i int) control.Target {
	return control.Target{
		Name: fmt.Sprintf("od-%d-%d", i/91, i%91), Incarnation: fmt.Sprintf("5f0c9b6e-0d0e-4c39-9c39-%012d", i),
		Service: "order-desk", Version: "v1", Centre: "huonville", Shards: []int{i / 91},
		Address:   netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i / 250), byte(1 + i%250)}), 7431),
		Snapshots: []control.Snapshot{{Number: 7, Shards: slopeTargets/91 + 1}}, Slots: 2, Connections: 25, ColdLimit: 1,
		ConnectCost: document.Duration{Duration: 6 * time.Millisecond}, State: control.Warm, SupportsCancel: true, Home: "h1",
	}
}

// measureTargets measures the control state and its view with slopeTargets targets.
func (s *Slopes) measureTargets(context.Context) ([]Figure, error) {
	before := heapAfterGC()
	var state control.State
	start := cpuTime()
	for i := range slopeTargets {
		t := sampleTarget(i)
		state.Apply(uint64(i+1), control.Command{At: time.Unix(int64(i), 0), Announce: &control.Announce{Target: t}})
	}
	apply := cpuTime() - start
	view := state.View()
	memory := heapAfterGC() - before
	start = cpuTime()
	data, err := state.SharedSnapshot()
	if err != nil {
		return nil, errors.Wrap(err, "encode state")
	}
	encode := cpuTime() - start
	runtime.KeepAlive(view)
	note := fmt.Sprintf("%d targets of one service", slopeTargets)
	return []Figure{
		{Name: "target_memory", Value: float64(memory) / slopeTargets, Unit: unitHeap, Note: note},
		{Name: "target_apply", Value: apply.Seconds() * 1e6 / slopeTargets, Unit: "us of processor time", Note: note},
		{Name: "target_snapshot", Value: float64(len(data)) / slopeTargets, Unit: unitBytes, Note: note},
		{Name: "snapshot_encode", Value: encode.Seconds() * 1e3, Unit: "ms of processor time", Note: note},
	}, nil
}

// measureHosts measures an inventory with slopeHosts hosts.
func (s *Slopes) measureHosts(context.Context) ([]Figure, error) {
	hosts := map[string]inventory.Host{}
	for i := range slopeHosts {
		hosts[fmt.Sprintf("e%d", i)] = inventory.Host{
			Centre: "a", Caller: unusedAddress(i, 7101), Operator: unusedAddress(i, 7301), Peer: unusedAddress(i, 7201),
		}
	}
	text, err := (&Fleet{}).Document("r", hosts, nil, nil)
	if err != nil {
		return nil, err
	}
	before := heapAfterGC()
	var state control.State
	start := cpuTime()
	result := state.Apply(1, control.Command{At: time.Unix(1, 0), Inventory: &control.ApplyInventory{Change: "c", Operator: "o", Text: text}})
	if result.Refusal != nil {
		return nil, result.Refusal
	}
	apply := cpuTime() - start
	view := state.View()
	memory := heapAfterGC() - before
	runtime.KeepAlive(view)
	entry, err := json.Marshal(quorum.FeedEntry{Index: 1e6, Command: &control.Command{
		At: time.Now(), Inventory: &control.ApplyInventory{Base: 1, Change: "c", Operator: "o", Text: text},
	}})
	if err != nil {
		return nil, errors.Wrap(err, "encode entry")
	}
	note := fmt.Sprintf("inventory with %d hosts", slopeHosts)
	return []Figure{
		{Name: "host_memory", Value: float64(memory) / slopeHosts, Unit: unitHeap, Note: note},
		{Name: "host_document", Value: float64(len(text)) / slopeHosts, Unit: unitBytes, Note: note},
		{Name: "change_bytes", Value: float64(len(entry)) / slopeHosts, Unit: unitBytes, Note: note + ", entry of the feed per host listed"},
		{Name: "inventory_apply", Value: apply.Seconds() * 1e3, Unit: "ms of processor time", Note: note},
	}, nil
}

// measureConnections measures the memory of open connections, without the kernel's buffers.
func (s *Slopes) measureConnections(ctx context.Context) ([]Figure, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // It returns at once.
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	defer l.Close()
	accepted := make(chan net.Conn, slopeConnections)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			accepted <- c
		}
	}()
	before := heapAfterGC()
	pool := &limit.Pool{Clock: clockwork.NewRealClock()}
	defer pool.Close()
	pool.SetShares(map[string]limit.Share{"t": {
		Incarnation: "i", Address: netip.MustParseAddrPort(l.Addr().String()),
		Connections: slopeConnections, Slots: slopeConnections, Warm: slopeConnections,
	}})
	for range slopeConnections {
		select {
		case c := <-accepted:
			defer c.Close()
		case <-time.After(waitTimeout):
			return nil, errors.New("timed out waiting for the connections to open")
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	return []Figure{{
		Name: "connection_memory", Value: float64(heapAfterGC()-before) / slopeConnections, Unit: "bytes of heap and stacks",
		Note: "both ends of the connection are in this process; without the kernel's buffers",
	}}, nil
}

// measureEntries measures the encoded size of one entry of the feed.
func (s *Slopes) measureEntries(context.Context) ([]Figure, error) {
	t := sampleTarget(1)
	announce, err := json.Marshal(quorum.FeedEntry{Index: 1e6, Command: &control.Command{
		At: time.Now(), Announce: &control.Announce{Target: t},
	}})
	if err != nil {
		return nil, errors.Wrap(err, "encode entry")
	}
	leave, err := json.Marshal(quorum.FeedEntry{Index: 1e6, Command: &control.Command{
		At: time.Now(), Leave: &control.Leave{Target: t.Name, Incarnation: t.Incarnation, Reason: control.Expired},
	}})
	return []Figure{
		{Name: "announce_bytes", Value: float64(len(announce)), Unit: unitBytes, Note: "entry of the feed"},
		{Name: "leave_bytes", Value: float64(len(leave)), Unit: unitBytes, Note: "entry of the feed"},
	}, errors.Wrap(err, "encode entry")
}

// heapAfterGC returns the bytes of heap and stacks in use after a garbage collection.
func heapAfterGC() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}
