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

// moveInterval is how often the leader steps the version moves. Hosts send their evidence
// at the same interval.
const moveInterval = 500 * time.Millisecond

// moves steps the version moves while this replica is the leader. The steps are stored in
// the log; the evidence is only in memory, so that a new leader starts without evidence.
type moves struct {
	machines map[string]*runningMove
	next     time.Time
}

// runningMove is the state machine of one move, identified by its version and start time.
type runningMove struct {
	move.Machine
	version string
	started time.Time
	// pending receives the outcome of the last proposed step; nil if no step is pending.
	pending chan outcome
}

// becameLeader drops the evidence of an earlier term.
func (m *moves) becameLeader() { m.machines, m.next = map[string]*runningMove{}, time.Time{} }

// tick steps each move once per moveInterval and drops the machines of moves that have ended.
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
		m.step(r, now, r.moveInput(v, service))
		if r.role != consensus.Leader {
			return
		}
	}
}

func (r *Replica) moveInput(v *control.View, service string) *move.Input {
	if r.MoveInput != nil {
		return r.MoveInput(v, service)
	}
	return move.NewInput(v, service)
}

// machine returns the machine of a move. A move that was started again gets a new machine.
func (m *moves) machine(record *control.MoveRecord) *runningMove {
	machine := m.machines[record.Service]
	if machine == nil || machine.version != record.Version || !machine.started.Equal(record.Started) {
		machine = &runningMove{version: record.Version, started: record.Started}
		m.machines[record.Service] = machine
	}
	return machine
}

// step proposes the next step of a move, if one is due and none is pending.
func (m *moves) step(r *Replica, now time.Time, in *move.Input) {
	machine := m.machine(&in.Record)
	if machine.pending != nil {
		select {
		case <-machine.pending:
			machine.pending = nil
		default:
			return
		}
	}
	step := machine.Step(now, in)
	if step == nil {
		return
	}
	r.Log.Info().Str("service", step.Service).Str("version", step.Version).Str("from", step.From).Str("step", step.Step).
		Float64("share", step.Share).Str("reason", step.Reason).Msg("proposing the next step of a version move")
	machine.pending = make(chan outcome, 1)
	r.propose(&Proposal{Command: control.Command{Move: step}}, machine.pending)
}

// add adds the evidence of a host to the running moves.
func (m *moves) add(r *Replica, now time.Time, reports []move.Report) {
	v := r.state.View()
	for _, e := range reports {
		record, ok := v.Moves[e.Service]
		if ok && record.Version == e.Version && move.Running(&record) {
			m.machine(&record).AddEvidence(now, e.Counts)
		}
	}
}

// serveEvidence adds the evidence of a host for the running moves.
func (r *Replica) serveEvidence(ctx context.Context, _ *peer.Conn, params json.RawMessage) (any, error) {
	var q Evidence
	if err := peer.Decode(params, &q); err != nil {
		return nil, err
	}
	reports := q.Reports
	for _, e := range reports {
		for i := range e.Counts {
			if err := e.Counts[i].Decode(); err != nil {
				return nil, &peer.RemoteError{Code: peer.CodeInvalidParams, Message: err.Error()}
			}
		}
	}
	notLeader := &consensus.NotLeaderError{}
	isLeader := false
	err := r.do(ctx, func() {
		if r.node == nil {
			return
		}
		if isLeader = r.role == consensus.Leader; isLeader {
			r.moves.add(r, r.Clock.Now(), reports)
			return
		}
		notLeader.Leader = r.node.Status().Leader
	})
	switch {
	case err != nil:
		return nil, toRemoteError(err)
	case isLeader:
		return struct{}{}, nil
	case notLeader.Leader != "" && !q.Forwarded:
		q.Forwarded = true
		return forward(ctx, r, notLeader.Leader, MethodEvidence, q, &struct{}{})
	}
	return nil, toRemoteError(notLeader)
}
