package relay

import (
	"net/http"
	"strings"
	"time"

	"wasabirelay/routing"
)

// credentials is the form of what a caller presents as its key.
type credentials int

const (
	// noCredentials means that the caller presents no key of our scheme.
	noCredentials credentials = iota
	// keyCredentials means that it presents one key.
	keyCredentials
	// malformedCredentials means that what follows the scheme can't be a key.
	malformedCredentials
	// repeatedCredentials means that the header occurs several times, so that it is unclear which holds.
	repeatedCredentials
)

// parseCredentials returns the key in the values of the credentials header. The key is empty unless the
// form is keyCredentials.
func parseCredentials(values []string, scheme string) (form credentials, key string) {
	switch {
	case len(values) == 0:
		return noCredentials, ""
	case len(values) > 1:
		return repeatedCredentials, ""
	}
	name, key, _ := strings.Cut(values[0], " ")
	if !strings.EqualFold(name, scheme) {
		return noCredentials, ""
	}
	key = strings.Trim(key, " ")
	if key == "" || strings.ContainsFunc(key, func(r rune) bool { return r <= ' ' || r == 0x7f }) {
		return malformedCredentials, ""
	}
	return keyCredentials, key
}

// refusalReason is why a request is refused for its key.
type refusalReason string

// Values of refusalReason. They are labels of metrics.
const (
	keyMissing     refusalReason = "missing"
	keyMalformed   refusalReason = "malformed"
	keyRepeated    refusalReason = "repeated"
	keyUnknown     refusalReason = "unknown"
	keyUnconfirmed refusalReason = "unconfirmed"
)

// keyTexts are the reasons that callers get.
var keyTexts = map[refusalReason]string{
	keyMissing:     "not run: the route needs a key",
	keyMalformed:   "not run: the credentials are malformed",
	keyRepeated:    "not run: the credentials header occurs several times",
	keyUnknown:     "not run: the key is not known",
	keyUnconfirmed: "not run: this host can't check keys, because it has no contact with the control hosts",
}

// unconfirmedRetry is the delay after which a caller may retry a request whose key can't be checked: in
// that time it reaches another host, or this one has polled a control host again.
const unconfirmedRetry = 500 * time.Millisecond

// unreadBodyTime bounds how long the refusal of a key waits for the rest of the body. net/http reads it before it sends a
// response, without a bound of its own, and closes the connection if the body doesn't come in time.
const unreadBodyTime = 250 * time.Millisecond

// admission is the decision whose request one is and whether it may run.
type admission struct {
	// organisation is the organisation that the request belongs to; nil if it needs none.
	organisation *routing.Organisation
	// refused is why the request may not run; empty if it may.
	refused refusalReason
}

// admit decides on a request for a route from the values of its credentials header. stale is true if
// this host may lack the withdrawal of a key. A public route needs no key, but one that is presented has to
// be known there, too: a caller with a withdrawn key learns of it on every route.
func admit(table *routing.Table, rt *routing.Route, values []string, scheme string, stale bool) admission {
	if !table.RequiresKeys() {
		return admission{}
	}
	form, key := parseCredentials(values, scheme)
	switch {
	case form == noCredentials && rt.Public:
		return admission{}
	case form == noCredentials && len(values) > 0:
		return admission{refused: keyMalformed}
	case form == noCredentials:
		return admission{refused: keyMissing}
	case form == malformedCredentials:
		return admission{refused: keyMalformed}
	case form == repeatedCredentials:
		return admission{refused: keyRepeated}
	case stale:
		return admission{refused: keyUnconfirmed}
	}
	if o := table.Holder(key); o != nil {
		return admission{organisation: o}
	}
	return admission{refused: keyUnknown}
}

// refusal returns the refusal of a request, or nil if it is admitted.
func (a *admission) refusal(rt *routing.Route, scheme string) *refusal {
	switch a.refused {
	case "":
		return nil
	case keyUnconfirmed:
		return &refusal{status: http.StatusServiceUnavailable, reason: keyTexts[a.refused], retry: unconfirmedRetry, route: rt.Name, key: a.refused}
	}
	return &refusal{status: http.StatusUnauthorized, reason: keyTexts[a.refused], route: rt.Name, key: a.refused, challenge: scheme}
}

// name returns the name of the organisation; empty if there is none.
func (a *admission) name() string {
	if a.organisation == nil {
		return ""
	}
	return a.organisation.Name
}

// rank returns the rank of the request.
func (a *admission) rank(rt *routing.Route) int {
	if a.organisation == nil || a.organisation.Rank == nil {
		return rt.Priority
	}
	return *a.organisation.Rank
}

// withoutKey returns the headers of an admitted request as targets and other hosts may receive them: without
// the key, and with the organisation that this host has determined in place of what the caller has sent.
func (n *Headers) withoutKey(h http.Header, organisation string) http.Header {
	out := n.endToEnd(h) // removes Connection, which could otherwise have the organisation removed later
	out.Del(n.Credentials)
	out.Del(n.Organisation)
	if organisation != "" {
		out.Set(n.Organisation, organisation)
	}
	return out
}
