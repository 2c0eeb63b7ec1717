package relay

import (
	"bytes"
	"cmp"
	"context"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"wasabirelay/limit"
	"wasabirelay/portion"
	"wasabirelay/reach"
)

const (
	// maxPasses bounds the other hosts that a request is passed on to, one after the other. Each of
	// them but the last has refused it.
	maxPasses = 3
	// passMargin is how long before the deadline of a request another host has to end it.
	passMargin = 2 * returnMargin
)

// passEnd is the end of a request that was passed on: its last frame or an error.
type passEnd struct {
	frame *portion.Frame
	err   error
}

// passOn passes the request on to other hosts until one of them serves it. If none does, no target
// can have executed the request, and this host, which has lost its links, refuses it at once.
func (s *Service) passOn(ctx context.Context, w http.ResponseWriter, j *job) {
	hosts := s.usableHelpers(j)
	for range maxPasses {
		host, passed := s.passTo(ctx, w, j, hosts)
		if passed {
			return
		}
		if host == "" {
			break
		}
		hosts = slices.DeleteFunc(hosts, func(name string) bool { return name == host })
	}
	s.Metrics.pass(refusedLabel)
	s.refuse(w, j.Request, &refusal{
		status: http.StatusServiceUnavailable, reason: "not run: this host has lost its links to targets, and no other host takes the request",
		retry: reach.RestoreTime, route: j.route.Name,
	})
}

// usableHelpers returns the other hosts that the request can be passed on to.
func (s *Service) usableHelpers(j *job) []string {
	if s.Delegate == nil || !isPortable(j) {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(j.view.Helpers), func(name string) bool {
		return s.UsableHelper != nil && !s.UsableHelper(name)
	})
}

// passTo passes the request on to one of the hosts and sends its response. It reports false, and
// the name of the host, if that has refused the request.
func (s *Service) passTo(ctx context.Context, w http.ResponseWriter, j *job, hosts []string) (host string, passed bool) {
	now := s.Clock.Now()
	left := j.deadline.Sub(now) - passMargin
	if left <= 0 || len(hosts) == 0 {
		return "", false
	}
	request := &portion.Request{
		Method: j.Method, URI: j.RequestURI, Host: j.Host, Header: s.Headers.endToEnd(j.Header), Body: j.body, Whole: true,
		Organisation: j.organisation, Route: routeHash(j.route), Cutoff: j.partialAfter.Sub(now) - returnMargin, Timeout: left,
	}
	working, ended := make(chan struct{}, 1), make(chan passEnd, 1)
	collection, err := s.Delegate(hosts, request, func(f *portion.Frame, err error) {
		if err != nil || f.Last {
			select {
			case ended <- passEnd{f, err}:
			default: // only a faulty host ends a request twice
			}
			return
		}
		select {
		case working <- struct{}{}:
		default: // one frame shows that the host works on the request
		}
	})
	if err != nil {
		return "", false
	}
	j.usage.recordSent(now.Sub(j.started))
	silent := s.Clock.NewTimer(time.Duration(suspectShare * float64(j.route.Objective)))
	defer silent.Stop()
	for {
		select {
		case e := <-ended:
			var refused *portion.RefusedError
			if errors.As(e.err, &refused) {
				return collection.Host, false
			}
			s.endPass(w, j, &e)
			return collection.Host, true
		case <-working:
			silent.Stop()
		case <-silent.Chan():
			collection.Suspect()
		case <-ctx.Done():
			collection.Cancel()
			s.endPass(w, j, &passEnd{err: ctx.Err()})
			return collection.Host, true
		case <-s.stopper.done():
			collection.Cancel()
			s.endPass(w, j, &passEnd{err: errors.New("this host stops")})
			return collection.Host, true
		}
	}
}

// endPass sends the response of another host, or a refusal if there is none: a target may have
// executed the request.
func (s *Service) endPass(w http.ResponseWriter, j *job, e *passEnd) {
	if e.err == nil {
		e.err = s.checkPassed(j, e.frame.Reply)
	}
	s.countRun(j, e.err != nil || !s.refusesUnrun(e.frame.Reply))
	switch {
	case j.Context().Err() != nil:
		s.Metrics.pass("left")
		s.endLeft(w, j)
	case e.err == nil:
		s.Metrics.pass("served")
		reply := e.frame.Reply
		s.recordPassedDeclaration(j, reply)
		h := w.Header()
		for name, values := range s.Headers.endToEnd(reply.Header) {
			h[name] = values
		}
		setLength(h, j.Method, reply.Header.Get("Content-Length"), len(reply.Body))
		w.WriteHeader(reply.Status)
		_, _ = w.Write(reply.Body) // an error means that the caller has left
		s.recordResponse(j, reply.Status, 0, 0, nil)
	default:
		s.Metrics.pass("lost")
		f := &refusal{
			status: http.StatusBadGateway, reason: "no reply of the host that the request was passed on to: " + e.err.Error(), route: j.route.Name,
		}
		if !s.Clock.Now().Before(j.deadline) {
			f.status = http.StatusGatewayTimeout
		}
		s.refuse(w, j.Request, f)
	}
}

