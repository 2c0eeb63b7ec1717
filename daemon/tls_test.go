package daemon_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"wasabirelay/certificate"
	"wasabirelay/client"
	"wasabirelay/control"
	"wasabirelay/searcher"
)

// writeCertificates creates a CA and a certificate for 127.0.0.1 and writes them to ca.pem,
// cert.pem and key.pem in dir.
func writeCertificates(t *testing.T, dir string) {
	t.Helper()
	now := time.Now()
	caKey, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	ca := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test CA"}, NotBefore: now.Add(-time.Hour),
		NotAfter: now.Add(time.Hour), IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	leafKey, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	leaf := &x509.Certificate{
		SerialNumber: big.NewInt(2), NotBefore: now.Add(-time.Hour), NotAfter: now.Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, KeyUsage: x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	write := func(name, kind string, der []byte, err error) {
		if err == nil {
			err = os.WriteFile(filepath.Join(dir, name), pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600)
		}
		if err != nil {
			t.Fatal(err)
		}
	}
	der, err := x509.CreateCertificate(rand.Reader, ca, ca, &caKey.PublicKey, caKey)
	write("ca.pem", "CERTIFICATE", der, err)
	der, err = x509.CreateCertificate(rand.Reader, leaf, ca, &leafKey.PublicKey, caKey)
	write("cert.pem", "CERTIFICATE", der, err)
	der, err = x509.MarshalECPrivateKey(leafKey)
	write("key.pem", "EC PRIVATE KEY", der, err)
}

// Guards against a listener or a client that ignores its TLS settings: the connections of
// callers and operators, between daemons, and to targets must all use TLS with client
// certificates, and a client without a certificate must be rejected.
func TestEveryConnectionUsesTLS(t *testing.T) {
	is := is.New(t)
	g := newGroup(t, 3, "h1", "h2", "h3")
	writeCertificates(t, g.dir)
	file := func(name string) string { return filepath.Join(g.dir, name) }
	g.tls = map[string]any{"certificate": file("cert.pem"), "key": file("key.pem"), "authority": file("ca.pem")}
	g.startAll()

	command := func(args ...string) (string, error) {
		operators, callers := "", ""
		for _, name := range g.names {
			operators += "," + loopback(g.ports[name][1])
			callers += "," + loopback(g.ports[name][0])
		}
		args = append([]string{
			"--operator", operators[1:], "--hosts", callers[1:],
			"--ca", file("ca.pem"), "--cert", file("cert.pem"), "--cert-key", file("key.pem"),
		}, args...)
		out, err := exec.Command(programPath(t, "wasabirelay"), args...).CombinedOutput()
		return string(out), err
	}
	is.NoErr(os.WriteFile(file("inventory.json"), []byte(g.inventory("one")), 0o600))
	var out string
	var err error
	defer func() {
		if t.Failed() {
			t.Logf("last output: %s", out)
		}
	}()
	g.waitFor("the inventory is accepted over TLS", func() bool {
		out, err = command("inventory", "apply", file("inventory.json"), "--base", "0", "--change", "c")
		return err == nil
	})
	g.startTLSSearcher(file)
	g.waitFor("a query is answered over TLS", func() bool {
		out, err = command("query", "--json", "desk", `{"q":1}`)
		return err == nil
	})
	is.True(strings.Contains(out, `"answered":1,"total":1`))

	status, _ := sendRequest("GET", "http://"+loopback(g.ports["h1"][0])+"/healthz", nil, nil)
	is.True(status == 0 || status == http.StatusBadRequest) // plain text is rejected
	withoutCertificate := &certificate.Store{Authority: file("ca.pem"), Clock: clockwork.NewRealClock(), Log: zerolog.Nop()}
	is.NoErr(withoutCertificate.Load())
	c := &http.Client{Transport: &http.Transport{TLSClientConfig: withoutCertificate.ClientConfig()}}
	res, err := c.Get("https://" + loopback(g.ports["h1"][0]) + "/healthz")
	if err == nil {
		res.Body.Close()
	}
	is.True(err != nil) // a client without a certificate is rejected
}

// startTLSSearcher runs a searcher that uses TLS in this process.
func (g *group) startTLSSearcher(file func(string) string) {
	g.t.Helper()
	store := &certificate.Store{
		Certificate: file("cert.pem"), Key: file("key.pem"), Authority: file("ca.pem"),
		Clock: clockwork.NewRealClock(), Log: zerolog.Nop(),
	}
	if err := store.Load(); err != nil {
		g.t.Fatal(err)
	}
	hc := &http.Client{Transport: &http.Transport{TLSClientConfig: store.ClientConfig()}}
	var hosts []netip.AddrPort
	for _, name := range g.names {
		hosts = append(hosts, netip.MustParseAddrPort(loopback(g.ports[name][0])))
	}
	s := &searcher.Searcher{
		Target: control.Target{
			Name: "t", Incarnation: "i", Service: "desk", Version: "v1", Centre: "a", Shards: []int{0},
			Snapshots: []control.Snapshot{{Number: 1, Shards: 1}}, Slots: 4, Connections: 12, State: control.Warm,
		},
		Client: &client.Client{Addresses: hosts, HTTP: hc, Scheme: "https"}, Clock: clockwork.NewRealClock(), Log: zerolog.New(zerolog.NewTestWriter(g.t)),
	}
	server := httptest.NewUnstartedServer(nil)
	s.Target.Address = netip.MustParseAddrPort(server.Listener.Addr().String())
	server.Config.Handler = s.Handler()
	server.TLS = store.ServerConfig()
	server.StartTLS()
	g.t.Cleanup(server.Close)
	ctx, cancel := context.WithCancel(context.Background())
	g.t.Cleanup(cancel)
	go func() { _ = s.Run(ctx) }()
}
