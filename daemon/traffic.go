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
	// maxReplicaSilence is how long a control replica may go without answering before the
	// status reports it as silent.
	maxReplicaSilence = time.Second
	// fetchTimeout limits the transfer of a stored answer between hosts.
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
	d.queries.Fetch = d.fetchAnswer
	d.queries.RecordEvidence = d.recordEvidence
}

// viewChanged stores a new view and wakes sweep. It runs on the goroutine of the follower.
func (d *Daemon) viewChanged(v *control.View) {
	d.shares.recordView(d.Clock.Now(), v)
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// updateShares updates the connection shares and drops the routing state of targets that are
// gone.
func (d *Daemon) updateShares() {
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

// fetchRequest is the request for the stored answer to a request with an idempotency key.
type fetchRequest struct {
	Key string `json:"key"`
}

// fetchAnswer gets the stored answer to a request that is not idempotent from the host that
// executed it. It returns nil if the host is not in the inventory or has no answer.
func (d *Daemon) fetchAnswer(ctx context.Context, host, key string) (*answer.Answer, error) {
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

func (d *Daemon) serveFetchAnswer(ctx context.Context, _ *peer.Conn, params json.RawMessage) (any, error) {
	var request fetchRequest
	if err := peer.Decode(params, &request); err != nil {
		return nil, err
	}
	return d.queries.StoredAnswer(ctx, request.Key), nil
}
