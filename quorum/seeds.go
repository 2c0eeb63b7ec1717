package quorum

import (
	"context"
	"encoding/json"
	"maps"
	"math/rand/v2"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/pkg/errors"

	"wasabirelay/consensus"
	"wasabirelay/journal"
	"wasabirelay/peer"
)

const (
	// agreementFile holds the agreement of a host. Versions without it ignore the file.
	agreementFile = "agreement"
	// agreeTimeout bounds a request to another seed.
	agreeTimeout = 500 * time.Millisecond
	// proposeBackoff is the most that a seed waits after a proposal that failed, so that two seeds don't overtake each other
	// for ever.
	proposeBackoff = 400 * time.Millisecond
)

// Bootstrap says how a majority of seeds bootstraps a group.
type Bootstrap struct {
	// Seeds are the peer addresses of the hosts that agree on the members. They are the same on all hosts.
	Seeds []netip.AddrPort
	// Self is the peer address of this host.
	Self netip.AddrPort
	// First is true if the whole system starts for the first time. A host with an empty directory takes part in the
	// agreement only then: it may have lost what it has promised.
	First bool
	// Age returns the time since the process has started, and since it has last discovered a control host.
	Age func() (age, quiet time.Duration)
}

// loadAgreement reads the agreement, and makes a new one durable at the first start. A member of a group needs it only to
// tell that the group was agreed on.
func (r *Replica) loadAgreement(member bool) error {
	r.agreement = nil
	b := r.Bootstrap
	if b == nil {
		return nil
	}
	a, err := readAgreement(filepath.Join(r.Dir, agreementFile))
	switch {
	case err != nil && member:
		r.Log.Warn().Err(err).Msg("the agreement on the bootstrap members can't be read; this host is in the group already")
		return nil
	case err != nil:
		return err
	case a == nil && !member && b.First && slices.Contains(b.Seeds, b.Self):
		return r.saveAgreement(agreement{Seeds: b.Seeds})
	}
	r.agreement = a
	return nil
}

// readAgreement reads an agreement. It returns nil if there is none.
func readAgreement(path string) (*agreement, error) {
	text, err := journal.ReadChecked(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, errors.Wrap(err, "read agreement")
	}
	var a agreement
	if err := json.Unmarshal(text, &a); err != nil {
		return nil, &journal.CorruptError{File: path, Reason: err.Error()}
	}
	return &a, nil
}

// saveAgreement makes an agreement durable.
func (r *Replica) saveAgreement(a agreement) error {
	text, err := json.Marshal(a)
	if err != nil {
		return errors.Wrap(err, "encode agreement")
	}
	if err := journal.WriteChecked(filepath.Join(r.Dir, agreementFile), append(text, '\n')); err != nil {
		return errors.Wrap(err, "write agreement")
	}
	r.agreement = &a
	return nil
}

// endAgreement ends the part of this host in the agreement before it joins a group. It reports whether that is durable.
func (r *Replica) endAgreement() bool {
	if !r.agreement.isOpen() {
		return true
	}
	a := *r.agreement
	a.Ended = true
	if err := r.saveAgreement(a); err != nil {
		r.fatal = storageFailed(err, "join a group")
		return false
	}
	return true
}

// answerAgree answers a request once the answer is durable. It runs on the control goroutine.
func (r *Replica) answerAgree(q *AgreeRequest) *AgreeResponse {
	switch {
	case r.node != nil:
		return &AgreeResponse{Member: true}
	case r.agreement == nil || r.diskFailing.Load() || r.fatal != nil:
		return &AgreeResponse{}
	}
	next, response := r.agreement.answer(q)
	if !response.Granted {
		return response
	}
	if err := r.saveAgreement(next); err != nil {
		r.fatal = storageFailed(err, "agree on bootstrap members")
		return &AgreeResponse{}
	}
	return response
}

// serveAgree answers a request of another seed.
func (r *Replica) serveAgree(ctx context.Context, _ *peer.Conn, params json.RawMessage) (any, error) {
	var q AgreeRequest
	if err := peer.Decode(params, &q); err != nil {
		return nil, err
	}
	var response *AgreeResponse
	if err := r.do(ctx, func() { response = r.answerAgree(&q) }); err != nil {
		return nil, toRemoteError(err)
	}
	return response, nil
}

// decideBySeeds returns what a replica in no group does next; see decideGroup.
func (r *Replica) decideBySeeds(ctx context.Context, others map[string]Hello) groupDecision {
	var decision groupDecision
	if err := r.do(ctx, func() { decision = r.decideWithAgreement(others) }); err != nil {
		return groupDecision{}
	}
	return decision
}

// decideWithAgreement is decideBySeeds on the control goroutine.
func (r *Replica) decideWithAgreement(others map[string]Hello) groupDecision {
	seeds := r.Bootstrap.Seeds
	if r.agreement != nil {
		seeds = r.agreement.Seeds // those of the settings may change later
	}
	bySeed := map[netip.AddrPort]Hello{}
	for host, h := range others {
		if address, ok := r.Peers.Address(host); ok && slices.Contains(seeds, address) {
			bySeed[address] = h
		}
	}
	decision := decideMembership(r.identity.String(), r.agreement, len(seeds), bySeed, others)
	if decision.adopt != nil || decision.join != "" || !r.agreement.isOpen() {
		return decision
	}
	first, ok := bySeed[seeds[0]]
	view := bootstrapView{
		position: slices.Index(seeds, r.Bootstrap.Self), seeds: len(seeds), responding: len(bySeed) + 1, firstIsOlder: ok && first.Agreement == "",
	}
	view.age, view.quiet = r.Bootstrap.Age()
	if !view.mayPropose() {
		return groupDecision{}
	}
	members := []string{r.identity.String()}
	for _, h := range others {
		members = append(members, h.ID)
	}
	slices.Sort(members)
	return groupDecision{propose: members}
}

