package relay

import (
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"wasabirelay/routing"
)

// keyedDocument returns a document with three organisations: one with a rank, one without, and one
// without keys.
func keyedDocument(d *routing.Document) *routing.Document {
	first := 0
	keyed := *d
	keyed.Organisations = []routing.Organisation{
		{Name: "north", Keys: []string{"k-north-1", "k-north-2"}, Rank: &first}, {Name: "south", Keys: []string{"k-south"}}, {Name: "idle"},
	}
	return &keyed
}

// Guards against requests that run without a known key, against refusals of requests that need none, and
// against the rank of the route going before that of the organisation.
func TestAdmission(t *testing.T) {
	open := routing.NewTable(&routing.Document{})
	keyed := routing.NewTable(keyedDocument(&routing.Document{}))
	private, public := &routing.Route{Priority: 4}, &routing.Route{Priority: 4, Public: true}
	for _, tt := range []struct {
		name         string
		table        *routing.Table
		route        *routing.Route
		values       []string
		stale        bool
		organisation string
		rank         int
		refused      refusalReason
	}{
		{name: "no organisations", table: open, route: private, values: []string{"Key x", "Key y"}, stale: true, rank: 4},
		{name: "known key", table: keyed, route: private, values: []string{"Key k-south"}, organisation: "south", rank: 4},
		{name: "organisation with a rank", table: keyed, route: private, values: []string{"key  k-north-2 "}, organisation: "north"},
		{name: "unknown key", table: keyed, route: private, values: []string{"Key k-sout"}, refused: keyUnknown},
		{name: "key in another case", table: keyed, route: private, values: []string{"Key K-SOUTH"}, refused: keyUnknown},
		{name: "name in place of the key", table: keyed, route: private, values: []string{"Key idle"}, refused: keyUnknown},
		{name: "no key", table: keyed, route: private, refused: keyMissing},
		{name: "empty header", table: keyed, route: private, values: []string{""}, refused: keyMalformed},
		{name: "another scheme", table: keyed, route: private, values: []string{"Basic k-south"}, refused: keyMalformed},
		{name: "no scheme", table: keyed, route: private, values: []string{"k-south"}, refused: keyMalformed},
		{name: "no key after the scheme", table: keyed, route: private, values: []string{"Key "}, refused: keyMalformed},
		{name: "two keys in one value", table: keyed, route: private, values: []string{"Key k-south, Key k-north-1"}, refused: keyMalformed},
		{name: "two values", table: keyed, route: private, values: []string{"Key k-south", "Key k-south"}, refused: keyRepeated},
		{name: "stale", table: keyed, route: private, values: []string{"Key k-south"}, stale: true, refused: keyUnconfirmed},
		{name: "stale, no key", table: keyed, route: private, stale: true, refused: keyMissing},
		{name: "public", table: keyed, route: public, rank: 4},
		{name: "public, stale", table: keyed, route: public, stale: true, rank: 4},
		{name: "public, known key", table: keyed, route: public, values: []string{"Key k-north-1"}, organisation: "north"},
		{name: "public, unknown key", table: keyed, route: public, values: []string{"Key x"}, refused: keyUnknown},
		{name: "public, two values", table: keyed, route: public, values: []string{"Key k-south", "Key x"}, refused: keyRepeated},
		{name: "public, another scheme", table: keyed, route: public, values: []string{"Basic x"}, rank: 4},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			a := admit(tt.table, tt.route, tt.values, "Key", tt.stale)
			is.Equal(a.refused, tt.refused)
			is.Equal(a.name(), tt.organisation)
			refused := a.refusal(tt.route, "Key")
			is.Equal(refused != nil, tt.refused != "")
			switch tt.refused {
			case "":
				is.Equal(a.rank(tt.route), tt.rank)
				return
			case keyUnconfirmed:
				is.Equal(refused.status, http.StatusServiceUnavailable)
			default:
				is.Equal(refused.status, http.StatusUnauthorized)
			}
			is.True(strings.HasPrefix(refused.reason, "not run: "))
		})
	}
}
