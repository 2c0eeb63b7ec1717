package node

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"wasabirelay/control"
	"wasabirelay/duty"
	"wasabirelay/exchange"
	"wasabirelay/peer"
	"wasabirelay/trueclock"
	"wasabirelay/usage"
)

const (
	// usageDuty is the name of the duty to report usage.
	usageDuty = "usage"
	// dutyInterval is how often a control host looks for work of a duty while there was none.
	dutyInterval = 250 * time.Millisecond
	// closeShare is the fraction of the permitted delay of a report after which its window is closed. The rest
	// is for a change of the holder and for calls that fail.
	closeShare = 0.35
	// rateShare is the fraction of the permitted rate of reports that is used.
	rateShare = 0.8
	// reportTimeout bounds a try of a report. A try whose answer is lost must leave time for others before the report
	// is due. After quickTries, slowReportTimeout applies: the provider may be slow.
	reportTimeout, slowReportTimeout = time.Second, 2 * time.Second
	quickTries                       = 5
)

// RefusedError reports that the provider refused a call because it has seen a higher fencing token.
type RefusedError struct{ Token uint64 }

func (e *RefusedError) Error() string { return "the provider has seen a higher fencing token" }

// reporter reports usage while this host leads the control hosts.
type reporter struct {
	c      *Control
	clock  *trueclock.Clock
	holder duty.Holder
	// mu guards collector.
	mu        sync.Mutex
	collector usage.Collector
	// reports counts the calls by result. The gauges are those of the duty on this host.
	reports                 *prometheus.CounterVec
	token, backlog, dropped prometheus.Gauge
}

// prepareUsage prepares the duty to report usage if the settings name it.
func (c *Control) prepareUsage() {
	s := c.Settings.Usage
	if s == nil {
		return
	}
	r := &reporter{
		c: c, clock: c.newTrueClock(),
		holder:    duty.Holder{Name: c.Settings.Host, Address: c.Settings.Peer, Lease: s.Lease, Tolerance: s.Tolerance},
		collector: usage.Collector{Length: s.Window, Delay: time.Duration(closeShare * float64(s.Delay))},
		reports: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "wasabirelay_usage_reports_total", Help: "Reports of usage by result: done, failed or refused.",
		}, []string{"result"}),
		token:   prometheus.NewGauge(prometheus.GaugeOpts{Name: "wasabirelay_duty_token", Help: "Fencing token of this host, or 0 if it does not have the duty."}),
		backlog: prometheus.NewGauge(prometheus.GaugeOpts{Name: "wasabirelay_duty_backlog", Help: "Work that is fixed and not done, if this host has the duty."}),
		dropped: prometheus.NewGauge(prometheus.GaugeOpts{Name: "wasabirelay_duty_dropped", Help: "Work that was dropped because too much waited, if this host has the duty."}),
	}
	if s.Rate > 0 {
		r.holder.Interval = time.Duration(float64(time.Second) / (rateShare * s.Rate))
	}
	c.Registry.MustRegister(r.reports, r.token, r.backlog, r.dropped)
	c.client.ObserveTime = r.clock.Observe
	c.replica.DutiesChanged = func(duties map[string]control.Duty) {
		if d := duties[usageDuty]; d.Token != 0 {
			c.hub.SetDutyHolder(exchange.DutyHolder{Token: d.Token, Address: d.Address})
		}
	}
	c.usage = r
}

// record handles the counts of an entry host.
func (r *reporter) record(_ context.Context, _ *peer.Conn, params json.RawMessage) (any, error) {
	var record usage.Record
	if err := peer.Decode(params, &record); err != nil {
		return nil, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	receipt, err := r.collector.Record(r.clock.Now(), &record)
	if err != nil {
		return nil, &peer.RemoteError{Code: peer.CodeNotLeader, Message: err.Error()}
	}
	return receipt, nil
}

// run does the duty until ctx ends.
func (r *reporter) run(ctx context.Context) error {
	for ctx.Err() == nil {
		wait := r.step(ctx)
		r.updateMetrics()
		if wait <= 0 {
			continue
		}
		select {
		case <-ctx.Done():
		case <-r.c.Clock.After(wait):
		}
	}
	return nil
}

// step does the next step of the duty. It returns how long to wait before the next one.
func (r *reporter) step(ctx context.Context) time.Duration {
	status, err := r.c.replica.LocalStatus(ctx)
	if err != nil {
		return dutyInterval
	}
	now := trueclock.Uptime()
	r.holder.Lead(now, status.Leader && !r.c.draining.Load(), status.Term)
	switch r.holder.Next(now) {
	case duty.Confirm:
		return r.confirm(ctx, now)
	case duty.Claim:
		return r.claim(ctx, status.Term)
	case duty.Call:
		return r.report(ctx)
	case duty.Finish:
		return r.finish(ctx, status.Term)
	case duty.Fix:
		return r.fix(ctx, status.Term)
	case duty.Wait:
	}
	return dutyInterval
}

func (r *reporter) confirm(ctx context.Context, began time.Duration) time.Duration {
	l, err := r.c.replica.ConfirmLeadership(ctx, usageDuty)
	if err != nil {
		return dutyInterval
	}
	r.holder.Confirmed(began, l.Term, l.Duty)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.collector.Close(l.Duty.Next)
	return 0
}

// propose commits a step of the duty. It reports false if the step has no effect or may have none.
func (r *reporter) propose(ctx context.Context, term uint64, step *control.DutyStep) (uint64, bool) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	step.Duty = usageDuty
	result, err := r.c.replica.ProposeInTerm(ctx, term, control.Command{Duty: step})
	if err == nil && result.Refusal != nil {
		err = result.Refusal
	}
	if err != nil {
		r.c.Log.Warn().Err(err).Uint64("token", r.holder.Token()).Msg("a step of the duty was not committed")
		return 0, false
	}
	return result.Index, true
}

