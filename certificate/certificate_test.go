package certificate

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/rs/zerolog"
)

// writeCertificate creates a self-signed certificate with the serial number and writes it
// and its key. The certificate is also its own CA.
func writeCertificate(t *testing.T, dir string, serial int64, now time.Time) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial), NotBefore: now.Add(-time.Hour), NotAfter: now.Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, IsCA: true, BasicConstraintsValid: true,
		KeyUsage: x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	for name, block := range map[string]*pem.Block{
		"cert.pem": {Type: "CERTIFICATE", Bytes: der}, "key.pem": {Type: "EC PRIVATE KEY", Bytes: keyDER},
	} {
		if err := os.WriteFile(filepath.Join(dir, name), pem.EncodeToMemory(block), 0o600); err != nil {
			t.Fatal(err)
		}
	}
}

func newStore(dir string, clock clockwork.Clock) *Store {
	cert := filepath.Join(dir, "cert.pem")
	return &Store{
		Certificate: cert, Key: filepath.Join(dir, "key.pem"), Authority: cert, Clock: clock, Log: zerolog.Nop(),
	}
}

// handshake connects a client of one store to a server of another and returns
// the serial number of the server's certificate.
func handshake(server, client *Store) (int64, error) {
	l, err := tls.Listen("tcp", "127.0.0.1:0", server.ServerConfig())
	if err != nil {
		return 0, err
	}
	defer l.Close()
	go func() {
		if nc, err := l.Accept(); err == nil {
			_ = nc.(*tls.Conn).Handshake()
			nc.Close()
		}
	}()
	c, err := tls.Dial("tcp", l.Addr().String(), client.ClientConfig())
	if err != nil {
		return 0, err
	}
	defer c.Close()
	return c.ConnectionState().PeerCertificates[0].SerialNumber.Int64(), nil
}

// Guards against a renewed certificate that is used only after a restart, and
// against a partly written file that breaks a working listener.
func TestStoreReloadsChangedFiles(t *testing.T) {
	is := is.New(t)
	dir, clock := t.TempDir(), clockwork.NewFakeClockAt(time.Now())
	writeCertificate(t, dir, 1, clock.Now())
	s := newStore(dir, clock)
	is.NoErr(s.Load())
	serial, err := handshake(s, s)
	is.NoErr(err)
	is.Equal(serial, int64(1))

	writeCertificate(t, dir, 22, clock.Now())
	clock.Advance(checkInterval)
	serial, err = handshake(s, s)
	is.NoErr(err)
	is.Equal(serial, int64(22))

	is.NoErr(os.WriteFile(s.Certificate, []byte("torn"), 0o600))
	clock.Advance(checkInterval)
	serial, err = handshake(s, s)
	is.NoErr(err)
	is.Equal(serial, int64(22)) // the last valid certificate stays in use
}

// Guards against a client that accepts a server certificate of an unknown CA.
func TestClientRefusesUnknownAuthority(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClockAt(time.Now())
	one, two := t.TempDir(), t.TempDir()
	writeCertificate(t, one, 1, clock.Now())
	writeCertificate(t, two, 2, clock.Now())
	server, client := newStore(one, clock), newStore(two, clock)
	is.NoErr(server.Load())
	is.NoErr(client.Load())
	_, err := handshake(server, client)
	is.True(err != nil)
}

// Guards against a panic in each handshake of a server whose settings name only an authority.
func TestServerWithoutCertificate(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClockAt(time.Now())
	dir := t.TempDir()
	writeCertificate(t, dir, 1, clock.Now())
	server := newStore(dir, clock)
	server.Certificate, server.Key = "", ""
	is.NoErr(server.Load())
	_, err := server.ServerConfig().GetConfigForClient(&tls.ClientHelloInfo{})
	is.True(err != nil)
}

func TestLoadReportsBadFiles(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	is.True(newStore(dir, clockwork.NewFakeClock()).Load() != nil)
}
