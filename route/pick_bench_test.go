package route

import (
	"testing"
	"time"

	"wasabirelay/control"
	"wasabirelay/workload"
)

// BenchmarkPick measures the choice among three replicas with requests in flight, as for each shard of a
// request.
func BenchmarkPick(b *testing.B) {
	for name, contended := range map[string]bool{"latency": false, "contended": true} {
		b.Run(name, func(b *testing.B) {
			table := newTable()
			table.Contended = contended
			replicas := newReplicas("izmir-a", "izmir-b", "manisa")
			kind := workload.NewKind("r", "GET", "/a/b", "", 0)
			for i, r := range replicas {
				for range 20 {
					recordWork(table, timeAt(0), r, kind, time.Duration(i+1)*5*time.Millisecond)
				}
				table.StartWork(timeAt(time.Second), r, table.Estimate(timeAt(time.Second), kind))
			}
			now := timeAt(time.Second)
			b.ReportAllocs()
			for b.Loop() {
				c := Choice{Service: "stok-bulucu", Replicas: replicas, Hosts: 24}
				if contended {
					c.Work = table.Estimate(now, kind)
				}
				if _, ok := table.Pick(now, c); !ok {
					b.Fatal("no replica")
				}
			}
		})
	}
}

// recordWork records a sub-request of the kind that took the time and ends now.
func recordWork(t *Table, now time.Time, r *control.Target, k workload.Kind, took time.Duration) {
	w := t.Estimate(now, k)
	t.StartWork(now.Add(-took), r, w)
	t.DoneWork(now, r, "r", w, took, took, Success)
}

// BenchmarkHedgeBound measures what each attempt adds on contended deployments.
func BenchmarkHedgeBound(b *testing.B) {
	table, replicas, kind, now := newTable(), newReplicas("izmir-a", "izmir-b", "manisa"), workload.NewKind("r", "GET", "/a/b", "", 0), timeAt(time.Second)
	table.Contended = true
	for _, r := range replicas {
		recordWork(table, now, r, kind, 5*time.Millisecond)
	}
	c := Choice{Replicas: replicas, Work: table.Estimate(now, kind), Hosts: 24}
	b.ReportAllocs()
	for b.Loop() {
		if table.HedgeBound(now, replicas[0], c) == 0 {
			b.Fatal("unknown")
		}
	}
}
