package poison

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkLedgerDecision measures whether one request may be sent, without records and with as many as are kept.
func BenchmarkLedgerDecision(b *testing.B) {
	for _, n := range []int{0, maxRecords} {
		b.Run(fmt.Sprintf("%d records", n), func(b *testing.B) {
			var l Ledger
			for i := range n {
				l.RecordDeath(ledgerStart, "s", uint64(i), died(i))
			}
			b.ReportAllocs()
			b.RunParallel(func(pb *testing.PB) {
				for i := uint64(0); pb.Next(); i++ {
					if !l.Empty() && l.Refused(ledgerStart.Add(time.Hour), "s", i%(2*maxRecords)) > 0 {
						b.Error("refused")
					}
				}
			})
		})
	}
}
