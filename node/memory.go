package node

import (
	"math"
	"runtime/debug"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/procfs"

	"wasabirelay/door"
)

const (
	// reserveFraction is the fraction of the memory that is kept for what has no bound of its own: bytes of other hosts and
	// targets that wait in the kernel, and what the heap exceeds its soft limit by.
	reserveFraction = 0.05
	// minHeapFraction and maxHeapFraction bound the heap. Fewer connections of callers are admitted rather than leaving it
	// less.
	minHeapFraction = 0.4
	maxHeapFraction = 0.7
	// gcPercent is the growth of the heap between two garbage collections, in percent of the live heap, up to the soft
	// limit. The live heap is some 10 MB of 184 MB or more, and each collection takes processor time of a small host from the
	// requests.
	gcPercent = 400
)

// memoryDivision divides the memory of a process among what uses it. All sizes are in bytes.
type memoryDivision struct {
	// mapped is for the pages of the program and its libraries that are mapped from their files.
	mapped int64
	// received is for what the connections of callers may have received that was not read yet.
	received int64
	// connections is the number of connections of callers that received is for.
	connections int
	// heap is for the Go runtime.
	heap int64
}

// divideMemory divides the memory. connections is the number of connections that callers may have otherwise.
func divideMemory(memory, mapped int64, connections int) memoryDivision {
	fraction := func(f float64) int64 { return int64(f * float64(memory)) }
	free := memory - mapped - fraction(reserveFraction)
	room := max(0, free-fraction(minHeapFraction)) / door.ReceiveMemory
	d := memoryDivision{mapped: mapped, connections: max(1, int(min(int64(connections), room)))}
	d.received = int64(d.connections) * door.ReceiveMemory
	d.heap = min(free-d.received, fraction(maxHeapFraction))
	return d
}

// mappedMemory returns the size of the read-only mappings of files of this process, in bytes. Pages of them become resident as
// they are used.
func mappedMemory() (size int64, err error) {
	self, err := procfs.Self()
	if err != nil {
		return 0, errors.WithStack(err)
	}
	maps, err := self.ProcMaps()
	if err != nil {
		return 0, errors.WithStack(err)
	}
	for _, m := range maps {
		if m.Inode != 0 && m.Perms.Read && !m.Perms.Write {
			size += int64(m.EndAddr - m.StartAddr)
		}
	}
	return size, nil
}

// limitMemory divides the memory of the settings and limits the heap and the connections of callers by it.
func (p *Process) limitMemory() {
	memory := p.Settings.Memory
	if memory <= 0 {
		return
	}
	mapped, err := mappedMemory()
	if err != nil {
		p.Log.Warn().Err(err).Msg("the size of the mapped files is not known; the heap gets their memory")
	}
	wanted := p.door.MaxConnections()
	d := divideMemory(memory, mapped, wanted)
	p.door.CallerConnections = d.connections
	debug.SetMemoryLimit(max(0, d.heap))
	debug.SetGCPercent(gcPercent)
	p.Log.Info().Int64("memory", memory).Int64("mapped", d.mapped).Int64("received", d.received).Int64("heap", d.heap).
		Int("connections", d.connections).Int("connections_by_settings", wanted).Msg("memory divided")
	if d.heap < int64(math.Floor(minHeapFraction*float64(memory))) {
		p.Log.Warn().Int64("memory", memory).Int64("heap", d.heap).Msg("the memory in the settings is too small for this program")
	}
	gauge := prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "wasabirelay_memory_bytes", Help: "Division of the memory of the process, by use."}, []string{"use"})
	for use, size := range map[string]int64{"mapped": d.mapped, "received": d.received, "heap": d.heap, "reserve": memory - d.mapped - d.received - d.heap} {
		gauge.WithLabelValues(use).Set(float64(size))
	}
	p.Registry.MustRegister(gauge)
}
