package quorum

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"time"

	"wasabirelay/consensus"
	"wasabirelay/peer"
)

// pollInterval is how often a replica in no group polls the other control hosts.
const pollInterval = 200 * time.Millisecond

// groupDecision is what a replica in no group does next. The zero value means to poll again.
type groupDecision struct {
	// bootstrap holds the members of the group to bootstrap, adopt the bootstrap members of
	// a group that another replica has bootstrapped with this one as a member.
	bootstrap, adopt []string
	// join is the host to send a join request to.
	join string
	// propose holds the members that the seeds are to agree on.
	propose []string
	// agreed is true if a majority of the seeds has accepted the members in adopt.
	agreed bool
}

// decideGroup returns what a replica in no group does next. others holds the poll responses
// of the other control hosts; hosts that did not respond are absent. hosts are all control
// hosts, starting with the one that bootstraps the group; it is empty if this replica may
// only join. A group is bootstrapped only if no control host is in a group, so that a
// replica that lost its disk can never bootstrap a second group.
func decideGroup(self Hello, hosts []string, others map[string]Hello) groupDecision {
	for _, host := range slices.Sorted(maps.Keys(others)) {
		o := others[host]
		if len(o.Members) == 0 && len(o.BootstrapMembers) == 0 {
			continue
		}
		if slices.Contains(o.BootstrapMembers, self.ID) {
			return groupDecision{adopt: o.BootstrapMembers}
		}
		return groupDecision{join: host}
	}
	members := []string{self.ID}
	for _, host := range hosts {
		if host == hostOf(self.ID) {
			continue
		}
		o, ok := others[host]
		if !ok {
			return groupDecision{}
		}
		members = append(members, o.ID)
	}
	slices.Sort(members)
	if len(hosts) == 0 || hosts[0] != hostOf(self.ID) {
		return groupDecision{}
	}
	return groupDecision{bootstrap: members}
}

// findGroup brings a replica into a group: it bootstraps a group, adopts one that was
// bootstrapped with it as a member, or joins one as a learner.
func (r *Replica) findGroup(ctx context.Context) {
	for {
		others := r.pollHosts(ctx)
		var decision groupDecision
		if r.Bootstrap == nil {
			decision = decideGroup(r.hello(), r.Peers.Hosts(), others)
		} else {
			decision = r.decideBySeeds(ctx, others)
		}
		if r.execute(ctx, decision) {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-r.Clock.After(pollInterval):
		}
	}
}

// hello describes a replica in no group.
func (r *Replica) hello() Hello {
	h := Hello{ID: r.identity.String()}
	if r.Bootstrap != nil {
		h.Agreement = TakesNoPart
	}
	return h
}

// pollHosts returns the responses of the other control hosts by host name.
func (r *Replica) pollHosts(ctx context.Context) map[string]Hello {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	type response struct {
		host  string
		hello *Hello
	}
	clients := r.Peers.Clients()
	responses := make(chan response, len(clients))
	for host, c := range clients {
		go func() {
			var h Hello
			if err := c.Call(ctx, MethodHello, struct{}{}, &h); err != nil {
				responses <- response{host, nil}
				return
			}
			responses <- response{host, &h}
		}()
	}
	out := map[string]Hello{}
	for range clients {
		if reply := <-responses; reply.hello != nil {
			out[reply.host] = *reply.hello
		}
	}
	return out
}

// execute carries out a decision. It reports whether the replica is in a group.
func (r *Replica) execute(ctx context.Context, decision groupDecision) bool {
	switch {
	case decision.bootstrap != nil:
		if !r.joinGroup(ctx, decision.bootstrap, consensus.Bootstrap(decision.bootstrap)) {
			return false
		}
		r.announceGroup(ctx, Hello{ID: r.identity.String(), Members: decision.bootstrap, BootstrapMembers: decision.bootstrap})
		return true
	case decision.propose != nil:
		return r.proposeMembers(ctx, decision.propose)
	case decision.adopt != nil:
		return r.adoptGroup(ctx, decision.adopt, decision.agreed)
	case decision.join != "":
		return r.requestJoin(ctx, decision.join)
	}
	return false
}

// announceGroup tells all control hosts of a new group.
func (r *Replica) announceGroup(ctx context.Context, h Hello) {
	for host, c := range r.Peers.Clients() {
		if err := c.Notify(ctx, MethodBootstrap, h); err != nil {
			r.Log.Warn().Err(err).Str("to", host).Msg("failed to announce the new group; the host will poll for it")
		}
	}
}

