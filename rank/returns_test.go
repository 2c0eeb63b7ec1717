package rank

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestCrowdReturnsInTurn plays a crowd of two ranks that is refused together, at a host that serves 100 requests per
// second. It guards against callers that all come back at the same time, against a lower rank that comes back before a
// higher one, and against a delay that callers don't wait for.
func TestCrowdReturnsInTurn(t *testing.T) {
	is := is.New(t)
	var r Returns
	now := start
	for range 300 { // 100 per second, for some time
		now = now.Add(10 * ms)
		r.Served(now)
	}
	const crowd, left = 30, 6 * time.Second
	var latest, sum [2]time.Duration
	within := map[time.Duration]int{}
	for i := range 2 * crowd {
		terms := Terms{Rank: i % 2, ID: fmt.Sprint("r", i)}
		after := r.After(now, &terms, 50*ms, left)
		is.True(after >= 50*ms && after <= left/3)
		latest[i%2], sum[i%2] = max(latest[i%2], after), sum[i%2]+after
		within[after/(100*ms)]++
	}
	is.True(sum[0]/crowd < sum[1]/crowd)
	is.True(latest[1]-50*ms >= 300*ms) // 60 requests take 600 ms
	for _, n := range within {
		is.True(n <= crowd)
	}
	hopeless := Terms{Rank: 1, ID: "x"}
	first, again := r.After(now, &hopeless, 5*time.Second, left), r.After(now, &hopeless, 5*time.Second, left)
	is.True(first >= left/6 && first <= left/3)
	is.Equal(first, again) // the same request is told the same
}

// TestStanding guards against a caller that waits as told and finds newcomers before it, against one that gains by
// coming back at once, and against others at its address who pay for that.
func TestStanding(t *testing.T) {
	is := is.New(t)
	var r Returns
	address := netip.MustParseAddr("10.0.0.1")
	patient, hasty := Caller{Address: address, Content: 1}, Caller{Address: address, Content: 2}
	other, elsewhere := Caller{Address: address, Port: 7}, Caller{Address: netip.MustParseAddr("10.0.0.2"), Content: 1}
	is.True(!r.Known(start))
	r.Refuse(start, 100*ms, patient)
	is.True(r.Known(start))
	is.Equal(r.Arrive(start.Add(95*ms), elsewhere), Newcomer)
	is.Equal(r.Arrive(start.Add(95*ms), patient), Returned)
	is.Equal(r.Arrive(start.Add(96*ms), patient), Newcomer) // once for each refusal
	now := start
	for i := range 4 {
		r.Refuse(now, 100*ms, hasty)
		now = now.Add(5 * ms)
		want := Newcomer
		if i >= maxEarly {
			want = Repeating
		}
		is.Equal(r.Arrive(now, hasty), want)
	}
	is.Equal(r.Arrive(now, other), Newcomer)
	is.Equal(r.Arrive(now.Add(callerTTL+ms), hasty), Newcomer) // forgotten
	is.True(!r.Known(now.Add(callerTTL + ms)))
}

// TestCallersBounded guards against memory that grows with the callers that are refused, and against a table that is
// full of old callers and takes no new ones.
func TestCallersBounded(t *testing.T) {
	is := is.New(t)
	var r Returns
	for i := range maxCallers + 100 {
		r.Refuse(start, 100*ms, Caller{Content: uint64(i + 1)})
	}
	is.Equal(len(r.callers), maxCallers)
	later := start.Add(callerTTL + ms)
	r.Refuse(later, 100*ms, Caller{Port: 9})
	is.Equal(r.Arrive(later.Add(100*ms), Caller{Port: 9}), Returned)
	is.Equal(len(r.callers), 1)
}

// TestFullMemoryOfCallers guards against a caller that is known and repeats without pay, because what else identifies it
// finds no place, and against places that are never free again.
func TestFullMemoryOfCallers(t *testing.T) {
	is := is.New(t)
	var r Returns
	known := Caller{Content: 1}
	r.Refuse(start, time.Second, known)
	fill(&r)
	now := start
	for i := range 4 {
		now = now.Add(900 * ms)
		r.Arrive(now, Caller{Port: uint16(i)}, known)
		r.Refuse(now, time.Second, Caller{Port: uint16(i)}, known)
	}
	is.Equal(r.Arrive(now.Add(100*ms), Caller{Port: 9}, known), Repeating)
	later, other := start.Add(callerTTL+ms), Caller{Content: 2}
	r.Refuse(later, time.Second, other)
	is.Equal(r.Arrive(later.Add(time.Second), other), Returned)
}

func fill(r *Returns) {
	for i := range uint64(maxCallers) {
		r.Refuse(start, time.Second, Caller{Content: 1000 + i})
	}
}

// BenchmarkRefuseUnknown measures the refusal of a caller while the memory of callers is full.
func BenchmarkRefuseUnknown(b *testing.B) {
	var r Returns
	fill(&r)
	for i := range b.N {
		r.Refuse(start.Add(time.Duration(i)*ms%time.Second), time.Second, Caller{Port: 1}, Caller{Content: 1})
	}
}
