package route

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against extra requests beyond the budget's share and this host's share of the
// capacity, including directly after a restart.
func TestBudgetLimit(t *testing.T) {
	is := is.New(t)
	var b Budget
	b.SetCapacity(4, true)
	is.True(!b.Spend(0.5)) // the previous process may have used all of it
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
	is.True(b.Spend(0.5))  // credit for the two first sub-requests
	is.True(!b.Spend(0.5)) // the smaller capacity applies at once

	var late Budget
	late.SetCapacity(2, false)
	is.True(late.Spend(0.5)) // there was no previous process
	is.True(late.Spend(0.5))
	is.True(!late.Spend(0.5))
}
