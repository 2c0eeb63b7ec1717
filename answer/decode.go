package answer

import (
	"bytes"
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"wasabirelay/control"
	"wasabirelay/inventory"
	"wasabirelay/poison"
	"wasabirelay/problem"
	"wasabirelay/target"
)

// Field names in refusals and label names of metrics.
const (
	fieldBody    = "body"
	fieldRequest = "request"
	fieldService = "service"
)

// HeaderIdempotencyKey is the header with the idempotency key of a request that is not idempotent.
const HeaderIdempotencyKey = "Idempotency-Key"

const (
	// maxBodyBytes is the maximum size of a query and of a reply.
	maxBodyBytes = 1 << 20
	// maxIdentifierLength is the maximum length of request identities and idempotency keys,
	// which are sent in headers and stored in the log.
	maxIdentifierLength = 128
	// maxTimeout is the maximum Wasabi-Timeout. It makes a value in a wrong unit, such as
	// nanoseconds, invalid.
	maxTimeout = 10 * time.Minute
)

// decodeRequest decodes and validates the body of a query.
func decodeRequest(body []byte) (*Request, *problem.Details) {
	var members map[string]json.RawMessage
	if err := json.Unmarshal(body, &members); err != nil || members == nil {
		return nil, problem.BadField(fieldBody, "a JSON object is needed")
	}
	var q Request
	fields := map[string]struct {
		into    any
		allowed string
	}{
		fieldRequest: {&q.Request, "a string is needed"},
		"query":      {&q.Query, "a JSON value is needed"},
		"route":      {&q.Route, "a string is needed"},
		"accept":     {&q.Accept, `an object such as {"coverage": 0.9} is needed`},
		"idempotent": {&q.Idempotent, "true or false is needed"},
	}
	for _, name := range slices.Sorted(maps.Keys(members)) {
		f, known := fields[name]
		if !known && !isIdentifier(name) {
			return nil, problem.BadField(fieldBody, "a member has an empty, long or unprintable name")
		}
		if !known {
			return nil, problem.BadField(name, "unknown member; known are request, query, route, accept and idempotent")
		}
		decoder := json.NewDecoder(bytes.NewReader(members[name]))
		decoder.DisallowUnknownFields()
		if err := decoder.Decode(f.into); err != nil {
			return nil, problem.BadField(name, f.allowed)
		}
	}
	return &q, checkRequest(&q)
}

// checkRequest validates a decoded request and removes the white space from its query.
func checkRequest(q *Request) *problem.Details {
	if !isIdentifier(q.Request) {
		return problem.BadField(fieldRequest, "1 to 128 visible ASCII characters are needed")
	}
	if len(q.Query) == 0 || string(q.Query) == "null" {
		return problem.BadField("query", "a JSON value other than null is needed")
	}
	if c := q.Accept.Coverage; c < 0 || c > 1 {
		return problem.BadField("accept.coverage", "a share from 0 to 1 is needed; 0 stands for 1")
	}
	// Queries that differ only in white space get the same fingerprint.
	var compact bytes.Buffer
	if err := json.Compact(&compact, q.Query); err != nil {
		return problem.BadField("query", "a JSON value is needed")
	}
	q.Query = compact.Bytes()
	return nil
}

// isIdentifier reports whether s consists of 1 to maxIdentifierLength visible ASCII characters.
func isIdentifier(s string) bool {
	return s != "" && len(s) <= maxIdentifierLength && !strings.ContainsFunc(s, func(r rune) bool { return r <= ' ' || r > '~' })
}

// newQuery returns the validated query of a request with the given body and headers that arrived
// at now. The view determines the rules of the service.
func newQuery(now time.Time, v *control.View, service string, h http.Header, body []byte) (*Query, *problem.Details) {
	rules, known := serviceRules(v, service)
	if !known {
		return nil, &problem.Details{
			Type: "urn:wasabirelay:no-service", Title: "Unknown service", Status: http.StatusNotFound,
			Field: fieldService, Detail: "no service of this name is in the inventory or announced by a target", Executed: problem.None,
		}
	}
	r, bad := decodeRequest(body)
	if bad != nil {
		return nil, bad
	}
	if r.Route != "" && !slices.Contains(rules.Routes, r.Route) {
		return nil, problem.BadField("route", "one of the service's routes is needed: "+strings.Join(rules.Routes, ", "))
	}
	q := &Query{Request: *r, Service: service, Fingerprint: poison.Fingerprint(service, r.Route, r.Query)}
	timeout, bad := readTimeout(h.Get(target.HeaderTimeout), rules.Deadline.Duration)
	if bad != nil {
		return nil, bad
	}
	q.Deadline = now.Add(timeout)
	if !q.Idempotent {
		if q.Key = h.Get(HeaderIdempotencyKey); !isIdentifier(q.Key) {
			return nil, problem.BadField(HeaderIdempotencyKey, "a request that is not idempotent needs a key of 1 to 128 visible ASCII characters")
		}
	}
	return q, nil
}

// serviceRules returns the inventory entry of a service with its default deadline, and reports
// whether the service is in the inventory or announced by a target.
func serviceRules(v *control.View, service string) (inventory.Service, bool) {
	var rules inventory.Service
	known := len(v.Targets[service]) > 0
	if v.Inventory != nil {
		listed, ok := v.Inventory.Services[service]
		rules, known = listed, known || ok
	}
	if rules.Deadline.Duration <= 0 {
		rules.Deadline.Duration = inventory.DefaultDeadline
	}
	return rules, known
}

// readTimeout parses the timeout header, whose value is in milliseconds.
func readTimeout(text string, defaultTimeout time.Duration) (time.Duration, *problem.Details) {
	if text == "" {
		return defaultTimeout, nil
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms < 1 || ms > maxTimeout.Milliseconds() {
		return 0, problem.BadField(target.HeaderTimeout, "a number of milliseconds from 1 to 600000 is needed")
	}
	return time.Duration(ms) * time.Millisecond, nil
}