// joinGroup persists the bootstrap members and the saved state, if there is any, and starts
// the log. It does nothing if the replica has joined a group in the meantime. It reports
// whether the replica is in a group.
func (r *Replica) joinGroup(ctx context.Context, members []string, saved consensus.SavedState) bool {
	ok := false
	err := r.do(ctx, func() {
		if ok = r.node != nil; ok {
			return
		}
		if r.diskFailing.Load() {
			return
		}
		if isEmpty(saved) && !r.endAgreement() {
			return
		}
		if err := writeBootstrapMembers(r.Dir, members); err != nil {
			r.fatal = storageFailed(err, "join a group")
			return
		}
		if !isEmpty(saved) {
			if err := r.journal.Save(&saved.Hard, saved.Entries); err != nil {
				r.fatal = storageFailed(err, "join a group")
				return
			}
		}
		r.setBootstrapMembers(members)
		r.fatal = r.start(saved)
		ok = r.fatal == nil
	})
	return err == nil && ok
}

// requestJoin asks the group of a host to add this replica as a learner. It then starts the
// log without a configuration, which the leader will send.
func (r *Replica) requestJoin(ctx context.Context, host string) bool {
	callContext, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	c, ok := r.Peers.Client(host)
	if !ok {
		return false
	}
	var joined JoinResponse
	if err := c.Call(callContext, MethodJoin, JoinRequest{ID: r.identity.String()}, &joined); err != nil {
		r.Log.Warn().Err(err).Str("host", host).Msg("failed to join the group; retrying")
		return false
	}
	r.Log.Info().Str("host", host).Str("member", r.identity.String()).Msg("joining the group as a learner")
	return r.joinGroup(ctx, joined.BootstrapMembers, consensus.SavedState{})
}

// serveHello describes this replica to another control host.
func (r *Replica) serveHello(ctx context.Context, _ *peer.Conn, _ json.RawMessage) (any, error) {
	var h Hello
	err := r.do(ctx, func() {
		h = r.hello()
		if r.agreement.isOpen() {
			h.Agreement = TakesPart
		}
		if r.node == nil {
			return
		}
		m := r.node.Status().Members
		h.Members, h.BootstrapMembers = slices.Concat(m.Voters, m.Joining, m.Learners), r.bootstrapMembers
		h.Agreed = r.agreement.hasAccepted(r.bootstrapMembers)
	})
	switch {
	case err != nil:
		return nil, toRemoteError(err)
	case r.diskFailing.Load():
		return nil, unavailable()
	}
	return h, nil
}

// serveBootstrap adopts a group that another replica has bootstrapped with this one.
func (r *Replica) serveBootstrap(ctx context.Context, _ *peer.Conn, params json.RawMessage) (any, error) {
	var h Hello
	if err := peer.Decode(params, &h); err != nil {
		return nil, err
	}
	if slices.Contains(h.BootstrapMembers, r.identity.String()) {
		go r.adoptGroup(ctx, h.BootstrapMembers, h.Agreed)
	}
	return nil, nil
}

// serveJoin adds another control host to the group as a learner. A replica that is not the
// leader forwards the request to the leader, unless it has already been forwarded.
func (r *Replica) serveJoin(ctx context.Context, _ *peer.Conn, params json.RawMessage) (any, error) {
	var q JoinRequest
	if err := peer.Decode(params, &q); err != nil {
		return nil, err
	}
	if _, isControlHost := r.Peers.Address(hostOf(q.ID)); !isControlHost || !strings.Contains(q.ID, "/") {
		return nil, &peer.RemoteError{Code: peer.CodeInvalidParams, Message: q.ID + " is not an identity of a control host"}
	}
	leader := ""
	var refusal error
	var members []string
	err := r.do(ctx, func() { leader, refusal = r.addLearner(q.ID); members = r.bootstrapMembers })
	switch {
	case err != nil:
		return nil, toRemoteError(err)
	case refusal == nil:
		return JoinResponse{BootstrapMembers: members}, nil
	case leader != "" && !q.Forwarded:
		q.Forwarded = true
		var out JoinResponse
		return forward(ctx, r, leader, MethodJoin, q, &out)
	}
	return nil, toRemoteError(refusal)
}

// addLearner proposes to add a learner. If another replica is the leader, it returns that
// leader.
func (r *Replica) addLearner(id string) (leader string, err error) {
	if r.node == nil {
		return "", &consensus.NotLeaderError{}
	}
	s := r.node.Status()
	if s.Role != consensus.Leader {
		return s.Leader, &consensus.NotLeaderError{Leader: s.Leader}
	}
	if s.Members.Contains(id) {
		return "", nil
	}
	_, out, err := r.node.Change(r.Clock.Now(), consensus.MembershipChange{Action: consensus.Add, ID: id})
	if err != nil {
		return "", err
	}
	r.Log.Info().Str("member", id).Msg("adding a learner to the group")
	r.handle(out)
	return "", nil
}
