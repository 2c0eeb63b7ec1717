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
	b.Limit(4, true)
	is.True(!b.Extra(0.5)) // the process before may have spent it all
	for range 100 {
		b.Sent()
	}
	granted := 0
	for b.Extra(0.5) {
		granted++
	}
	is.Equal(granted, 4)
	b.Limit(2, true)
	b.Sent()
	b.Sent()
	is.True(b.Extra(0.5))  // what the two earned
	is.True(!b.Extra(0.5)) // the smaller part holds at once

	var late Budget
	late.Limit(2, false)
	is.True(late.Extra(0.5)) // no process before has used it
	is.True(late.Extra(0.5))
	is.True(!late.Extra(0.5))
}
