package relay

import (
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"wasabirelay/door"
	"wasabirelay/routing"
)

// refusal is a final response that this host generates itself.
type refusal struct {
	status int
	// reason is written to the log and the response body.
	reason string
	// retry is the delay after which the caller may retry; 0 if a retry is pointless.
	retry time.Duration
	route string
	// key is why the key of the caller is refused; empty if it isn't. challenge is the scheme of the
	// credentials that the caller needs.
	key       refusalReason
	challenge string
}

// accept reads the request and selects its route. setReadDeadline bounds the reads from the caller.
func (s *Service) accept(r *http.Request, setReadDeadline func(time.Time) error) (*job, *refusal) {
	started := s.Clock.Now()
	view := s.awaitView(r)
	if view == nil {
		return nil, &refusal{status: http.StatusServiceUnavailable, reason: "no routing document is known yet", retry: retryAfter}
	}
	r.RequestURI = originForm(r.RequestURI)
	rt := view.Routing.Match(r.Host, pathOf(r.RequestURI))
	if rt == nil {
		return nil, &refusal{status: http.StatusNotFound, reason: "no route matches"}
	}
	a := admit(view.Routing, rt, r.Header.Values(s.Headers.Credentials), s.Headers.Scheme, s.keysStale())
	if refused := a.refusal(rt, s.Headers.Scheme); refused != nil {
		return nil, refused
	}
	if late := s.refuseLate(started, rt); late != nil {
		return nil, late
	}
	id := r.Header.Get(s.Headers.Request)
	if id == "" {
		return nil, &refusal{status: http.StatusBadRequest, reason: "the request has no identity", route: rt.Name}
	}
	j := &job{
		Request: r, id: id, view: view, route: rt, started: started, spare: spareShards(rt), organisation: a.name(), rank: a.rank(rt),
	}
	if view.Routing.RequiresKeys() {
		j.Request = r.WithContext(withOrganisation(r.Context(), j.organisation))
		j.Header = s.Headers.withoutKey(r.Header, j.organisation)
	}
	j.partialAfter = started.Add(rt.Objective - margin(r))
	j.deadline = started.Add(s.timeout(r, rt) - endMargin)
	var refused *refusal
	if j.body, refused = readBody(r, view.Routing.Document.Limits.BodyBytes, j.deadline, setReadDeadline); refused != nil {
		refused.route = rt.Name
		return nil, refused
	}
	if err := door.Reserve(r.Context(), s.heldMemory(j)); err != nil {
		s.answerSizes.refused(started, rt.Name)
		return nil, &refusal{status: http.StatusServiceUnavailable, reason: "not run: " + err.Error(), retry: door.RetryAfter, route: rt.Name}
	}
	j.standing = s.callerStanding(j)
	return j, nil
}

// keysStale reports whether this host may lack the withdrawal of a key for too long.
func (s *Service) keysStale() bool { return s.KeysStale != nil && s.KeysStale() }

// originForm returns the request URI without the scheme and the host that its absolute form begins with.
func originForm(uri string) string {
	scheme, rest, ok := strings.Cut(uri, "://")
	if !ok || strings.ContainsAny(scheme, "/?") {
		return uri
	}
	end := strings.IndexAny(rest, "/?")
	if end < 0 {
		return "/"
	}
	if rest[end] == '?' {
		return "/" + rest[end:]
	}
	return rest[end:]
}

// pathOf returns the path of a request URI.
func pathOf(uri string) string {
	path, _, _ := strings.Cut(uri, "?")
	return path
}

// spareShards returns the number of shards that a response can do without.
func spareShards(r *routing.Route) int { return len(r.Shards) - r.RequiredShards() }

// awaitView returns the current view. Directly after the start of this host it waits for the
// first one: that arrives sooner than a retry of the caller would.
func (s *Service) awaitView(r *http.Request) *View {
	if v := s.View(); v != nil || s.Ready == nil {
		return v
	}
	wait := startWait
	if left := s.callerTimeout(r); left > 0 {
		wait = min(wait, time.Duration(startWaitShare*float64(left)))
	}
	timer := s.Clock.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-s.Ready:
	case <-timer.Chan():
	case <-r.Context().Done():
	}
	return s.View()
}

