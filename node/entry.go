package node

import (
	"context"
	"net/http"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"wasabirelay/control"
	"wasabirelay/exchange"
	"wasabirelay/limit"
	"wasabirelay/move"
	"wasabirelay/quorum"
	"wasabirelay/relay"
	"wasabirelay/route"
	"wasabirelay/routing"
)

const (
	// sweepInterval is how often idle connections are looked after and what has ended
	// by time alone is noticed.
	sweepInterval = time.Second
	// renewInterval is the least time between two views: what several control hosts tell
	// at the same time becomes one.
	renewInterval = 50 * time.Millisecond
	// lingering is the part of a planned stop during which the host still accepts
	// requests of callers that have an older list of addresses.
	lingering = 0.65
	// tellTimeout bounds how long a planned stop waits for control hosts to take notice.
	tellTimeout = 500 * time.Millisecond
	// discard is how long the reply of a request that nobody waits for is awaited
	// before its connection is closed: less than the half second in which targets are
	// expected to be free of it.
	discard = 400 * time.Millisecond
	// acceptTime is how long after its opening a connection is checked before its first
	// use: the reset of a target nearby has arrived by then.
	acceptTime = time.Millisecond
	// beliefLines bounds the log lines per second on one kind of change of what this
	// host believes, maxNames the names in one of them.
	beliefLines, maxNames = 20, 32
)

// Entry is an entry host. Exported fields are set before Run.
type Entry struct {
	*Process

	client   exchange.Client
	pool     *limit.Pool
	table    *route.Table
	relay    *relay.Service
	view     atomic.Pointer[relay.View]
	moves    atomic.Pointer[control.View]
	evidence move.Collector
	// wake asks for a new view.
	wake chan struct{}
	// first is closed with the first view.
	first chan struct{}
	// known holds the hosts that are or were lately active, and when they last were.
	known map[string]time.Time
	// renewed is when the view was last computed.
	renewed time.Time
	// load is what relaying takes of the processor.
	load meter
	// live holds the names of the targets in the view.
	live map[string]bool
	// tables is the table in force, refused the version of the newest document that
	// could not be read. Both belong to the goroutine of follow.
	tables  *routing.Table
	refused uint64
}

// Run serves until stop ends, then stops as planned. It stops at once with ctx.
func (e *Entry) Run(ctx, stop context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	e.init()
	e.prepare()
	g, ctx := errgroup.WithContext(ctx)
	var callers *http.Server
	for _, l := range []struct {
		address netip.AddrPort
		handler http.Handler
		server  **http.Server
	}{
		{e.Settings.Caller, e.relay, &callers},
		{e.Settings.Addresses, e.Interfaces.Addresses(e), nil},
		{e.Settings.Ready, e.Interfaces.Ready(e.serving), nil},
		{e.Settings.Metrics, e.metrics(), nil},
	} {
		server, err := e.serve(ctx, g, l.address, l.handler)
		if err != nil {
			return err
		}
		if l.server != nil {
			*l.server = server
		}
	}
	g.Go(func() error { return e.client.Run(ctx) })
	g.Go(func() error { return e.follow(ctx) })
	g.Go(func() error { return e.report(ctx) })
	e.Log.Info().Stringer("callers", e.Settings.Caller).Int64("start", e.start()).Int("seeds", len(e.Settings.Seeds)).Msg("entry host started")
	go func() {
		select {
		case <-stop.Done():
			e.drain(ctx, callers)
		case <-ctx.Done():
		}
		cancel()
	}()
	return g.Wait()
}

func (e *Entry) prepare() {
	e.wake, e.first = make(chan struct{}, 1), make(chan struct{})
	e.known = map[string]time.Time{}
	e.moves.Store(&control.View{})
	e.client = exchange.Client{
		Self: e.self, Seeds: e.seedAddresses, Clock: e.Clock, Log: e.Log, Changed: e.changed, Load: e.load.share,
	}
	e.pool = &limit.Pool{Clock: e.Clock, DrainTimeout: discard, AcceptDelay: acceptTime, AllowUnframed: true}
	e.table = &route.Table{Centre: e.Settings.Centre, OnAssessment: e.judged}
	e.relay = &relay.Service{
		Headers: e.Interfaces.Headers, Clock: e.Clock, Log: e.Log, Events: e.events, Pool: e.pool, Table: e.table,
		View: e.view.Load, Ready: e.first, RetryShare: e.Settings.RetryShare, RetrySlack: e.Settings.RetrySlack,
		Draining: e.draining.Load, Metrics: relay.NewMetrics(e.Registry),
		Observe: func(t *control.Target, name string, latency time.Duration, o route.Outcome) {
			e.evidence.Observe(e.moves.Load(), t, name, latency, o)
		},
	}
	e.pool.CheckReply = e.relay.CheckReply
	if !e.Settings.Bootstrap {
		e.relay.BudgetsEmptyUntil = e.Clock.Now().Add(e.Settings.RetryWindow)
	}
}

// self is what this host tells the control hosts.
func (e *Entry) self() exchange.Host {
	return exchange.Host{
		Name: e.Settings.Host, Centre: e.Settings.Centre, Start: e.start(), Caller: e.Settings.Caller, Draining: e.draining.Load(),
	}
}

// serving reports whether callers may be sent here.
func (e *Entry) serving() bool { return e.view.Load() != nil && !e.draining.Load() }

