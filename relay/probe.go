package relay

import (
	"context"
	"math/rand/v2"
	"time"

	"wasabirelay/control"
	"wasabirelay/reach"
	"wasabirelay/route"
)

const (
	// probesAtOnce is the number of targets that are probed at the same time while the links are lost.
	probesAtOnce = 2
	// minSilence is how long after it was sent an attempt without a reply that is given up counts as
	// lost.
	minSilence = 100 * time.Millisecond
)

// recordReach records what an attempt shows of the links of this host.
func (s *Service) recordReach(now time.Time, r *result, sinceSent time.Duration) {
	switch {
	case r.outcome.HasReply():
		s.Reach.RecordReply(now)
	case r.outcome != route.Cancelled || r.ran && sinceSent >= minSilence:
		s.Reach.RecordLoss(now, r.target.Name)
	}
}

// RunProbes connects to targets while this host has lost its links, until ctx ends.
func (s *Service) RunProbes(ctx context.Context) error {
	ticker := s.Clock.NewTicker(reach.ProbeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.Chan():
		}
		if !s.Reach.Lost() {
			continue
		}
		for _, t := range s.probeTargets() {
			go func() { s.Reach.RecordProbe(s.Clock.Now(), s.Pool.Probe(t) == nil) }()
		}
	}
}

// probeTargets returns some targets, drawn at random.
func (s *Service) probeTargets() []*control.Target {
	v := s.View()
	if v == nil {
		return nil
	}
	var all []*control.Target
	for _, list := range v.Targets {
		for _, t := range list {
			if t.State == control.Warm && !v.Out[t.Centre] && s.Pool.HasShare(t) {
				all = append(all, t)
			}
		}
	}
	rand.Shuffle(len(all), func(i, k int) { all[i], all[k] = all[k], all[i] })
	return all[:min(len(all), probesAtOnce)]
}
