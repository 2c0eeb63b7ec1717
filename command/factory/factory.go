// Package factory builds the dependencies of the commands when they are needed.
package factory

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	"github.com/mattn/go-isatty"
	"github.com/rs/zerolog"

	"wasabirelay/certificate"
	"wasabirelay/client"
	"wasabirelay/platform"
	"wasabirelay/routing"
)

// attemptTimeout bounds the attempt at one address. It is far above the deadline of a query and
// below the time that a person waits without feedback.
const attemptTimeout = 10 * time.Second

// Streams are the input and output streams of a command.
type Streams struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer
	// Terminal is true if Out is a terminal.
	Terminal bool
}

// Factory holds the dependencies of commands. A command calls only the functions whose result
// it needs.
type Factory struct {
	Streams
	// Operator returns a client of the operator interface, Caller a client of the caller
	// interface.
	Operator func() (*client.Client, error)
	Caller   func() (*client.Client, error)
	// User returns the name of the operator that changes are recorded under.
	User func() string
	// Identity returns a new unique ID for a request or a change.
	Identity func() string
	// ReadFile reads a file; the name "-" stands for In.
	ReadFile func(name string) ([]byte, error)
	// DecodeRouting decodes and checks a routing document in the format that operators use, and FetchRouting
	// reads the one in force from a control host.
	DecodeRouting func(source []byte) (*routing.Document, error)
	FetchRouting  func(ctx context.Context, control netip.AddrPort) ([]byte, error)
	Clock         clockwork.Clock
	// Program returns the path of the running program.
	Program func() (string, error)
}

// Addresses are the hosts that clients connect to: the operator addresses for operators, the
// caller addresses in Hosts for callers.
type Addresses struct {
	Operator []netip.AddrPort
	Hosts    []netip.AddrPort
	TLS      TLS
}

// TLS configures TLS for connections to hosts. The zero value uses plain text.
type TLS struct {
	// Enabled turns TLS on. Each of the files below implies it.
	Enabled bool
	// Authority is the PEM file of the CA that host certificates are verified against; empty
	// stands for the system's roots. Certificate and Key are the PEM files of this client's
	// certificate and key.
	Authority, Certificate, Key string
}

// client returns the HTTP client and the URL scheme. The client is nil for plain text.
func (t TLS) client(clock clockwork.Clock) (*http.Client, string, error) {
	if !t.Enabled && t.Authority == "" && t.Certificate == "" && t.Key == "" {
		return nil, "http", nil
	}
	store := &certificate.Store{
		Certificate: t.Certificate, Key: t.Key, Authority: t.Authority, Clock: clock, Log: zerolog.Nop(),
	}
	if err := store.Load(); err != nil {
		return nil, "", &Error{Code: Usage, Text: err.Error(), Next: "give PEM files with --ca, --cert and --cert-key"}
	}
	return &http.Client{Transport: &http.Transport{TLSClientConfig: store.ClientConfig()}}, "https", nil
}

// New returns the factory of the running process. It reads the addresses when a command
// requests a client, which is after the arguments have been parsed.
func New(addresses *Addresses) *Factory {
	f := &Factory{
		Streams: Streams{
			In: os.Stdin, Out: os.Stdout, Err: os.Stderr, Terminal: isatty.IsTerminal(os.Stdout.Fd()),
		},
		DecodeRouting: platform.DecodeRouting, FetchRouting: platform.FetchRouting,
		Identity: uuid.NewString, Clock: clockwork.NewRealClock(), Program: os.Executable,
	}
	f.Operator = func() (*client.Client, error) {
		return newClient(f.Clock, addresses.TLS, addresses.Operator, "--operator", "WASABIRELAY_OPERATOR")
	}
	f.Caller = func() (*client.Client, error) {
		return newClient(f.Clock, addresses.TLS, addresses.Hosts, "--hosts", "WASABIRELAY_HOSTS")
	}
	f.User = func() string {
		if name := os.Getenv("USER"); name != "" {
			return name
		}
		return "unknown"
	}
	f.ReadFile = func(name string) ([]byte, error) {
		if name == "-" {
			return io.ReadAll(f.In)
		}
		return os.ReadFile(name)
	}
	return f
}

func newClient(clock clockwork.Clock, t TLS, addresses []netip.AddrPort, flag, variable string) (*client.Client, error) {
	if len(addresses) == 0 {
		return nil, &Error{
			Code: Usage, Text: "no host address is configured",
			Next: "set " + flag + " or " + variable + ` to addresses such as "10.0.0.1:7301,10.0.0.2:7301"`,
		}
	}
	http, scheme, err := t.client(clock)
	if err != nil {
		return nil, err
	}
	return &client.Client{Addresses: addresses, Timeout: attemptTimeout, HTTP: http, Scheme: scheme}, nil
}

// Interruptible returns a context that is cancelled on SIGINT and SIGTERM.
func Interruptible() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
}
