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

// enterInterval is how often a blank replica asks the other control hosts.
const enterInterval = 200 * time.Millisecond

// entry is what a blank replica does next.
type entry struct {
	// found holds the members of the group to found, adopt the founders of the group
	// that another replica has founded with this one in it.
	found, adopt []string
	// join names the host whose group this replica asks to join.
	join string
}

// decide returns what a blank replica does, given what the other control hosts
// said; hosts that gave no answer are absent. A group is founded only if every
// control host is blank, so that a replica that lost its disk can never found a
// second group. hosts are all control hosts, the one that founds first, or none if this
// replica may only join.
func decide(self Hello, hosts []string, others map[string]Hello) entry {
	for _, host := range slices.Sorted(maps.Keys(others)) {
		o := others[host]
		if len(o.Members) == 0 && len(o.BootstrapMembers) == 0 {
			continue
		}
		if slices.Contains(o.BootstrapMembers, self.ID) {
			return entry{adopt: o.BootstrapMembers}
		}
		return entry{join: host}
	}
	members := []string{self.ID}
	for _, host := range hosts {
		if host == hostOf(self.ID) {
			continue
		}
		o, ok := others[host]
		if !ok {
			return entry{}
		}
		members = append(members, o.ID)
	}
	slices.Sort(members)
	if len(hosts) == 0 || hosts[0] != hostOf(self.ID) {
		return entry{}
	}
	return entry{found: members}
}

// enter brings a blank replica into a group: it founds one, adopts one that was
// founded with it, or joins one as a learner.
func (r *Replica) enter(ctx context.Context) {
	for {
		others := r.ask(ctx)
		e := decide(r.hello(), r.mayFound(), others)
		if r.act(ctx, e) {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-r.Clock.After(enterInterval):
		}
	}
}

// mayFound returns the hosts that found a group together with this one.
func (r *Replica) mayFound() []string {
	if r.BootstrapHosts != nil {
		return r.BootstrapHosts()
	}
	return r.Peers.Hosts()
}

func (r *Replica) hello() Hello { return Hello{ID: r.identity.String()} }

// ask asks the other control hosts who they are.
func (r *Replica) ask(ctx context.Context) map[string]Hello {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	type answer struct {
		host  string
		hello *Hello
	}
	clients := r.Peers.Clients()
	answers := make(chan answer, len(clients))
	for host, c := range clients {
		go func() {
			var h Hello
			if err := c.Call(ctx, MethodHello, struct{}{}, &h); err != nil {
				answers <- answer{host, nil}
				return
			}
			answers <- answer{host, &h}
		}()
	}
	out := map[string]Hello{}
	for range clients {
		if a := <-answers; a.hello != nil {
			out[a.host] = *a.hello
		}
	}
	return out
}

// act carries out a decision. It reports whether the replica is in a group.
func (r *Replica) act(ctx context.Context, e entry) bool {
	switch {
	case e.found != nil:
		if !r.enterGroup(ctx, e.found, consensus.Bootstrap(e.found)) {
			return false
		}
		for host, c := range r.Peers.Clients() {
			if err := c.Notify(ctx, MethodBootstrap, Hello{ID: r.identity.String(), Members: e.found, BootstrapMembers: e.found}); err != nil {
				r.Log.Warn().Err(err).Str("to", host).Msg("founding not announced, the host will ask")
			}
		}
		return true
	case e.adopt != nil:
		return r.enterGroup(ctx, e.adopt, consensus.Bootstrap(e.adopt))
	case e.join != "":
		return r.join(ctx, e.join)
	}
	return false
}

// enterGroup persists the founders and the saved state, if there is any, and starts
// the log. It reports whether the replica is in a group; it may have been brought
// into one meanwhile.
func (r *Replica) enterGroup(ctx context.Context, founders []string, saved consensus.SavedState) bool {
	ok := false
	err := r.do(ctx, func() {
		if ok = r.node != nil; ok {
			return
		}
		if r.fatal = writeFounders(r.Dir, founders); r.fatal != nil {
			return
		}
		if !blank(saved) {
			if r.fatal = r.journal.Save(&saved.Hard, saved.Entries); r.fatal != nil {
				return
			}
		}
		r.setFounders(founders)
		r.fatal = r.start(saved)
		ok = r.fatal == nil
	})
	return err == nil && ok
}

// join asks a member's group to add this replica as a learner, and starts the
// log without a configuration: the leader sends it.
func (r *Replica) join(ctx context.Context, host string) bool {
	call, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	c, ok := r.Peers.Client(host)
	if !ok {
		return false
	}
	var joined JoinResponse
	if err := c.Call(call, MethodJoin, JoinRequest{ID: r.identity.String()}, &joined); err != nil {
		r.Log.Warn().Err(err).Str("host", host).Msg("group not joined yet")
		return false
	}
	r.Log.Info().Str("host", host).Str("member", r.identity.String()).Msg("joining the group as a learner")
	return r.enterGroup(ctx, joined.BootstrapMembers, consensus.SavedState{})
}

func (r *Replica) serveHello(ctx context.Context, _ *peer.Conn, _ json.RawMessage) (any, error) {
	h := r.hello()
	err := r.do(ctx, func() {
		if r.node == nil {
			return
		}
		m := r.node.Status().Members
		h.Members, h.BootstrapMembers = slices.Concat(m.Voters, m.Joining, m.Learners), r.founders
	})
	if err != nil {
		return nil, remote(err)
	}
	return h, nil
}

func (r *Replica) serveFound(ctx context.Context, _ *peer.Conn, params json.RawMessage) (any, error) {
	var h Hello
	if err := peer.Decode(params, &h); err != nil {
		return nil, err
	}
	if slices.Contains(h.BootstrapMembers, r.identity.String()) {
		go r.enterGroup(ctx, h.BootstrapMembers, consensus.Bootstrap(h.BootstrapMembers))
	}
	return nil, nil
}

func (r *Replica) serveJoin(ctx context.Context, _ *peer.Conn, params json.RawMessage) (any, error) {
	var q JoinRequest
	if err := peer.Decode(params, &q); err != nil {
		return nil, err
	}
	if _, known := r.Peers.Address(hostOf(q.ID)); !known || !strings.Contains(q.ID, "/") {
		return nil, &peer.RemoteError{Code: peer.CodeInvalid, Message: q.ID + " is not an identity of a control host"}
	}
	leader := ""
	var refused error
	var founders []string
	err := r.do(ctx, func() { leader, refused = r.addLearner(q.ID); founders = r.founders })
	switch {
	case err != nil:
		return nil, remote(err)
	case refused == nil:
		return JoinResponse{BootstrapMembers: founders}, nil
	case leader != "" && !q.Forwarded:
		q.Forwarded = true
		var out JoinResponse
		return forward(ctx, r, leader, MethodJoin, q, &out)
	}
	return nil, remote(refused)
}

// addLearner proposes to add a member. It returns the leader if that is another.
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