// decideMembership returns the group that a replica adopts or joins, if there is one. own is its agreement, bySeed holds the
// poll responses of the other seeds. A group that was not agreed on was bootstrapped by an earlier version. The replica
// adopts it only if no other members can be agreed on any more: if a majority of the seeds is in it, or with the
// acceptance of this replica (see adoptGroup).
func decideMembership(self string, own *agreement, seeds int, bySeed map[netip.AddrPort]Hello, others map[string]Hello) groupDecision {
	for _, host := range slices.Sorted(maps.Keys(others)) {
		o := others[host]
		if len(o.Members) == 0 && len(o.BootstrapMembers) == 0 {
			continue
		}
		if !slices.Contains(o.BootstrapMembers, self) {
			return groupDecision{join: host}
		}
		inGroup := 0
		for _, h := range bySeed {
			if slices.Equal(h.BootstrapMembers, o.BootstrapMembers) {
				inGroup++
			}
		}
		agreed := o.Agreed || own.hasAccepted(o.BootstrapMembers) || inGroup >= majority(seeds)
		if agreed || own.isOpen() {
			return groupDecision{adopt: o.BootstrapMembers, agreed: agreed}
		}
	}
	return groupDecision{}
}

// adoptGroup starts the log of a group that was bootstrapped with this replica. Members that were not agreed on have to be
// accepted first, as a proposal of the first seed. It reports whether the replica is in a group.
func (r *Replica) adoptGroup(ctx context.Context, members []string, agreed bool) bool {
	if r.Bootstrap != nil && !agreed {
		accepted := false
		err := r.do(ctx, func() {
			if r.agreement.isOpen() {
				accepted = r.agreement.hasAccepted(members) ||
					r.answerAgree(&AgreeRequest{Seeds: r.agreement.Seeds, Ballot: firstBallot, Members: members}).Granted
			}
		})
		if err != nil || !accepted {
			return false
		}
	}
	return r.joinGroup(ctx, members, consensus.Bootstrap(members))
}

// proposeMembers asks the seeds to agree on the members, and bootstraps the group with those that they agree on. It reports whether
// the replica is in a group.
func (r *Replica) proposeMembers(ctx context.Context, members []string) bool {
	var p *proposal
	err := r.do(ctx, func() {
		if r.node == nil && r.agreement.isOpen() {
			p = newProposal(r.agreement, r.seenBallot, slices.Index(r.agreement.Seeds, r.Bootstrap.Self), members)
		}
	})
	if err != nil || p == nil {
		return false
	}
	for p.state == proposed {
		q := p.request
		var own *AgreeResponse
		if err := r.do(ctx, func() { own = r.answerAgree(&q) }); err != nil {
			return false
		}
		if p.handle(r.Bootstrap.Self, &q, own); !own.Granted {
			break
		}
		if p.isPending(&q) {
			r.askSeeds(ctx, p, &q)
		}
	}
	if p.state != chosen {
		_ = r.do(ctx, func() { r.seenBallot = max(r.seenBallot, p.seen) }) // the error says that the replica stops
		r.Log.Info().Int64("ballot", int64(p.request.Ballot)).Strs("members", p.members).Msg("the seeds have not agreed on the bootstrap members; retrying")
		select {
		case <-ctx.Done():
		case <-r.Clock.After(rand.N(proposeBackoff)):
		}
		return false
	}
	members = p.request.Members
	r.Log.Info().Int64("ballot", int64(p.request.Ballot)).Strs("members", members).Msg("the seeds have agreed on the bootstrap members")
	r.announceGroup(ctx, Hello{ID: r.identity.String(), Members: members, BootstrapMembers: members, Agreed: true})
	return slices.Contains(members, r.identity.String()) && r.joinGroup(ctx, members, consensus.Bootstrap(members))
}

// askSeeds sends a request to the other seeds until the proposal gets ahead or all have answered.
func (r *Replica) askSeeds(ctx context.Context, p *proposal, q *AgreeRequest) {
	ctx, cancel := context.WithTimeout(ctx, agreeTimeout)
	defer cancel()
	type result struct {
		seed     netip.AddrPort
		response *AgreeResponse
	}
	results := make(chan result, len(q.Seeds))
	asked := 0
	for host, c := range r.Peers.Clients() {
		seed, ok := r.Peers.Address(host)
		if !ok || !slices.Contains(q.Seeds, seed) {
			continue
		}
		asked++
		go func() {
			var response AgreeResponse
			err := c.Call(ctx, MethodAgree, q, &response)
			var remote *peer.RemoteError
			// A seed of an earlier version adopts what the first seed announces, and proposes nothing itself.
			if errors.As(err, &remote) && remote.Code == peer.CodeMethodNotFound {
				response.Granted = q.Ballot == firstBallot
			}
			results <- result{seed, &response}
		}()
	}
	for range asked {
		answer := <-results
		if p.handle(answer.seed, q, answer.response); !p.isPending(q) {
			return
		}
	}
	p.state = abandoned
}
