package relay

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rs/zerolog"

	"wasabirelay/routing"
)

// require puts a routing document with organisations in force.
func (h *harness) require(change func(*routing.Document)) {
	d := keyedDocument(h.view.Routing.Document)
	if change != nil {
		change(d)
	}
	h.service.Headers.Credentials, h.service.Headers.Scheme, h.service.Headers.Organisation = "Authorization", "Key", "Org"
	view := &View{Routing: h.view.Routing.Next(d), Targets: h.view.Targets, Out: h.view.Out, Division: h.view.Division}
	h.view = view
}

// exchange sends a request as it is written and returns the status of the response.
func (h *harness) exchange(t *testing.T, request string) int {
	t.Helper()
	conn := h.dial(t)
	if _, err := io.WriteString(conn, request); err != nil {
		t.Fatal(err)
	}
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	return res.StatusCode
}

// wire returns all headers of the last request that a target has received, as one text.
func (f *fakeTarget) wire() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var b strings.Builder
	_ = f.last.Header.Write(&b)
	_ = f.last.Trailer.Write(&b)
	return b.String()
}

// Guards against a target that receives the key of a caller, or an organisation that the caller has
// named, however its headers spell that.
func TestTargetGetsOrganisation(t *testing.T) {
	for _, tt := range []struct {
		name, headers, want string
		public              bool
	}{
		{"plain", "Authorization: Key k-north-1\r\n", "north", false},
		{"odd case", "aUTHORIZATION: kEY k-north-1\r\noRG: south\r\nORG: idle\r\n", "north", false},
		{"named in Connection", "Authorization: Key k-south\r\nConnection: Org, Authorization, keep-alive\r\nOrg: north\r\n", "south", false},
		{"several in Connection", "Connection: org\r\nConnection: ORG , authorization\r\nAuthorization: Key k-south\r\n", "south", false},
		{"public without a key", "Org: north\r\n", "", true},
		{"public with another scheme", "Org: north\r\nAuthorization: Basic k-south\r\n", "", true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			target := newTarget("t1", "s1").records("ccc")
			h := newHarness(t, singleRoute(true, 1), target)
			h.require(func(d *routing.Document) { d.Routes[0].Public = tt.public })
			status := h.exchange(t, "GET /q/x HTTP/1.1\r\nHost: h\r\nReq: r1\r\nLeft: 1500\r\n"+tt.headers+"\r\n")
			is.Equal(status, http.StatusOK)
			var want []string
			if tt.want != "" {
				want = []string{tt.want}
			}
			is.Equal(target.last.Header.Values("Org"), want)
			is.True(!strings.Contains(target.wire(), "k-"))
		})
	}
}

// Guards against a change of the wire for deployments without organisations.
func TestHeadersWithoutOrganisations(t *testing.T) {
	is := is.New(t)
	target := newTarget("t1", "s1").records("ccc")
	h := newHarness(t, singleRoute(true, 1), target)
	h.require(func(d *routing.Document) { d.Organisations = nil })
	is.Equal(h.exchange(t, "GET /q/x HTTP/1.1\r\nHost: h\r\nReq: r1\r\nAuthorization: Basic a\r\nAuthorization: Key b\r\nOrg: north\r\n\r\n"), http.StatusOK)
	is.Equal(target.last.Header.Values("Authorization"), []string{"Basic a", "Key b"})
	is.Equal(target.last.Header.Values("Org"), []string{"north"})
}

