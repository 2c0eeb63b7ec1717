package bench

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against giving two listeners of a fleet the same port.
func TestFreePort(t *testing.T) {
	is := is.New(t)
	seen := map[int]bool{}
	for range 500 {
		port, err := FreePort()
		is.NoErr(err)
		is.True(!seen[port])
		seen[port] = true
	}
}
