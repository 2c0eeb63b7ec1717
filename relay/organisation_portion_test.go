package relay

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabirelay/portion"
	"wasabirelay/routing"
)

// earlierRequest has the fields of portion.Request that builds without organisations decode.
type earlierRequest struct {
	Method  string      `json:"method"`
	URI     string      `json:"uri"`
	Host    string      `json:"host"`
	Header  http.Header `json:"header"`
	Body    []byte      `json:"body,omitempty"`
	Shards  []string    `json:"shards,omitempty"`
	Whole   bool        `json:"whole,omitempty"`
	Spare   int         `json:"spare,omitempty"`
	Route   uint64      `json:"route"`
	Cutoff  time.Duration
	Timeout time.Duration
}

// Guards against a key that reaches another host with a portion or with a request that is passed on, and against an
// earlier build there whose targets get no organisation, or the one that the caller has named.
func TestOtherHostsGetNoKey(t *testing.T) {
	const request = "GET /q/x HTTP/1.1\r\nHost: h\r\nReq: r1\r\nAuthorization: Key k-north-1\r\nConnection: org\r\nOrg: south\r\n\r\n"
	check := func(t *testing.T, r *portion.Request) {
		is := is.New(t)
		text, err := json.Marshal(r)
		is.NoErr(err)
		is.True(!strings.Contains(string(text), "k-north"))
		is.Equal(r.Organisation, "north")
		var earlier earlierRequest
		is.NoErr(json.Unmarshal(text, &earlier))
		is.Equal(earlier.Header.Values("Org"), []string{"north"})
		is.Equal(earlier.Header.Values("Authorization"), nil)
	}
	t.Run("portion", func(t *testing.T) {
		is := is.New(t)
		h, targets := eightShards(t, 1, nil)
		h.require(nil)
		received := make(chan *portion.Request, 1)
		h.divided(2, func(ctx context.Context, r *portion.Request, receive func(*portion.Frame, error)) {
			received <- r
			h.collectHere(ctx, r, receive)
		})
		is.Equal(h.exchange(t, request), http.StatusOK)
		check(t, <-received)
		for _, f := range targets { // of this host and of the other one
			is.Equal(f.last.Header.Values("Org"), []string{"north"})
			is.True(!strings.Contains(f.wire(), "k-north"))
		}
	})
	t.Run("whole request", func(t *testing.T) {
		is := is.New(t)
		target := newTarget("t1", "s1").records("b")
		other := newHarness(t, singleRoute(false, 2), target)
		other.require(nil)
		h := newHarness(t, singleRoute(false, 2), newTarget("t1", "s1"))
		h.require(nil)
		h.cutOff()
		h.loseLinks()
		received := make(chan *portion.Request, 1)
		h.passTo(map[string]func(context.Context, *portion.Request, func(*portion.Frame, error)){
			"other": func(ctx context.Context, r *portion.Request, receive func(*portion.Frame, error)) {
				received <- r
				other.collectHere(ctx, r, receive)
			},
		})
		is.Equal(h.exchange(t, request), http.StatusOK)
		check(t, <-received)
		is.Equal(target.last.Header.Values("Org"), []string{"north"})
	})
}

// Guards against a request of another host that runs although nobody has judged its key, and against one whose key
// or organisation reaches targets as the caller has sent it.
func TestPortionOrganisation(t *testing.T) {
	for _, tt := range []struct {
		name         string
		organisation string
		header       http.Header
		open, public bool
		want         string // the organisation; "-" if the request is refused
		rank         int
	}{
		{name: "organisation", organisation: "north", header: http.Header{"Org": {"south"}}, want: "north"},
		{name: "organisation without a rank", organisation: "south", want: "south", rank: 4},
		{name: "unknown organisation", organisation: "west", want: "-"},
		{name: "earlier build, known key", header: http.Header{"Authorization": {"Key k-south"}, "Org": {"north"}}, want: "south", rank: 4},
		{name: "earlier build, unknown key", header: http.Header{"Authorization": {"Key k"}, "Org": {"north"}}, want: "-"},
		{name: "earlier build, no key", header: http.Header{"Org": {"north"}}, want: "-"},
		{name: "public", public: true, header: http.Header{"Org": {"north"}}, rank: 4},
		{name: "no organisations here", open: true, organisation: "north", header: http.Header{"Org": {"north"}}, rank: 4},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			r := singleRoute(true, 1)
			r.Priority, r.Public = 4, tt.public
			h := newHarness(t, r, newTarget("t1", "s1"))
			h.require(func(d *routing.Document) {
				if tt.open {
					d.Organisations = nil
				}
			})
			header := http.Header{"Req": {"r1"}}
			for name, values := range tt.header {
				header[name] = values
			}
			j, reason := h.service.acceptPortion(t.Context(), &portion.Request{
				Method: http.MethodGet, URI: "/q/x", Host: "h", Header: header, Whole: true, Organisation: tt.organisation,
				Route: routeHash(&h.view.Routing.Document.Routes[0]), Timeout: time.Second,
			})
			is.Equal(reason != "", tt.want == "-")
			if tt.want == "-" {
				is.True(!strings.Contains(reason, "Key"))
				return
			}
			is.Equal(j.organisation, tt.want)
			is.Equal(j.rank, tt.rank)
			if !tt.open {
				is.Equal(j.Header.Get("Org"), tt.want)
				is.Equal(j.Header.Values("Authorization"), nil)
			}
		})
	}
}
