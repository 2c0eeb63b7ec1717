package quorum

import (
	"context"
	"encoding/json"
	"time"

	"wasabirelay/consensus"
	"wasabirelay/peer"
)

const (
	// senderBacklog bounds the messages that wait for one replica. The log
	// tolerates loss, so messages beyond it are dropped.
	senderBacklog = 256
	// redial is the pause after a failed connection attempt.
	redial = 100 * time.Millisecond
)

// sender sends the log's messages to one replica from its own goroutine, so that
// a replica that does not read never blocks the control goroutine.
type sender struct {
	client *peer.Client
	queue  chan consensus.Message
}

// sender returns the sender to a host, or nil if its address is not known.
func (r *Replica) sender(host string) *sender {
	c, ok := r.Peers.Client(host)
	if !ok {
		return nil
	}
	if s := r.senders[host]; s != nil && s.client == c {
		return s
	}
	if s := r.senders[host]; s != nil {
		close(s.queue) // the host has another address now
	}
	s := &sender{client: c, queue: make(chan consensus.Message, senderBacklog)}
	r.senders[host] = s
	go r.runSender(r.running, s)
	return s
}

func (r *Replica) send(m *consensus.Message) {
	s := r.sender(hostOf(m.To))
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
				r.Log.Debug().Err(err).Str("to", m.To).Msg("log message not sent")
				r.Clock.Sleep(redial)
			}
		}
	}
}

// serveStep hands a message of another replica to the log.
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

// Handlers returns the methods that a control replica serves to other daemons.
func (r *Replica) Handlers() map[string]peer.Handler {
	return map[string]peer.Handler{
		MethodStep:      r.serveStep,
		MethodHello:     r.serveHello,
		MethodBootstrap: r.serveFound,
		MethodJoin:      r.serveJoin,
		MethodPropose:   r.servePropose,
		MethodWatch:     r.serveWatch,
		MethodStatus:    r.serveStatus,
		MethodRenew:     r.serveRenew,
		MethodEvidence:  r.serveEvidence,
		MethodRead:      r.serveRead,
	}
}
