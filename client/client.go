// Package client is the Go client of wasabirelay's HTTP interfaces. It goes on
// to the next address when one fails.
package client

import (
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"net/url"
	"sync"

	"github.com/dghubble/sling"
	"github.com/pkg/errors"

	"wasabirelay/control"
	"wasabirelay/problem"
	"wasabirelay/target"
)

// Client calls one of several hosts. Exported fields are set before use.
type Client struct {
	Addresses []netip.AddrPort
	// HTTP sends the requests; nil stands for http.DefaultClient.
	HTTP *http.Client
	// Scheme is "http" or "https"; empty stands for "http".
	Scheme string

	mu   sync.Mutex
	next int
}

// Announce announces or renews a target.
func (c *Client) Announce(ctx context.Context, t *control.Target) (*target.Renewal, error) {
	var out target.Renewal
	err := c.Do(ctx, func(s *sling.Sling) *sling.Sling { return s.Post("/v1/targets").BodyJSON(t) }, &out)
	return &out, err
}

// Leave removes an incarnation of a target.
func (c *Client) Leave(ctx context.Context, name, incarnation string) error {
	path := "/v1/targets/" + url.PathEscape(name) + "?incarnation=" + url.QueryEscape(incarnation)
	return c.Do(ctx, func(s *sling.Sling) *sling.Sling { return s.Delete(path) }, nil)
}

// Do sends a request to the current address, and to the next ones while an
// address can't be reached or refuses with executed "none" and status 503. The
// error is a *problem.Details if a host refused.
func (c *Client) Do(ctx context.Context, build func(*sling.Sling) *sling.Sling, out any) error {
	if len(c.Addresses) == 0 {
		return errors.New("no address of a host is known")
	}
	var last error
	for range c.Addresses {
		last = c.try(ctx, build, out)
		if last == nil || ctx.Err() != nil || !elsewhere(last) {
			return last
		}
		c.mu.Lock()
		c.next++
		c.mu.Unlock()
	}
	return last
}

// elsewhere reports whether another host may answer the request safely.
func elsewhere(err error) bool {
	var d *problem.Details
	if errors.As(err, &d) {
		return d.Status == http.StatusServiceUnavailable && d.Executed == problem.None
	}
	return true
}

func (c *Client) try(ctx context.Context, build func(*sling.Sling) *sling.Sling, out any) error {
	c.mu.Lock()
	address := c.Addresses[c.next%len(c.Addresses)]
	c.mu.Unlock()
	scheme := c.Scheme
	if scheme == "" {
		scheme = "http"
	}
	s := build(sling.New().Base(scheme + "://" + address.String()))
	req, err := s.Request()
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
		d := &problem.Details{Title: http.StatusText(res.StatusCode), Status: res.StatusCode, Executed: problem.Unknown}
		_ = json.NewDecoder(res.Body).Decode(d) // Without a problem document the status has to do.
		return d
	}
	if out == nil || res.StatusCode == http.StatusNoContent {
		return nil
	}
	return errors.Wrap(json.NewDecoder(res.Body).Decode(out), "read answer")
}
