// Package answer carries a query from its arrival to its answer.
package answer

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"wasabirelay/control"
	"wasabirelay/problem"
	"wasabirelay/target"
)

// Request is a caller's query.
type Request struct {
	// Request is the caller's identity of the request.
	Request    string          `json:"request"`
	Query      json.RawMessage `json:"query"`
	Accept     Accept          `json:"accept,omitzero"`
	Idempotent bool            `json:"idempotent"`
}

// Accept is what the caller accepts as an answer.
type Accept struct {
	// Coverage is the least share of shards; 0 stands for 1.
	Coverage float64 `json:"coverage,omitempty"`
}

// Answer is the answer to a query.
type Answer struct {
	Request  string   `json:"request"`
	Service  string   `json:"service"`
	Version  string   `json:"version,omitempty"`
	Snapshot uint64   `json:"snapshot"`
	Coverage Coverage `json:"coverage"`
	Shards   []Shard  `json:"shards"`
}

// Coverage states how many of the snapshot's shards answered.
type Coverage struct {
	Answered int   `json:"answered"`
	Total    int   `json:"total"`
	Missing  []int `json:"missing"`
}

// Shard is the part of an answer that one shard gave.
type Shard struct {
	Shard  int             `json:"shard"`
	Result json.RawMessage `json:"result"`
}

// maxBody bounds a query and a reply in bytes.
const maxBody = 1 << 20

// Service answers queries. Exported fields are set before use.
type Service struct {
	View   func() *control.View
	Client *http.Client
}

// Register adds the routes to mux.
func (s *Service) Register(mux *http.ServeMux) {
	mux.HandleFunc("POST /v1/services/{service}/query", s.serve)
}

func (s *Service) serve(w http.ResponseWriter, r *http.Request) {
	var q Request
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&q); err != nil {
		problem.BadField("body", err.Error()).Write(w)
		return
	}
	timeout := time.Second
	if text := r.Header.Get(target.HeaderTimeout); text != "" {
		ms, err := strconv.Atoi(text)
		if err != nil || ms <= 0 {
			problem.BadField(target.HeaderTimeout, "a number of milliseconds above 0").Write(w)
			return
		}
		timeout = time.Duration(ms) * time.Millisecond
	}
	ctx, cancel := context.WithTimeout(r.Context(), timeout)
	defer cancel()
	a, err := s.Answer(ctx, r.PathValue("service"), &q)
	if err != nil {
		var d *problem.Details
		if !errors.As(err, &d) {
			d = problem.Unavailable("failed", err.Error())
			d.Executed = problem.Unknown
		}
		d.Write(w)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(a)
}

// Answer sends the query to one replica of each shard of the newest snapshot.
func (s *Service) Answer(ctx context.Context, service string, q *Request) (*Answer, error) {
	targets := s.View().Targets[service]
	newest := control.Snapshot{}
	for _, t := range targets {
		for _, n := range t.Snapshots {
			if n.Number > newest.Number {
				newest = n
			}
		}
	}
	if newest.Shards == 0 {
		return nil, problem.Unavailable("no-target", "no target of service "+service+" is known")
	}
	a := &Answer{Request: q.Request, Service: service, Snapshot: newest.Number, Shards: make([]Shard, newest.Shards)}
	answered := make([]bool, newest.Shards)
	var g errgroup.Group
	for shard := range newest.Shards {
		g.Go(func() error {
			result, err := s.ask(ctx, targets, shard, newest.Number, q)
			if err == nil {
				a.Shards[shard] = Shard{shard, result}
				answered[shard] = true
			}
			return nil
		})
	}
	_ = g.Wait() // Failures show as missing coverage.
	return finish(a, answered, q)
}

func finish(a *Answer, answered []bool, q *Request) (*Answer, error) {
	a.Coverage = Coverage{Total: len(answered), Missing: []int{}}
	shards := a.Shards[:0]
	for i, ok := range answered {
		if ok {
			a.Coverage.Answered++
			shards = append(shards, a.Shards[i])
		} else {
			a.Coverage.Missing = append(a.Coverage.Missing, i)
		}
	}
	a.Shards = shards
	least := q.Accept.Coverage
	if least == 0 {
		least = 1
	}
	if float64(a.Coverage.Answered) < least*float64(a.Coverage.Total) {
		coverage, _ := json.Marshal(a.Coverage)
		return nil, &problem.Details{
			Type: "urn:wasabirelay:coverage", Title: "Coverage below what the caller accepts",
			Status: http.StatusServiceUnavailable, Executed: problem.Ran, Coverage: coverage,
		}
	}
	return a, nil
}

// ask sends the sub-request of one shard to a random replica.
func (s *Service) ask(ctx context.Context, targets []*control.Target, shard int, snapshot uint64, q *Request) (json.RawMessage, error) {
	var replicas []*control.Target
	for _, t := range targets {
		for _, n := range t.Shards {
			if n == shard {
				replicas = append(replicas, t)
			}
		}
	}
	if len(replicas) == 0 {
		return nil, errors.Errorf("no replica of shard %d", shard)
	}
	t := replicas[rand.IntN(len(replicas))]
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+t.Address.String()+"/query", bytes.NewReader(q.Query))
	if err != nil {
		return nil, errors.Wrap(err, "build sub-request")
	}
	req.Header.Set(target.HeaderRequest, q.Request)
	req.Header.Set(target.HeaderShard, fmt.Sprint(shard))
	req.Header.Set(target.HeaderSnapshot, fmt.Sprint(snapshot))
	res, err := s.Client.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "send sub-request")
	}
	defer res.Body.Close()
	var reply target.Reply
	if err := json.NewDecoder(io.LimitReader(res.Body, maxBody)).Decode(&reply); err != nil {
		return nil, errors.Wrap(err, "read reply")
	}
	if reply.Request != q.Request || reply.Shard != shard || reply.Snapshot != snapshot || !reply.End {
		return nil, errors.New("the reply belongs to another sub-request")
	}
	return reply.Result, nil
}
