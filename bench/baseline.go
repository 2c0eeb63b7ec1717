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

// queryText is the query that all clients send with the identity of the request.
// Queries differ, because one that was in flight at the deaths of two searchers is
// refused as poison.
func queryText(request string) string { return `{"braid":"` + request + `"}` }

// Baseline is a small client that does the fan-out itself: it sends each shard to
// a random replica, and once more to another one if the first fails or, with
// Hedge, has not replied after a fixed delay. It has no budget and learns nothing.
type Baseline struct {
	Shards [][]netip.AddrPort
	// Hedge is the delay of hedges; 0 stands for none.
	Hedge time.Duration
	// Once stands for no second attempts at all.
	Once bool
	HTTP *http.Client
}

// newBaseline returns a client for the searchers within their connections.
func newBaseline(s *Searchers, hedge time.Duration) *Baseline {
	return &Baseline{Shards: s.Addresses(), Hedge: hedge, HTTP: &http.Client{Transport: &http.Transport{
		MaxConnsPerHost: s.Shape.Connections, MaxIdleConnsPerHost: s.Shape.Connections, DisableCompression: true,
	}}}
}

// Send does one query.
func (b *Baseline) Send(ctx context.Context, request string) Sample {
	replies := make(chan error, len(b.Shards))
	for shard := range b.Shards {
		go func() { replies <- b.shard(ctx, request, shard) }()
	}
	whole := true
	for range b.Shards {
		whole = <-replies == nil && whole
	}
	return Sample{Whole: whole, Refused: !whole}
}

// shard asks one replica, and at most one other.
func (b *Baseline) shard(ctx context.Context, request string, shard int) error {
	replicas := b.Shards[shard]
	first := rand.IntN(len(replicas))
	if b.Once || len(replicas) == 1 {
		return b.ask(ctx, replicas[first], request, shard)
	}
	second := (first + 1 + rand.IntN(len(replicas)-1)) % len(replicas)
	ends := make(chan error, 2)
	ask := func(i int) { ends <- b.ask(ctx, replicas[i], request, shard) }
	go ask(first)
	var hedge <-chan time.Time
	if b.Hedge > 0 {
		timer := time.NewTimer(b.Hedge)
		defer timer.Stop()
		hedge = timer.C
	}
	for asked, ended := 1, 0; ; {
		select {
		case err := <-ends:
			ended++
			if err == nil || ended == 2 || ctx.Err() != nil {
				return err
			}
			if asked == 2 {
				continue
			}
		case <-hedge:
		}
		hedge = nil
		if asked < 2 {
			asked++
			go ask(second)
		}
	}
}

func (b *Baseline) ask(ctx context.Context, address netip.AddrPort, request string, shard int) error {
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
		return errors.Wrapf(err, "reply with status %d", res.StatusCode)
	}
	if res.StatusCode != http.StatusOK || reply.Request != request || reply.Shard != shard || !reply.End {
		return errors.Errorf("status %d", res.StatusCode)
	}
	return nil
}
