package client

import (
	"context"
	"net/url"
	"time"

	"github.com/dghubble/sling"

	"wasabirelay/control"
	"wasabirelay/inventory"
)

// Inventory is the inventory in force, as the operator wrote it.
type Inventory struct {
	Version  uint64 `json:"version"`
	Text     string `json:"text"`
	Operator string `json:"operator,omitempty"`
	Change   string `json:"change,omitempty"`
}

// Change is a change of the inventory.
type Change struct {
	// Base is the version that the change was made on.
	Base uint64 `json:"base"`
	// Change identifies the change; a resend gets the first outcome.
	Change   string `json:"change"`
	Operator string `json:"operator"`
	Text     string `json:"text"`
}

// Applied is the outcome of an accepted change.
type Applied struct {
	Version uint64 `json:"version"`
}

// Checked is the outcome of a check that found no fault.
type Checked struct {
	Version     uint64             `json:"version"`
	Differences []inventory.Change `json:"differences"`
}

// Rules are the rules in force.
type Rules struct {
	Version uint64          `json:"version"`
	Rules   inventory.Rules `json:"rules"`
}

// Move is the state of a version move.
type Move struct {
	Service string    `json:"service"`
	Version string    `json:"version"`
	Step    string    `json:"step"`
	Share   float64   `json:"share"`
	By      time.Time `json:"by"`
	Reason  string    `json:"reason,omitempty"`
}

// Host is what the control state knows of an entry host.
type Host struct {
	Host    string `json:"host"`
	Centre  string `json:"centre"`
	Caller  string `json:"caller"`
	Serves  bool   `json:"serves"`
	Applied uint64 `json:"applied"`
}

// Status is the state of the host that answers.
type Status map[string]any

// Version is the version of the program that answers.
type Version struct {
	Version string `json:"version"`
}

func get[T any](ctx context.Context, c *Client, path string) (*T, error) {
	var out T
	if err := c.Do(ctx, func(s *sling.Sling) *sling.Sling { return s.Get(path) }, &out); err != nil {
		return nil, err
	}
	return &out, nil
}

func post[T any](ctx context.Context, c *Client, path string, body any) (*T, error) {
	var out T
	if err := c.Do(ctx, func(s *sling.Sling) *sling.Sling { return s.Post(path).BodyJSON(body) }, &out); err != nil {
		return nil, err
	}
	return &out, nil
}

// Inventory returns the inventory in force.
func (c *Client) Inventory(ctx context.Context) (*Inventory, error) {
	return get[Inventory](ctx, c, "/v1/inventory")
}

// Apply applies a change. It is sent again after a failure, because the control
// state carries out a change identity once.
func (c *Client) Apply(ctx context.Context, change Change) (*Applied, error) {
	return post[Applied](ctx, c, "/v1/inventory", change)
}

// Check checks a document without applying it.
func (c *Client) Check(ctx context.Context, text string) (*Checked, error) {
	return post[Checked](ctx, c, "/v1/inventory/check", Change{Text: text})
}

// Rules returns the rules in force.
func (c *Client) Rules(ctx context.Context) (*Rules, error) {
	return get[Rules](ctx, c, "/v1/rules")
}

// Moves returns the version moves.
func (c *Client) Moves(ctx context.Context) ([]Move, error) {
	out, err := get[struct{ Moves []Move }](ctx, c, "/v1/moves")
	if err != nil {
		return nil, err
	}
	return out.Moves, nil
}

// Move returns the move of a service.
func (c *Client) Move(ctx context.Context, service string) (*Move, error) {
	return get[Move](ctx, c, "/v1/moves/"+url.PathEscape(service))
}

// Hosts returns the entry hosts.
func (c *Client) Hosts(ctx context.Context) ([]Host, error) {
	out, err := get[struct{ Hosts []Host }](ctx, c, "/v1/hosts")
	if err != nil {
		return nil, err
	}
	return out.Hosts, nil
}

// Targets returns the live targets.
func (c *Client) Targets(ctx context.Context) ([]*control.Target, error) {
	out, err := get[struct{ Targets []*control.Target }](ctx, c, "/v1/targets")
	if err != nil {
		return nil, err
	}
	return out.Targets, nil
}

// Status returns the state of the host that answers.
func (c *Client) Status(ctx context.Context) (*Status, error) {
	return get[Status](ctx, c, "/v1/status")
}

// Version returns the version of the program that answers.
func (c *Client) Version(ctx context.Context) (*Version, error) {
	return get[Version](ctx, c, "/v1/version")
}
