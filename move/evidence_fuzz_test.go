package move

import (
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Guards against a damaged report, or one from a host that runs another version, that
// makes the leader's control goroutine panic.
func FuzzRouteCountsDecode(f *testing.F) {
	p := RouteCounts{Counts: Counts{Total: 2, Latency: hdrhistogram.New(minLatencyMicros, maxLatencyMicros, latencyDigits)}}
	p.observe(4 * time.Millisecond)
	p.observe(40 * time.Millisecond)
	if err := p.encode(); err != nil {
		f.Fatal(err)
	}
	f.Add(2, 1, p.Encoded)
	f.Add(1, 2, []byte{})
	f.Add(1, 0, []byte("short"))
	f.Fuzz(func(t *testing.T, total, failed int, encoded []byte) {
		p := RouteCounts{Counts: Counts{Total: total, Failed: failed}, Encoded: encoded}
		if p.Decode() == nil && (p.Latency == nil || p.Failed > p.Total) {
			t.Fatal("accepted without a histogram, or with more failures than sub-requests")
		}
	})
}
