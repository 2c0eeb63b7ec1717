package control

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/netip"
	"slices"
)

// MaxDutyWork bounds the work of a duty that is fixed and not done. Beyond it, the oldest is dropped.
const MaxDutyWork = 120

// DutyStep changes the state of a duty. Exactly one of its parts is set. Earlier versions skip it.
type DutyStep struct {
	Duty   string      `json:"duty"`
	Claim  *ClaimDuty  `json:"claim,omitempty"`
	Fix    *FixWork    `json:"fix,omitempty"`
	Finish *FinishWork `json:"finish,omitempty"`
}

// ClaimDuty makes a host the holder of a duty. It replaces the whole state of the duty, so that replicas
// that lost the state with a snapshot of an earlier version have it again. Only the leader may propose it.
type ClaimDuty struct {
	Holder  string         `json:"holder"`
	Address netip.AddrPort `json:"address"`
	Next    uint64         `json:"next"`
	Work    []Work         `json:"work,omitempty"`
	Dropped uint64         `json:"dropped,omitempty"`
}

// FixWork fixes the content of a work item before it is done for the first time.
type FixWork struct {
	Token uint64 `json:"token"`
	Work  Work   `json:"work"`
}

// FinishWork removes the first work item, which is done.
type FinishWork struct {
	Token  uint64 `json:"token"`
	Number uint64 `json:"number"`
}

// Work is a work item of a duty. Its content never changes.
type Work struct {
	Number  uint64          `json:"number"`
	Content json.RawMessage `json:"content"`
}

// Duty is the state of a duty that one host has at a time.
type Duty struct {
	// Token is the fencing token, which is the log index of the claim. It is 0 if no claim is known.
	Token uint64 `json:"token"`
	// Holder is the name of the host that has the duty, Address its address for other hosts.
	Holder  string         `json:"holder"`
	Address netip.AddrPort `json:"address"`
	// Next is the least number whose content is not fixed.
	Next uint64 `json:"next"`
	// Work lists the work that is fixed and not done, in its order.
	Work []Work `json:"work,omitempty"`
	// Dropped counts the items that were dropped because too many waited.
	Dropped uint64 `json:"dropped,omitempty"`
}

// Duties returns the duties by name. The result must not be modified.
func (s *State) Duties() map[string]Duty { return s.duties }

func (s *State) stepDuty(d *DutyStep) *Refusal {
	duty := s.duties[d.Duty]
	var refusal *Refusal
	switch {
	case d.Duty == "":
		refusal = &Refusal{Kind: Invalid, Detail: "a step names a duty"}
	case d.Claim != nil:
		duty = Duty{
			Token: s.index, Holder: d.Claim.Holder, Address: d.Claim.Address, Next: d.Claim.Next, Work: d.Claim.Work, Dropped: d.Claim.Dropped,
		}
	case d.Fix != nil:
		refusal = duty.fix(d.Fix)
	case d.Finish != nil:
		refusal = duty.finish(d.Finish)
	default:
		refusal = &Refusal{Kind: Invalid, Detail: "a step has one part"}
	}
	if refusal != nil {
		return refusal
	}
	next := maps.Clone(s.duties)
	if next == nil {
		next = map[string]Duty{}
	}
	next[d.Duty] = duty
	s.duties = next
	return nil
}

func (d *Duty) checkToken(token uint64) *Refusal {
	if token == 0 || token != d.Token {
		return &Refusal{Kind: Stale, Detail: fmt.Sprintf("the token is %d, not %d", d.Token, token)}
	}
	return nil
}

func (d *Duty) fix(f *FixWork) *Refusal {
	if refusal := d.checkToken(f.Token); refusal != nil {
		return refusal
	}
	if f.Work.Number < d.Next {
		return &Refusal{Kind: Taken, Detail: fmt.Sprintf("the content of %d is fixed", f.Work.Number)}
	}
	d.Next = f.Work.Number + 1
	d.Work = append(slices.Clone(d.Work), f.Work)
	if excess := len(d.Work) - MaxDutyWork; excess > 0 {
		d.Work = d.Work[excess:]
		d.Dropped += uint64(excess)
	}
	return nil
}

// finish has no effect if the item was finished before.
func (d *Duty) finish(f *FinishWork) *Refusal {
	if refusal := d.checkToken(f.Token); refusal != nil {
		return refusal
	}
	if len(d.Work) > 0 && d.Work[0].Number == f.Number {
		d.Work = d.Work[1:]
	}
	return nil
}
