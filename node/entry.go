package node

import (
	"cmp"
	"context"
	"net/http"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"wasabirelay/control"
	"wasabirelay/declaration"
	"wasabirelay/door"
	"wasabirelay/exchange"
	"wasabirelay/limit"
	"wasabirelay/move"
	"wasabirelay/poison"
	"wasabirelay/portion"
	"wasabirelay/quorum"
	"wasabirelay/reach"
	"wasabirelay/relay"
	"wasabirelay/route"
	"wasabirelay/routing"
)

const (
	// sweepInterval is how often idle connections are swept and changes that depend only on
	// time are applied.
	sweepInterval = time.Second
	// minViewInterval is the minimum time between two views: updates that several control
	// hosts send at the same time lead to one view.
	minViewInterval = 50 * time.Millisecond
	// drainAcceptFraction is the fraction of a graceful shutdown during which the host still
	// accepts requests of callers that have an older list of addresses.
	drainAcceptFraction = 0.65
	// notifyTimeout bounds how long a graceful shutdown waits to notify the control hosts.
	notifyTimeout = 500 * time.Millisecond
	// stopMargin is how long before the end of a graceful shutdown the requests in progress are
	// ended, so that their answers are sent.
	stopMargin = 250 * time.Millisecond
	// abandonedReplyTimeout is how long the host waits for the reply to an abandoned request
	// before it closes the connection. It is less than the half second within which targets
	// are expected to be free of the request.
	abandonedReplyTimeout = 400 * time.Millisecond
	// newConnectionCheckDelay is the delay after its opening at which a connection is checked
	// before its first use. By then, a reset of a nearby target has arrived.
	newConnectionCheckDelay = time.Millisecond
	// initialHeaderBytes is the limit of a header while no routing document states one.
	initialHeaderBytes = 64 << 10
	// maxChangeLines is the maximum number of log lines per second for one kind of change of
	// the view, maxLoggedNames the maximum number of target names in one list of such a line.
	maxChangeLines, maxLoggedNames = 20, 32
)

// Entry runs an entry host. Exported fields must be set before Run.
type Entry struct {
	*Process

	client   exchange.Client
	pool     *limit.Pool
	table    *route.Table
	relay    *relay.Service
	view     atomic.Pointer[relay.View]
	moves    atomic.Pointer[control.View]
	evidence move.Collector
	// helpers are the other hosts that take portions of requests, portions are those that this
	// host collects for others.
	helpers  portion.Helpers
	portions portion.Server
	// wake requests a new view, notify a notification of the control hosts.
	wake, notify chan struct{}
	// firstView is closed when the first view is in force.
	firstView chan struct{}
	// lastActive holds the time at which each active or recently active host was last active.
	lastActive map[string]time.Time
	// slack computes the shares of the constant part of the retry budget.
	slack slackShares
	// viewTime is when the view was last computed.
	viewTime time.Time
	// revision is the revision of the routing state in force.
	revision atomic.Uint64
	// load measures the share of the processor that relaying takes.
	load loadMeter
	// viewTargets holds the names of the targets in the view.
	viewTargets map[string]bool
	// routingTable is the table in force, rejectedVersion the version of the newest document
	// that could not be decoded. Both belong to the goroutine of maintainView.
	routingTable    *routing.Table
	rejectedVersion uint64
	// shardLists holds the different lists of shards in the routes of routingTable.
	shardLists [][]string
	// usage is nil unless usage is reported.
	usage *recorder
}