func (r *reporter) claim(ctx context.Context, term uint64) time.Duration {
	r.mu.Lock()
	claim := r.holder.NextClaim(r.collector.First(r.clock.Now()))
	r.mu.Unlock()
	before := r.holder.State()
	token, ok := r.propose(ctx, term, &control.DutyStep{Claim: claim})
	r.holder.Claimed(trueclock.Uptime(), token)
	if !ok {
		return dutyInterval
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.collector.Begin(token)
	r.collector.Close(claim.Next)
	r.c.Log.Info().Uint64("token", token).Uint64("before", before.Token).Str("from", before.Holder).Uint64("next", claim.Next).
		Int("backlog", len(claim.Work)).Msg("this host reports usage")
	return 0
}

// fix fixes the content of the next window that is due.
func (r *reporter) fix(ctx context.Context, term uint64) time.Duration {
	r.mu.Lock()
	work, ok, err := r.collector.Due(r.clock.Now(), r.holder.HeldFor(trueclock.Uptime()))
	r.mu.Unlock()
	if err != nil {
		r.c.Log.Error().Err(err).Msg("failed to encode usage")
	}
	if !ok {
		return dutyInterval
	}
	if _, ok := r.propose(ctx, term, &control.DutyStep{Fix: &control.FixWork{Token: r.holder.Token(), Work: work}}); !ok {
		r.holder.Doubt()
		return dutyInterval
	}
	r.holder.Fixed(work)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.collector.Close(work.Number + 1)
	return 0
}

// report sends the first report that is fixed.
func (r *reporter) report(ctx context.Context) time.Duration {
	work, until := r.holder.First()
	began := trueclock.Uptime()
	if began >= until { // suspended since the last check
		return 0
	}
	report := UsageReport{
		Provider: r.c.Settings.Usage.Provider, Holder: r.c.Settings.Host, Token: r.holder.Token(), Window: work.Number,
		Allowed: func() bool { return trueclock.Uptime() < until },
	}
	err := json.Unmarshal(work.Content, &report.Counts)
	if err == nil {
		timeout := reportTimeout
		if r.holder.Failures() >= quickTries {
			timeout = slowReportTimeout
		}
		callCtx, cancel := context.WithTimeout(ctx, min(timeout, until-began))
		err = r.c.Interfaces.ReportUsage(callCtx, report)
		cancel()
	}
	outcome, result := duty.Failed, "failed"
	var refused *RefusedError
	switch {
	case err == nil:
		outcome, result = duty.Done, "done"
	case errors.As(err, &refused):
		outcome, result = duty.Refused, "refused"
	}
	now := trueclock.Uptime()
	r.holder.Called(began, now, outcome)
	r.reports.WithLabelValues(result).Inc()
	line := r.c.Log.Info()
	if err != nil {
		line = r.c.Log.Warn().Err(err)
	}
	line.Uint64("window", work.Number).Uint64("token", report.Token).Int("organisations", len(report.Counts)).Dur("took", now-began).Msg("usage reported: " + result)
	return 0
}

func (r *reporter) finish(ctx context.Context, term uint64) time.Duration {
	if _, ok := r.propose(ctx, term, &control.DutyStep{Finish: &control.FinishWork{Token: r.holder.Token(), Number: r.holder.Done()}}); !ok {
		r.holder.Doubt()
		return dutyInterval
	}
	r.holder.Finished()
	return 0
}

func (r *reporter) updateMetrics() {
	state := r.holder.State()
	if r.holder.Token() == 0 {
		state = control.Duty{}
	}
	r.token.Set(float64(r.holder.Token()))
	r.backlog.Set(float64(len(state.Work)))
	r.dropped.Set(float64(state.Dropped))
}
