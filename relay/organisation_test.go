package relay

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

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
