package relay

import (
	"context"
	"sync"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
)

const (
	// maxCountedOrganisations bounds the organisations with counters of their own, so that a routing
	// document with many of them doesn't fill the memory of hosts and collectors.
	maxCountedOrganisations = 256
	// otherOrganisations is the label of all further ones.
	otherOrganisations = "(others)"
)

// organisationOutcome is how a request of an organisation ended.
type organisationOutcome string

// Values of organisationOutcome.
const (
	organisationServed  organisationOutcome = "served"
	organisationRefused organisationOutcome = refusedLabel // by this host
	organisationLeft    organisationOutcome = "left"       // the caller left
)

// organisationMetrics counts requests by organisation, and those that are refused for their keys.
type organisationMetrics struct {
	requests    *prometheus.CounterVec
	refusedKeys *prometheus.CounterVec

	mu sync.Mutex
	// counted holds the organisations that have counters of their own.
	counted map[string]bool
}

func newOrganisationMetrics(r prometheus.Registerer) *organisationMetrics {
	m := &organisationMetrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "wasabirelay_relay_organisation_requests_total", Help: "Requests of callers by organisation and outcome: served, refused or left.",
		}, []string{"organisation", outcomeLabel}),
		refusedKeys: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "wasabirelay_relay_refused_keys_total", Help: "Requests refused for their key: missing, malformed, repeated, unknown or unconfirmed.",
		}, []string{reasonLabel}),
		counted: map[string]bool{},
	}
	r.MustRegister(m.requests, m.refusedKeys)
	return m
}

// label returns the label of an organisation.
func (m *organisationMetrics) label(name string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.counted[name] {
		if len(m.counted) >= maxCountedOrganisations {
			return otherOrganisations
		}
		m.counted[name] = true
	}
	return name
}

func (m *Metrics) organisation(name string, o organisationOutcome) {
	if m != nil && name != "" {
		m.organisations.requests.WithLabelValues(m.organisations.label(name), string(o)).Inc()
	}
}

func (m *Metrics) refusedKey(reason refusalReason) {
	if m != nil && reason != "" {
		m.organisations.refusedKeys.WithLabelValues(string(reason)).Inc()
	}
}

// organisationKey is the context key of the name of the organisation whose caller this host serves. Requests
// of other hosts lack it: those hosts count them.
type organisationKey struct{}

func withOrganisation(ctx context.Context, name string) context.Context {
	if name == "" {
		return ctx
	}
	return context.WithValue(ctx, organisationKey{}, name)
}

func organisationOf(ctx context.Context) string {
	name, _ := ctx.Value(organisationKey{}).(string)
	return name
}

// logOrganisation adds the organisation to a log line, if there is one.
func logOrganisation(e *zerolog.Event, name string) *zerolog.Event {
	if name == "" {
		return e
	}
	return e.Str("organisation", name)
}
