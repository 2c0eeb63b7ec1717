package client

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"github.com/dghubble/sling"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"wasabirelay/answer"
	"wasabirelay/document"
	"wasabirelay/problem"
	"wasabirelay/target"
)

// HeaderIdempotencyKey carries the idempotency key of a request that must run at most once.
const HeaderIdempotencyKey = "Idempotency-Key"

// refreshRetryInterval is the time between a failed request for addresses and the next
// one. Without it, each query would wait for hosts that are unavailable.
const refreshRetryInterval = time.Second

// AddressList is the response to GET /v1/addresses.
type AddressList struct {
	Addresses []Address `json:"addresses"`
	// Keep is how long the list may be used.
	Keep document.Duration `json:"keep"`
}

// Address is the address at which one entry host serves callers.
type Address struct {
	Host    string         `json:"host"`
	Centre  string         `json:"centre"`
	Address netip.AddrPort `json:"address"`
}

// Query is a query to a service.
type Query struct {
	Service string
	answer.Request
	// Key is the idempotency key. A query that is not idempotent is retried after a
	// failure only if it has a key.
	Key string
	// Timeout limits the query, all attempts included; 0 leaves the limit to the
	// context and the service.
	Timeout time.Duration
}

// cachedAddresses is a cached list of addresses with the time until which it may be used.
type cachedAddresses struct {
	addresses []netip.AddrPort
	expires   time.Time
}

// Query sends a query to one of the addresses for the service, and to the next
// ones while that is safe; see Send.
func (c *Client) Query(ctx context.Context, q Query) (*answer.Answer, error) {
	if q.Timeout > 0 {
		timed, cancel := context.WithTimeout(ctx, q.Timeout)
		defer cancel()
		ctx = timed
	}
	c.refresh(ctx, q.Service)
	var out answer.Answer
	err := c.Send(ctx, Call{
		Build: func(s *sling.Sling) *sling.Sling {
			s = s.Post("/v1/services/" + url.PathEscape(q.Service) + "/query").BodyJSON(q.Request)
			if q.Key != "" {
				s = s.Set(HeaderIdempotencyKey, q.Key)
			}
			if end, ok := ctx.Deadline(); ok { // Each attempt gets the time that earlier ones have left.
				s = s.Set(target.HeaderTimeout, strconv.FormatInt(max(time.Until(end).Milliseconds(), 1), 10))
			}
			return s
		},
		Out: &out, Idempotent: q.Idempotent || q.Key != "", Service: q.Service,
	})
	if err != nil {
		return nil, err
	}
	return &out, nil
}

// FetchAddresses returns the addresses of the entry hosts that serve queries to the
// service.
func (c *Client) FetchAddresses(ctx context.Context, service string) (*AddressList, error) {
	var out AddressList
	path := "/v1/addresses?service=" + url.QueryEscape(service)
	build := func(s *sling.Sling) *sling.Sling { return s.Get(path) }
	if err := c.Send(ctx, Call{Build: build, Out: &out, Idempotent: true, Service: service, keepPreferred: true}); err != nil {
		return nil, err
	}
	return &out, nil
}

// refresh fetches the addresses for the service if the cached list has expired.
// Concurrent queries use the expired list meanwhile, and after a failure all queries do.
func (c *Client) refresh(ctx context.Context, service string) {
	clock := c.Clock
	if clock == nil {
		clock = clockwork.NewRealClock()
	}
	now := clock.Now()
	if !c.claimRefresh(service, now) {
		return
	}
	got, err := c.FetchAddresses(ctx, service)
	if err != nil || len(got.Addresses) == 0 {
		return
	}
	list := cachedAddresses{expires: now.Add(got.Keep.Duration)}
	for _, a := range got.Addresses {
		list.addresses = append(list.addresses, a.Address)
	}
	// Callers that have the same list begin at different hosts.
	rand.Shuffle(len(list.addresses), func(i, j int) {
		list.addresses[i], list.addresses[j] = list.addresses[j], list.addresses[i]
	})
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cached[service] = list
}

// claimRefresh reports whether the caller has to fetch a new address list. If so, it extends
// the expired list until the next attempt, so that other queries don't fetch one too.
func (c *Client) claimRefresh(service string, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	old, ok := c.cached[service]
	if ok && now.Before(old.expires) {
		return false
	}
	if c.cached == nil {
		c.cached = map[string]cachedAddresses{}
	}
	c.cached[service] = cachedAddresses{addresses: old.addresses, expires: now.Add(refreshRetryInterval)}
	return true
}

// ProblemDetails returns the problem details of the refusal in an error, or nil.
func ProblemDetails(err error) *problem.Details {
	var d *problem.Details
	if errors.As(err, &d) {
		return d
	}
	return nil
}

// notFound reports whether the host refused the request with status 404.
func notFound(err error) bool {
	d := ProblemDetails(err)
	return d != nil && d.Status == http.StatusNotFound
}

// Unsent reports whether the error means that no byte of the request was sent.
func Unsent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
