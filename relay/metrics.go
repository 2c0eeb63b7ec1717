package relay

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"wasabirelay/declaration"
	"wasabirelay/limit"
	"wasabirelay/route"
)

// Metrics holds the metrics of relayed requests. A nil *Metrics records nothing.
type Metrics struct {
	requests *prometheus.CounterVec
	latency  *prometheus.HistogramVec
	missing  *prometheus.CounterVec
	attempts *prometheus.CounterVec
	replies  prometheus.Histogram
	portions *prometheus.CounterVec
	passes   *prometheus.CounterVec
	held     *prometheus.CounterVec
	crashing *prometheus.CounterVec
	unusable *prometheus.CounterVec
	copies   prometheus.Counter
	repeats  *prometheus.CounterVec

	organisations *organisationMetrics
	ranks         *prometheus.CounterVec
}

// latencyBuckets are in seconds; they suit objectives of 40 to 400 ms.
var latencyBuckets = []float64{.005, .01, .02, .03, .04, .06, .08, .1, .15, .25, .4, 1, 4}

// Labels of the name of the route, of the outcome and of a reason.
const (
	routeLabel   = "route"
	outcomeLabel = "outcome"
	reasonLabel  = "reason"
)

// refusedLabel is the value of labels for what was refused, and the kind of the log lines about it.
const refusedLabel = "refused"

// NewMetrics registers the metrics.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "wasabirelay_relay_requests_total", Help: "Requests by route and status; 0 if the caller left.",
		}, []string{routeLabel, "status"}),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "wasabirelay_relay_seconds", Help: "Time to the answer.", Buckets: latencyBuckets,
		}, []string{routeLabel}),
		missing: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "wasabirelay_relay_missing_shards_total", Help: "Shards that were left out of answers.",
		}, []string{routeLabel}),
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "wasabirelay_relay_attempts_total", Help: "Requests to targets by service and outcome.",
		}, []string{"service", outcomeLabel}),
		replies: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "wasabirelay_relay_attempt_seconds", Help: "Time of successful requests to targets.", Buckets: latencyBuckets,
		}),
		portions: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "wasabirelay_relay_portions_total", Help: "Portions of requests between hosts, by what became of them.",
		}, []string{outcomeLabel}),
		passes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "wasabirelay_relay_passes_total", Help: "Requests passed on to other hosts, by what became of them.",
		}, []string{outcomeLabel}),
	}
	m.held = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "wasabirelay_relay_held_back_total", Help: "Choices of a target that passed one over because it takes no requests, by what it has declared.",
	}, []string{reasonLabel})
	m.crashing = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "wasabirelay_relay_crashing_total", Help: "Requests refused because targets die when they run them.",
	}, []string{routeLabel})
	m.unusable = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "wasabirelay_relay_unusable_replies_total", Help: "Replies of targets that could not be used, by what was wrong with them.",
	}, []string{reasonLabel})
	m.copies = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "wasabirelay_relay_late_copies_total", Help: "Late copies of replies to earlier requests that were skipped.",
	})
	m.repeats = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "wasabirelay_relay_repeats_total", Help: "Repeats of requests that the budget has allowed (sent) or not (refused), by cause: hedge, retry or resend.",
	}, []string{"cause", outcomeLabel})
	m.organisations = newOrganisationMetrics(r)
	m.ranks = newRankCounter()
	r.MustRegister(m.ranks, m.requests, m.latency, m.missing, m.attempts, m.replies, m.portions, m.passes, m.held, m.crashing, m.unusable, m.copies, m.repeats)
	return m
}

func (m *Metrics) request(name string, status int) {
	if m != nil {
		m.requests.WithLabelValues(name, strconv.Itoa(status)).Inc()
	}
}

func (m *Metrics) response(name string, took time.Duration, missing int) {
	if m != nil {
		m.latency.WithLabelValues(name).Observe(took.Seconds())
		m.missing.WithLabelValues(name).Add(float64(missing))
	}
}

func (m *Metrics) portion(outcome string) {
	if m != nil {
		m.portions.WithLabelValues(outcome).Inc()
	}
}

func (m *Metrics) pass(outcome string) {
	if m != nil {
		m.passes.WithLabelValues(outcome).Inc()
	}
}

func (m *Metrics) holdBack(r declaration.Reason) {
	if m != nil {
		m.held.WithLabelValues(string(r)).Inc()
	}
}

func (m *Metrics) crash(name string) {
	if m != nil {
		m.crashing.WithLabelValues(name).Inc()
	}
}

func (m *Metrics) unusableReply(f limit.Fault) {
	if m != nil {
		m.unusable.WithLabelValues(string(f)).Inc()
	}
}

func (m *Metrics) lateCopy() {
	if m != nil {
		m.copies.Inc()
	}
}

// repeatCause is why a request is sent once more.
type repeatCause string

// Values of repeatCause.
const (
	causeHedge  repeatCause = "hedge"  // a target is slow
	causeRetry  repeatCause = "retry"  // an attempt has failed
	causeResend repeatCause = "resend" // the target has refused it unexecuted and is asked again
)

func (m *Metrics) repeat(c repeatCause, allowed bool) {
	if m == nil {
		return
	}
	outcome := "sent"
	if !allowed {
		outcome = refusedLabel
	}
	m.repeats.WithLabelValues(string(c), outcome).Inc()
}

func (m *Metrics) attempt(service string, o route.Outcome, took time.Duration) {
	if m == nil {
		return
	}
	m.attempts.WithLabelValues(service, o.String()).Inc()
	if o == route.Success {
		m.replies.Observe(took.Seconds())
	}
}
