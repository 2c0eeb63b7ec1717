// Package factory builds what the commands depend on, when they need it.
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
)

// attempt bounds the attempt at one address. It is far above the deadline of a
// query and below what a person waits for without a word.
const attempt = 10 * time.Second

// Streams are the input and the outputs of a command.
type Streams struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer
	// Terminal states that Out is read by a person.
	Terminal bool
}

// Factory holds what commands depend on. The functions are called by the
// commands that need the outcome only.
type Factory struct {
	Streams
	// Operator returns a client of the operator interface, Caller one of the
	// caller interface.
	Operator func() (*client.Client, error)
	Caller   func() (*client.Client, error)
	// User returns the name that changes are made under.
	User func() string
	// Identity returns a new identity for a request or a change.
	Identity func() string
	// ReadFile reads a file; "-" stands for the input stream.
	ReadFile func(name string) ([]byte, error)
	Clock    clockwork.Clock
	// Program is the path of the running program.
	Program func() (string, error)
}

// Addresses are the hosts that a client may ask.
type Addresses struct {
	Operator []netip.AddrPort
	Hosts    []netip.AddrPort
	TLS      TLS
}

// TLS states how connections to hosts are protected. The zero value is plain text.
type TLS struct {
	// On uses TLS; it is implied by a file.
	On bool
	// Authority is the PEM file of the CA that hosts are checked against; empty
	// stands for the system's roots. Certificate and Key identify this client.
	Authority, Certificate, Key string
}

// client returns the HTTP client and the scheme.
func (t TLS) client(clock clockwork.Clock) (*http.Client, string, error) {
	if !t.On && t.Authority == "" && t.Certificate == "" && t.Key == "" {
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

// New returns the factory of the running process. The addresses are read when a
// command asks for a client, after the arguments have been parsed.
func New(addresses *Addresses) *Factory {
	f := &Factory{
		Streams: Streams{
			In: os.Stdin, Out: os.Stdout, Err: os.Stderr, Terminal: isatty.IsTerminal(os.Stdout.Fd()),
		},
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

func newClient(clock clockwork.Clock, t TLS, list []netip.AddrPort, flag, variable string) (*client.Client, error) {
	if len(list) == 0 {
		return nil, &Error{
			Code: Usage, Text: "no address of a host is known",
			Next: "set " + flag + " or " + variable + ` to addresses such as "10.0.0.1:7301,10.0.0.2:7301"`,
		}
	}
	http, scheme, err := t.client(clock)
	if err != nil {
		return nil, err
	}
	return &client.Client{Addresses: list, Timeout: attempt, HTTP: http, Scheme: scheme}, nil
}

// Interruptible returns a context that ends when the user interrupts the program.
func Interruptible() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
}