// timeout returns how long the caller and the route allow the request to take.
func (s *Service) timeout(r *http.Request, rt *routing.Route) time.Duration {
	if left := s.callerTimeout(r); left > 0 {
		return min(left, rt.Timeout)
	}
	return rt.Timeout // without a usable header, only the timeout of the route applies
}

// callerTimeout returns how long the caller waits, or 0 if the header is missing or invalid.
func (s *Service) callerTimeout(r *http.Request) time.Duration {
	ms, err := strconv.ParseFloat(r.Header.Get(s.Headers.Timeout), 64)
	if err != nil || ms <= 0 {
		return 0
	}
	return time.Duration(ms * float64(time.Millisecond))
}

// readBody reads the body of a request, which must be complete at the deadline.
func readBody(r *http.Request, bound int, deadline time.Time, setReadDeadline func(time.Time) error) ([]byte, *refusal) {
	if r.Body == nil || r.Body == http.NoBody {
		return nil, nil
	}
	if err := setReadDeadline(deadline); err != nil {
		return nil, &refusal{status: http.StatusServiceUnavailable, reason: "not run: the time to read the body can't be bounded: " + err.Error(), retry: retryAfter}
	}
	reader := io.Reader(r.Body)
	if bound > 0 {
		if r.ContentLength > int64(bound) {
			return nil, &refusal{status: http.StatusRequestEntityTooLarge, reason: "the body is too large"}
		}
		reader = http.MaxBytesReader(nil, r.Body, int64(bound))
	}
	body, err := readAll(reader, r.ContentLength)
	var large *http.MaxBytesError
	var full *door.RefusedError
	switch {
	case errors.As(err, &full):
		return nil, &refusal{status: full.Status(), reason: "not run: " + full.Error(), retry: door.RetryAfter}
	case errors.As(err, &large):
		return nil, &refusal{status: http.StatusRequestEntityTooLarge, reason: "the body is too large"}
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, &refusal{status: http.StatusRequestTimeout, reason: "not run: the body was not complete in time"}
	case err != nil:
		return nil, &refusal{status: http.StatusBadRequest, reason: "the body can't be read: " + err.Error()}
	}
	if err := setReadDeadline(time.Time{}); err != nil { // otherwise the request would end as if its caller had left
		return nil, &refusal{status: http.StatusBadRequest, reason: "the connection of the caller is lost: " + err.Error()}
	}
	return body, nil
}

// readAll reads a body of the given length, or of any length if it is negative. Its buffer grows with what arrives.
func readAll(r io.Reader, length int64) ([]byte, error) {
	const first = 2048 // bytes
	size := func(n int64) int64 {
		if length < 0 {
			return n
		}
		return min(n, length+1) // the end is read with the last byte or after it
	}
	body := make([]byte, 0, size(first))
	for {
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			return body, nil
		}
		if err != nil {
			return nil, err
		}
		if len(body) == cap(body) {
			body = append(make([]byte, 0, size(2*int64(cap(body)))), body...)
		}
	}
}

// refuse sends a refusal to the caller.
func (s *Service) refuse(w http.ResponseWriter, r *http.Request, refused *refusal) {
	if refused.retry > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(refused.retry.Seconds(), 'f', 3, 64))
	}
	if refused.challenge != "" {
		w.Header().Set("WWW-Authenticate", refused.challenge)
	}
	organisation := organisationOf(r.Context())
	s.Metrics.request(refused.route, refused.status)
	s.Metrics.refusedKey(refused.key)
	s.Metrics.organisation(organisation, organisationRefused)
	kind, lines := refusedLabel, failedLines
	if refused.key != "" { // anyone can cause these
		kind, lines = "key", degradedLines
		_ = http.NewResponseController(w).SetReadDeadline(s.Clock.Now().Add(unreadBodyTime)) // fails on a lost connection only
	}
	if omitted, ok := s.Events.Allow(kind, lines); ok {
		e := s.Log.Warn().Str("request", r.Header.Get(s.Headers.Request)).Str("route", refused.route).Str("host", r.Host).Str("path", r.URL.Path)
		if refused.key != "" {
			e = e.Str("caller", r.RemoteAddr)
		}
		logOrganisation(e, organisation).Int("status", refused.status).Str("reason", refused.reason).Int("omitted", omitted).Msg("request refused")
	}
	http.Error(w, refused.reason, refused.status)
}
