// Package duty decides when this host may do work that one host at a time does for all, and in which
// order. It claims a duty with a fencing token in the replicated log, and acts only under a lease that is derived
// from its leadership of the log.
package duty

import (
	"net/netip"
	"slices"
	"time"

	"wasabirelay/control"
)

const (
	// minBackoff is the delay after a failed call; it grows by growth up to maxBackoff. Each call costs the
	// provider something, also one that fails, but work is due within seconds.
	minBackoff, maxBackoff, growth = 250 * time.Millisecond, 5 * time.Second, 1.5
	// confirmShare is the fraction of a lease after which leadership is confirmed again before a call.
	confirmShare = 0.5
)

// Action is what the holder of a duty has to do next.
type Action int

// Actions. Fix is requested by the caller of Next, who knows which work is due.
const (
	// Wait means that there is nothing to do.
	Wait Action = iota
	// Confirm means that leadership has to be confirmed; see Holder.Confirmed.
	Confirm
	// Claim means that Holder.NextClaim has to be proposed; see Holder.Claimed.
	Claim
	// Call means that Holder.First has to be done now, under Holder.Token; see Holder.Called.
	Call
	// Finish means that it has to be recorded that the first work is done; see Holder.Finished.
	Finish
	// Fix means that work that is due may be fixed; see Holder.Fixed.
	Fix
)

// Outcome is the outcome of a call.
type Outcome int

// Values of Outcome.
const (
	// Done means that the work was accepted.
	Done Outcome = iota
	// Failed means that there was no answer, or one that asks to try again later.
	Failed
	// Refused means that the call was refused because a higher token was seen.
	Refused
)

// Holder decides what the leader of the replicated log does for a duty. Times are readings of a clock that
// counts suspended time. Exported fields are set before use. It is not safe for concurrent use.
type Holder struct {
	// Name is the name of this host. Address is its address, by which a holder is known, whatever its name.
	Name    string
	Address netip.AddrPort
	// Lease is the time after which another host may claim the duty. Tolerance is for how long this
	// host may be suspended between its last check and a call.
	Lease, Tolerance time.Duration
	// Interval is the minimum time between the starts of two calls.
	Interval time.Duration

	// term is the term that this host leads, since when it first noticed that.
	term  uint64
	since time.Duration
	// confirmed is when the round began in which leadership was last confirmed; known is false if
	// there was none in this term.
	confirmed time.Duration
	known     bool
	state     control.Duty
	// token is that of the claim of this host in this term; 0 if there is none.
	token      uint64
	claimedAt  time.Duration
	refused    bool
	claimAfter time.Duration
	callAfter  time.Duration
	backoff    time.Duration
	failures   int
	unfinished bool
	doneNumber uint64
}

// Lead records whether this host leads the log, and the term. The holder forgets its token with its
// leadership.
func (h *Holder) Lead(now time.Duration, leader bool, term uint64) {
	switch {
	case !leader:
		h.reset(0, now)
	case term != h.term:
		h.reset(term, now)
	}
}

func (h *Holder) reset(term uint64, now time.Duration) {
	h.term, h.since = term, now
	h.known, h.state, h.token, h.refused, h.unfinished = false, control.Duty{}, 0, false, false
	h.claimAfter, h.callAfter, h.backoff, h.failures = 0, 0, 0, 0
}

// Confirmed records that leadership was confirmed in a round that began at a time, and the state of the
// duty. If another claim is in force, the token is dropped.
func (h *Holder) Confirmed(began time.Duration, term uint64, state control.Duty) {
	if term != h.term {
		return
	}
	h.confirmed, h.known, h.state = began, true, state
	if h.token != 0 && state.Token != h.token {
		h.token = 0
	}
}

// Next returns what to do now.
func (h *Holder) Next(now time.Duration) Action {
	switch {
	case h.term == 0:
		return Wait
	case h.token == 0:
		return h.nextClaim(now)
	case !h.known:
		return Confirm
	case h.unfinished:
		return Finish
	case len(h.state.Work) > 0 && now >= h.callAfter:
		if !h.mayCall(now) || now-h.confirmed >= time.Duration(confirmShare*float64(h.Lease)) {
			return Confirm
		}
		return Call
	}
	return Fix
}

