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

// refreshRetry is how soon a failed request for addresses is repeated. Without
// it, each query would wait for hosts that are away.
const refreshRetry = time.Second

// Addresses is the reply to GET /v1/addresses.
type Addresses struct {
	Addresses []HostAddress `json:"addresses"`
	// Keep is how long the list may be used.
	Keep document.Duration `json:"keep"`
}

// HostAddress is where one entry host serves callers.
type HostAddress struct {
	Host    string         `json:"host"`
	Centre  string         `json:"centre"`
	Address netip.AddrPort `json:"address"`
}

// Query is a query to a service.
type Query struct {
	Service string
	answer.Request
	// Key is the idempotency key. A query that is not idempotent is sent again
	// only with one.
	Key string
	// Timeout bounds the whole query, all attempts included; 0 leaves the bound
	// to the context and the service.
	Timeout time.Duration
}

// kept is a list of addresses with the time until which it may be used.
type kept struct {
	addresses []netip.AddrPort
	until     time.Time
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
			if end, ok := ctx.Deadline(); ok { // Each attempt has what the earlier ones have left.
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

// FetchAddresses asks where queries to the service go.
func (c *Client) FetchAddresses(ctx context.Context, service string) (*Addresses, error) {
	var out Addresses
	path := "/v1/addresses?service=" + url.QueryEscape(service)
	build := func(s *sling.Sling) *sling.Sling { return s.Get(path) }
	if err := c.Send(ctx, Call{Build: build, Out: &out, Idempotent: true, Service: service, passing: true}); err != nil {
		return nil, err
	}
	return &out, nil
}

// refresh asks for the addresses for the service if the kept ones are too old.
// Other queries use the old ones meanwhile, and after a failure all do.
func (c *Client) refresh(ctx context.Context, service string) {
	clock := c.Clock
	if clock == nil {
		clock = clockwork.NewRealClock()
	}
	now := clock.Now()
	if !c.due(service, now) {
		return
	}
	got, err := c.FetchAddresses(ctx, service)
	if err != nil || len(got.Addresses) == 0 {
		return
	}
	list := kept{until: now.Add(got.Keep.Duration)}
	for _, a := range got.Addresses {
		list.addresses = append(list.addresses, a.Address)
	}
	// Callers that all know the same list begin at different hosts.
	rand.Shuffle(len(list.addresses), func(i, j int) {
		list.addresses[i], list.addresses[j] = list.addresses[j], list.addresses[i]
	})
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lists[service] = list
}

// due reports whether the caller has to ask for new addresses. It keeps the old
// ones in use until the next attempt.
func (c *Client) due(service string, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	old, ok := c.lists[service]
	if ok && now.Before(old.until) {
		return false
	}
	if c.lists == nil {
		c.lists = map[string]kept{}
	}
	c.lists[service] = kept{addresses: old.addresses, until: now.Add(refreshRetry)}
	return true
}

// ProblemDetails returns the refusal in an error, or nil.
func ProblemDetails(err error) *problem.Details {
	var d *problem.Details
	if errors.As(err, &d) {
		return d
	}
	return nil
}

// absent reports whether the server said that it does not have what was asked for.
func absent(err error) bool {
	d := ProblemDetails(err)
	return d != nil && d.Status == http.StatusNotFound
}

// Unsent reports whether the error means that no byte of the request was sent.
func Unsent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
