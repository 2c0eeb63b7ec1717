package daemon

import (
	"context"
	"encoding/json"
	"time"

	"wasabirelay/answer"
	"wasabirelay/control"
	"wasabirelay/limit"
	"wasabirelay/peer"
	"wasabirelay/quorum"
	"wasabirelay/route"
)

const (
	// silence is how long a control replica may not answer before it is reported.
	silence = time.Second
	// fetchTimeout bounds the transfer of a stored answer between hosts.
	fetchTimeout = 2 * time.Second
)

func (d *Daemon) prepareQueries() {
	d.routes = &route.Table{Centre: d.Settings.Centre}
	d.pool = &limit.Pool{Clock: d.Clock, TLS: d.certificates.targetClient()}
	d.admission = &limit.Admission{Clock: d.Clock}
	d.queries = &answer.Service{Host: d.Settings.Host, Clock: d.Clock, Log: d.Log}
	d.queries.Registry = d.Registry
	d.queries.Connect(d.routes, d.pool, d.admission)
	d.queries.View = d.follower.LeasedView
	d.queries.Propose = d.control.Propose
	d.queries.ReserveGrant = d.grants.Reserve
	d.queries.Granted = d.grants.Granted
	d.queries.Fetch = d.fetch
	d.queries.RecordEvidence = d.observe
}

// changed takes note of a new view. It runs on the control goroutine.
func (d *Daemon) changed(v *control.View) {
	d.shares.note(d.Clock.Now(), v)
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// divide updates the connection shares and forgets targets that are gone.
func (d *Daemon) divide() {
	shares, v, changed := d.shares.compute(d.Clock.Now(), d.Settings.Host)
	if !changed {
		return
	}
	d.pool.SetShares(shares)
	live := map[string]bool{}
	for _, list := range v.Targets {
		for _, t := range list {
			live[t.Name] = true
		}
	}
	d.routes.Forget(live)
}

// fetchRequest asks a host for the stored answer of a request.
type fetchRequest struct {
	Key string `json:"key"`
}

// fetch gets the stored answer of a request that is not idempotent from the host
// that ran it.
func (d *Daemon) fetch(ctx context.Context, host, key string) (*answer.Answer, error) {
	h, ok := d.view().Inventory.Hosts[host]
	if !ok {
		return nil, nil
	}
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	c := &peer.Client{Address: h.Peer, TLS: d.certificates.peerClient()}
	defer c.Close()
	var a *answer.Answer
	err := c.Call(ctx, quorum.MethodFetch, fetchRequest{key}, &a)
	return a, err
}

func (d *Daemon) serveFetch(ctx context.Context, _ *peer.Conn, params json.RawMessage) (any, error) {
	var q fetchRequest
	if err := peer.Decode(params, &q); err != nil {
		return nil, err
	}
	return d.queries.StoredAnswer(ctx, q.Key), nil
}
