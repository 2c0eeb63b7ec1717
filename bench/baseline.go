package bench

import (
	"bytes"
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"wasabirelay/target"
)

// queryText returns the query that a client sends with the request identity. Each query is
// different, because a query that was in flight when two searchers crashed is refused as poison.
func queryText(request string) string { return `{"braid":"` + request + `"}` }

// Baseline is a minimal client that does the fan-out itself. It sends the sub-request of each
// shard to a random replica, and to one other replica if the first fails or, with Hedge, has not
// replied after a fixed delay. It has no retry budget and keeps no state about the searchers.
type Baseline struct {
	Shards [][]netip.AddrPort
	// Hedge is the delay of hedges; 0 disables them.
	Hedge time.Duration
	// SingleAttempt disables both retries and hedges.
	SingleAttempt bool
	HTTP          *http.Client
}

// newBaseline returns a client for the searchers that does not exceed their connection limits.
func newBaseline(s *Searchers, hedge time.Duration) *Baseline {
	return &Baseline{Shards: s.Addresses(), Hedge: hedge, HTTP: &http.Client{Transport: &http.Transport{
		MaxConnsPerHost: s.Shape.Connections, MaxIdleConnsPerHost: s.Shape.Connections, DisableCompression: true,
	}}}
}

// Send runs one query.
func (b *Baseline) Send(ctx context.Context, request string) Sample {
	replies := make(chan error, len(b.Shards))
	for shard := range b.Shards {
		go func() { replies <- b.queryShard(ctx, request, shard) }()
	}
	complete := true
	for range b.Shards {
		complete = <-replies == nil && complete
	}
	return Sample{Complete: complete, Refused: !complete}
}

// queryShard sends the sub-request of a shard to one replica, and to at most one other.
func (b *Baseline) queryShard(ctx context.Context, request string, shard int) error {
	replicas := b.Shards[shard]
	first := rand.IntN(len(replicas))
	if b.SingleAttempt || len(replicas) == 1 {
		return b.queryReplica(ctx, replicas[first], request, shard)
	}
	second := (first + 1 + rand.IntN(len(replicas)-1)) % len(replicas)
	results := make(chan error, 2)
	start := func(i int) { results <- b.queryReplica(ctx, replicas[i], request, shard) }
	go start(first)
	var hedge <-chan time.Time
	if b.Hedge > 0 {
		timer := time.NewTimer(b.Hedge)
		defer timer.Stop()
		hedge = timer.C
	}
	for started, finished := 1, 0; ; {
		select {
		case err := <-results:
			finished++
			if err == nil || finished == 2 || ctx.Err() != nil {
				return err
			}
			if started == 2 {
				continue
			}
		case <-hedge:
		}
		hedge = nil
		if started < 2 {
			started++
			go start(second)
		}
	}
}

func (b *Baseline) queryReplica(ctx context.Context, address netip.AddrPort, request string, shard int) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address.String()+"/query", bytes.NewReader([]byte(queryText(request))))
	if err != nil {
		return errors.Wrap(err, "build request")
	}
	req.Header.Set(target.HeaderRequest, request)
	req.Header.Set(target.HeaderShard, strconv.Itoa(shard))
	req.Header.Set(target.HeaderSnapshot, "1")
	if end, ok := ctx.Deadline(); ok {
		req.Header.Set(target.HeaderTimeout, strconv.FormatInt(max(1, time.Until(end).Milliseconds()), 10))
	}
	res, err := b.HTTP.Do(req)
	if err != nil {
		return errors.Wrap(err, "call searcher")
	}
	defer res.Body.Close()
	var reply target.Reply
	if err := json.NewDecoder(res.Body).Decode(&reply); err != nil {
		return errors.Wrapf(err, "decode reply with status %d", res.StatusCode)
	}
	if res.StatusCode != http.StatusOK || reply.Request != request || reply.Shard != shard || !reply.End {
		return errors.Errorf("incomplete or mismatched reply with status %d", res.StatusCode)
	}
	return nil
}
