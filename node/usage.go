package node

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"wasabirelay/exchange"
	"wasabirelay/peer"
	"wasabirelay/trueclock"
	"wasabirelay/usage"
)

const (
	// recordInterval is how often an entry host sends new counts; a host that crashes loses those of this
	// time.
	recordInterval = time.Second
	// recordTimeout bounds a call to the host that collects usage.
	recordTimeout = 700 * time.Millisecond
	// lastRecordTimeout bounds the last call of a host that shuts down. It is within the part of the permitted time that a
	// graceful shutdown leaves unused.
	lastRecordTimeout = 250 * time.Millisecond
)

// Usage are the settings of the duty to report the requests of organisations to the provider.
type Usage struct {
	// Provider is the address that reports are sent to.
	Provider netip.AddrPort
	// Window is the length of a window, Delay the time after its end at which its report is due.
	Window, Delay time.Duration
	// Lease is the time after which another host may take the duty. Tolerance is for how long a host may be
	// suspended between its last check and a report.
	Lease, Tolerance time.Duration
	// Rate is the permitted number of reports per second.
	Rate float64
}

// UsageReport is a report to the provider.
type UsageReport struct {
	Provider netip.AddrPort
	// Holder is the name of this host, Token its fencing token.
	Holder string
	Token  uint64
	Window uint64
	Counts usage.Counts
	// Allowed reports whether this host may still send the report. It is called once there is a connection, directly
	// before the report is sent: the process may have been suspended while it connected.
	Allowed func() bool
}

// newTrueClock returns the clock by which windows begin and end.
func (p *Process) newTrueClock() *trueclock.Clock {
	return &trueclock.Clock{Uptime: trueclock.Uptime, TimeOfDay: p.Clock.Now}
}

// recorder sends the counts of an entry host to the host that collects them.
type recorder struct {
	counter usage.Counter
	clock   *trueclock.Clock
	call    func(ctx context.Context, holder netip.AddrPort, r *usage.Record) (usage.Receipt, error)
	holder  func() exchange.DutyHolder
	// changed receives a signal when there is a new holder.
	changed chan struct{}
	// host and start identify this run.
	host  string
	start int64
}

// holderClient is the connection to the holder of the duty.
type holderClient struct {
	log    zerolog.Logger
	mu     sync.Mutex
	client *peer.Client
}

// at returns a client for the host at an address.
func (h *holderClient) at(address netip.AddrPort) *peer.Client {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.client == nil || h.client.Address != address {
		if h.client != nil {
			h.client.Close()
		}
		h.client = &peer.Client{Address: address, DialTimeout: exchange.DialTimeout, Log: h.log}
	}
	return h.client
}

// prepareUsage makes the relay count requests if the settings name the duty to report them.
func (e *Entry) prepareUsage() {
	if e.Settings.Usage == nil {
		return
	}
	clock := e.newTrueClock()
	e.client.ObserveTime = clock.Observe
	e.usage = &recorder{
		counter: usage.Counter{Length: e.Settings.Usage.Window}, clock: clock, holder: e.client.DutyHolder,
		host: e.Settings.Host, start: e.start(), changed: make(chan struct{}, 1),
	}
	e.client.DutyHolderChanged = func() { signal(e.usage.changed) }
	client := holderClient{log: e.Log}
	e.usage.call = func(ctx context.Context, holder netip.AddrPort, r *usage.Record) (receipt usage.Receipt, err error) {
		ctx, cancel := context.WithTimeout(ctx, recordTimeout)
		defer cancel()
		c := client.at(holder)
		if err = c.Call(ctx, usage.Method, r, &receipt); err != nil {
			c.Close() // a connection to a host that is gone would make each call wait
		}
		return receipt, err
	}
	e.relay.CountRun = func(organisation string, sent time.Time) {
		e.usage.counter.Count(organisation, clock.Now().Add(-e.Clock.Since(sent)))
	}
	e.Registry.MustRegister(
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "wasabirelay_usage_windows", Help: "Windows of usage that are not known to be closed."},
			func() float64 { return float64(e.usage.counter.Statistics().Windows) }),
		prometheus.NewCounterFunc(prometheus.CounterOpts{Name: "wasabirelay_usage_late_total", Help: "Requests that may be missing in the reports: their window was closed before the host that collects usage confirmed them."},
			func() float64 { return float64(e.usage.counter.Statistics().Late) }),
	)
}

// recordUsage sends the counts of this host until ctx ends.
func (e *Entry) recordUsage(ctx context.Context) error {
	if e.usage == nil {
		return nil
	}
	delay := rand.N(recordInterval)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-e.Clock.After(delay):
		case <-e.usage.changed:
		}
		delay = recordInterval
		if err := e.usage.send(ctx); err != nil && ctx.Err() == nil {
			if omitted, ok := e.events.Allow("usage", 1); ok {
				e.Log.Warn().Err(err).Int("omitted", omitted).Msg("failed to send usage to the host that collects it; sending it again")
			}
		}
	}
}

// sendLast sends the last counts of a host that shuts down.
func (e *Entry) sendLast(ctx context.Context) {
	if e.usage == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, lastRecordTimeout)
	defer cancel()
	if err := e.usage.send(ctx); err != nil {
		e.Log.Warn().Err(err).Msg("graceful shutdown: usage of the last second is lost")
	}
}

// send sends the counts that the holder of the duty does not have.
func (r *recorder) send(ctx context.Context) error {
	holder := r.holder()
	if holder.Token == 0 {
		return nil
	}
	sending := r.counter.Pending(holder.Token)
	if len(sending.Windows) == 0 {
		return nil
	}
	receipt, err := r.call(ctx, holder.Address, &usage.Record{Host: r.host, Start: r.start, Token: holder.Token, Windows: sending.Windows})
	if err == nil {
		r.counter.Received(&sending, receipt.Next)
	}
	return err
}
