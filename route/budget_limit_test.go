package route

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against extra requests beyond the share and this host's part of the
// constant, also directly after a restart.
func TestBudgetLimit(t *testing.T) {
	is := is.New(t)
	var b Budget
	b.SetCapacity(4, true)
	is.True(!b.Spend(0.5)) // the process before may have spent it all
	for range 100 {
		b.CountFirst()
	}
	granted := 0
	for b.Spend(0.5) {
		granted++
	}
	is.Equal(granted, 4)
	b.SetCapacity(2, true)
	b.CountFirst()
	b.CountFirst()
	is.True(b.Spend(0.5))  // what the two earned
	is.True(!b.Spend(0.5)) // the smaller part holds at once

	var late Budget
	late.SetCapacity(2, false)
	is.True(late.Spend(0.5)) // no process before has used it
	is.True(late.Spend(0.5))
	is.True(!late.Spend(0.5))
}