// refusesUnrun reports whether the reply is a refusal of another host that says that no target has run the request.
func (s *Service) refusesUnrun(reply *portion.Reply) bool {
	if reply.Header.Get(s.Headers.Signature) != "" {
		return false
	}
	return reply.Status == http.StatusServiceUnavailable || reply.Status >= 400 && reply.Status < 500
}

// checkPassed returns an error unless the response of another host can be sent: the host may run an earlier version,
// which checks less, and its route may require fewer shards. Only its own refusals name no request.
func (s *Service) checkPassed(j *job, reply *portion.Reply) error {
	if reply == nil || !isFinalStatus(reply.Status) {
		return errors.New("there is no response")
	}
	fields, err := reply.ExactHeader()
	if err == nil {
		err = limit.CheckFields(fields)
	}
	if err != nil {
		return err
	}
	reply.Header = fields
	header := limit.NewHeader(fields)
	signature, one := header.Only(s.Headers.Signature)
	success := isSuccess(reply.Status)
	if !success && signature == "" && one {
		return nil
	}
	if id, _ := header.Only(s.Headers.Request); id != j.id {
		return errors.Errorf("the response is for request %q", id)
	}
	switch {
	case success && len(j.route.Shards) > 0:
		return s.checkMerged(j, reply)
	case signature == "":
		return errUnsigned
	case misleads(j, reply.Status):
		return errors.Errorf("a target has run the request and failed with status %d", reply.Status)
	}
	return nil
}

// checkMerged returns an error if the parts of a merged response don't make up the shards of the route, or its body
// can't be theirs.
func (s *Service) checkMerged(j *job, reply *portion.Reply) error {
	parts := strings.Split(strings.Join(reply.Header.Values(s.Headers.Parts), ","), ",")
	seen := make(map[string]bool, len(parts))
	for _, signature := range parts {
		if signature = strings.TrimSpace(signature); signature == "" || seen[signature] {
			return errors.New("a part of the response has no signature of its own")
		}
		seen[signature] = true
	}
	missing := len(j.route.Shards) - len(parts)
	switch {
	case missing < 0 || len(parts) < j.route.RequiredShards() || cmp.Or(reply.Header.Get(s.Headers.Missing), "0") != strconv.Itoa(missing):
		return errors.Errorf("the response has %d parts of %d shards", len(parts), len(j.route.Shards))
	case len(reply.Body)%recordSize != 0 || len(reply.Body) > j.route.ResultLimit*recordSize:
		return errors.Errorf("the response has a body of %d bytes", len(reply.Body))
	}
	return nil
}

// isFinalStatus reports whether a response may have the status.
func isFinalStatus(status int) bool { return status >= http.StatusOK && status <= limit.MaxStatus }

// serveWhole serves a request that another host has passed on. It passes a first frame to send after
// a share of the objective, so that the other host knows that this one works on the request.
func (s *Service) serveWhole(ctx context.Context, j *job, send func(*portion.Frame)) *portion.Frame {
	ctx, cancel := context.WithDeadline(ctx, j.deadline)
	defer cancel()
	reply := &replyRecorder{header: http.Header{}}
	report := s.Clock.AfterFunc(time.Duration(reportShare*float64(j.route.Objective)), func() { send(&portion.Frame{}) })
	s.serve(ctx, reply, j)
	report.Stop()
	if reply.status == 0 { // the other host has left, and nothing was written
		return &portion.Frame{}
	}
	out := &portion.Reply{Status: reply.status, Body: reply.body.Bytes()}
	out.SetHeader(reply.header)
	if r := reply.result; r != nil {
		out.Target, out.Incarnation = r.target.Name, r.target.Incarnation
		if s.DecodeDeclaration != nil {
			if d, ok := s.DecodeDeclaration(s.Clock.Now(), r.response.Status, &r.response.Header); ok {
				out.Declared = &d
			}
		}
	}
	return &portion.Frame{Reply: out}
}

// recordPassedDeclaration records what a target declares in a reply that another host has passed on.
func (s *Service) recordPassedDeclaration(j *job, reply *portion.Reply) {
	if reply.Declared == nil {
		return
	}
	for _, list := range j.view.Targets {
		for _, t := range list {
			if t.Name == reply.Target && t.Incarnation == reply.Incarnation {
				s.Declared.Record(t, j.started, s.Clock.Now(), *reply.Declared)
				return
			}
		}
	}
}

// replyRecorder is an http.ResponseWriter that keeps a response.
type replyRecorder struct {
	header http.Header
	status int
	body   bytes.Buffer
	// result is set if the response is the reply of one target.
	result *result
}

func (r *replyRecorder) Header() http.Header { return r.header }

func (r *replyRecorder) WriteHeader(status int) {
	if r.status == 0 {
		r.status = status
	}
}

func (r *replyRecorder) Write(b []byte) (int, error) {
	r.WriteHeader(http.StatusOK)
	return r.body.Write(b)
}
