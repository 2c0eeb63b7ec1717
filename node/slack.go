package node

import (
	"slices"
	"time"

	"wasabirelay/declaration"
)

// maxSilence is the time without news from control hosts after which a host gives up its shares of
// the retry budget. Hosts agree on the active hosts within the same time. With the window of the
// budget, it has to stay within inactiveHostTTL: until then the others leave the shares to it.
const maxSilence = 5 * time.Second

// startShare is the most that a host uses in the first seconds of a deployment, when it may not know
// all others yet.
const startShare = 1.0 / 8

// dividedSlack is the fraction of the constant part that is divided. The rest is for hosts without a
// share, each of which may be one repeat ahead of the share of its requests.
const dividedSlack = 0.95

// slackShares computes this host's shares of the constant part of the retry budget. All shares that
// hosts have used within one window add up to one although hosts learn at different times who is
// active: a smaller share applies at once, a larger one after a window and maxSilence, by when no
// host uses the share that it had before.
type slackShares struct {
	window time.Duration
	// contact is when a control host last sent news, since the time from which such news never
	// failed to come for maxSilence.
	contact, since time.Time
	// starting is true if since is the first start of all hosts, before which none has used any share.
	starting bool
	general  shareHistory
	// services holds the shares of services that only some hosts ask.
	services map[string]*shareHistory
}

// slackView holds the shares that apply until a time, which only news from a control host moves.
type slackView struct {
	until time.Time
	// most bounds the shares.
	most     float64
	general  float64
	services map[string]float64
}

// settled is how long a larger share has to be known before it applies.
func (s *slackShares) settled() time.Duration { return s.window + maxSilence }

// update records the shares that follow from what control hosts have sent until contact. If first
// is true, no host has used the budget before this run.
func (s *slackShares) update(now, contact time.Time, first bool, share float64, divisions map[string]*declaration.Division) *slackView {
	switch {
	case contact.IsZero():
		return &slackView{}
	case s.contact.IsZero() && first:
		s.since, s.starting = contact.Add(-s.window), true
	case contact.Sub(s.contact) > maxSilence:
		s.since, s.starting = contact, false
	}
	s.contact = contact
	if s.services == nil {
		s.services = map[string]*shareHistory{}
	}
	for service := range divisions {
		if s.services[service] == nil {
			s.services[service] = &shareHistory{slices.Clone(s.general.samples)}
		}
	}
	oldest := now.Add(-s.settled())
	v := &slackView{most: 1, general: s.general.add(now, oldest, share), services: map[string]float64{}}
	for service, h := range s.services {
		if d := divisions[service]; d != nil {
			v.services[service] = h.add(now, oldest, d.Share)
			continue
		}
		if v.services[service] = h.add(now, oldest, share); len(h.samples) == 1 && !h.samples[0].at.After(oldest) {
			delete(s.services, service) // all hosts have asked it for long enough
		}
	}
	switch {
	case now.Sub(s.since) >= s.settled():
		v.until = contact.Add(maxSilence)
	case s.starting:
		v.until, v.most = contact.Add(maxSilence), startShare
	}
	return v
}

// share returns the share that applies to a service.
func (v *slackView) share(service string, now time.Time) float64 {
	if !now.Before(v.until) {
		return 0
	}
	share, ok := v.services[service]
	if !ok {
		share = v.general
	}
	return dividedSlack * min(share, v.most)
}

// shareHistory finds the smallest share within a time.
type shareHistory struct {
	// samples are in order of time and of size. Each holds from its time until that of the next.
	samples []shareSample
}

type shareSample struct {
	at    time.Time
	share float64
}

// add records a share and returns the smallest one since oldest.
func (h *shareHistory) add(now, oldest time.Time, share float64) float64 {
	at := now
	for n := len(h.samples); n > 0 && h.samples[n-1].share >= share; n = len(h.samples) {
		at, h.samples = h.samples[n-1].at, h.samples[:n-1]
	}
	h.samples = append(h.samples, shareSample{at, share})
	for len(h.samples) > 1 && !h.samples[1].at.After(oldest) {
		h.samples = h.samples[1:]
	}
	return h.samples[0].share
}