// mayCall reports whether no other host can have claimed the duty, even if this host is suspended for
// Tolerance from now on.
func (h *Holder) mayCall(now time.Duration) bool {
	return h.term != 0 && h.known && h.token != 0 && h.state.Token == h.token && now < h.confirmed+h.Lease-h.Tolerance
}

// nextClaim returns Claim once the lease of any other holder has ended: that was granted to an earlier
// leader before this host was elected.
func (h *Holder) nextClaim(now time.Duration) Action {
	if !h.known {
		return Confirm
	}
	wait := h.since + h.Lease
	if h.state.Token != 0 && h.state.Address == h.Address && !h.refused {
		wait = 0
	}
	switch {
	case now < wait || now < h.claimAfter:
		return Wait
	case now-h.confirmed >= time.Duration(confirmShare*float64(h.Lease)):
		return Confirm
	}
	return Claim
}

// NextClaim returns the claim to propose. first is the first number to use if the state of the duty is
// not known: no earlier holder can have done it.
func (h *Holder) NextClaim(first uint64) *control.ClaimDuty {
	c := &control.ClaimDuty{Holder: h.Name, Address: h.Address, Next: h.state.Next, Work: h.state.Work, Dropped: h.state.Dropped}
	if h.state.Token == 0 {
		c.Next, c.Work = first, nil
	}
	return c
}

// Claimed records that the claim was committed with a token, or that its outcome is not known if the token is
// 0.
func (h *Holder) Claimed(now time.Duration, token uint64) {
	h.token, h.known, h.refused, h.claimedAt = token, false, false, now
	if token == 0 {
		h.claimAfter = now + minBackoff
	}
}

// Token returns the fencing token of this host, or 0 if it has none.
func (h *Holder) Token() uint64 { return h.token }

// HeldFor returns how long this host has had its token.
func (h *Holder) HeldFor(now time.Duration) time.Duration { return now - h.claimedAt }

// State returns the state of the duty as far as this host knows it.
func (h *Holder) State() control.Duty { return h.state }

// First returns the work to do, and the time until which a call may begin.
func (h *Holder) First() (work control.Work, until time.Duration) {
	return h.state.Work[0], h.confirmed + h.Lease - h.Tolerance
}

// Called records the outcome of the call for the first work, which began at a time.
func (h *Holder) Called(began, now time.Duration, o Outcome) {
	switch o {
	case Done:
		h.unfinished, h.doneNumber = true, h.state.Work[0].Number
		h.callAfter, h.backoff, h.failures = began+h.Interval, 0, 0
	case Failed:
		h.failures++
		h.backoff = min(max(minBackoff, time.Duration(growth*float64(h.backoff))), maxBackoff)
		h.callAfter = max(now, began) + max(h.backoff, h.Interval)
	case Refused:
		h.token, h.refused, h.claimAfter = 0, true, now+h.Lease
	}
}

// Failures returns how many calls have failed since the last one that did not.
func (h *Holder) Failures() int { return h.failures }

// Done returns the number of the work that is to be recorded as done.
func (h *Holder) Done() uint64 { return h.doneNumber }

// Finished records that the first work was recorded as done.
func (h *Holder) Finished() {
	h.unfinished = false
	if len(h.state.Work) > 0 && h.state.Work[0].Number == h.doneNumber {
		h.state.Work = h.state.Work[1:]
	}
}

// Fixed records that work was fixed.
func (h *Holder) Fixed(w control.Work) {
	h.state.Work, h.state.Next = append(slices.Clone(h.state.Work), w), w.Number+1
	if excess := len(h.state.Work) - control.MaxDutyWork; excess > 0 {
		h.state.Work = h.state.Work[excess:]
	}
}

// Doubt records that the outcome of a command is not known. The state is confirmed again before the
// next step.
func (h *Holder) Doubt() { h.known = false }
