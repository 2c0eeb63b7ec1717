package quorum

import (
	"context"
	"encoding/json"
	"time"

	"wasabirelay/consensus"
	"wasabirelay/peer"
)

const (
	// senderBacklog is the capacity of the message queue to one replica. Messages are
	// dropped while the queue is full; the replicated log tolerates lost messages.
	senderBacklog = 256
	// redialDelay is the delay after a message could not be sent.
	redialDelay = 100 * time.Millisecond
)

// sender sends the messages of the replicated log to one replica. It has its own goroutine,
// so that a replica that does not read cannot block the control goroutine.
type sender struct {
	client *peer.Client
	queue  chan consensus.Message
}

// senderFor returns the sender to a host, or nil if the address of the host is unknown.
func (r *Replica) senderFor(host string) *sender {
	c, ok := r.Peers.Client(host)
	if !ok {
		return nil
	}
	if s := r.senders[host]; s != nil && s.client == c {
		return s
	}
	if s := r.senders[host]; s != nil {
		close(s.queue) // The address of the host has changed.
	}
	s := &sender{client: c, queue: make(chan consensus.Message, senderBacklog)}
	r.senders[host] = s
	go r.runSender(r.membership, s)
	return s
}

// send queues a message for the replica that it is addressed to, or drops it if the queue is
// full.
func (r *Replica) send(m *consensus.Message) {
	s := r.senderFor(hostOf(m.To))
	if s == nil {
		return
	}
	select {
	case s.queue <- *m:
	default:
	}
}

func (r *Replica) runSender(ctx context.Context, s *sender) {
	for {
		select {
		case <-ctx.Done():
			return
		case m, open := <-s.queue:
			if !open {
				return
			}
			if err := s.client.Notify(ctx, MethodStep, m); err != nil {
				r.Log.Debug().Err(err).Str("to", m.To).Msg("failed to send a message of the replicated log")
				r.Clock.Sleep(redialDelay)
			}
		}
	}
}

// serveStep passes a message from another replica to the replicated log.
func (r *Replica) serveStep(ctx context.Context, _ *peer.Conn, params json.RawMessage) (any, error) {
	var m consensus.Message
	if err := peer.Decode(params, &m); err != nil {
		return nil, err
	}
	r.post(ctx, func() {
		if r.node != nil {
			r.handle(r.node.Step(r.Clock.Now(), m))
		}
	})
	return nil, nil
}

// Handlers returns the methods that a control replica serves to other hosts.
func (r *Replica) Handlers() map[string]peer.Handler {
	return map[string]peer.Handler{
		MethodStep:      r.serveStep,
		MethodHello:     r.serveHello,
		MethodBootstrap: r.serveBootstrap,
		MethodAgree:     r.serveAgree,
		MethodJoin:      r.serveJoin,
		MethodLeave:     r.serveLeave,
		MethodPropose:   r.servePropose,
		MethodWatch:     r.serveWatch,
		MethodStatus:    r.serveStatus,
		MethodRenew:     r.serveRenew,
		MethodEvidence:  r.serveEvidence,
		MethodRead:      r.serveRead,
	}
}
