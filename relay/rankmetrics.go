package relay

import (
	"strconv"

	"github.com/prometheus/client_golang/prometheus"

	"wasabirelay/limit"
	"wasabirelay/rank"
)

// rankEvent is what becomes of a request of a rank.
type rankEvent string

// Values of rankEvent.
const (
	rankServed       rankEvent = "served"
	rankRefused      rankEvent = refusedLabel
	rankReturned     rankEvent = "returned"      // after a refusal, in time
	rankRepeating    rankEvent = "repeating"     // its caller often comes back too early
	rankHedgeDropped rankEvent = "hedge-dropped" // no place is free for a hedge
)

const rankLabel = "rank"

func newRankCounter() *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "wasabirelay_rank_requests_total", Help: "Requests of contended deployments by rank, by what became of them.",
	}, []string{rankLabel, "event"})
}

func (m *Metrics) rankEvent(r int, e rankEvent) {
	if m != nil {
		m.ranks.WithLabelValues(strconv.Itoa(min(max(r, 0), rank.Count-1)), string(e)).Inc()
	}
}

// RankCollector exports what is short at the targets of a pool, and for which ranks.
type RankCollector struct{ Pool *limit.Pool }

var (
	rankWaiting = prometheus.NewDesc("wasabirelay_rank_waiting", "Requests to targets that wait for room now, by rank.", []string{rankLabel}, nil)
	rankShort   = prometheus.NewDesc("wasabirelay_rank_short_targets", "Targets at which requests of a rank wait for room now.", []string{rankLabel}, nil)
	rankTurns   = prometheus.NewDesc("wasabirelay_rank_turns_total", "Requests to targets by rank: served, refused, or displaced by others.", []string{rankLabel, "event"}, nil)
)

// Describe implements prometheus.Collector.
func (RankCollector) Describe(out chan<- *prometheus.Desc) {
	out <- rankWaiting
	out <- rankShort
	out <- rankTurns
}

// Collect implements prometheus.Collector.
func (c RankCollector) Collect(out chan<- prometheus.Metric) {
	var sum [rank.Count]rank.Counts
	var short [rank.Count]int
	for _, s := range c.Pool.Stats() {
		for r := range s.Ranks {
			sum[r].Add(s.Ranks[r])
			if s.Ranks[r].Waiting > 0 {
				short[r]++
			}
		}
	}
	for r := range sum {
		label := strconv.Itoa(r)
		out <- prometheus.MustNewConstMetric(rankWaiting, prometheus.GaugeValue, float64(sum[r].Waiting), label)
		out <- prometheus.MustNewConstMetric(rankShort, prometheus.GaugeValue, float64(short[r]), label)
		for event, n := range map[string]uint64{"served": sum[r].Served, refusedLabel: sum[r].Refused, "displaced": sum[r].Displaced} {
			out <- prometheus.MustNewConstMetric(rankTurns, prometheus.CounterValue, float64(n), label, event)
		}
	}
}