func (e *Entry) changed() {
	select {
	case e.wake <- struct{}{}:
	default: // a new view is due anyway
	}
}

// follow renews the view after news, and when a cold phase ends.
func (e *Entry) follow(ctx context.Context) error {
	ticker := e.Clock.NewTicker(sweepInterval)
	defer ticker.Stop()
	timer := e.Clock.NewTimer(sweepInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.Chan():
			e.pool.Sweep()
			e.load.update(e.Clock.Now(), e.relay.Attempts(), e.Settings.Cores)
		case <-e.wake:
		case <-timer.Chan():
		}
		if rest := e.renewed.Add(renewInterval).Sub(e.Clock.Now()); rest > 0 {
			timer.Reset(rest)
			continue
		}
		next := e.renew()
		e.renewed = e.Clock.Now()
		if !next.IsZero() {
			timer.Reset(max(0, next.Sub(e.renewed)))
		}
	}
}

// renew computes the view. It returns when the next change by time alone is due.
func (e *Entry) renew() time.Time {
	shared := e.client.RoutingState()
	table := e.routes(&shared.Routing)
	targets, next := e.client.Targets()
	d := e.divide()
	if table == nil {
		return next
	}
	v := &relay.View{Routing: table, Targets: targets, Out: map[string]bool{}, Moves: shared.Moves, Share: d.part}
	for _, centre := range shared.Out {
		v.Out[centre] = true
	}
	v.Avoid = e.spare(v, len(d.hosts))
	e.pool.SetShares(e.shares(v, &d))
	live := map[string]bool{}
	for _, list := range targets {
		for _, t := range list {
			live[t.Name] = true
		}
	}
	e.table.Forget(live)
	e.logTargets(live)
	e.moves.Store(&control.View{Moves: shared.Moves})
	if e.view.Swap(v) == nil {
		close(e.first)
	}
	return next
}

// judged logs that a target gets probes only, or work again.
func (e *Entry) judged(j route.Assessment) {
	omitted, ok := e.events.Allow("judged", beliefLines)
	if !ok {
		return
	}
	e.Log.Info().Str("target", j.Target).Str("born", j.Incarnation).Bool("ejected", j.Ejected).Str("reason", j.Reason).
		Dur("probe", j.ProbeAfter).Dur("latency", j.Latency).Float64("failures", j.Failures).Float64("shed", j.Shed).
		Int("omitted", omitted).Msg("target judged")
}

// logTargets logs which targets may get work that could not before, and which may not
// any more.
func (e *Entry) logTargets(live map[string]bool) {
	difference := func(a, b map[string]bool) []string {
		var names []string
		for name := range a {
			if !b[name] && len(names) < maxNames {
				names = append(names, name)
			}
		}
		slices.Sort(names)
		return names
	}
	added, removed := difference(live, e.live), difference(e.live, live)
	e.live = live
	if len(added)+len(removed) == 0 {
		return
	}
	if omitted, ok := e.events.Allow("targets", beliefLines); ok {
		e.Log.Info().Strs("added", added).Strs("removed", removed).Int("all", len(live)).Int("omitted", omitted).Msg("targets followed")
	}
}

// routes returns the table of the newest routing document that could be read.
func (e *Entry) routes(r *control.Routing) *routing.Table {
	if r.Version == 0 && len(r.Source) == 0 || e.tables != nil && e.tables.Document.Version >= r.Version || r.Version == e.refused && r.Version != 0 {
		return e.tables
	}
	d, err := e.Interfaces.DecodeRouting(r.Source)
	if err != nil {
		e.refused = r.Version
		e.Log.Error().Err(err).Uint64("version", r.Version).Msg("routing document can't be read, the one before stays in force")
		return e.tables
	}
	e.tables = routing.NewTable(d)
	e.Log.Info().Uint64("version", d.Version).Int("routes", len(d.Routes)).Msg("routing document in force")
	return e.tables
}

// report sends evidence for the running version moves to a control host.
func (e *Entry) report(ctx context.Context) error {
	e.evidence.Run(ctx, e.Clock, e.moves.Load, func(reports []move.Report) error {
		return e.client.CallAny(ctx, quorum.MethodEvidence, quorum.Evidence{Host: e.Settings.Host, Reports: reports})
	}, func(err error) { e.Log.Warn().Err(err).Msg("evidence for version moves not sent") })
	return nil
}

// drain is the planned stop: the host leaves the lists, serves callers that have an
// older one, and ends when its last request has.
func (e *Entry) drain(ctx context.Context, callers *http.Server) {
	deadline := e.Clock.Now().Add(e.Settings.ShutdownTimeout)
	e.draining.Store(true)
	e.Log.Info().Dur("length", e.Settings.ShutdownTimeout).Msg("planned stop: leaving the lists of addresses")
	tell, cancel := context.WithTimeout(ctx, tellTimeout)
	e.client.Notify(tell)
	cancel()
	select {
	case <-e.Clock.After(time.Duration(lingering * float64(e.Settings.ShutdownTimeout))):
	case <-ctx.Done():
		return
	}
	rest, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	if callers != nil {
		if err := callers.Shutdown(rest); err != nil {
			e.Log.Warn().Err(err).Msg("planned stop: requests were still running")
		}
	}
	e.pool.Close()
	e.Log.Info().Msg("planned stop: done")
}
