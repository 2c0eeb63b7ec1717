package peer

import (
	"cmp"
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

// defaultDialTimeout limits a connection attempt to another daemon unless DialTimeout is set.
const defaultDialTimeout = time.Second

// ConnectError reports that no connection could be opened, so nothing was sent.
type ConnectError struct {
	Address netip.AddrPort
	Err     error
}

func (e *ConnectError) Error() string { return fmt.Sprintf("connect to peer %s: %v", e.Address, e.Err) }

// Unwrap returns the cause.
func (e *ConnectError) Unwrap() error { return e.Err }

// Client holds one connection to another daemon and reconnects after a failure. Exported
// fields are set before use.
type Client struct {
	Address netip.AddrPort
	TLS     *tls.Config
	// Handlers serve the methods that the other daemon calls over this connection.
	Handlers map[string]Handler
	// Log receives the failures of Handlers.
	Log zerolog.Logger
	// DialTimeout limits a connection attempt; 0 means 1 s. The first packet to a host that
	// has just started may be lost, and TCP retransmits it only after a second, so a new
	// attempt reaches the host sooner.
	DialTimeout time.Duration

	mu   sync.Mutex
	conn *Conn
}

// Call sends a request and decodes the reply into result.
func (c *Client) Call(ctx context.Context, method string, params, result any) error {
	conn, err := c.Connect(ctx)
	if err != nil {
		return err
	}
	return conn.Call(ctx, method, params, result)
}

// Notify sends a notification.
func (c *Client) Notify(ctx context.Context, method string, params any) error {
	conn, err := c.Connect(ctx)
	if err != nil {
		return err
	}
	return conn.Notify(ctx, method, params)
}

// Connect returns the connection and opens it if there is none.
func (c *Client) Connect(ctx context.Context) (*Conn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != nil {
		select {
		case <-c.conn.Done():
		default:
			return c.conn, nil
		}
	}
	dialCtx, cancel := context.WithTimeout(ctx, cmp.Or(c.DialTimeout, defaultDialTimeout))
	defer cancel()
	nc, err := c.dial(dialCtx)
	if err != nil {
		return nil, &ConnectError{c.Address, err}
	}
	c.conn = newConn(context.WithoutCancel(ctx), nc, c.Handlers, c.Log, nil)
	return c.conn, nil
}

func (c *Client) dial(ctx context.Context) (net.Conn, error) {
	if c.TLS != nil {
		d := tls.Dialer{Config: c.TLS}
		return d.DialContext(ctx, "tcp", c.Address.String())
	}
	var d net.Dialer
	return d.DialContext(ctx, "tcp", c.Address.String())
}

// Close ends the connection. A later call opens a new one.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}
