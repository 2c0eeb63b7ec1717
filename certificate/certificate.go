// Package certificate creates TLS configurations from files and reloads the files
// when they change.
package certificate

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"
)

// checkInterval is the shortest time between two checks of the files for changes.
// Handshakes in between use the loaded files.
const checkInterval = time.Second

// Store holds a certificate, its key and a CA. Exported fields are set before use.
type Store struct {
	// Certificate and Key are PEM files; a client may have none. Authority is the PEM
	// file of the CA that must have signed the certificate of the other side. If it is
	// empty, clients use the system's roots and servers require no client certificate.
	Certificate, Key, Authority string
	Clock                       clockwork.Clock
	Log                         zerolog.Logger

	mu        sync.Mutex
	checkedAt time.Time
	stamps    [3]fileStamp
	current   *credentials
}

type credentials struct {
	certificate *tls.Certificate
	roots       *x509.CertPool
}

// fileStamp holds the properties of a file by which a change of the file is detected.
type fileStamp struct {
	modified time.Time
	size     int64
}

// Load reads the files, so that an invalid file is reported before anything starts.
func (s *Store) Load() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	creds, stamps, err := s.readFiles()
	if err != nil {
		return err
	}
	s.current, s.stamps, s.checkedAt = creds, stamps, s.Clock.Now()
	return nil
}

// ServerConfig returns a configuration for a listener. Load must have succeeded.
func (s *Store) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			creds := s.refresh()
			if creds.certificate == nil {
				return nil, errors.New("this server has no certificate")
			}
			c := &tls.Config{MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{*creds.certificate}}
			if creds.roots != nil {
				c.ClientCAs, c.ClientAuth = creds.roots, tls.RequireAndVerifyClientCert
			}
			return c, nil
		},
	}
}

// ClientConfig returns a configuration for connections to other servers. Load must
// have succeeded.
func (s *Store) ClientConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			if c := s.refresh().certificate; c != nil {
				return c, nil
			}
			return &tls.Certificate{}, nil
		},
		// The standard verification uses the roots that were loaded when the configuration
		// was created. VerifyConnection does the same check with the current roots.
		InsecureSkipVerify: true, //nolint:gosec // verified in VerifyConnection
		VerifyConnection:   s.verify,
	}
}

func (s *Store) verify(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return errors.New("the server sent no certificate")
	}
	o := x509.VerifyOptions{
		Roots: s.refresh().roots, DNSName: state.ServerName, Intermediates: x509.NewCertPool(), CurrentTime: s.Clock.Now(),
	}
	for _, c := range state.PeerCertificates[1:] {
		o.Intermediates.AddCert(c)
	}
	_, err := state.PeerCertificates[0].Verify(o)
	return errors.Wrap(err, "verify server certificate")
}

// refresh returns the current credentials and reloads the files if they have changed.
// If the files can't be loaded, the error is logged and the last valid credentials stay
// in use.
func (s *Store) refresh() *credentials {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.Clock.Since(s.checkedAt) < checkInterval {
		return s.current
	}
	s.checkedAt = s.Clock.Now()
	if stamps, err := s.statFiles(); err == nil && stamps == s.stamps {
		return s.current
	}
	creds, stamps, err := s.readFiles()
	if err != nil {
		s.Log.Error().Err(err).Msg("failed to reload the TLS files; the last valid ones stay in use")
		return s.current
	}
	s.current, s.stamps = creds, stamps
	s.Log.Info().Str("certificate", s.Certificate).Msg("TLS files reloaded")
	return s.current
}

func (s *Store) statFiles() ([3]fileStamp, error) {
	var out [3]fileStamp
	for i, name := range []string{s.Certificate, s.Key, s.Authority} {
		if name == "" {
			continue
		}
		info, err := os.Stat(name)
		if err != nil {
			return out, errors.Wrap(err, "check TLS file")
		}
		out[i] = fileStamp{info.ModTime(), info.Size()}
	}
	return out, nil
}

func (s *Store) readFiles() (*credentials, [3]fileStamp, error) {
	stamps, err := s.statFiles()
	if err != nil {
		return nil, stamps, err
	}
	creds := &credentials{}
	if s.Certificate != "" || s.Key != "" {
		pair, err := tls.LoadX509KeyPair(s.Certificate, s.Key)
		if err != nil {
			return nil, stamps, errors.Wrap(err, "load certificate and key")
		}
		creds.certificate = &pair
	}
	if s.Authority == "" {
		return creds, stamps, nil
	}
	text, err := os.ReadFile(s.Authority)
	if err != nil {
		return nil, stamps, errors.Wrap(err, "load CA")
	}
	creds.roots = x509.NewCertPool()
	if !creds.roots.AppendCertsFromPEM(text) {
		return nil, stamps, errors.Errorf("load CA: no certificate in %s", s.Authority)
	}
	return creds, stamps, nil
}