// Guards against a key in a refusal, in the log or in a metric, against a refused request that reaches a target, and
// against an operator who can't see who is refused and why.
func TestRefusedKeyIsNotRepeated(t *testing.T) {
	is := is.New(t)
	target := newTarget("t1", "s1").records("ccc")
	h := newHarness(t, singleRoute(true, 1), target)
	var log bytes.Buffer
	registry := prometheus.NewRegistry()
	h.service.Log, h.service.Metrics = zerolog.New(zerolog.SyncWriter(&log)), NewMetrics(registry)
	h.require(nil)
	for _, credentials := range []string{"Key k-secret", "Key k-secret k-secret", "Basic k-secret", "k-secret", "Key k-south\r\nAuthorization: Key k-secret", ""} {
		conn := h.dial(t)
		_, err := io.WriteString(conn, "POST /q/x HTTP/1.1\r\nHost: h\r\nReq: r1\r\nAuthorization: "+credentials+"\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
		is.NoErr(err)
		text, err := io.ReadAll(conn)
		is.NoErr(err)
		is.True(strings.HasPrefix(string(text), "HTTP/1.1 401 "))
		is.True(strings.Contains(string(text), "\r\nWww-Authenticate: Key\r\n"))
		is.True(strings.Contains(string(text), "\r\n\r\nnot run: "))
		is.True(!strings.Contains(string(text), "k-s"))
	}
	is.Equal(h.exchange(t, "GET /q/x HTTP/1.1\r\nHost: h\r\nReq: r2\r\nAuthorization: Key k-south\r\n\r\n"), http.StatusOK)
	is.Equal(target.requests.Load(), int64(1))
	metrics := httptest.NewRecorder()
	promhttp.HandlerFor(registry, promhttp.HandlerOpts{}).ServeHTTP(metrics, httptest.NewRequest(http.MethodGet, "/", nil))
	is.True(strings.Contains(metrics.Body.String(), `wasabirelay_relay_refused_keys_total{reason="unknown"} 1`))
	is.True(strings.Contains(metrics.Body.String(), `wasabirelay_relay_organisation_requests_total{organisation="south",outcome="served"} 1`))
	h.server.Close()
	is.True(strings.Contains(log.String(), `"caller":"127.0.0.1:`))
	is.True(strings.Contains(log.String(), `"organisation":"south"`))
	for _, text := range []string{log.String(), metrics.Body.String()} {
		is.True(!strings.Contains(text, "k-s"))
	}
}

// Guards against a refusal that waits for a body that never comes, against what is left of a body being read as another
// request, and against a connection that is closed although the body was complete.
func TestRefusedKeyBeforeBody(t *testing.T) {
	const start = "POST /q/x HTTP/1.1\r\nHost: h\r\nReq: r1\r\nAuthorization: Key x\r\n"
	const next = "GET /q/x HTTP/1.1\r\nHost: h\r\nReq: r2\r\nAuthorization: Key k-south\r\n\r\n"
	for name, tt := range map[string]struct {
		request string
		last    int // the status of the last response on the connection
	}{
		"no body":         {start + "Content-Length: 1000\r\n\r\n", http.StatusUnauthorized},
		"part of a body":  {start + "Content-Length: 1000\r\n\r\n" + next, http.StatusUnauthorized},
		"no chunk":        {start + "Transfer-Encoding: chunked\r\n\r\n", http.StatusUnauthorized},
		"complete body":   {start + "Content-Length: 4\r\n\r\nxxxx" + next, http.StatusOK},
		"complete chunks": {start + "Transfer-Encoding: chunked\r\n\r\n4\r\nxxxx\r\n0\r\n\r\n" + next, http.StatusOK},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			target := newTarget("t1", "s1").records("ccc")
			h := newHarness(t, singleRoute(true, 1), target)
			h.require(nil)
			conn := h.dial(t)
			_, err := io.WriteString(conn, tt.request)
			is.NoErr(err)
			in := bufio.NewReader(conn)
			var statuses []int
			for len(statuses) == 0 || statuses[len(statuses)-1] != tt.last {
				res, err := http.ReadResponse(in, nil)
				is.NoErr(err)
				_, err = io.Copy(io.Discard, res.Body)
				is.NoErr(err)
				is.NoErr(res.Body.Close())
				statuses = append(statuses, res.StatusCode)
				is.Equal(res.Close, tt.last == http.StatusUnauthorized)
			}
			is.Equal(statuses[0], http.StatusUnauthorized)
			is.Equal(int(target.requests.Load()), len(statuses)-1)
		})
	}
}

