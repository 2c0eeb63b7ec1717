package node

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"wasabirelay/door"
)

// Guards against parts of the memory that together exceed it, and against a heap that connections of callers leave nothing.
func TestDivideMemory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		memory := rapid.Int64Range(48<<20, 4<<30).Draw(t, "memory")
		mapped := rapid.Int64Range(0, 20<<20).Draw(t, "mapped")
		connections := rapid.IntRange(1, 100_000).Draw(t, "connections")
		d := divideMemory(memory, mapped, connections)
		reserve := memory - d.mapped - d.received - d.heap
		is.True(reserve >= int64(reserveFraction*float64(memory)))
		is.Equal(d.received, int64(d.connections)*door.ReceiveMemory)
		is.True(d.connections >= 1 && d.connections <= connections)
		is.True(d.heap <= int64(maxHeapFraction*float64(memory)))
		enough := memory-mapped-int64(reserveFraction*float64(memory)) >= int64(minHeapFraction*float64(memory))+door.ReceiveMemory
		is.True(!enough || d.heap >= int64(minHeapFraction*float64(memory)))
		is.True(d.connections == connections || d.heap < int64(minHeapFraction*float64(memory))+door.ReceiveMemory) // no more than needed is refused
	})
}

// Guards against settings that are too small for the program and end it at its start.
func TestDivideMemoryThatIsTooSmall(t *testing.T) {
	is := is.New(t)
	d := divideMemory(8<<20, 15<<20, 100)
	is.Equal(d.connections, 1)
	is.True(d.heap < 0)
}

// Guards against mapped files that count as nothing.
func TestMappedMemory(t *testing.T) {
	is := is.New(t)
	mapped, err := mappedMemory()
	is.NoErr(err)
	is.True(mapped > 1<<20 && mapped < 256<<20)
}