// Run serves until stop is done, then shuts down gracefully. It returns at once when ctx is
// done.
func (e *Entry) Run(ctx, stop context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	e.init()
	e.prepare()
	g, ctx := errgroup.WithContext(ctx)
	var callers *http.Server
	for _, l := range []struct {
		name    string
		address netip.AddrPort
		handler http.Handler
		limits  func() door.Limits
		server  **http.Server
	}{
		{"callers", e.Settings.Caller, e.relay, e.callerLimits, &callers},
		{"directory", e.Settings.Addresses, e.Interfaces.Addresses(e), listenLimits, nil},
		{"ready", e.Settings.Ready, e.Interfaces.Ready(e.serving), listenLimits, nil},
		{"metrics", e.Settings.Metrics, e.metrics(), listenLimits, nil},
	} {
		server, err := e.serve(ctx, g, l.name, l.address, l.handler, l.limits)
		if err != nil {
			return err
		}
		if l.server != nil {
			*l.server = server
		}
	}
	if e.Settings.Peer.IsValid() {
		if err := e.servePeers(ctx, g, e.portions.Handlers()); err != nil {
			return err
		}
	}
	g.Go(func() error { return e.door.Run(ctx) })
	g.Go(func() error { return e.client.Run(ctx) })
	g.Go(func() error { return e.maintainView(ctx) })
	g.Go(func() error { return e.reportEvidence(ctx) })
	g.Go(func() error { return e.relay.RunProbes(ctx) })
	g.Go(func() error { return e.notifyChanges(ctx) })
	g.Go(func() error { return e.recordUsage(ctx) })
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

// callerLimits returns the limits of the routing document for the headers of callers.
func (e *Entry) callerLimits() door.Limits {
	limits := door.Limits{HeaderBytes: initialHeaderBytes}
	if v := e.view.Load(); v != nil {
		document := &v.Routing.Document.Limits
		limits.HeaderBytes, limits.HeaderTimeout = cmp.Or(max(0, document.HeaderBytes), initialHeaderBytes), document.HeaderTimeout
	}
	return limits
}

func (e *Entry) prepare() {
	e.wake, e.notify, e.firstView = make(chan struct{}, 1), make(chan struct{}, 1), make(chan struct{})
	e.lastActive = map[string]time.Time{}
	e.slack.window = e.Settings.RetryWindow
	e.moves.Store(&control.View{})
	e.client = exchange.Client{
		Self: e.self, Seeds: e.seedAddresses, Clock: e.Clock, Log: e.Log, Changed: e.requestView, Load: e.load.share,
	}
	e.pool = &limit.Pool{Clock: e.Clock, DrainTimeout: abandonedReplyTimeout, AcceptDelay: newConnectionCheckDelay, AllowUnframed: true, Contended: e.Settings.Contended}
	e.table = &route.Table{Centre: e.Settings.Centre, OnAssessment: e.logAssessment, Contended: e.Settings.Contended}
	e.relay = &relay.Service{
		Headers: e.Interfaces.Headers, Clock: e.Clock, Log: e.Log, Events: e.events, Pool: e.pool, Table: e.table,
		View: e.view.Load, Ready: e.firstView, RetryShare: e.Settings.RetryShare, RetrySlack: e.Settings.RetrySlack, RetryWindow: e.Settings.RetryWindow,
		Draining: e.draining.Load, Metrics: relay.NewMetrics(e.Registry), DecodeDeclaration: e.Interfaces.DecodeDeclaration,
		Declared: declaration.Table{OnChange: e.logDeclaration}, Reach: reach.Judge{OnChange: e.reachChanged}, Contended: e.Settings.Contended,
		Observe: func(t *control.Target, name string, latency time.Duration, o route.Outcome) {
			e.evidence.Observe(e.moves.Load(), t, name, latency, o)
		},
	}
	e.registerMetrics()
	if e.Settings.Contended {
		e.Registry.MustRegister(relay.RankCollector{Pool: e.pool})
		e.relay.Placement = relay.NewPlacementMetrics(e.Registry, e.table, e.Clock)
	}
	e.relay.Crashes.OnVerdict = e.logCrashVerdict
	e.client.OwnCrashes = func(after uint64) ([]poison.Record, uint64) { return e.relay.Crashes.Own(e.Clock.Now(), after) }
	e.client.MergeCrashes = func(records []poison.Record) { e.relay.Crashes.Merge(e.Clock.Now(), records) }
	e.evidence.SkippedLatencies = 1 // the latencies that relay passes include no connecting
	e.pool.CheckReply, e.pool.ReplyID, e.pool.IsReply = e.relay.CheckReply, e.relay.ReplyID, e.relay.IsReply
	e.pool.OnSkipped = e.relay.RecordLateCopy
	e.helpers = portion.Helpers{Clock: e.Clock, Log: e.Log, DialTimeout: exchange.DialTimeout}
	e.portions = portion.Server{Collect: e.relay.Collect, Clock: e.Clock, Log: e.Log}
	if e.Settings.Peer.IsValid() {
		e.relay.Delegate, e.relay.HelpersEpoch = e.helpers.Collect, e.helpers.Epoch
		e.relay.UsableHelper = e.helpers.Usable
	}
	e.prepareUsage()
	if e.Settings.FailClosed {
		e.relay.KeysStale = e.keysStale
	}
	if !e.Settings.Bootstrap {
		e.relay.BudgetsEmptyUntil = e.Clock.Now().Add(e.Settings.RetryWindow)
	}
}

// keysStale reports whether no control host has confirmed the routing state in force for so long that it may
// lack the withdrawal of a key.
func (e *Entry) keysStale() bool {
	confirmed := e.client.Confirmed(e.revision.Load())
	return confirmed.IsZero() || e.Clock.Since(confirmed) > e.Settings.Revocation
}

// self returns what this host reports about itself to the control hosts.
func (e *Entry) self() exchange.Host {
	return exchange.Host{
		Name: e.Settings.Host, Centre: e.Settings.Centre, Start: e.start(), Caller: e.Settings.Caller, Helper: e.Settings.Peer,
		Draining: e.draining.Load(), Stranded: e.relay.Reach.Lost(),
	}
}

// serving reports whether callers may be sent to this host.
func (e *Entry) serving() bool { return e.view.Load() != nil && !e.draining.Load() }

func (e *Entry) requestView() { signal(e.wake) }

// signal makes a request on a channel that holds one, unless it holds one already.
func signal(requests chan<- struct{}) {
	select {
	case requests <- struct{}{}:
	default:
	}
}

// notifyChanges notifies the control hosts of changes of this host until ctx ends.
func (e *Entry) notifyChanges(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-e.notify:
		}
		notifyCtx, cancel := context.WithTimeout(ctx, notifyTimeout)
		e.client.Notify(notifyCtx)
		cancel()
	}
}