// Guards against counters that grow with the names in routing documents.
func TestOrganisationLabels(t *testing.T) {
	is := is.New(t)
	m := newOrganisationMetrics(prometheus.NewRegistry())
	for i := range maxCountedOrganisations {
		is.Equal(m.label(fmt.Sprint(i)), fmt.Sprint(i))
	}
	is.Equal(m.label("next"), otherOrganisations)
	is.Equal(m.label("0"), "0")
}

// Guards against a kept connection on which a withdrawn key still works, or a new one doesn't yet, and against 401 from
// a host that knows no document or may not judge keys.
func TestKeysOnKeptConnection(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, singleRoute(true, 1), newTarget("t1", "s1").records("ccc"))
	h.require(nil)
	conn := h.dial(t)
	in := bufio.NewReader(conn)
	send := func(key string) int {
		_, err := io.WriteString(conn, "GET /q/x HTTP/1.1\r\nHost: h\r\nReq: r1\r\nAuthorization: Key "+key+"\r\n\r\n")
		is.NoErr(err)
		res, err := http.ReadResponse(in, nil)
		is.NoErr(err)
		defer res.Body.Close()
		_, err = io.Copy(io.Discard, res.Body)
		is.NoErr(err)
		return res.StatusCode
	}
	is.Equal(send("k-south"), http.StatusOK)
	is.Equal(send("k-new"), http.StatusUnauthorized)
	h.require(func(d *routing.Document) { d.Organisations[1].Keys = []string{"k-new"} })
	is.Equal(send("k-south"), http.StatusUnauthorized)
	is.Equal(send("k-new"), http.StatusOK)
	stale := true
	h.service.KeysStale = func() bool { return stale }
	is.Equal(send("k-new"), http.StatusServiceUnavailable)
	is.Equal(send("k-south"), http.StatusServiceUnavailable)
	stale = false
	is.Equal(send("k-new"), http.StatusOK)
	h.service.View = func() *View { return nil }
	is.Equal(send("k-south"), http.StatusServiceUnavailable)
}

// Guards against a request whose fingerprint changes with the key, which hosts publish and log.
func TestFingerprintWithoutKey(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, singleRoute(true, 1), newTarget("t1", "s1").records("ccc"))
	h.require(nil)
	seen := map[string]uint64{}
	for _, key := range []string{"k-north-1", "k-north-2", "k-south"} {
		r := httptest.NewRequest(http.MethodGet, "/q/x", nil)
		r.Host = "h"
		r.Header = http.Header{"Req": {key}, "Authorization": {"Key " + key}}
		j, refused := h.service.accept(r, func(time.Time) error { return nil })
		is.Equal(refused, nil)
		seen[key] = h.service.fingerprint(j)
	}
	is.Equal(seen["k-north-1"], seen["k-north-2"])
	is.True(seen["k-north-1"] != seen["k-south"]) // targets receive another organisation
}

// FuzzCredentials guards against keys that are cut, joined or empty.
func FuzzCredentials(f *testing.F) {
	for _, value := range []string{"Key k", "key  k ", "Key", "Key ", "Basic k", "Key a b", "Key a\tb", "", " ", "Key \x00", "Key é"} {
		f.Add(value, "")
	}
	f.Add("Key a", "Key b")
	f.Fuzz(func(t *testing.T, value, second string) {
		values := []string{value}
		if second != "" {
			values = append(values, second)
		}
		form, key := parseCredentials(values, "Key")
		if (form == keyCredentials) != (key != "") {
			t.Fatalf("form %d with a key of %d bytes", form, len(key))
		}
		if form != keyCredentials {
			return
		}
		if len(values) > 1 || strings.ContainsAny(key, " \t\r\n\x00") || !strings.EqualFold(strings.ReplaceAll(value, " ", ""), "Key"+key) {
			t.Fatalf("%q has the key %q", values, key)
		}
	})
}
