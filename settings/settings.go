// Package settings decodes the settings of the daemon, which are JSON with comments, and
// validates them completely before the daemon starts anything.
package settings

import (
	"maps"
	"net/netip"
	"os"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"wasabirelay/document"
)

// Settings are the settings of one daemon.
type Settings struct {
	// Host is the name of this host in the inventory.
	Host string `json:"host"`
	// Centre is the data centre of this host.
	Centre string `json:"centre"`
	// Caller serves callers and targets, Operator serves operators and metrics, and Peer serves
	// the other daemons.
	Caller   Listener `json:"caller"`
	Operator Listener `json:"operator"`
	Peer     Listener `json:"peer"`
	// TargetTLS names the TLS files for connections to targets. If it is nil, these connections are
	// plain text.
	TargetTLS *TLS `json:"target,omitempty"`
	// DataDir is the directory of the control state. It is empty on an entry host that is not a
	// control host.
	DataDir string `json:"data,omitempty"`
	// ControlAddresses maps the names of all control hosts, which may include this host, to their
	// peer addresses.
	ControlAddresses map[string]netip.AddrPort `json:"control"`
	// LogLevel is the lowest level that is logged: debug, info (the default), warn or error.
	LogLevel string `json:"log,omitempty"`
	// TraceDestination is where spans are exported to: "" for none, "stdout", a file path, or the
	// URL of an OTLP/HTTP collector.
	TraceDestination string `json:"trace,omitempty"`
}

// Listener is the address of a listener with its TLS files.
type Listener struct {
	Address netip.AddrPort `json:"address"`
	TLS     *TLS           `json:"tls,omitempty"`
	// AllowPlaintext permits plain text on an address other than loopback.
	AllowPlaintext bool `json:"plain,omitempty"`
}

// TLS names the files of a TLS configuration. They are reloaded when they change.
type TLS struct {
	Certificate string `json:"certificate"`
	Key         string `json:"key"`
	// Authority is the file of the CA that must have signed the certificates of clients and of
	// the servers that this daemon connects to.
	Authority string `json:"authority,omitempty"`
}

var logLevels = []string{"debug", "info", "warn", "error"}

// Load reads and validates the settings in a file.
func Load(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}
	return Parse(path, text)
}

// Parse decodes and validates settings. Errors give name as the file. The error is a
// *document.FaultsError with the faults of the settings.
func Parse(name string, text []byte) (*Settings, error) {
	var v Settings
	s, err := document.Read(name, text, &v)
	if err != nil {
		return nil, err
	}
	s.Require(v.Host != "", "the name of this host in the inventory", "host")
	s.Require(v.Centre != "", "the data centre of this host", "centre")
	checkListeners(s, &v)
	checkControl(s, &v)
	if v.LogLevel == "" {
		v.LogLevel = "info"
	}
	s.Require(slices.Contains(logLevels, v.LogLevel), strings.Join(logLevels, ", "), "log")
	if err := s.Err(); err != nil {
		return nil, err
	}
	return &v, nil
}

func checkListeners(s *document.Source, v *Settings) {
	taken := map[netip.AddrPort]bool{}
	for _, l := range []struct {
		name string
		Listener
	}{{"caller", v.Caller}, {"operator", v.Operator}, {"peer", v.Peer}} {
		s.Require(l.Address.IsValid() && l.Address.Port() != 0, "an IP address with a port", l.name, "address")
		s.Require(!taken[l.Address], "an address that no other listener has", l.name, "address")
		taken[l.Address] = true
		s.Require(l.TLS != nil || l.AllowPlaintext || l.Address.Addr().IsLoopback(),
			`"tls", or "plain": true for plain text on an address that is not loopback`, l.name)
		checkTLS(s, l.TLS, l.name, "tls")
	}
	checkTLS(s, v.TargetTLS, "target")
}

func checkTLS(s *document.Source, t *TLS, path ...string) {
	if t == nil {
		return
	}
	s.Require(t.Certificate != "", "a file", slices.Concat(path, []string{"certificate"})...)
	s.Require(t.Key != "", "a file", slices.Concat(path, []string{"key"})...)
}

func checkControl(s *document.Source, v *Settings) {
	s.Require(len(v.ControlAddresses) > 0, "the peer address of at least one control host", "control")
	for _, name := range slices.Sorted(maps.Keys(v.ControlAddresses)) {
		address := v.ControlAddresses[name]
		s.Require(address.IsValid() && address.Port() != 0, "an IP address with a port", "control", name)
	}
	own, listed := v.ControlAddresses[v.Host]
	if v.DataDir != "" {
		s.Require(listed, "this host's own entry, because data is set", "control")
	}
	if listed {
		s.Require(v.DataDir != "", "a folder, because control lists this host", "data")
		s.Require(own == v.Peer.Address, "the address of the peer listener", "control", v.Host)
	}
}
