package client

import (
	"context"
	"net/url"
	"time"

	"github.com/dghubble/sling"

	"wasabirelay/control"
	"wasabirelay/operator"
)

// get sends a GET request and decodes the response.
func get[T any](ctx context.Context, c *Client, path string) (*T, error) {
	var out T
	if err := c.Do(ctx, func(s *sling.Sling) *sling.Sling { return s.Get(path) }, &out); err != nil {
		return nil, err
	}
	return &out, nil
}

// post sends an idempotent POST request and decodes the response.
func post[T any](ctx context.Context, c *Client, path string, body any) (*T, error) {
	var out T
	if err := c.Do(ctx, func(s *sling.Sling) *sling.Sling { return s.Post(path).BodyJSON(body) }, &out); err != nil {
		return nil, err
	}
	return &out, nil
}

// Inventory returns the accepted inventory, with the text as it was written.
func (c *Client) Inventory(ctx context.Context) (*control.AcceptedInventory, error) {
	return get[control.AcceptedInventory](ctx, c, "/v1/inventory")
}

// Apply applies a change and waits up to the given time until it is in force. The
// request is retried after a failure, because a change with the same identity is
// carried out only once.
func (c *Client) Apply(ctx context.Context, change operator.ApplyRequest, wait time.Duration) (*operator.ChangeResponse, error) {
	return post[operator.ChangeResponse](ctx, c, "/v1/inventory?wait="+wait.String(), change)
}

// Check checks a document without applying it.
func (c *Client) Check(ctx context.Context, text string) (*operator.CheckResponse, error) {
	return post[operator.CheckResponse](ctx, c, "/v1/inventory/check", operator.CheckRequest{Text: text})
}

// Rules returns the rules, defaults included.
func (c *Client) Rules(ctx context.Context) (*operator.Rules, error) {
	return get[operator.Rules](ctx, c, "/v1/rules")
}

// Moves returns the version moves, sorted by service.
func (c *Client) Moves(ctx context.Context) (*operator.Moves, error) {
	return get[operator.Moves](ctx, c, "/v1/moves")
}

// Move returns the move of a service.
func (c *Client) Move(ctx context.Context, service string) (*operator.Move, error) {
	return get[operator.Move](ctx, c, "/v1/moves/"+url.PathEscape(service))
}

// Revert reverts the move of a service and waits up to the given time until that
// is in force. Like that of Apply, the request is retried after a failure.
func (c *Client) Revert(ctx context.Context, service string, revert operator.RevertRequest, wait time.Duration) (*operator.ChangeResponse, error) {
	return post[operator.ChangeResponse](ctx, c, "/v1/moves/"+url.PathEscape(service)+"/revert?wait="+wait.String(), revert)
}

// Hosts returns the entry hosts, sorted by name.
func (c *Client) Hosts(ctx context.Context) (*operator.Hosts, error) {
	return get[operator.Hosts](ctx, c, "/v1/hosts")
}

// Targets returns the live targets of a service, or of all services for "".
func (c *Client) Targets(ctx context.Context, service string) (*operator.Targets, error) {
	path := "/v1/targets"
	if service != "" {
		path += "?service=" + url.QueryEscape(service)
	}
	return get[operator.Targets](ctx, c, path)
}

// Status returns the findings of the host that answers.
func (c *Client) Status(ctx context.Context) (*operator.Status, error) {
	return get[operator.Status](ctx, c, "/v1/status")
}

// Version returns the version of the host that answers.
func (c *Client) Version(ctx context.Context) (*operator.Version, error) {
	return get[operator.Version](ctx, c, "/v1/version")
}