// maintainView updates the view after changes and at the end of cold phases.
func (e *Entry) maintainView(ctx context.Context) error {
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
		if wait := e.viewTime.Add(minViewInterval).Sub(e.Clock.Now()); wait > 0 {
			timer.Reset(wait)
			continue
		}
		next := e.updateView()
		e.viewTime = e.Clock.Now()
		if !next.IsZero() {
			timer.Reset(max(0, next.Sub(e.viewTime)))
		}
	}
}

// updateView computes the view. It returns the time of the next change that only depends on
// time, or the zero time if there is none.
func (e *Entry) updateView() time.Time {
	state := e.client.RoutingState()
	table := e.updateRouting(&state.Routing)
	targets, next := e.client.Targets()
	d := e.divide()
	if table == nil {
		return next
	}
	v := &relay.View{Routing: table, Targets: targets, Out: map[string]bool{}, Moves: state.Moves, Division: d.ofLimits(e.Settings.Host)}
	for _, centre := range state.Out {
		v.Out[centre] = true
	}
	e.divideRequests(v, &d)
	v.SlackShare = e.slack.update(e.Clock.Now(), e.client.LastSynced(), e.Settings.Bootstrap, d.share, v.ServiceDivisions).share
	v.Avoid = e.avoidedTargets(v, &d)
	e.pool.SetShares(e.connectionShares(v, &d))
	live, incarnations := map[string]bool{}, map[string]string{}
	for _, list := range targets {
		for _, t := range list {
			live[t.Name], incarnations[t.Name] = true, t.Incarnation
		}
	}
	e.table.Forget(live)
	e.relay.Declared.Forget(incarnations)
	e.logTargets(live)
	e.moves.Store(&control.View{Moves: state.Moves})
	first := e.view.Swap(v) == nil
	e.revision.Store(state.Revision) // after the view, which must not count as newer than it is
	if first {
		close(e.firstView)
	}
	return next
}

// logAssessment logs that a target was ejected, so that it gets probes only, or that it gets
// requests again.
func (e *Entry) logAssessment(a route.Assessment) {
	omitted, ok := e.events.Allow("judged", maxChangeLines)
	if !ok {
		return
	}
	e.Log.Info().Str("target", a.Target).Str("born", a.Incarnation).Bool("ejected", a.Ejected).Str("reason", a.Reason).
		Dur("probe", a.ProbeAfter).Dur("latency", a.Latency).Float64("failures", a.Failures).Float64("shed", a.Shed).
		Int("omitted", omitted).Msg("target assessment changed")
}

// reachChanged logs that this host has lost its links to targets, or that they were restored. What
// the targets were ejected for meanwhile was the fault of the links.
func (e *Entry) reachChanged(c reach.Change) {
	e.requestView()
	signal(e.notify)
	if !c.Lost {
		e.table.ReinstateAll(e.Clock.Now())
		e.Log.Info().Dur("after", c.Silence).Dur("hold", c.Hold).Msg("links to targets restored; requests are sent to them again")
		return
	}
	e.Log.Warn().Int("lost", c.Requests).Int("targets", c.Targets).Dur("silence", c.Silence).Dur("hold", c.Hold).
		Msg("links to targets lost; requests are passed on to other hosts")
}

