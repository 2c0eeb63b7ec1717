// Package client is the Go client of wasabirelay's HTTP interfaces. It goes on
// to the next address when one fails.
package client

import (
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"net/url"
	"slices"
	"sync"
	"time"

	"github.com/dghubble/sling"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"wasabirelay/control"
	"wasabirelay/operator"
	"wasabirelay/problem"
	"wasabirelay/target"
)

// Client calls one of several hosts. Exported fields are set before use.
type Client struct {
	// Addresses are tried in turn, starting with the one that answered last.
	Addresses []netip.AddrPort
	// HTTP sends the requests; nil stands for http.DefaultClient.
	HTTP *http.Client
	// Scheme is "http" or "https"; empty stands for "http".
	Scheme string
	// Timeout bounds the attempt at one address; 0 leaves it to the context.
	Timeout time.Duration
	// Clock tells when a list of addresses is too old; nil stands for the real one.
	Clock clockwork.Clock

	mu      sync.Mutex
	learned []netip.AddrPort // from the last announcement
	// By service, and "" for requests that belong to none.
	current map[string]netip.AddrPort // answered last
	lists   map[string]kept
}

// Call is a request that may be sent to more than one address.
type Call struct {
	// Build adds the method, path and body to the base URL.
	Build func(*sling.Sling) *sling.Sling
	// Out receives the reply; nil drops it.
	Out any
	// Idempotent states that a second run of the request does no harm.
	Idempotent bool
	// Service selects the address list of a service, if one is kept.
	Service string

	// passing leaves the address that later calls begin with as it is.
	passing bool
}

// Announce announces or renews a target and learns the addresses in the reply.
func (c *Client) Announce(ctx context.Context, t *control.Target) (*target.AnnounceResponse, error) {
	var out target.AnnounceResponse
	build := func(s *sling.Sling) *sling.Sling { return s.Post("/v1/targets").BodyJSON(t) }
	if err := c.Send(ctx, Call{Build: build, Out: &out, Idempotent: true}); err != nil {
		return nil, err
	}
	var learned []netip.AddrPort
	for _, text := range out.Addresses {
		if a, err := netip.ParseAddrPort(text); err == nil {
			learned = append(learned, a)
		}
	}
	c.mu.Lock()
	c.learned = learned
	c.mu.Unlock()
	return &out, nil
}

// Leave removes an incarnation of a target. An absent incarnation is no error.
func (c *Client) Leave(ctx context.Context, name, incarnation string) error {
	path := "/v1/targets/" + url.PathEscape(name) + "?incarnation=" + url.QueryEscape(incarnation)
	err := c.Do(ctx, func(s *sling.Sling) *sling.Sling { return s.Delete(path) }, nil)
	if absent(err) {
		return nil
	}
	return err
}

// Do sends a repeatable request; see Send.
func (c *Client) Do(ctx context.Context, build func(*sling.Sling) *sling.Sling, out any) error {
	return c.Send(ctx, Call{Build: build, Out: out, Idempotent: true})
}

// Send sends a request to one address after the other while that is safe: after
// a refusal with status 503 and executed "none", and for a repeatable request
// also after a failed attempt. The error is an *operator.Refusal if a host refused;
// it contains a *problem.Details.
// It is that of an attempt that may have run, if there was one and no later
// attempt had a definite outcome.
func (c *Client) Send(ctx context.Context, call Call) error {
	addresses := c.order(call.Service)
	if len(addresses) == 0 {
		return errors.New("no address of a host is known")
	}
	var last, uncertain error
	for _, a := range addresses {
		last = c.try(ctx, a, call)
		if last == nil {
			c.prefer(call, a)
			return nil
		}
		if !elsewhere(last, call.Idempotent) {
			return last
		}
		if !notRun(last) {
			uncertain = last
		}
		if ctx.Err() != nil {
			break
		}
	}
	if uncertain != nil {
		return uncertain
	}
	return last
}

// notRun reports whether the error means that the attempt had no effect.
func notRun(err error) bool {
	d := ProblemDetails(err)
	return Unsent(err) || d != nil && d.Executed == problem.None
}

// order returns the addresses to try, beginning with the one that answered last.
// The client's own addresses come last, so that a list whose hosts have all gone
// does not cut the caller off.
func (c *Client) order(service string) []netip.AddrPort {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.learned
	if l, ok := c.lists[service]; ok {
		list = l.addresses
	}
	list = merge(list, c.Addresses)
	first := max(slices.Index(list, c.current[service]), 0)
	return slices.Concat(list[first:], list[:first])
}

// prefer makes later calls begin with the address.
func (c *Client) prefer(call Call, a netip.AddrPort) {
	if call.passing {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current == nil {
		c.current = map[string]netip.AddrPort{}
	}
	c.current[call.Service] = a
}

// merge appends the addresses of more that list does not contain.
func merge(list, more []netip.AddrPort) []netip.AddrPort {
	out := slices.Clone(list)
	for _, a := range more {
		if !slices.Contains(out, a) {
			out = append(out, a)
		}
	}
	return out
}

// elsewhere reports whether another host may be asked after this error.
func elsewhere(err error, repeatable bool) bool {
	var d *problem.Details
	if !errors.As(err, &d) {
		return repeatable || Unsent(err)
	}
	if d.Status == http.StatusServiceUnavailable && d.Executed == problem.None {
		return true
	}
	// A refusal with executed "ran" is the outcome of the request, such as a
	// coverage below what the caller accepts.
	return repeatable && d.Status >= http.StatusInternalServerError && d.Executed != problem.Ran
}

func (c *Client) try(ctx context.Context, address netip.AddrPort, call Call) error {
	if c.Timeout > 0 {
		timed, cancel := context.WithTimeout(ctx, c.Timeout)
		defer cancel()
		ctx = timed
	}
	scheme := c.Scheme
	if scheme == "" {
		scheme = "http"
	}
	req, err := call.Build(sling.New().Base(scheme + "://" + address.String())).Request()
	if err != nil {
		return errors.Wrap(err, "build request")
	}
	hc := c.HTTP
	if hc == nil {
		hc = http.DefaultClient
	}
	res, err := hc.Do(req.WithContext(ctx))
	if err != nil {
		return errors.Wrapf(err, "call %s", address)
	}
	defer res.Body.Close()
	if res.StatusCode >= http.StatusBadRequest {
		d := &operator.Refusal{Details: problem.Details{Title: http.StatusText(res.StatusCode), Executed: problem.Unknown}}
		_ = json.NewDecoder(res.Body).Decode(d) // Without a problem document the status has to do.
		d.Status = res.StatusCode
		return d
	}
	if call.Out == nil || res.StatusCode == http.StatusNoContent {
		return nil
	}
	return errors.Wrap(json.NewDecoder(res.Body).Decode(call.Out), "read answer")
}
