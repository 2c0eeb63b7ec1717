// Package client is the Go client of wasabirelay's HTTP interfaces. It tries the
// next address when one fails.
package client

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
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

// maxResponse bounds the body of a response in bytes. The largest ones list all targets.
const maxResponse = 32 << 20

// Client calls one of several hosts. Exported fields are set before use.
type Client struct {
	// Addresses are tried in turn, starting with the one that answered the last request.
	Addresses []netip.AddrPort
	// HTTP sends the requests; nil means http.DefaultClient.
	HTTP *http.Client
	// Scheme is "http" or "https"; empty means "http".
	Scheme string
	// Timeout limits the attempt at one address; 0 leaves the limit to the context.
	Timeout time.Duration
	// Clock determines when an address list has expired; nil means the system clock.
	Clock clockwork.Clock

	mu        sync.Mutex
	announced []netip.AddrPort // from the response to the last announcement
	// preferred holds, by service, the address that answered last, cached the address list. The
	// key "" is for requests that belong to no service.
	preferred map[string]netip.AddrPort
	cached    map[string]cachedAddresses
}

// Call is a request that may be sent to more than one address.
type Call struct {
	// Build adds the method, path and body to the base URL.
	Build func(*sling.Sling) *sling.Sling
	// Out receives the decoded response; nil discards it.
	Out any
	// Idempotent is true if a second run of the request has no further effect.
	Idempotent bool
	// Service selects the cached address list of a service, if there is one.
	Service string

	// keepPreferred is true if the call does not change the address that later calls begin
	// with.
	keepPreferred bool
}

// Announce announces or renews a target. Later requests use the host addresses in the
// response.
func (c *Client) Announce(ctx context.Context, t *control.Target) (*target.AnnounceResponse, error) {
	var out target.AnnounceResponse
	build := func(s *sling.Sling) *sling.Sling { return s.Post("/v1/targets").BodyJSON(t) }
	if err := c.Send(ctx, Call{Build: build, Out: &out, Idempotent: true}); err != nil {
		return nil, err
	}
	var announced []netip.AddrPort
	for _, text := range out.Addresses {
		if a, err := netip.ParseAddrPort(text); err == nil {
			announced = append(announced, a)
		}
	}
	c.mu.Lock()
	c.announced = announced
	c.mu.Unlock()
	return &out, nil
}

// Leave removes an incarnation of a target. It is not an error if the
// incarnation is absent.
func (c *Client) Leave(ctx context.Context, name, incarnation string) error {
	path := "/v1/targets/" + url.PathEscape(name) + "?incarnation=" + url.QueryEscape(incarnation)
	err := c.Do(ctx, func(s *sling.Sling) *sling.Sling { return s.Delete(path) }, nil)
	if notFound(err) {
		return nil
	}
	return err
}

// Do sends an idempotent request; see Send.
func (c *Client) Do(ctx context.Context, build func(*sling.Sling) *sling.Sling, out any) error {
	return c.Send(ctx, Call{Build: build, Out: out, Idempotent: true})
}

// Send sends a request to one address after the other while that is safe: after
// a refusal with status 503 and executed "none", and for an idempotent request
// also after a failed attempt. If a host refused the request, the error is an
// *operator.Refusal, which contains a *problem.Details; if its response had the status of neither
// a success nor a refusal, it is a *StatusError. If an attempt may have run
// and no later attempt had a definite outcome, the error is that of the attempt
// that may have run.
func (c *Client) Send(ctx context.Context, call Call) error {
	addresses := c.addressOrder(call.Service)
	if len(addresses) == 0 {
		return errors.New("no address of a host is known")
	}
	var last, uncertain error
	for _, a := range addresses {
		last = c.attempt(ctx, a, call)
		if last == nil {
			c.prefer(call, a)
			return nil
		}
		if !mayTryNext(last, call.Idempotent) {
			return last
		}
		if !notExecuted(last) {
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

// notExecuted reports whether the error means that the attempt had no effect.
func notExecuted(err error) bool {
	d := ProblemDetails(err)
	return Unsent(err) || d != nil && d.Executed == problem.None
}

// addressOrder returns the addresses to try, beginning with the one that answered
// last. The configured Addresses follow those of an announcement or an address list, so
// that the caller still reaches a host when all hosts of the list are gone.
func (c *Client) addressOrder(service string) []netip.AddrPort {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.announced
	if l, ok := c.cached[service]; ok {
		list = l.addresses
	}
	list = merge(list, c.Addresses)
	first := max(slices.Index(list, c.preferred[service]), 0)
	return slices.Concat(list[first:], list[:first])
}

// prefer makes later calls begin with the address.
func (c *Client) prefer(call Call, a netip.AddrPort) {
	if call.keepPreferred {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.preferred == nil {
		c.preferred = map[string]netip.AddrPort{}
	}
	c.preferred[call.Service] = a
}

// merge returns list with the addresses of more that it does not contain.
func merge(list, more []netip.AddrPort) []netip.AddrPort {
	out := slices.Clone(list)
	for _, a := range more {
		if !slices.Contains(out, a) {
			out = append(out, a)
		}
	}
	return out
}

// StatusError reports a response whose status is neither a success nor a refusal. The request may have run.
type StatusError struct {
	Address netip.AddrPort
	Status  int
}

// Error returns the address and the status.
func (e *StatusError) Error() string {
	return fmt.Sprintf("call %s: the response has the status %03d, which is no outcome", e.Address, e.Status)
}

// mayTryNext reports whether the request may be sent to the next host after this error.
func mayTryNext(err error, idempotent bool) bool {
	var d *problem.Details
	if !errors.As(err, &d) {
		return idempotent || Unsent(err)
	}
	if d.Status == http.StatusServiceUnavailable && d.Executed == problem.None {
		return true
	}
	// A refusal with executed "ran" is the outcome of the request, such as a
	// coverage below what the caller accepts.
	return idempotent && d.Status >= http.StatusInternalServerError && d.Executed != problem.Ran
}

func (c *Client) attempt(ctx context.Context, address netip.AddrPort, call Call) error {
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
	body := io.LimitReader(res.Body, maxResponse)
	if res.StatusCode >= http.StatusBadRequest {
		d := &operator.Refusal{Details: problem.Details{Title: http.StatusText(res.StatusCode), Executed: problem.Unknown}}
		_ = json.NewDecoder(body).Decode(d) // Without a problem document, only the status is known.
		d.Status = res.StatusCode
		return d
	}
	if res.StatusCode < http.StatusOK || res.StatusCode >= http.StatusMultipleChoices {
		return &StatusError{Address: address, Status: res.StatusCode}
	}
	if call.Out == nil || res.StatusCode == http.StatusNoContent {
		return nil
	}
	return errors.Wrap(json.NewDecoder(body).Decode(call.Out), "decode response")
}