// logDeclaration logs that a target has declared something else than before.
func (e *Entry) logDeclaration(c declaration.Change) {
	omitted, ok := e.events.Allow("declared", maxChangeLines)
	if !ok {
		return
	}
	e.Log.Info().Str("target", c.Target).Str("born", c.Incarnation).Bool("limited", c.After.Limited).Float64("limit", c.After.Limit).
		Float64("before", c.Before.Limit).Bool("leaving", c.After.Leaving).Dur("pause", c.After.Pause).Int("omitted", omitted).Msg("target declares something else")
}

// logCrashVerdict logs that a request is refused, or longer than before, or not any more.
func (e *Entry) logCrashVerdict(v poison.Verdict) {
	omitted, ok := e.events.Allow("crashes", maxChangeLines)
	if !ok {
		return
	}
	line := e.Log.Warn().Str("fingerprint", relay.FormatFingerprint(v.Fingerprint)).Str("service", v.Service).Int("deaths", len(v.Deaths)).
		Dur("hold", v.Hold).Int("omitted", omitted)
	if v.Hold == 0 {
		line.Msg("request is accepted again: a target has answered it")
		return
	}
	line.Msg("request is refused: targets die when they run it")
}

// logTargets logs which targets were added to the view and which were removed from it.
func (e *Entry) logTargets(live map[string]bool) {
	difference := func(a, b map[string]bool) []string {
		var names []string
		for name := range a {
			if !b[name] && len(names) < maxLoggedNames {
				names = append(names, name)
			}
		}
		slices.Sort(names)
		return names
	}
	added, removed := difference(live, e.viewTargets), difference(e.viewTargets, live)
	e.viewTargets = live
	if len(added)+len(removed) == 0 {
		return
	}
	if omitted, ok := e.events.Allow("targets", maxChangeLines); ok {
		e.Log.Info().Strs("added", added).Strs("removed", removed).Int("all", len(live)).Int("omitted", omitted).Msg("targets in the view changed")
	}
}

// updateRouting returns the table of the newest routing document that could be decoded.
func (e *Entry) updateRouting(r *control.Routing) *routing.Table {
	if r.Version == 0 && len(r.Source) == 0 || e.routingTable != nil && e.routingTable.Document.Version >= r.Version || r.Version == e.rejectedVersion && r.Version != 0 {
		return e.routingTable
	}
	d, err := e.decodeRouting(r)
	if err != nil {
		e.rejectedVersion = r.Version
		e.Log.Error().Err(err).Uint64("version", r.Version).Msg("failed to decode the routing document; the previous one stays in force")
		return e.routingTable
	}
	e.routingTable, e.shardLists = e.routingTable.Next(d), d.ShardLists()
	e.Log.Info().Uint64("version", d.Version).Int("routes", len(d.Routes)).Int("organisations", len(d.Organisations)).Msg("routing document in force")
	return e.routingTable
}

func (e *Entry) decodeRouting(r *control.Routing) (*routing.Document, error) {
	text, err := r.Text()
	if err != nil {
		return nil, err
	}
	return e.Interfaces.DecodeRouting(text)
}

// reportEvidence sends evidence for the running version moves to a control host.
func (e *Entry) reportEvidence(ctx context.Context) error {
	e.evidence.Run(ctx, e.Clock, e.moves.Load, func(reports []move.Report) error {
		return e.client.CallAny(ctx, quorum.MethodEvidence, quorum.Evidence{Host: e.Settings.Host, Reports: reports})
	}, func(err error) { e.Log.Warn().Err(err).Msg("failed to send evidence for version moves") })
	return nil
}

// drain shuts the host down gracefully: it leaves the lists of addresses, serves callers that
// have an older list, and returns when the last request has ended.
func (e *Entry) drain(ctx context.Context, callers *http.Server) {
	deadline := e.Clock.Now().Add(e.Settings.ShutdownTimeout)
	e.draining.Store(true)
	e.relay.Stop(deadline.Add(-stopMargin))
	e.Log.Info().Dur("length", e.Settings.ShutdownTimeout).Msg("graceful shutdown: leaving the lists of addresses")
	notifyCtx, cancel := context.WithTimeout(ctx, notifyTimeout)
	e.client.Notify(notifyCtx)
	cancel()
	select {
	case <-e.Clock.After(time.Duration(drainAcceptFraction * float64(e.Settings.ShutdownTimeout))):
	case <-ctx.Done():
		return
	}
	shutdownCtx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	if callers != nil {
		if err := callers.Shutdown(shutdownCtx); err != nil {
			e.Log.Warn().Err(err).Msg("graceful shutdown: requests were still running")
		}
	}
	e.portions.Drain(shutdownCtx)
	e.pool.Close()
	e.sendLast(ctx)
	e.Log.Info().Msg("graceful shutdown: done")
}
