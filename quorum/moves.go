package quorum

import (
	"context"
	"encoding/json"
	"time"

	"wasabirelay/consensus"
	"wasabirelay/control"
	"wasabirelay/move"
	"wasabirelay/peer"
)

// moveInterval is how often the leader looks at the moves, as often as hosts report.
const moveInterval = 500 * time.Millisecond

// moves steps the version moves while this replica leads. The steps are in the
// log; the evidence is in memory, so that a new leader starts without any.
type moves struct {
	machines map[string]*running
	next     time.Time
}

type running struct {
	move.Machine
	version string
	started time.Time
	// pending is set while a step is on its way through the log.
	pending chan outcome
}

// elected drops evidence from an earlier term.
func (m *moves) elected() { m.machines, m.next = map[string]*running{}, time.Time{} }

// tick steps each move if it is time to.
func (m *moves) tick(r *Replica, now time.Time) {
	if r.role != consensus.Leader || now.Before(m.next) {
		return
	}
	m.next = now.Add(moveInterval)
	v := r.state.View()
	for service := range m.machines {
		if _, ok := v.Moves[service]; !ok {
			delete(m.machines, service)
		}
	}
	for service := range v.Moves {
		m.step(r, now, r.inspect(v, service))
		if r.role != consensus.Leader {
			return
		}
	}
}

func (r *Replica) inspect(v *control.View, service string) *move.Input {
	if r.Inspect != nil {
		return r.Inspect(v, service)
	}
	return move.Inspect(v, service)
}

// machine returns the machine of a move. A move that was started anew has a new one.
func (m *moves) machine(r *control.MoveRecord) *running {
	n := m.machines[r.Service]
	if n == nil || n.version != r.Version || !n.started.Equal(r.Started) {
		n = &running{version: r.Version, started: r.Started}
		m.machines[r.Service] = n
	}
	return n
}

func (m *moves) step(r *Replica, now time.Time, in *move.Input) {
	n := m.machine(&in.Record)
	if n.pending != nil {
		select {
		case <-n.pending:
			n.pending = nil
		default:
			return
		}
	}
	s := n.Step(now, in)
	if s == nil {
		return
	}
	r.Log.Info().Str("service", s.Service).Str("version", s.Version).Str("from", s.From).Str("step", s.Step).
		Float64("share", s.Share).Str("reason", s.Reason).Msg("version move steps")
	n.pending = make(chan outcome, 1)
	r.propose(control.Command{Move: s}, n.pending)
}

// add takes over the evidence of a host.
func (m *moves) add(r *Replica, now time.Time, reports []move.Report) {
	v := r.state.View()
	for _, e := range reports {
		record, ok := v.Moves[e.Service]
		if ok && record.Version == e.Version && move.Running(&record) {
			m.machine(&record).Add(now, e.Parts)
		}
	}
}

// serveEvidence takes the evidence of a host for the running moves.
func (r *Replica) serveEvidence(ctx context.Context, _ *peer.Conn, params json.RawMessage) (any, error) {
	var q Evidence
	if err := peer.Decode(params, &q); err != nil {
		return nil, err
	}
	reports := q.Reports
	for _, e := range reports {
		for i := range e.Parts {
			if err := e.Parts[i].Decode(); err != nil {
				return nil, &peer.RemoteError{Code: peer.CodeInvalid, Message: err.Error()}
			}
		}
	}
	not := &consensus.NotLeaderError{}
	leads := false
	err := r.do(ctx, func() {
		if r.node == nil {
			return
		}
		if leads = r.role == consensus.Leader; leads {
			r.moves.add(r, r.Clock.Now(), reports)
			return
		}
		not.Leader = r.node.Status().Leader
	})
	switch {
	case err != nil:
		return nil, remote(err)
	case leads:
		return struct{}{}, nil
	case not.Leader != "" && !q.Forwarded:
		q.Forwarded = true
		return forward(ctx, r, not.Leader, MethodEvidence, q, &struct{}{})
	}
	return nil, remote(not)
}
